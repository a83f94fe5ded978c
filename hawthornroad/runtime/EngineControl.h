// Sends load orders to the VM's engine and reads back what it actually serves.
//
//   EngineControl Engine(Setup, Loop, Client, Metrics, {
//       .OnChange_ = [&](TimePoint Now) { publishEndpoint(Now); },
//       .RunningAttempts_ = [&] { return Attempts.running(); }});
//   Engine.setDesiredService(Service, R, Now);     // each declaration
//   Engine.setStagedPath(Version, Path, Now);
//   Engine.setFleet(Statuses, Now);      // same service, own zone: for turns
//
// Combines rollout/ with the HTTP calls. Turns decide which VM may leave
// service and when; orders carry the absolute target and a fencing number, and
// are verified by reading back. All methods run on the DecisionLoop's thread.
// For a plain service it sends no orders and reports ready when the service
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

// The load that the engine last reported.
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
    // Number of attempts running on the engine; a turn waits until it is zero.
    std::function<std::size_t()> RunningAttempts_;
    // When the request (to the platform or a peer) was sent whose answer
    // confirmed the current configuration. After a pause of this process no
    // order is sent until this time is later than the pause or, without such a
    // confirmation, until some seconds have passed without another pause.
    std::function<std::optional<TimePoint>()> ConfigurationAskedAt_;
  };

  EngineControl(Setup S, DecisionLoop &Loop, HttpClient &Client, Metrics &M,
                Callbacks C);
  ~EngineControl();
  EngineControl(const EngineControl &) = delete;
  EngineControl &operator=(const EngineControl &) = delete;

  void start(TimePoint Now);
  // Sets the declared service of this VM at revision R; null for none.
  void setDesiredService(const Service *S, Revision R, TimePoint Now);
  // Version is complete and verified at Path: the wanted one, or an older one
  // kept for a rollback. An empty Path means that it is no longer staged.
  void setStagedPath(const VersionDigest &Version, const std::string &Path,
                     TimePoint Now);
  // All known endpoints of the same service, except this VM's.
  void setFleet(const std::vector<EndpointStatus> &Fleet, TimePoint Now);

  // Ready only when the engine reports exactly one completely loaded version,
  // or the plain service answers. Draining during a turn.
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
