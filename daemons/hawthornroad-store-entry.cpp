// The entry on a platform whose store holds configuration and endpoints.

#include "hawthornroad/entry/DirectEntry.h"
#include "hawthornroad/runtime/Daemon.h"
#include "hawthornroad/runtime/SignalTarget.h"

using namespace hawthornroad;

namespace {
SignalTarget<DirectEntry> Running;

void run(const std::string &File, StopSignal &Stop) {
  DirectEntry Entry(StoreEntrySettings::load(File));
  SignalTarget<DirectEntry>::Scope Published(Running, Entry);
  printReady(Entry.readyLine());
  Stop.wait();
  Entry.drain();
}

void reload(const std::string &File) {
  Running.use([&](DirectEntry &Entry) { Entry.reload(File); });
}

void noteRepeatedStop() {
  Running.use([](DirectEntry &Entry) { Entry.noteRepeatedStop(); });
}
} // namespace

int main(int Argc, char **Argv) {
  return runDaemon(
      Argc, Argv,
      {.Name_ = "hawthornroad-store-entry",
       .Purpose_ = "takes callers' requests to endpoints named by the store",
       .Check_ =
           [](const std::string &File) { StoreEntrySettings::load(File); },
       .Reload_ = reload,
       .StopRepeated_ = noteRepeatedStop,
       .Run_ = run});
}
