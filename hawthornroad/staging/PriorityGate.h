// Holds places of one engine back from less urgent requests while more urgent
// ones are being refused for lack of room.
//
//   PriorityGate Gate;
//   PriorityGate::Query Q{PlaceKind::First, Priority, IsOwed};
//   if (!Gate.permits(Q, Now) || !Grants.ask(Q.Kind_, Pace, Now))
//     Gate.refused(Q, Now);
//   for (const PriorityGate::Change &Each : Gate.takeChanges(Now)) log(Each);
//
// Load pattern: less urgent requests hold all places, and urgent load rises
// sharply. Each entry orders its own queue, but many entries ask one engine
// independently, so a place that becomes free would go to whichever asks first.
// Less urgent requests may wait longer, so more of them are waiting and they
// would get most places. With the gate, every place that becomes free goes to
// an urgent request; what runs is left to finish.
//
// A request of a priority that is refused, also by the gate itself, closes the
// gate for all less urgent ones for Hold. Never held back: requests that
// continue an answer, requests that are owed, and those that state no priority.
// Late requests do not close it, since they only take places that others leave.
//
// No I/O, no clock, no threads. Memory and cost are constant.

#ifndef HAWTHORNROAD_STAGING_PRIORITYGATE_H
#define HAWTHORNROAD_STAGING_PRIORITYGATE_H

#include "hawthornroad/staging/PlaceGrants.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace hawthornroad {

class PriorityGate {
public:
  static constexpr std::size_t Priorities = 10;
  struct Options {
    // How long a refusal holds places back. A refused entry asks the same
    // engine again after up to 225 ms, and a query takes up to 20 ms; a shorter
    // time would give the place to a less urgent request in between. A place
    // becomes free about every 100 ms, so two to three are kept at most.
    Duration Hold_ = Milliseconds(250);
    // Least time between two changes that are reported of one priority.
    Duration ReportInterval_ = Seconds(1);
  };
  // A request for a place.
  struct Query {
    PlaceKind Kind_ = PlaceKind::First;
    // Priority, 0 is the most urgent; unset: not stated.
    std::optional<int> Rank_;
    // Its route or customer is served less than its guaranteed share.
    bool IsOwed_ = false;
  };
  // The gate closed or opened for requests of a priority.
  struct Change {
    int Rank_ = 0;
    bool IsClosed_ = false;
    // The most urgent priority that is being refused; set when closed.
    std::optional<int> Behind_;
    // Requests of this priority held back since the last reported change.
    std::uint64_t Withheld_ = 0;
  };

  PriorityGate() = default;
  explicit PriorityGate(Options O) : Options_(O) {}

  // Position among requests that are answered together, lowest first. All
  // requests without a stated priority have the same.
  static int order(const Query &Q);
  bool permits(const Query &Q, TimePoint Now) const;
  // Q was refused a place by the gate, for lack of room or because the engine
  // is cold, not for a stated rate limit or because the engine is away.
  void refused(const Query &Q, TimePoint Now);
  // Changes for priorities of which requests were held back.
  std::vector<Change> takeChanges(TimePoint Now);

private:
  struct State {
    std::optional<TimePoint> RefusedAt_;
    std::uint64_t Withheld_ = 0;
    bool IsReportedClosed_ = false;
    std::optional<TimePoint> ReportedAt_;
  };
  static std::size_t indexOf(int Rank);
  // The most urgent priority above Index that was refused within Hold.
  std::optional<int> blocker(std::size_t Index, TimePoint Now) const;

  Options Options_;
  std::array<State, Priorities> States_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_STAGING_PRIORITYGATE_H
