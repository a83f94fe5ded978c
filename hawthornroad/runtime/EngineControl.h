// Gives the VM's engine its orders, and reads back what it really serves.
//
//   EngineControl Engine(Setup, Loop, Client, Chart..., {
//       .OnChange_ = [&](TimePoint Now) { publishEndpoint(Now); },
//       .RunningAttempts_ = [&] { return Attempts.running(); }});
//   Engine.setWish(Service, R, Now);     // each declaration
//   Engine.noteStaged(Path, Version, Now);
//   Engine.setFleet(Statuses, Now);      // same service, own zone: for turns
//
// Composes rollout/ (turns: who may leave service when; orders: absolute wish,
// fencing number, read-back) with the HTTP calls. Runs inside the DecisionLoop.
// For a plain service it gives no orders and reports ready when the service
// answers GET /healthz.

#ifndef HAWTHORNROAD_RUNTIME_ENGINECONTROL_H
#define HAWTHORNROAD_RUNTIME_ENGINECONTROL_H

#include "hawthornroad/base/Types.h"
#include "hawthornroad/config/Declaration.h"
#include "hawthornroad/config/Settings.h"
#include "hawthornroad/membership/EndpointStatus.h"
#include "hawthornroad/runtime/DecisionLoop.h"
#include "hawthornroad/runtime/Http.h"
#include "hawthornroad/runtime/Metrics.h"

#include <boost/json/object.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hawthornroad {

// What the engine last said of itself.
struct EngineLoad {
  std::uint32_t Capacity_ = 0;
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
  float StepMs_ = 0;
  bool operator==(const EngineLoad &) const = default;
};

class EngineControl {
public:
  struct Setup {
    AgentSettings Settings_;
    Incarnation Incarnation_ = 0;
  };
  struct Callbacks {
    // phase(), version(), load(), rollout() or failedVersion() changed.
    std::function<void(TimePoint)> OnChange_;
    // Attempts now running at the engine; a turn waits for zero.
    std::function<std::size_t()> RunningAttempts_;
    // When the question was asked (platform or peer) that the configuration in
    // hand answers. After a pause no order goes out until this is later than
    // the pause; without it, until some seconds have passed undisturbed.
    std::function<std::optional<TimePoint>()> ConfigurationAskedAt_;
  };

  EngineControl(Setup S, DecisionLoop &Loop, HttpClient &Client, Metrics &M,
                Callbacks C);
  ~EngineControl();
  EngineControl(const EngineControl &) = delete;
  EngineControl &operator=(const EngineControl &) = delete;

  void start(TimePoint Now);
  // The declared service of this VM at revision R; null when there is none.
  void setWish(const Service *S, Revision R, TimePoint Now);
  // A version lies whole and verified at Path: the wanted one, or an older one
  // kept for a rollback. An empty Path: it no longer does.
  void noteStaged(const VersionDigest &Version, const std::string &Path,
                  TimePoint Now);
  // All known endpoints of the same service, own VM excluded.
  void setFleet(const std::vector<EndpointStatus> &Fleet, TimePoint Now);

  // Ready only when the engine reports exactly one whole version, or the plain
  // service answers. Draining during a turn.
  EndpointPhase phase() const;
  VersionDigest version() const;
  EngineLoad load() const;
  std::string rollout() const;
  VersionDigest failedVersion() const;
  std::string detail() const;
  boost::json::object status(TimePoint Now) const;

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_ENGINECONTROL_H
