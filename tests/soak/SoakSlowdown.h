// Processes that lack processor time: in each period they run for a moment and
// are stopped for the rest, which is shorter than what counts as a pause.
//
//   SoakSlowdown S({Pid1, Pid2});   // until its destruction

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKSLOWDOWN_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKSLOWDOWN_H

#include "hawthornroad/base/Types.h"

#include <csignal>
#include <stop_token>
#include <thread>
#include <utility>
#include <vector>

namespace hawthornroad {

class SoakSlowdown {
public:
  static constexpr Duration RunsFor = std::chrono::microseconds(500);
  static constexpr Duration StopsFor = Milliseconds(94);

  explicit SoakSlowdown(std::vector<pid_t> Processes)
      : Processes_(std::move(Processes)),
        Thread_([this](const std::stop_token &Stop) { run(Stop); }) {}

private:
  void run(const std::stop_token &Stop) {
    while (!Stop.stop_requested()) {
      signal(SIGSTOP);
      std::this_thread::sleep_for(StopsFor);
      signal(SIGCONT);
      std::this_thread::sleep_for(RunsFor);
    }
  }
  void signal(int Number) const {
    for (pid_t Each : Processes_)
      ::kill(Each, Number);
  }

  std::vector<pid_t> Processes_;
  std::jthread Thread_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKSLOWDOWN_H
