// Decides which endpoint may leave service next, without a coordinator.
//
//   TurnOrder Turns(OwnVm, OwnZone, {});
//   Turns.setFleet(Fleet, Now);            // known state of the others
//   Turns.startWaiting(Now);               // own report now says waiting_turn
//   if (Turns.hasTurn(MaxUnavailable, Now))
//     ...                                  // drain
//
// Each VM ranks the waiting endpoints of its service and zone by rendezvous
// hash, so all VMs that see the same reports agree on the order. An endpoint
// may leave when those out of service plus those waiting before it are fewer
// than MaxUnavailable. The rank does not depend on the wanted version;
// otherwise two VMs that know different revisions could each rank themselves
// first.
//
// Differing views. Reports are delayed and lost, so a VM announces that it
// wants a turn and then waits Settle_ before it may leave. Within that time
// either the others see the announcement and yield by rank, or it sees theirs.
// Two VMs overlap only when every report of one to the other is lost or late
// for longer than Settle_; at most MaxUnavailable endpoints leave on each side
// of such a partition, since each side counts its own. The wait also runs while
// others have their turn, so it costs time only before the first turn of a
// rollout.
//
// Every endpoint of the zone that is not ready is out of service, whatever the
// reason, so that a rollout does not reduce a share that a failure has reduced
// already. One that vanished (dead or left) counts as out of service for
// AbsenceHold_, so that a restart does not free its place, and is ignored
// afterwards, so that a dead one does not block the rest. JoinSettle_ keeps a
// new agent, whose view is still empty, from taking itself for the only one.
//
// Cost: O(endpoints of the zone) for each call of setFleet.

#ifndef HAWTHORNROAD_ROLLOUT_TURNORDER_H
#define HAWTHORNROAD_ROLLOUT_TURNORDER_H

#include "hawthornroad/base/Types.h"
#include "hawthornroad/membership/EndpointStatus.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace hawthornroad {

// The value of EndpointStatus::Rollout_ that announces that an endpoint waits
// for its turn.
constexpr std::string_view WaitingTurn = "waiting_turn";

class TurnOrder {
public:
  struct Limits {
    Duration Settle_ = Milliseconds(4400);
    Duration AbsenceHold_ = Seconds(15);
    Duration JoinSettle_ = Seconds(9);
  };

  TurnOrder(Vm Own, AvailabilityZone Zone, Limits L);

  // Starts the JoinSettle_ period. Only the first call has an effect.
  void start(TimePoint Now);
  // Sets the service whose endpoints take turns; a different one clears the
  // fleet.
  void setService(const ServiceName &S);
  // All known endpoints of the service, without this VM; other zones are
  // ignored.
  void setFleet(const std::vector<EndpointStatus> &Fleet, TimePoint Now);
  void startWaiting(TimePoint Now);
  void stopWaiting() { WaitingSince_.reset(); }

  bool hasTurn(std::size_t MaxUnavailable, TimePoint Now) const;
  // The number of other endpoints of the zone that are out of service.
  std::size_t outOfService(TimePoint Now) const;
  // The number of waiting endpoints of the zone that rank before this one.
  std::size_t waitingAhead() const { return WaitingAhead_; }

private:
  bool goesBefore(const Vm &Other) const;
  void noteAbsent(const std::set<Vm> &Present, TimePoint Now);

  Vm Own_;
  AvailabilityZone Zone_;
  Limits Limits_;
  ServiceName Service_;
  std::optional<TimePoint> StartedAt_;
  std::optional<TimePoint> WaitingSince_;
  std::size_t NotReady_ = 0;
  std::size_t WaitingAhead_ = 0;
  std::set<Vm> Present_;
  // When each vanished endpoint was first found missing.
  std::map<Vm, TimePoint> Absent_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROLLOUT_TURNORDER_H
