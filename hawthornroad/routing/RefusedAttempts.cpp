#include "hawthornroad/routing/RefusedAttempts.h"

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

void RefusedAttempts::add(const AttemptId &Attempt, AttemptRefusal Reason,
                          TimePoint Now) {
  if (!Reasons_.emplace(Attempt, Reason).second)
    return;
  Order_.push_back({Attempt, Now + Keep_});
  if (Reasons_.size() <= Max_)
    return;
  forgetOldest();
  ++ForgottenEarly_;
}

std::optional<AttemptRefusal>
RefusedAttempts::find(const AttemptId &Attempt) const {
  auto Found = Reasons_.find(Attempt);
  if (Found == Reasons_.end())
    return std::nullopt;
  return Found->second;
}

void RefusedAttempts::expire(TimePoint Now) {
  while (!Order_.empty() && Order_.front().Until_ <= Now)
    forgetOldest();
}

void RefusedAttempts::forgetOldest() {
  Reasons_.erase(Order_.front().Attempt_);
  Order_.pop_front();
}

} // namespace hawthornroad
