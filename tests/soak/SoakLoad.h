// Callers that send requests at a fixed rate, whatever becomes of them.
//
//   SoakLoad L({.Seed_ = 1, .PerSecond_ = 400}, Layout, Checks);
//   L.start(); ... L.stop();
//
// Half of the requests go to engines, if there are any. Each is sent once, to
// an entry drawn for it, on a kept connection if one is free there. A caller
// leaves when its deadline has passed. While it is held, what callers send
// reaches no entry, as behind a path that is cut; it arrives when the hold
// ends, unless its caller has left. While it is narrowed, requests arrive at
// NarrowedShare of its rate, one after the other. Impatient callers leave after
// ImpatientDeadline and come again at once, as they do when they are refused.

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKLOAD_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKLOAD_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/runtime/Io.h"
#include "tests/soak/SoakChecks.h"
#include "tests/soak/SoakLayout.h"

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hawthornroad {

class SoakLoad {
public:
  struct Options {
    std::uint64_t Seed_ = 1;
    double PerSecond_ = 400;
    bool HasEngines_ = true;
    // Requests a second with the crashing part, while it is sent. The prompts
    // of all requests to engines then have parts.
    double CrashingPerSecond_ = 0;
  };
  // How long callers wait.
  static constexpr Duration PlainDeadline = Milliseconds(8000);
  static constexpr Duration StreamDeadline = Milliseconds(8000);
  static constexpr Duration ImpatientDeadline = Milliseconds(200);
  static constexpr unsigned MaxReturns = 3;
  static constexpr double NarrowedShare = 0.6;

  SoakLoad(Options O, SoakLayout &Layout, SoakChecks &Checks);
  ~SoakLoad();
  SoakLoad(const SoakLoad &) = delete;
  SoakLoad &operator=(const SoakLoad &) = delete;

  void start();
  // Blocks until all requests have ended.
  void stop();
  // Thread-safe.
  void setHeld(bool IsHeld) { IsHeld_ = IsHeld; }
  void setNarrowed(bool IsNarrowed) { IsNarrowed_ = IsNarrowed; }
  void setImpatient(bool IsImpatient) { IsImpatient_ = IsImpatient; }
  void setSendingCrashingPart(bool IsSent) { IsCrashingPartSent_ = IsSent; }

private:
  using Stream = boost::beast::tcp_stream;

  boost::asio::awaitable<void> sendAll();
  // Returns: how often its caller may come again.
  void spawnCall(SoakRequest R, std::string Target, unsigned Returns);
  boost::asio::awaitable<void> call(SoakRequest R, std::string Target,
                                    std::string Address, unsigned Returns);
  // Waits until the path lets R through; false when its caller leaves before.
  boost::asio::awaitable<bool> passPath(SoakRequest R);
  boost::asio::awaitable<std::unique_ptr<Stream>>
  connect(const std::string &Address, const SoakRequest &R, SoakOutcome &O);
  boost::asio::awaitable<bool> exchange(Stream &S, const std::string &Target,
                                        const SoakRequest &R, SoakOutcome &O);
  // Ends with the hold, or when the caller leaves; false then.
  boost::asio::awaitable<bool> awaitPath(TimePoint LeavesAt);
  SoakRequest makeRequest(std::string &Target);
  SoakRequest withNewId(SoakRequest R);

  Options Options_;
  SoakLayout &Layout_;
  SoakChecks &Checks_;
  Random Random_;
  std::uint64_t Next_ = 0;
  std::atomic<bool> Stopping_{false};
  std::atomic<bool> IsHeld_{false};
  std::atomic<bool> IsNarrowed_{false};
  std::atomic<bool> IsImpatient_{false};
  std::atomic<bool> IsCrashingPartSent_{false};
  // When the narrowed path has passed all that was sent so far.
  TimePoint PathFreeAt_;
  std::atomic<int> Open_{0};
  IoThread Io_{"load", 16};
  // Idle connections by address. They belong to Io_.
  std::map<std::string, std::vector<std::unique_ptr<Stream>>> Idle_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKLOAD_H
