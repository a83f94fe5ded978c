#include "hawthornroad/runtime/Daemon.h"
#include "hawthornroad/runtime/EntryProcess.h"
#include "hawthornroad/runtime/Log.h"

using namespace hawthornroad;

namespace {
void run(const std::string &File, StopSignal &Stop) {
  EntrySettings Settings = EntrySettings::load(File);
  logInit({.Process_ = Settings.Common_.Process_.str(),
           .MinLevel_ = parseLogLevel(Settings.Common_.LogLevel_)});
  EntryProcess Entry(std::move(Settings));
  printReady(Entry.readyLine());
  Stop.wait();
  log(LogLevel::Info, Step::Listen, "planned stop begins");
  Entry.drain();
  log(LogLevel::Info, Step::Listen, "planned stop is complete");
}
} // namespace

int main(int Argc, char **Argv) {
  return runDaemon(Argc, Argv,
                   {.Name_ = "hawthornroad-entry",
                    .Purpose_ = "takes callers' requests and answers them",
                    .Check_ = EntryProcess::check,
                    .Run_ = run});
}
