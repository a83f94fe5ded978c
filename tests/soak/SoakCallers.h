// The callers of a soak: threads that send requests until they are stopped, and
// more threads that send short ones during surges, and long uploads to a server
// that does not read them.
//
//   SoakCallers C({.Seed_ = 1, .Callers_ = 30}, Layout, Checks);
//   C.setKeys("rotating-1", "rotating-2");
//   C.start(); C.setSurging(true); ... C.stop();
//
// A surge alone exceeds the arrivals that a cold endpoint may receive in a
// second, several times over: without it, nothing would have to limit them.

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKCALLERS_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKCALLERS_H

#include "hawthornroad/base/Random.h"
#include "tests/soak/SoakCaller.h"
#include "tests/soak/SoakChecks.h"
#include "tests/soak/SoakLayout.h"

#include <atomic>
#include <thread>

namespace hawthornroad {

class SoakCallers {
public:
  // How long callers wait.
  static constexpr Duration PlainDeadline = Milliseconds(3000);
  static constexpr Duration StreamDeadline = Milliseconds(9000);
  // A key that is removed only with all customers.
  static constexpr auto SteadyKey = "steady";
  // All that are valid while there are customers, with the rotating one.
  static std::vector<std::string> keys(const std::string &Rotating);

  struct Options {
    std::uint64_t Seed_ = 1;
    std::size_t Callers_ = 1;
    bool HasEngines_ = true;
  };

  SoakCallers(Options O, SoakLayout &Layout, SoakChecks &Checks);
  ~SoakCallers();
  SoakCallers(const SoakCallers &) = delete;
  SoakCallers &operator=(const SoakCallers &) = delete;

  void start();
  void stop();
  // The key that was removed last, and the one that will be removed next.
  void setKeys(const std::string &Removed, const std::string &Next);
  // The number of the route that was added last; 0: none.
  void setNewestRoute(std::uint64_t Route);
  void setSurging(bool Surging) { IsSurging_ = Surging; }

private:
  void callerLoop(std::size_t Number);
  void surgeLoop(std::size_t Number);
  void uploadLoop(std::size_t Number);
  // Returns the answer's status; 0 without an answer.
  unsigned send(SoakCaller &Caller, Random &R, SoakRequest Q,
                const std::string &Target);
  SoakRequest makeRequest(Random &R, const std::string &Id,
                          std::string &Target);
  SoakRequest makeShortRequest(Random &R, bool IsForEngine,
                               std::string &Target);
  void drawKey(Random &R, SoakRequest &Q);

  Options Options_;
  SoakLayout &Layout_;
  SoakChecks &Checks_;
  mutable std::mutex Mutex_;
  std::string RemovedKey_;
  std::string NextKey_;
  std::uint64_t NewestRoute_ = 0;
  std::atomic<bool> IsSurging_{false};
  std::atomic<bool> Stopping_{false};
  std::vector<std::thread> Threads_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKCALLERS_H
