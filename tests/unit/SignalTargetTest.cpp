// Access of the signal thread to the object of a daemon.

#include "hawthornroad/runtime/SignalTarget.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <optional>
#include <thread>

using namespace hawthornroad;

// Guards against a reload at an object that is being destroyed, when a daemon
// ends while it is told to read its settings again.
TEST_CASE("signal target, whose scope ends during a use, waits for the use",
          "[runtime]") {
  SignalTarget<int> Target;
  int Object = 1;
  std::optional<SignalTarget<int>::Scope> Published;
  Published.emplace(Target, Object);
  std::promise<void> Begun;
  std::atomic<bool> HasEnded{false};
  std::thread User([&] {
    Target.use([&](int &) {
      Begun.set_value();
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      HasEnded = true;
    });
  });
  Begun.get_future().wait();
  Published.reset();
  bool EndedBefore = HasEnded;
  User.join();
  REQUIRE(EndedBefore);
}

TEST_CASE("signal target, without an object, runs no use", "[runtime]") {
  SignalTarget<int> Target;
  int Object = 1;
  int Uses = 0;
  Target.use([&](int &) { ++Uses; });
  {
    SignalTarget<int>::Scope Published(Target, Object);
    Target.use([&](int &Each) { Uses += Each; });
  }
  Target.use([&](int &) { ++Uses; });
  REQUIRE(Uses == 1);
}
