// How a request's priority orders it in the queue of its entry and at the
// engine, and how long each priority of a service has been refused.
//
//   Item.Priority_ = queueClass(IsStreaming, IsOwed, Rank);
//   Params.Urgency_ = engineUrgency(IsStreaming, Rank);
//   RankOverload O;
//   O.refused(Rank, WasInTime, Now);
//   Duration Likely = O.elapsed(Rank, Now);
//   if (O.moreUrgentRefused(Rank, Now)) refuseAtOnce();
//
// Load pattern of RankOverload: under overload the less urgent are refused for
// as long as it lasts, and the most urgent only until places have become free.
// One time for all would send less urgent callers back too early, or urgent
// ones too late.
//
// No I/O, no clock, no threads; constant memory.

#ifndef HAWTHORNROAD_TRAFFIC_REQUESTPRIORITY_H
#define HAWTHORNROAD_TRAFFIC_REQUESTPRIORITY_H

#include "hawthornroad/traffic/Overload.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>

namespace hawthornroad {

// A request whose answer has begun continues first, since its caller has part
// of it. One that is owed is treated as the most urgent, see ServedShare.
inline Priority queueClass(bool IsStreaming, bool IsOwed, int Rank) {
  if (IsStreaming || IsOwed || Rank <= 0)
    return Priority::Interactive;
  return Rank == 1 ? Priority::Normal : Priority::Batch;
}

// Urgency sent to the endpoint, 0 to 9, lowest first. The field's default
// belongs to the default priority, 1.
inline int engineUrgency(bool IsStreaming, int Rank) {
  constexpr int DefaultUrgency = 5;
  constexpr int ResumeUrgency = 1;
  constexpr int MaxUrgency = 9;
  if (IsStreaming)
    return ResumeUrgency;
  return std::clamp(DefaultUrgency + Rank - 1, 0, MaxUrgency);
}

// The overload of each priority of one service.
class RankOverload {
public:
  // WasInTime: the request could still have been answered in time, and was
  // refused for lack of capacity. A late one only takes places that others
  // leave, so its refusal does not show that its priority lacks places.
  void refused(int Rank, bool WasInTime, TimePoint Now) {
    std::size_t Own = indexOf(Rank);
    for (std::size_t I = Own; I < Ranks; ++I)
      Overloads_.at(I).refused(Now);
    if (WasInTime)
      InTimeAt_.at(Own) = Now;
  }
  Duration elapsed(int Rank, TimePoint Now) const {
    return Overloads_.at(indexOf(Rank)).elapsed(Now);
  }
  // Whether requests of a more urgent priority are being refused.
  bool moreUrgentRefused(int Rank, TimePoint Now) const {
    return std::any_of(InTimeAt_.begin(),
                       InTimeAt_.begin() +
                           static_cast<std::ptrdiff_t>(indexOf(Rank)),
                       [&](const std::optional<TimePoint> &At) {
                         return At && Now - *At < Overload::QuietPeriod;
                       });
  }

private:
  static constexpr std::size_t Ranks = 10;
  static std::size_t indexOf(int Rank) {
    return static_cast<std::size_t>(
        std::clamp(Rank, 0, static_cast<int>(Ranks) - 1));
  }

  std::array<Overload, Ranks> Overloads_;
  std::array<std::optional<TimePoint>, Ranks> InTimeAt_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_REQUESTPRIORITY_H
