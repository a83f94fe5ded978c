// The common part of all daemons: command line, signals, exit codes and the
// ready line.
//
//   int main(int Argc, char **Argv) {
//     return runDaemon(Argc, Argv,
//                      {.Name_ = "hawthornroad-entry",
//                       .Purpose_ = "takes callers' requests",
//                       .Check_ = [](const std::string &File) {...},
//                       .Run_ = [](const std::string &File, StopSignal &Stop) {
//                         EntryProcess Process(EntrySettings::load(File));
//                         printReady(Process.readyLine());
//                         Stop.wait();
//                         Process.drain();
//                       }});
//   }
//
// SIGTERM, SIGINT and SIGHUP are blocked in every thread and received by a
// dedicated one, so no signal handler interrupts other code. The first SIGTERM
// or SIGINT makes Stop.wait() return; a further one ends the process at once,
// or runs StopRepeated_ if there is one. SIGHUP runs Reload_.

#ifndef HAWTHORNROAD_RUNTIME_DAEMON_H
#define HAWTHORNROAD_RUNTIME_DAEMON_H

#include <boost/json/object.hpp>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>

namespace hawthornroad {

// A planned stop exits with Ok, a second stop signal with Killed (128 +
// SIGTERM).
enum ExitCode { ExitOk = 0, ExitFailure = 1, ExitUsage = 2, ExitKilled = 143 };

// Tells the main thread to stop the process.
class StopSignal {
public:
  // Blocks until a stop is requested.
  void wait();
  // Thread-safe. Returns true for the first request.
  bool request();

private:
  std::mutex Mutex_;
  std::condition_variable Changed_;
  bool Requested_ = false;
};

struct DaemonProgram {
  std::string Name_;
  // One line for --help.
  std::string Purpose_;
  // Loads settings and charts; throws Error when one is invalid.
  std::function<void(const std::string &File)> Check_;
  // Runs on the signal thread at SIGHUP, when the settings file may have
  // changed. When empty, SIGHUP is ignored.
  std::function<void(const std::string &File)> Reload_;
  // Runs on the signal thread at each SIGTERM or SIGINT after the first, and
  // the planned stop goes on: for a platform that ends a process by SIGKILL.
  // When empty, a second signal ends the process at once.
  std::function<void()> StopRepeated_;
  // Runs the process until Stop is requested and the planned stop is complete.
  std::function<void(const std::string &File, StopSignal &Stop)> Run_;
};

// Handles --help, --version, --settings FILE and --check. Check_ always runs
// before Run_, so that an invalid setting never leaves a daemon half started.
// Returns an ExitCode; errors go to standard error.
int runDaemon(int Argc, char **Argv, const DaemonProgram &Program);

// Prints one line of JSON on standard output and flushes it.
void printReady(const boost::json::object &Line);

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_DAEMON_H
