// The agent beside one engine, on a platform whose store names the wanted
// versions. It brings the pieces of a version to the engine and orders the
// load.
//
//   StoreAgent Agent(StoreAgentSettings::load(File));
//   printReady(Agent.readyLine());
//   Stop.wait();
//
// Requests do not pass through the agent: entries connect to engines directly,
// so the VM's narrow link is left for weights.
//
// One thread does the work; a second one writes the log.

#ifndef HAWTHORNROAD_AGENT_STOREAGENT_H
#define HAWTHORNROAD_AGENT_STOREAGENT_H

#include "hawthornroad/config/Settings.h"

#include <boost/json/object.hpp>
#include <memory>

namespace hawthornroad {

class StoreAgent {
public:
  explicit StoreAgent(StoreAgentSettings Settings);
  ~StoreAgent();
  StoreAgent(const StoreAgent &) = delete;
  StoreAgent &operator=(const StoreAgent &) = delete;

  boost::json::object readyLine() const;
  void reload(const std::string &File);
  // Logs that a stop was requested again; thread-safe.
  void noteRepeatedStop();

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_AGENT_STOREAGENT_H
