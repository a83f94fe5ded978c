// One agent: the only process that calls the engine or service of its VM.
//
//   AgentProcess Agent(AgentSettings::load(File));    // listens, or throws
//   printReady(Agent.readyLine());
//   Agent.stop();                // SIGTERM, POST /drain: leaves when done
//   Agent.waitUntilLeft();
//
// Only connects modules and passes events between them. Decisions are made in
// AgentAttempts (requests), ControlPlane (membership, configuration),
// WeightTransfer (weights) and EngineControl (orders to the engine).
//
// Threads, connected by bounded rings: "peers" carries requests and control
// frames; "weights" carries chunks and files, so that bulk transfers never
// delay a request; "engine" calls the endpoint; "platform" reads the table and
// the membership list; "admin" answers operators. All decisions run on the
// DecisionLoop's thread.

#ifndef HAWTHORNROAD_RUNTIME_AGENTPROCESS_H
#define HAWTHORNROAD_RUNTIME_AGENTPROCESS_H

#include "hawthornroad/config/Settings.h"

#include <boost/json/object.hpp>
#include <memory>

namespace hawthornroad {

class AgentProcess {
public:
  // Opens all listeners and starts joining the fleet. Throws Error.
  explicit AgentProcess(const AgentSettings &S);
  ~AgentProcess();
  AgentProcess(const AgentProcess &) = delete;
  AgentProcess &operator=(const AgentProcess &) = delete;

  // The ready line of docs/STANDINS.md.
  boost::json::object readyLine() const;
  // Begins the planned stop; thread-safe, a second call changes nothing.
  void stop();
  // Blocks until the planned stop is complete.
  void waitUntilLeft();

private:
  struct State;
  std::unique_ptr<State> State_;
};

// Loads the settings and all charts; throws Error when any of them is invalid.
void checkAgentSettings(const std::string &File);

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_AGENTPROCESS_H
