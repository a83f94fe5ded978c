// The agent of one engine, on a platform whose store names the weight versions.

#include "hawthornroad/agent/StoreAgent.h"
#include "hawthornroad/runtime/Daemon.h"

#include <atomic>

using namespace hawthornroad;

namespace {
std::atomic<StoreAgent *> Running{nullptr};

void run(const std::string &File, StopSignal &Stop) {
  StoreAgent Agent(StoreAgentSettings::load(File));
  Running.store(&Agent);
  printReady(Agent.readyLine());
  Stop.wait();
  Running.store(nullptr);
}

void reload(const std::string &File) {
  if (StoreAgent *Agent = Running.load())
    Agent->reload(File);
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
       .Run_ = run});
}
