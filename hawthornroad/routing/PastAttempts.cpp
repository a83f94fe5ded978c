#include "hawthornroad/routing/PastAttempts.h"

namespace hawthornroad {

std::string_view toString(AttemptRefusal R) {
  switch (R) {
  case AttemptRefusal::Draining:
    return "draining";
  case AttemptRefusal::Overloaded:
    return "overloaded";
  case AttemptRefusal::NotReady:
    return "not_ready";
  case AttemptRefusal::WrongVersion:
    return "wrong_version";
  case AttemptRefusal::WrongService:
    return "wrong_service";
  case AttemptRefusal::DeadlineTooShort:
    return "deadline_too_short";
  }
  return "unknown";
}

void PastAttempts::addRefused(const AttemptId &Attempt, AttemptRefusal Reason,
                              TimePoint Now) {
  add(Attempt, {Reason}, Now);
}

void PastAttempts::addRan(const AttemptId &Attempt, TimePoint Now) {
  add(Attempt, {std::nullopt}, Now);
}

void PastAttempts::add(const AttemptId &Attempt, FinalState F, TimePoint Now) {
  if (!FinalStates_.emplace(Attempt, F).second)
    return;
  Order_.push_back({Attempt, Now + Keep_});
  if (FinalStates_.size() <= Max_)
    return;
  evictOldest();
  ++EvictedEarly_;
}

std::optional<PastAttempts::FinalState>
PastAttempts::find(const AttemptId &Attempt) const {
  auto Found = FinalStates_.find(Attempt);
  if (Found == FinalStates_.end())
    return std::nullopt;
  return Found->second;
}

void PastAttempts::expire(TimePoint Now) {
  while (!Order_.empty() && Order_.front().Until_ <= Now)
    evictOldest();
}

void PastAttempts::evictOldest() {
  FinalStates_.erase(Order_.front().Attempt_);
  Order_.pop_front();
}

} // namespace hawthornroad
