// Stand-ins for a platform with a store, and an entry or agent to test.
//
//   PlatformFixture P;
//   P.Store_.put("servers", "i-1", Api.row());
//   P.configure();
//   Process &Entry = P.startEntry();
//   HttpResponse R = P.call("/safe/1");
//
// The stand-ins use the platform's published messages and inject faults on
// request: the store refuses, does not answer or drops its history; an endpoint
// refuses, loses answers or breaks off streams. Endpoints count runs by
// request, which is how tests check that a request ran at most once.

#ifndef HAWTHORNROAD_TESTS_INTEGRATION_PLATFORMFIXTURE_H
#define HAWTHORNROAD_TESTS_INTEGRATION_PLATFORMFIXTURE_H

#include "hawthornroad/runtime/Io.h"
#include "tests/integration/Fixture.h"

#include <atomic>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <map>
#include <mutex>
#include <optional>

namespace hawthornroad {

// Store with rows in tables, listings and change feeds.
class StoreStandIn {
public:
  enum class Mode { Normal, Refuse, Silent };

  StoreStandIn();
  ~StoreStandIn();

  const std::string &address() const { return Address_; }
  void put(const std::string &Table, const std::string &Key,
           const std::string &Value);
  void remove(const std::string &Table, const std::string &Key);
  void setMode(Mode M) { Mode_ = M; }
  // Feeds no longer report changes made up to now.
  void dropHistory();
  int calls() const { return Calls_; }
  // Number of rows of a table whose writes were acknowledged.
  std::size_t rows(const std::string &Table) const;

private:
  struct Row {
    std::string Table_, Key_, Value_;
    std::uint64_t Version_ = 0;
    bool IsRemoved_ = false;
  };
  struct Held {
    std::string Table_;
    std::uint64_t After_ = 0;
    std::shared_ptr<HttpExchange> Exchange_;
  };
  void handle(const HttpRequest &R, const std::shared_ptr<HttpExchange> &X);
  void list(const HttpRequest &R, const std::shared_ptr<HttpExchange> &X);
  void write(const HttpRequest &R, const std::shared_ptr<HttpExchange> &X);
  void feed(const std::string &Table, std::uint64_t After, int WaitMs,
            const std::shared_ptr<HttpExchange> &X);
  // 0: no such row.
  std::uint64_t versionOf(const std::string &Table,
                          const std::string &Key) const;
  bool answerFeed(const Held &H, bool AtOnce);
  void change(Row R);
  std::string text(const std::vector<Row> &Rows) const;

  IoThread Io_{"store", 256};
  mutable std::mutex Mutex_;
  std::map<std::pair<std::string, std::string>, Row> Rows_;
  std::vector<Held> Held_;
  std::uint64_t Version_ = 1;
  std::uint64_t HistoryFrom_ = 0;
  std::atomic<Mode> Mode_{Mode::Normal};
  std::atomic<int> Calls_{0};
  std::unique_ptr<HttpServer> Server_;
  std::string Address_;
};

// One endpoint of a service that answers plainly or with an event stream.
class EndpointStandIn {
public:
  enum class Mode { Normal, NotRun, LoseAnswer, BreakStream };

  explicit EndpointStandIn(std::string Id, std::string Service);
  ~EndpointStandIn();

  const std::string &id() const { return Id_; }
  const std::string &address() const { return Address_; }
  std::string row(bool Draining = false) const;
  // Lists it under another address, that of a proxy in front of it.
  void setListedAt(const std::string &Address) { ListedAt_ = Address; }
  void setMode(Mode M) { Mode_ = M; }
  // From now on it is an engine with this version of a model, and answers
  // reports.
  void setModel(const std::string &Model, int Version);
  // The rate limit that its answers state; unset: none.
  void setRateLimit(std::optional<double> PerSecond);
  // Turns every request away and asks for this rest, in seconds; unset: none.
  void setRest(std::optional<double> Seconds);
  // From now on its answers say that it leaves.
  void setLeaving();
  // From now on it breaks off the answer to a request with this part in its
  // prompt, as an engine that crashes does.
  void setCrashesOn(const std::string &PromptPart);
  bool hasCrashed() const { return HasCrashed_; }
  // Delay before each answer.
  void setDelay(Duration D) { Delay_ = D; }
  // Pause before each event of a stream but the first.
  void setEventPause(Duration D) { EventPause_ = D; }
  int runs(const std::string &Request) const;
  int runs() const;
  // Requests that it turned away asking for rest.
  int refusals() const;
  // The most recent request that ran.
  HttpRequest last() const;

private:
  void handle(const HttpRequest &R, const std::shared_ptr<HttpExchange> &X);
  void run(const HttpRequest &R, const std::shared_ptr<HttpExchange> &X);
  void stream(const HttpRequest &R, const std::shared_ptr<HttpExchange> &X);
  // Sends the events from Next on; a stream breaks off after BreakAt.
  void sendEvents(const std::shared_ptr<HttpExchange> &X, int Next,
                  int BreakAt);
  boost::json::array models() const;
  bool crashesOn(const HttpRequest &R) const;
  bool refuseForRest(const std::shared_ptr<HttpExchange> &X);
  HttpHeaders headersFor(const HttpRequest &R) const;

  std::string Id_;
  std::string Service_;
  IoThread Io_{"endpoint", 256};
  mutable std::mutex Mutex_;
  std::map<std::string, int> Runs_;
  HttpRequest Last_;
  std::string Model_;
  int ModelVersion_ = 0;
  std::optional<double> RateLimit_;
  std::optional<double> Rest_;
  bool IsLeaving_ = false;
  std::string CrashesOn_;
  std::atomic<bool> HasCrashed_{false};
  int Refusals_ = 0;
  std::atomic<Mode> Mode_{Mode::Normal};
  std::atomic<Duration> Delay_{Duration::zero()};
  std::atomic<Duration> EventPause_{Duration::zero()};
  std::unique_ptr<HttpServer> Server_;
  std::string Address_;
  std::string ListedAt_;
};

class PlatformFixture {
public:
  static constexpr int Events = 6;

  TemporaryFolder Folder_;
  StoreStandIn Store_;
  EndpointStandIn A_{"i-a", "api"};
  EndpointStandIn B_{"i-b", "api"};
  std::uint64_t ConfigVersion_ = 1;
  std::vector<std::string> Keys_ = {"key1", "key2"};
  // Whether the list of customers has its only member.
  bool HasCustomer_ = true;
  bool HasSafeRoute_ = true;
  // The operators' ratio, and one with which an entry that has just started,
  // and repeats by its requests alone, may repeat its first request.
  static constexpr double RatioForFirstRequest = 20;
  double RepeatRatio_ = 0.2;
  // Requests a second that a cold endpoint bears; 0: not limited.
  int ColdPerSecond_ = 0;

  PlatformFixture();

  // Writes the current configuration with the next version.
  void configure();
  Process &startEntry(Duration RevokeBound = Milliseconds(2000),
                      Duration StopBound = Seconds(8));
  // An entry of zone z that serves reads to its peers and reads from them.
  std::unique_ptr<Process> startZoneEntry(const std::string &Name);
  // An entry that connects to the agents on this port.
  std::unique_ptr<Process> startEntryOfAgents(const std::string &Name,
                                              std::uint16_t AgentPort);
  bool isReady();
  static bool isReady(Process &Entry);
  HttpResponse callAt(Process &Entry, const std::string &Target,
                      const std::string &Key = "key1");
  // A request with a new id, unless one is given.
  HttpResponse call(const std::string &Target, const std::string &Key = "key1",
                    const std::string &Id = "");
  HttpRequest request(const std::string &Target, const std::string &Key,
                      const std::string &Id);
  // A stream with these parts in its prompt.
  HttpResponse callWithParts(Process &Entry, const std::string &Parts);
  std::string callers() { return Entry_->readyText("callers"); }
  std::map<std::string, double> metrics();
  static std::map<std::string, double> metricsOf(Process &Entry);

private:
  std::unique_ptr<Process> launch(const std::string &Name,
                                  boost::json::object Settings);

  std::unique_ptr<Process> Entry_;
  int NextId_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_INTEGRATION_PLATFORMFIXTURE_H
