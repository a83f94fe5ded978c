#include "hawthornroad/rollout/TurnOrder.h"

#include "hawthornroad/base/Hash.h"

#include <algorithm>
#include <utility>

namespace hawthornroad {

TurnOrder::TurnOrder(Vm Own, AvailabilityZone Zone, Limits L)
    : Own_(std::move(Own)), Zone_(std::move(Zone)), Limits_(L) {}

void TurnOrder::start(TimePoint Now) {
  if (!StartedAt_)
    StartedAt_ = Now;
}

void TurnOrder::setService(const ServiceName &S) {
  if (Service_ == S)
    return;
  Service_ = S;
  NotReady_ = 0;
  WaitingAhead_ = 0;
  Present_.clear();
  Absent_.clear();
}

bool TurnOrder::goesBefore(const Vm &Other) const {
  std::string Key = Service_.str() + "/" + Zone_.str();
  std::uint64_t Theirs = rendezvousScore(Key, Other.str());
  std::uint64_t Ours = rendezvousScore(Key, Own_.str());
  return Theirs != Ours ? Theirs > Ours : Other < Own_;
}

void TurnOrder::setFleet(const std::vector<EndpointStatus> &Fleet,
                         TimePoint Now) {
  std::set<Vm> Present;
  NotReady_ = 0;
  WaitingAhead_ = 0;
  for (const EndpointStatus &Each : Fleet) {
    bool Counts = Each.Service_ == Service_ && Each.Zone_ == Zone_ &&
                  Each.Vm_ != Own_ && Each.Phase_ != EndpointPhase::Left;
    if (!Counts)
      continue;
    Present.insert(Each.Vm_);
    if (Each.Phase_ != EndpointPhase::Ready)
      ++NotReady_;
    else if (Each.Rollout_ == WaitingTurn && goesBefore(Each.Vm_))
      ++WaitingAhead_;
  }
  noteAbsent(Present, Now);
  Present_ = std::move(Present);
}

void TurnOrder::noteAbsent(const std::set<Vm> &Present, TimePoint Now) {
  for (const Vm &Each : Present_)
    if (!Present.contains(Each))
      Absent_.emplace(Each, Now);
  std::erase_if(Absent_, [&](const auto &Entry) {
    return Present.contains(Entry.first) ||
           Now - Entry.second >= Limits_.AbsenceHold_;
  });
}

void TurnOrder::startWaiting(TimePoint Now) {
  if (!WaitingSince_)
    WaitingSince_ = Now;
}

std::size_t TurnOrder::outOfService(TimePoint Now) const {
  auto Held =
      std::count_if(Absent_.begin(), Absent_.end(), [&](const auto &Entry) {
        return Now - Entry.second < Limits_.AbsenceHold_;
      });
  return NotReady_ + static_cast<std::size_t>(Held);
}

bool TurnOrder::hasTurn(std::size_t MaxUnavailable, TimePoint Now) const {
  bool Settled = StartedAt_ && Now - *StartedAt_ >= Limits_.JoinSettle_ &&
                 WaitingSince_ && Now - *WaitingSince_ >= Limits_.Settle_;
  return Settled && outOfService(Now) + WaitingAhead_ < MaxUnavailable;
}

} // namespace hawthornroad
