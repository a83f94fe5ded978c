// The agent of one VM: runs requests on its engine or service, transfers its
// weights, and sends version orders to its engine.

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

// Waits for the stop signal with a time limit.
class StopWaiter {
public:
  explicit StopWaiter(StopSignal &Stop)
      : Stop_(Stop),
        Requested_(std::async(std::launch::async, [&Stop] { Stop.wait(); })) {}
  // Releases the waiting thread when the process ends without a signal.
  ~StopWaiter() { Stop_.request(); }

  template <class DurationT> bool requestedWithin(DurationT Limit) {
    return Requested_.wait_for(Limit) == std::future_status::ready;
  }
  void wait() { Requested_.wait(); }

private:
  StopSignal &Stop_;
  std::future<void> Requested_;
};

// Waits until the previous agent releases the lock; throws VmLockTaken when the
// stop signal arrives first.
void acquire(VmLock &Lock, StopWaiter &Stop) {
  bool IsLogged = false;
  while (!Lock.tryAcquire()) {
    if (!IsLogged)
      log(LogLevel::Warning, Step::Listen,
          "another agent acts for this VM; waiting for its lock",
          {{"peer", Lock.address()}});
    IsLogged = true;
    if (Stop.requestedWithin(LockRetry))
      throw VmLockTaken(Step::Listen, Lock.address(),
                        "another agent acts for this VM");
  }
}

void run(const std::string &File, StopSignal &Signal) {
  AgentSettings Settings = AgentSettings::load(File);
  logInit({Settings.Common_.Process_.str(),
           parseLogLevel(Settings.Common_.LogLevel_)});
  VmLock Lock(Settings.LockListen_);
  StopWaiter Stop(Signal);
  acquire(Lock, Stop);
  AgentProcess Agent(Settings);
  printReady(Agent.readyLine());
  std::thread Stopper([&] {
    Stop.wait();
    Agent.stop();
  });
  Agent.waitUntilLeft();
  // After POST /drain no signal has arrived; release the stopper thread.
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
