// Stand-in for an endpoint or an engine whose answers take as long as real
// ones, and which records each request's runs.
//
//   SoakEndpoint E({.Id_ = "i-1", .Service_ = "api"}, Record);
//   Store.put("servers", E.id(), E.row());
//   E.setMode(SoakEndpoint::Mode::BreakStream);
//
// A plain answer takes up to 1.5 s, a stream a few seconds, with rare pauses of
// 0.5 to 2 s between events. Requests for ShortTarget take some milliseconds.
// With a model it is an engine that its agent stages and loads weights at.
//
// It is cold for SoakConfig::ColdFor after its start, and when it is made cold
// again. All its answers state for how long; its row follows up to MaxRowDelay
// later. They also state its load, with a drawn figure for its speed. It
// rejects health checks as it rejects requests, and some others; such an answer
// states nothing but its id.
//
// An engine that crashes at SoakCrashes::CrashingPart breaks off all that it
// runs, refuses connections for DownFor, and starts again under its id.

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKENDPOINT_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKENDPOINT_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/runtime/Http.h"
#include "tests/soak/SoakRecord.h"
#include "tests/soak/SoakWeights.h"

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>

namespace hawthornroad {

class SoakEndpoint {
public:
  // LoseLate: it works on a request before it breaks off the connection.
  // RejectPart: it has no room for two of five requests, whatever its load.
  enum class Mode {
    Normal,
    NotRun,
    RejectPart,
    LoseAnswer,
    LoseLate,
    BreakStream
  };
  // When an engine crashes that has begun to answer a request with the crashing
  // part: before or after the head of its answer has left it.
  enum class Crashes { Never, BeforeHead, AfterHead };
  struct Options {
    std::string Id_;
    std::string Service_;
    std::string Zone_;
    std::string Ip_ = "127.0.0.1";
    std::uint64_t Seed_ = 1;
    // Empty for an endpoint that is no engine.
    std::string Model_;
  };
  static constexpr int Events = 24;
  static constexpr unsigned Slots = 16;
  // The last part of the path of requests that take some milliseconds.
  static constexpr auto ShortTarget = "short";
  // Longer than an endpoint may be cold before all entries have to know.
  static constexpr Duration ColdAgainFor = Seconds(6);
  static constexpr Duration MaxRowDelay = Seconds(2);
  // How long an engine that has crashed refuses connections.
  static constexpr Duration DownFor = Milliseconds(2500);

  SoakEndpoint(Options O, SoakRecord &Record);
  ~SoakEndpoint();
  SoakEndpoint(const SoakEndpoint &) = delete;
  SoakEndpoint &operator=(const SoakEndpoint &) = delete;

  const std::string &id() const { return Options_.Id_; }
  const std::string &service() const { return Options_.Service_; }
  const std::string &address() const { return Address_; }
  const std::string &ip() const { return Options_.Ip_; }
  // Its entry in the store's list.
  std::string row() const;
  // Whether row() has changed since the last call.
  bool hasNewRow() { return IsRowNew_.exchange(false); }
  // Lists it under another address, that of a proxy in front of it.
  void setListedAt(const std::string &Address) { ListedAt_ = Address; }
  void setDraining();
  void becomeCold(Duration For);
  // An engine restarts after one of its staged pieces has turned bad.
  void restartSpoilt();
  void setMode(Mode M) { Mode_ = M; }
  Mode mode() const { return Mode_; }
  void setCrashing(Crashes C) { Crashes_ = C; }
  // While set, most streams pause for long, though nothing is wrong.
  void setPausing(bool Pausing) { IsPausing_ = Pausing; }
  // While held it reads nothing, as a frozen machine does; what arrives
  // meanwhile is read at the end.
  void setHeld(bool IsHeld);
  // Health checks that it has rejected.
  unsigned rejectedChecks() const { return RejectedChecks_; }
  // Requests at work.
  unsigned running() const;
  // 0: none.
  int loadedVersion() const;
  // Whether each load had all pieces of its version.
  bool wasAlwaysWhole() const;

  // The body of a whole stream.
  static std::string wholeStream();

private:
  struct Run {
    std::string Request_;
    std::size_t Number_ = 0;
    HttpHeaders Headers_;
    std::shared_ptr<HttpExchange> Exchange_;
    bool HasEnded_ = false;
    // The next event, and the one at which BreakStream ends the stream.
    int NextEvent_ = 1;
    int BreakAt_ = 0;
    Duration EventPause_{};
    bool IsShort_ = false;
  };
  using RunPtr = std::shared_ptr<Run>;

  void handle(const HttpRequest &R, const std::shared_ptr<HttpExchange> &X);
  // Whether it was answered as a control call or as rejected.
  bool isControl(const HttpRequest &R, const std::shared_ptr<HttpExchange> &X);
  bool hasNoRoom();
  unsigned rejection(const HttpRequest &R);
  void answerHealth(const std::shared_ptr<HttpExchange> &X);
  SoakRun newRun(const HttpRequest &R) const;
  // For how long it is cold; zero when it is not.
  Duration coldLeft() const;
  // What all its answers state.
  HttpHeaders statements();
  HttpHeaders headersOf(const Run &R);
  void begin(const HttpRequest &R, const std::shared_ptr<HttpExchange> &X);
  void sendEvents(const RunPtr &R);
  // Runs a request with the crashing part.
  void beginCrash(const RunPtr &R);
  void crash();
  void listen(std::uint16_t Port);
  // Breaks off everything at work.
  void truncate();
  void end(const RunPtr &R, SoakRun::End How);
  void report(const std::shared_ptr<HttpExchange> &X) const;
  void order(const HttpRequest &R, const std::shared_ptr<HttpExchange> &X);
  Duration between(int FromMs, int ToMs);

  Options Options_;
  SoakRecord &Record_;
  IoThread Io_{"endpoint", 1024};
  mutable std::mutex Mutex_;
  Random Random_;
  std::vector<RunPtr> AtWork_;
  SoakWeights Weights_;
  bool IsLoading_ = false;
  // Restarts; a load that was under way ends with one.
  unsigned Restarts_ = 0;
  // Unix milliseconds of its last start; 0 until it has crashed.
  std::int64_t Born_ = 0;
  bool IsDraining_ = false;
  TimePoint ColdUntil_;
  std::atomic<bool> IsRowNew_{true};
  std::atomic<bool> IsPausing_{false};
  std::atomic<unsigned> RejectedChecks_{0};
  std::atomic<Mode> Mode_{Mode::Normal};
  std::atomic<Crashes> Crashes_{Crashes::Never};
  std::mutex HoldMutex_;
  std::condition_variable Released_;
  bool IsHeld_ = false;
  std::unique_ptr<HttpServer> Server_;
  std::string Address_;
  std::string ListedAt_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKENDPOINT_H
