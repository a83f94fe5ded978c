// The entry process on a platform with a store.

#include "tests/integration/EndlessServer.h"
#include "tests/integration/PlatformFixture.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <thread>

namespace json = boost::json;
using namespace hawthornroad;

namespace {
std::string headerOf(const HttpRequest &R, const std::string &Name) {
  return findHeader(R.Headers_, Name).value_or("");
}
} // namespace

TEST_CASE_METHOD(PlatformFixture,
                 "store entry, without a configuration, is not ready and "
                 "refuses requests as not run",
                 "[store-entry]") {
  startEntry();
  REQUIRE_FALSE(isReady());
  HttpResponse R = call("/safe/1");
  REQUIRE(R.Status_ == 503);
  REQUIRE(findHeader(R.Headers_, "Retry-After"));
  configure();
  eventually([&] { return isReady(); }, "the entry is ready");
  REQUIRE(call("/safe/1").Status_ == 200);
}

TEST_CASE_METHOD(PlatformFixture,
                 "store entry, given a request, forwards it with the "
                 "customer's name and without the key",
                 "[store-entry]") {
  configure();
  startEntry();
  eventually([&] { return isReady(); }, "the entry is ready");
  HttpResponse R = call("/once/x?y=1", "key2", "abc");
  REQUIRE(R.Status_ == 200);
  REQUIRE(findHeader(R.Headers_, "X-Hawthornroad-Server-Stamp"));
  REQUIRE(A_.runs("abc") + B_.runs("abc") == 1);
  HttpRequest Got = A_.runs("abc") == 1 ? A_.last() : B_.last();
  REQUIRE(Got.Target_ == "/once/x?y=1");
  REQUIRE(headerOf(Got, "X-Hawthornroad-Tenant") == "zet");
  REQUIRE(headerOf(Got, "Authorization").empty());
  REQUIRE(std::stoi(headerOf(Got, "X-Hawthornroad-Deadline-Ms")) <= 4000);
  REQUIRE(call("/once/x", "nokey").Status_ == 401);
  REQUIRE(call("/none/x").Status_ == 404);
}

TEST_CASE_METHOD(PlatformFixture,
                 "store entry, when the configuration changes, applies it at "
                 "once, also after the store has dropped its history",
                 "[store-entry]") {
  configure();
  startEntry();
  eventually([&] { return isReady(); }, "the entry is ready");
  HasSafeRoute_ = false;
  configure();
  eventually([&] { return call("/safe/1").Status_ == 404; },
             "the route is gone", Milliseconds(1500));
  Keys_ = {"key2"};
  configure();
  eventually([&] { return call("/once/1", "key1").Status_ == 401; },
             "the key is refused", Milliseconds(1500));
  Store_.dropHistory();
  HasSafeRoute_ = true;
  configure();
  eventually([&] { return call("/safe/1", "key2").Status_ == 200; },
             "the route is back", Milliseconds(2500));
}

// Guards against keys that are valid again once no customer is left, in an
// entry that has seen them and in one that has not.
TEST_CASE_METHOD(PlatformFixture,
                 "store entry, when the last customer is removed, runs nothing "
                 "with its keys, also after a restart",
                 "[store-entry]") {
  configure();
  startEntry();
  eventually([&] { return isReady(); }, "the entry is ready");
  REQUIRE(call("/once/1", "key1").Status_ == 200);
  HasCustomer_ = false;
  configure();
  eventually([&] { return call("/once/1", "key1").Status_ == 401; },
             "the key is refused", Milliseconds(1500));
  startEntry();
  eventually([&] { return isReady(); }, "the new entry is ready");
  int Runs = A_.runs() + B_.runs();
  for (const char *Key : {"key1", "key2", ""})
    REQUIRE(call("/once/1", Key).Status_ == 401);
  REQUIRE(A_.runs() + B_.runs() == Runs);
}

// While the store does not answer, a key may be revoked without this entry
// learning of it. After the bound no request with a key may run; the entry
// reports not ready to the balancer before that.
TEST_CASE_METHOD(PlatformFixture,
                 "store entry, when the store goes silent, accepts no keys "
                 "after the bound and serves again when it is back",
                 "[store-entry]") {
  configure();
  startEntry();
  eventually([&] { return isReady(); }, "the entry is ready");
  REQUIRE(call("/safe/1").Status_ == 200);
  Store_.setMode(StoreStandIn::Mode::Silent);
  auto Since = std::chrono::steady_clock::now();
  eventually([&] { return call("/safe/1").Status_ == 503; }, "keys are refused",
             Milliseconds(4500));
  // A proof from just before the outage is valid for at most the bound.
  REQUIRE(std::chrono::steady_clock::now() - Since <= Milliseconds(4500));
  REQUIRE_FALSE(isReady());
  int Runs = A_.runs() + B_.runs();
  REQUIRE(call("/once/1").Status_ == 503);
  REQUIRE(A_.runs() + B_.runs() == Runs);
  Store_.setMode(StoreStandIn::Mode::Normal);
  eventually([&] { return isReady(); }, "the entry is ready again");
  REQUIRE(call("/safe/1").Status_ == 200);
}

// Guards against an entry that refuses requests while the store holds its call
// because nothing changes: new proofs arrive only when such a call ends.
TEST_CASE_METHOD(PlatformFixture,
                 "store entry, alone in its zone and with no changes, refuses "
                 "no request",
                 "[store-entry]") {
  configure();
  startEntry(Seconds(5));
  eventually([&] { return isReady(); }, "the entry is ready");
  auto Begun = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() - Begun < Milliseconds(5000)) {
    REQUIRE(call("/safe/1").Status_ == 200);
    REQUIRE(call("/none/1").Status_ == 404);
    std::this_thread::sleep_for(Milliseconds(50));
  }
}

// Guards against denials based on a configuration that became outdated during
// an outage: a route that was declared meanwhile must not be denied, nor one
// that the entry cannot know of.
TEST_CASE_METHOD(PlatformFixture,
                 "store entry, when the store is back from an outage, denies "
                 "nothing until it has the configuration in force",
                 "[store-entry]") {
  HasSafeRoute_ = false;
  configure();
  startEntry();
  eventually([&] { return isReady(); }, "the entry is ready");
  REQUIRE(call("/safe/1").Status_ == 404);
  Store_.setMode(StoreStandIn::Mode::Silent);
  std::this_thread::sleep_for(Milliseconds(2500));
  HasSafeRoute_ = true;
  configure();
  REQUIRE(call("/safe/1").Status_ == 503);
  Store_.setMode(StoreStandIn::Mode::Normal);
  eventually(
      [&] {
        unsigned Status = call("/safe/1").Status_;
        REQUIRE(Status != 404);
        return Status == 200;
      },
      "the route is served", Milliseconds(2500));
}

// The endpoint runs a request and its answer is lost. A request that may run
// only once is answered as of unknown outcome and never sent again; others are
// sent to another endpoint.
TEST_CASE_METHOD(PlatformFixture,
                 "store entry, when answers are lost, runs a request that may "
                 "run once at most once",
                 "[store-entry]") {
  RepeatRatio_ = RatioForFirstRequest;
  configure();
  startEntry();
  eventually([&] { return isReady(); }, "the entry is ready");
  A_.setMode(EndpointStandIn::Mode::LoseAnswer);
  B_.setMode(EndpointStandIn::Mode::LoseAnswer);
  for (int I = 0; I < 5; ++I) {
    std::string Id = "once-" + std::to_string(I);
    REQUIRE(call("/once/1", "key1", Id).Status_ == 502);
    REQUIRE(A_.runs(Id) + B_.runs(Id) == 1);
  }
  B_.setMode(EndpointStandIn::Mode::Normal);
  for (int I = 0; I < 5; ++I) {
    std::string Id = "safe-" + std::to_string(I);
    REQUIRE(call("/safe/1", "key1", Id).Status_ == 200);
    REQUIRE(A_.runs(Id) + B_.runs(Id) <= 2);
  }
}

TEST_CASE_METHOD(PlatformFixture,
                 "store entry, when all endpoints refuse, answers not run with "
                 "a Retry-After time",
                 "[store-entry]") {
  configure();
  startEntry();
  eventually([&] { return isReady(); }, "the entry is ready");
  A_.setMode(EndpointStandIn::Mode::NotRun);
  B_.setMode(EndpointStandIn::Mode::NotRun);
  HttpResponse R = call("/once/1", "key1", "x");
  REQUIRE(R.Status_ == 503);
  REQUIRE(std::stod(findHeader(R.Headers_, "Retry-After").value_or("0")) > 0);
  REQUIRE(A_.runs("x") + B_.runs("x") == 0);
}

TEST_CASE_METHOD(PlatformFixture,
                 "store entry, when a stream breaks off within an event, "
                 "resumes it elsewhere with no event lost or duplicated",
                 "[store-entry]") {
  RepeatRatio_ = RatioForFirstRequest;
  configure();
  startEntry();
  eventually([&] { return isReady(); }, "the entry is ready");
  A_.setMode(EndpointStandIn::Mode::BreakStream);
  std::vector<std::string> Expected;
  for (int I = 1; I <= Events; ++I)
    Expected.push_back("e" + std::to_string(I));
  // Repeats until a stream has started at the endpoint that breaks streams.
  for (int I = 0; I < 20 && A_.runs() == 0; ++I) {
    StreamResult R = fetchStream(
        callers(), request("/stream/1", "key1", "s" + std::to_string(I)));
    REQUIRE(R.Whole_);
    REQUIRE(R.Events_ == Expected);
  }
  REQUIRE(A_.runs() >= 1);
}

TEST_CASE_METHOD(PlatformFixture,
                 "store entry, when an endpoint drains or is removed, sends "
                 "it no more requests",
                 "[store-entry]") {
  configure();
  startEntry();
  eventually([&] { return isReady(); }, "the entry is ready");
  Store_.put("servers", A_.id(), A_.row(true));
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  int Before = A_.runs();
  for (int I = 0; I < 10; ++I) {
    HttpResponse R = call("/safe/1");
    CAPTURE(R.Body_);
    REQUIRE(R.Status_ == 200);
  }
  REQUIRE(A_.runs() == Before);
  Store_.remove("servers", B_.id());
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  int BeforeB = B_.runs();
  REQUIRE(call("/safe/1").Status_ == 503);
  REQUIRE(B_.runs() == BeforeB);
}

// Planned stop during a request: the caller gets the whole answer, the balancer
// sees not ready at once, and the process exits.
TEST_CASE_METHOD(PlatformFixture,
                 "store entry, at a planned stop, finishes its requests and "
                 "exits",
                 "[store-entry]") {
  configure();
  Process &Entry = startEntry();
  eventually([&] { return isReady(); }, "the entry is ready");
  A_.setDelay(Milliseconds(1500));
  B_.setDelay(Milliseconds(1500));
  StreamCall Call(callers(), request("/stream/1", "key1", "s"));
  eventually([&] { return A_.runs() + B_.runs() == 1; }, "it runs");
  Entry.terminate();
  eventually([&] { return !isReady(); }, "the balancer is told",
             Milliseconds(500));
  StreamResult R = Call.wait();
  REQUIRE(R.Whole_);
  REQUIRE(R.Events_.size() == Events);
  REQUIRE(Entry.waitExit() == 0);
}

TEST_CASE_METHOD(PlatformFixture,
                 "store entry, given SIGHUP for a changed settings file, keeps "
                 "serving",
                 "[store-entry]") {
  configure();
  Process &Entry = startEntry();
  eventually([&] { return isReady(); }, "the entry is ready");
  for (int I = 0; I < 3; ++I) {
    ::kill(Entry.pid(), SIGHUP);
    REQUIRE(call("/safe/1").Status_ == 200);
  }
  REQUIRE(Entry.running());
}

// When nobody reads the process's standard output, the pipe fills up. Requests
// must not be delayed.
TEST_CASE_METHOD(
    PlatformFixture,
    "store entry, when nobody reads its log, answers without delay",
    "[store-entry]") {
  configure();
  startEntry();
  eventually([&] { return isReady(); }, "the entry is ready");
  // A request logs about 600 bytes; a pipe holds 64 KiB.
  auto Longest = Duration::zero();
  for (int I = 0; I < 600; ++I) {
    auto At = std::chrono::steady_clock::now();
    REQUIRE(call("/safe/1").Status_ == 200);
    Longest =
        std::max<Duration>(Longest, std::chrono::steady_clock::now() - At);
  }
  REQUIRE(Longest < Seconds(2));
  auto M = metrics();
  REQUIRE(M.at("hawthornroad_requests_total{status=\"200\",cause=\"none\"}") >=
          600);
}

TEST_CASE_METHOD(PlatformFixture,
                 "store entry, asked for metrics, returns counters and "
                 "histograms that add up",
                 "[store-entry]") {
  configure();
  startEntry();
  eventually([&] { return isReady(); }, "the entry is ready");
  for (int I = 0; I < 7; ++I)
    REQUIRE(call("/safe/1").Status_ == 200);
  REQUIRE(call("/safe/1", "nokey").Status_ == 401);
  auto M = metrics();
  REQUIRE(M.at("hawthornroad_requests_total{status=\"200\",cause=\"none\"}") ==
          7);
  REQUIRE(M.at("hawthornroad_requests_total{status=\"401\",cause=\"unknown_"
               "key\"}") == 1);
  REQUIRE(M.at("hawthornroad_attempts_total{end=\"ended\"}") == 7);
  REQUIRE(M.at("hawthornroad_first_byte_seconds_count{route=\"r-safe\","
               "customer=\"zet\"}") == 7);
  REQUIRE(M.at("hawthornroad_store_calls_total") >= 2);
  REQUIRE(M.at("hawthornroad_config_version") == 1);
}

// Guards against health checks that read an answer for as long as it is sent:
// it fills the entry's link.
TEST_CASE_METHOD(PlatformFixture,
                 "store entry, beside an endpoint whose health answers have no "
                 "end, reads a small part of each",
                 "[store-entry]") {
  // What the kernels of both sides buffer, and much less than a link's limit.
  constexpr std::size_t MostBytes = 8 * 1024 * 1024;
  constexpr std::size_t Checks = 3;
  auto Head = GENERATE(as<std::string>(), "HTTP/1.1 200 OK\r\n\r\n",
                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  EndlessServer Endless(Head);
  Store_.put("servers", "i-endless",
             json::serialize(json::object{{"service", "api"},
                                          {"address", Endless.address()},
                                          {"zone", "z"},
                                          {"state", "ready"},
                                          {"slots", 16}}));
  Store_.remove("servers", A_.id());
  Store_.remove("servers", B_.id());
  ColdPerSecond_ = 50;
  configure();
  startEntry();
  eventually([&] { return isReady(); }, "the entry is ready");
  eventually(
      [&] {
        call("/safe/1");
        return Endless.bytesSent("GET /health ").size() >= Checks;
      },
      "the endpoint's health was checked");
  std::vector<std::size_t> Sent = Endless.bytesSent("GET /health ");
  CHECK(*std::max_element(Sent.begin(), Sent.end()) < MostBytes);
}
