// Whose turn it is to leave service, agreed without a coordinator.
//
//   TurnOrder Turns(OwnVm, OwnZone, {});
//   Turns.setFleet(Fleet, Now);            // what is known of the others
//   Turns.startWaiting(Now);               // our report now says waiting_turn
//   if (Turns.hasTurn(MaxUnavailable, Now))
//     ...                                  // drain
//
// Each VM ranks the waiting endpoints of its service and zone by rendezvous
// hash, so all that see the same reports agree on the order. One may go when
// those out of service plus those waiting before it are fewer than
// MaxUnavailable. The rank does not depend on the wanted version: two VMs that
// know different revisions would else each see themselves first.
//
// Different views. Reports lag and get lost, so a VM first announces its wish
// and waits Settle_ before it may go: within that time either the others hear
// the wish and yield by rank, or it hears theirs. Two VMs overlap only when
// every report of one to the other is lost or late for longer than Settle_; at
// most MaxUnavailable endpoints go on each side of such a cut, as each side
// counts its own. The wait runs while others have their turn, so it costs time
// only before the first turn of a rollout.
//
// Out of service is any endpoint of the zone that is not ready, whatever the
// reason: a share already broken by a failure is not broken further. One that
// vanished (dead or left) counts as out for AbsenceHold_, so that a restart
// does not free its place, and is skipped afterwards, so that a dead one does
// not block the rest. JoinSettle_ keeps a new agent, whose view is still empty,
// from taking itself for the only one.
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

// The value of EndpointStatus::Rollout_ that announces a wish for a turn.
constexpr std::string_view WaitingTurn = "waiting_turn";

class TurnOrder {
public:
  struct Limits {
    Duration Settle_ = Milliseconds(4400);
    Duration AbsenceHold_ = Seconds(15);
    Duration JoinSettle_ = Seconds(9);
  };

  TurnOrder(Vm Own, AvailabilityZone Zone, Limits L);

  // Joining counts from here. The first call is the one that matters.
  void start(TimePoint Now);
  // The service whose endpoints take turns; another one forgets the fleet.
  void setService(const ServiceName &S);
  // All known endpoints of the service, own VM excluded; other zones are
  // passed over.
  void setFleet(const std::vector<EndpointStatus> &Fleet, TimePoint Now);
  void startWaiting(TimePoint Now);
  void stopWaiting() { WaitingSince_.reset(); }

  bool hasTurn(std::size_t MaxUnavailable, TimePoint Now) const;
  // Endpoints of the zone, own excluded, that are out of service.
  std::size_t out(TimePoint Now) const;
  // Waiting endpoints of the zone that go first.
  std::size_t ahead() const { return Ahead_; }

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
  std::size_t Ahead_ = 0;
  std::set<Vm> Present_;
  // When each vanished endpoint was first missed.
  std::map<Vm, TimePoint> Absent_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROLLOUT_TURNORDER_H
