// Bounds what this process sends a service beyond the first arrival of each
// request, so that the sum over all processes keeps the operators' bound
// without their talking to each other.
//
//   RepeatBudget B({.Ratio_ = 0.2, .Window_ = Seconds(10)});
//   B.noteRequest(Service, Now);
//   if (B.take(Service, Now)) sendAgain();
//
// In any Window a process repeats at most Share of Ratio of the requests it
// had itself in the Window before now, and AlwaysAllowed more. Sums over
// processes keep the ratio whatever the split of the callers is; the fixed part
// stays below the operators' slack as long as there are fewer than slack /
// AlwaysAllowed processes. Share leaves room for windows that cut bursts in
// half and for processes that started anew and have forgotten what they spent.
//
// Memory: Slots counters a service.

#ifndef HAWTHORNROAD_TRAFFIC_REPEATBUDGET_H
#define HAWTHORNROAD_TRAFFIC_REPEATBUDGET_H

#include "hawthornroad/base/Types.h"

#include <array>
#include <cstdint>
#include <map>

namespace hawthornroad {

class RepeatBudget {
public:
  struct Options {
    double Ratio_ = 0.2;
    Duration Window_ = Seconds(10);
    double Share_ = 0.85;
    // A process with few requests may still give some a second chance.
    unsigned AlwaysAllowed_ = 5;
  };

  explicit RepeatBudget(Options O) : Options_(O) {}

  void noteRequest(const ServiceName &Service, TimePoint Now);
  // Whether one more may be sent; counts it when so.
  bool take(const ServiceName &Service, TimePoint Now);
  // What was taken at Now's time did not arrive after all.
  void giveBack(const ServiceName &Service, TimePoint Now);

private:
  static constexpr std::size_t Slots = 20;
  struct Slot {
    std::int64_t Number_ = -1;
    unsigned Requests_ = 0;
    unsigned Repeats_ = 0;
  };
  using Account = std::array<Slot, Slots>;

  std::int64_t slotNumber(TimePoint Now) const;
  Slot &current(Account &A, TimePoint Now);

  Options Options_;
  std::map<ServiceName, Account> Accounts_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_REPEATBUDGET_H
