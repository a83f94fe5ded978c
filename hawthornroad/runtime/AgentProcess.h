// One agent: the only process that speaks to the engine or service of its VM.
//
//   AgentProcess Agent(AgentSettings::load(File));    // listens, or throws
//   printReady(Agent.readyLine());
//   Agent.stop();                // SIGTERM, POST /drain: leaves when done
//   Agent.waitUntilLeft();
//
// It only joins parts and moves events between them; what is decided stands in
// AgentAttempts (requests), ControlPlane (membership, configuration),
// WeightTransfer (weights) and EngineControl (orders to the engine).
//
// Threads, joined by bounded rings: "peers" carries requests and control
// frames, "weights" chunks and files, so that bulk never delays a request;
// "engine" calls the endpoint, "platform" the table and the membership list,
// "admin" answers operators; all decisions run on the DecisionLoop's.

#ifndef HAWTHORNROAD_RUNTIME_AGENTPROCESS_H
#define HAWTHORNROAD_RUNTIME_AGENTPROCESS_H

#include "hawthornroad/config/Settings.h"

#include <boost/json/object.hpp>
#include <memory>

namespace hawthornroad {

class AgentProcess {
public:
  // Opens all listeners and begins to join. Throws Error.
  explicit AgentProcess(const AgentSettings &S);
  ~AgentProcess();
  AgentProcess(const AgentProcess &) = delete;
  AgentProcess &operator=(const AgentProcess &) = delete;

  // The ready line of docs/STANDINS.md.
  boost::json::object readyLine() const;
  // Begins the planned stop; thread-safe, a second call changes nothing.
  void stop();
  // Returns when the planned stop is through.
  void waitUntilLeft();

private:
  struct State;
  std::unique_ptr<State> State_;
};

// Loads the settings and all charts; throws Error when any is at fault.
void checkAgentSettings(const std::string &File);

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_AGENTPROCESS_H
