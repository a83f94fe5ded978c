// The agent of one VM: runs requests at its engine or service, transfers its
// weights, gives its orders.

#include "hawthornroad/runtime/AgentProcess.h"
#include "hawthornroad/runtime/Daemon.h"
#include "hawthornroad/runtime/Log.h"
#include "hawthornroad/runtime/VmLock.h"

#include <chrono>
#include <future>
#include <thread>

using namespace hawthornroad;

namespace {

constexpr int ExitLockTaken = 3;
constexpr auto LockRetry = std::chrono::milliseconds(200);

// The stop signal as something that can be waited for with a time limit.
class StopWatch {
public:
  explicit StopWatch(StopSignal &Stop)
      : Stop_(Stop),
        Asked_(std::async(std::launch::async, [&Stop] { Stop.wait(); })) {}
  // Releases the waiting thread when the process ends without a signal.
  ~StopWatch() { Stop_.request(); }

  template <class DurationT> bool askedWithin(DurationT Limit) {
    return Asked_.wait_for(Limit) == std::future_status::ready;
  }
  void wait() { Asked_.wait(); }

private:
  StopSignal &Stop_;
  std::future<void> Asked_;
};

// Waits for a predecessor to go; throws VmLockTaken when asked to stop first.
void acquire(VmLock &Lock, StopWatch &Stop) {
  bool Told = false;
  while (!Lock.tryAcquire()) {
    if (!Told)
      log(LogLevel::Warning, Step::Listen,
          "another agent acts for this VM; waiting for its lock",
          {{"peer", Lock.address()}});
    Told = true;
    if (Stop.askedWithin(LockRetry))
      throw VmLockTaken(Step::Listen, Lock.address(),
                        "another agent acts for this VM");
  }
}

void run(const std::string &File, StopSignal &Signal) {
  AgentSettings Settings = AgentSettings::load(File);
  logInit({Settings.Common_.Process_.str(),
           parseLogLevel(Settings.Common_.LogLevel_)});
  VmLock Lock(Settings.LockListen_);
  StopWatch Stop(Signal);
  acquire(Lock, Stop);
  AgentProcess Agent(Settings);
  printReady(Agent.readyLine());
  std::thread Stopper([&] {
    Stop.wait();
    Agent.stop();
  });
  Agent.waitUntilLeft();
  // After POST /drain no signal came; the stopper is released by hand.
  Signal.request();
  Stopper.join();
}

} // namespace

int main(int Argc, char **Argv) {
  bool LockTaken = false;
  int Code = runDaemon(
      Argc, Argv,
      {.Name_ = "hawthornroad-agent",
       .Purpose_ =
           "acts for one VM (exit code 3: another agent holds its lock)",
       .Check_ = checkAgentSettings,
       .Run_ = [&](const std::string &File, StopSignal &Stop) {
         try {
           run(File, Stop);
         } catch (const VmLockTaken &) {
           LockTaken = true;
           throw;
         }
       }});
  return LockTaken ? ExitLockTaken : Code;
}
