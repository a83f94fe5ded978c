// The rollout of one endpoint: from the version its engine serves to the one
// declared, without the service ever falling below its declared share.
//
//   RolloutTurn Turn(Setup, Chart::load(Folder, "rollout",
//                                       RolloutTurn::chartNames()), Random);
//   Turn.declare(Service, R, Now);            // each declaration
//   Turn.stage(Version, Path);                // whole and verified
//   Turn.setFleet(Statuses, Now);
//   Turn.onReading(Reading, Now);             // each read-back of the engine
//   if (auto Order = Turn.tick(Now, Running, ConfigurationAskedAt))
//     ...                                     // send; then onReply()
//
// The life cycle stands in charts/rollout.json:
//
//   reading -> serving -> waiting_turn -> draining -> loading -> verifying
//                 ^                                       |          |
//                 +---------------------------------------|----------+
//   An engine that serves nothing (idle) loads at once: no turn is needed to
//   come into service. A load that fails goes to failed, and from there to the
//   version served before. Enough failures of the wanted version anywhere in
//   the fleet halt the rollout (LoadFailures.h).
//
// The rules stand in their own modules: who may go (TurnOrder.h), what to load
// (VersionChoice.h), how it is ordered (OrderState.h), and when no order may go
// (PauseDetector.h). Invariants:
// - Ready only while the last reading, no older than the silence limit, shows
//   exactly one whole version served.
// - An endpoint that serves leaves service only in its turn, and is out until
//   the engine has shown the ordered version in VerifyReadings_ readings.
// - A file is named in an order only while it is staged whole and verified.
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
    // An engine not heard of for this long is not ready.
    Duration Silence_ = Seconds(3);
    // Readings in a row that must show the ordered version.
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

  // The declared service of this VM at revision R; null when there is none.
  void declare(const Service *S, Revision R, TimePoint Now);
  // V lies whole and verified at Path; an empty Path: it no longer does.
  void stage(const VersionDigest &V, const std::string &Path);
  // All known endpoints of the service, own VM excluded.
  void setFleet(const std::vector<EndpointStatus> &Fleet, TimePoint Now);
  void onReading(const EngineReading &Reading, TimePoint Now);
  // The engine takes no connections, or has been silent for too long.
  void onUnreachable(TimePoint Now);
  void onReply(FencingNumber Fencing, OrderReply Reply, TimePoint Now);
  // RunningAttempts: attempts now at the engine. ConfigurationAskedAt: when
  // the question was asked that the configuration in hand answers, if known.
  // Returns the order to send now.
  std::optional<EngineOrder>
  tick(TimePoint Now, std::size_t RunningAttempts,
       std::optional<TimePoint> ConfigurationAskedAt);

  State state() const { return State_; }
  // The state's name in charts/rollout.json.
  const std::string &stateName() const;
  EndpointPhase phase() const;
  // What the engine serves; empty when it serves nothing or is silent.
  VersionDigest version() const;
  VersionDigest failedVersion() const { return Choice_.failedVersion(); }
  // Why it is not ready or not on the wanted version, for people.
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
  // Whether a newer version could be had by leaving service.
  bool pending(TimePoint Now) const;
  // Whether the engine is loading the right version already, on the order of
  // this agent's predecessor.
  bool adoptsLoading(TimePoint Now) const;
  // What to load when out of service.
  std::optional<EngineWish> target(TimePoint Now) const;
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
  // Set when the VM came from another service: what its engine still serves
  // belongs to that one.
  bool Foreign_ = false;
  // Whether the endpoint left service by its turn.
  bool InTurn_ = false;
  std::size_t RunningAttempts_ = 0;
  std::optional<EngineReading> Reading_;
  TimePoint ReadAt_;
  // Readings in a row that showed the ordered version.
  unsigned TargetReadings_ = 0;
  std::optional<TimePoint> LoadingSince_;
  std::uint64_t PausesSeen_ = 0;
  std::string FailedWhy_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROLLOUT_ROLLOUTTURN_H
