// What all daemons share: the command line, signals, exit codes, the ready
// line.
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
// SIGTERM and SIGINT are blocked in every thread and taken by one of their own,
// so no handler interrupts anything. The first makes Stop.wait() return; a
// second ends the process at once. SIGHUP asks for Reload_.

#ifndef HAWTHORNROAD_RUNTIME_DAEMON_H
#define HAWTHORNROAD_RUNTIME_DAEMON_H

#include <boost/json/object.hpp>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>

namespace hawthornroad {

// A planned stop ends with Ok; a second signal with Killed (128 + SIGTERM).
enum ExitCode { ExitOk = 0, ExitFailure = 1, ExitUsage = 2, ExitKilled = 143 };

// Tells the main thread that the process shall stop.
class StopSignal {
public:
  // Blocks until a stop is asked for.
  void wait();
  // Thread-safe; true when this was the first request.
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
  // Loads settings and charts; throws Error when any is at fault.
  std::function<void(const std::string &File)> Check_;
  // SIGHUP: the settings file may have changed. Runs on the signal thread. When
  // empty the signal is taken and ignored.
  std::function<void(const std::string &File)> Reload_;
  // Runs the process until Stop and its planned stop are through.
  std::function<void(const std::string &File, StopSignal &Stop)> Run_;
};

// --help, --version, --settings FILE, --check. Check_ runs before Run_ always,
// so that a bad setting never starts a daemon half-way. Returns an ExitCode;
// errors go to standard error.
int runDaemon(int Argc, char **Argv, const DaemonProgram &Program);

// One line of JSON on standard output, flushed.
void printReady(const boost::json::object &Line);

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_DAEMON_H
