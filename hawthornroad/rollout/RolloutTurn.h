// The rollout of one endpoint, from the version its engine serves to the
// declared one, without the service falling below its declared share of
// endpoints.
//
//   RolloutTurn Turn(Setup, Chart::load(Folder, "rollout",
//                                       RolloutTurn::chartNames()), Random);
//   Turn.declare(Service, R, Now);            // each declaration
//   Turn.stage(Version, Path);                // complete and verified
//   Turn.setFleet(Statuses, Now);
//   Turn.onReading(Reading, Now);             // each read-back of the engine
//   if (auto Order = Turn.tick(Now, Running, ConfigurationAskedAt))
//     ...                                     // send; then onReply()
//
// charts/rollout.json defines the life cycle:
//
//   reading -> serving -> waiting_turn -> draining -> loading -> verifying
//                 ^                                       |          |
//                 +---------------------------------------|----------+
//   An engine that serves nothing (idle) loads at once: no turn is needed to
//   come into service. A load that fails goes to failed, and from there to the
//   version served before. Enough failures of the wanted version anywhere in
//   the fleet halt the rollout (LoadFailures.h).
//
// Each rule has its own module: which endpoint may leave service (TurnOrder.h),
// which version to load (VersionChoice.h), how it is ordered (OrderState.h),
// and when orders are withheld (PauseDetector.h). Invariants:
// - Ready only while the last reading is within the silence limit and shows
//   exactly one complete version served.
// - A serving endpoint leaves service only in its turn, and stays out of
// service
//   until the engine has shown the ordered version in VerifyReadings_ readings.
// - An order names a file only while it is staged completely and verified.
//
// Cost: O(1) for a tick, O(endpoints of the service) for setFleet.

#ifndef HAWTHORNROAD_ROLLOUT_ROLLOUTTURN_H
#define HAWTHORNROAD_ROLLOUT_ROLLOUTTURN_H

#include "hawthornroad/base/Chart.h"
#include "hawthornroad/base/Random.h"
#include "hawthornroad/config/Declaration.h"
#include "hawthornroad/membership/EndpointStatus.h"
#include "hawthornroad/rollout/LoadFailures.h"
#include "hawthornroad/rollout/OrderState.h"
#include "hawthornroad/rollout/PauseDetector.h"
#include "hawthornroad/rollout/TurnOrder.h"
#include "hawthornroad/rollout/VersionChoice.h"

#include <optional>
#include <string>
#include <vector>

namespace hawthornroad {

class RolloutTurn {
public:
  struct Limits {
    OrderState::Limits Orders_;
    TurnOrder::Limits Turns_;
    PauseDetector::Limits Pause_;
    VersionChoice::Limits Choice_;
    // An engine without a reading for this long is not ready.
    Duration Silence_ = Seconds(3);
    // Consecutive readings that must show the ordered version.
    unsigned VerifyReadings_ = 2;
  };
  struct Setup {
    Vm Vm_;
    AvailabilityZone Zone_;
    Incarnation Incarnation_ = 0;
    Limits Limits_;
  };
  // Positions match chartNames().
  enum class State : std::size_t {
    Reading,
    Idle,
    Serving,
    WaitingTurn,
    Draining,
    Loading,
    Verifying,
    Failed,
    Halted
  };

  static ChartNames chartNames();

  RolloutTurn(Setup S, Chart C, Random &R);

  // Sets the declared service of this VM at revision R; null when there is
  // none.
  void declare(const Service *S, Revision R, TimePoint Now);
  // V is staged, complete and verified, at Path; an empty Path: no longer
  // staged.
  void stage(const VersionDigest &V, const std::string &Path);
  // All known endpoints of the service, without this VM.
  void setFleet(const std::vector<EndpointStatus> &Fleet, TimePoint Now);
  void onReading(const EngineReading &Reading, TimePoint Now);
  // The engine refuses connections, or has been silent for too long.
  void onUnreachable(TimePoint Now);
  void onReply(FencingNumber Fencing, OrderReply Reply, TimePoint Now);
  // RunningAttempts: attempts in progress at the engine. ConfigurationAskedAt:
  // when the query was sent that the current configuration answers, if known.
  // Returns the order to send now, if any.
  std::optional<EngineOrder>
  tick(TimePoint Now, std::size_t RunningAttempts,
       std::optional<TimePoint> ConfigurationAskedAt);

  State state() const { return State_; }
  // The state's name in charts/rollout.json.
  const std::string &stateName() const;
  EndpointPhase phase() const;
  // The version the engine serves; empty when it serves none or is silent.
  VersionDigest version() const;
  VersionDigest failedVersion() const { return Choice_.failedVersion(); }
  // Why the endpoint is not ready or not on the wanted version, for operators.
  std::string detail() const;

  const OrderState &orders() const { return Orders_; }
  const VersionChoice &choice() const { return Choice_; }
  const TurnOrder &turns() const { return Turns_; }
  const LoadFailures &failures() const { return Failures_; }
  const PauseDetector &pause() const { return Pause_; }

private:
  enum class Event : std::size_t { Read, Silent, Paused, Tick };
  enum class Guard : std::size_t;
  enum class Action : std::size_t;

  void fire(Event E, TimePoint Now);
  bool holds(Guard G, TimePoint Now) const;
  void perform(Action A, TimePoint Now);
  bool serves() const;
  bool onTarget() const;
  bool outranked() const;
  bool halted() const;
  // Whether the engine could get the wanted version by leaving service.
  bool hasPendingVersion(TimePoint Now) const;
  // Whether the engine is already loading the target version, ordered by this
  // agent's predecessor.
  bool adoptsLoading(TimePoint Now) const;
  // The version to load when out of service.
  std::optional<EngineTarget> target(TimePoint Now) const;
  std::string haltDetail() const;

  Setup Setup_;
  Chart Chart_;
  OrderState Orders_;
  TurnOrder Turns_;
  PauseDetector Pause_;
  VersionChoice Choice_;
  LoadFailures Failures_;
  State State_ = State::Reading;
  ServiceName Service_;
  RolloutDeclaration Rollout_;
  Revision Revision_ = 0;
  // Set when the VM was moved from another service, whose version its engine
  // still serves.
  bool FromOtherService_ = false;
  // Whether the endpoint left service in its turn.
  bool InTurn_ = false;
  std::size_t RunningAttempts_ = 0;
  std::optional<EngineReading> Reading_;
  TimePoint ReadAt_;
  // Consecutive readings that showed the ordered version.
  unsigned TargetReadings_ = 0;
  std::optional<TimePoint> LoadingSince_;
  std::uint64_t PausesSeen_ = 0;
  std::string FailureReason_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROLLOUT_ROLLOUTTURN_H
