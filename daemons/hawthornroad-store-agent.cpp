// The agent of one engine, on a platform whose store names the weight versions.

#include "hawthornroad/agent/StoreAgent.h"
#include "hawthornroad/runtime/Daemon.h"
#include "hawthornroad/runtime/SignalTarget.h"

using namespace hawthornroad;

namespace {
SignalTarget<StoreAgent> Running;

void run(const std::string &File, StopSignal &Stop) {
  StoreAgent Agent(StoreAgentSettings::load(File));
  SignalTarget<StoreAgent>::Scope Published(Running, Agent);
  printReady(Agent.readyLine());
  Stop.wait();
}

void reload(const std::string &File) {
  Running.use([&](StoreAgent &Agent) { Agent.reload(File); });
}

void noteRepeatedStop() {
  Running.use([](StoreAgent &Agent) { Agent.noteRepeatedStop(); });
}
} // namespace

int main(int Argc, char **Argv) {
  return runDaemon(
      Argc, Argv,
      {.Name_ = "hawthornroad-store-agent",
       .Purpose_ = "brings wanted weights to the engine of one VM",
       .Check_ =
           [](const std::string &File) { StoreAgentSettings::load(File); },
       .Reload_ = reload,
       .StopRepeated_ = noteRepeatedStop,
       .Run_ = run});
}
