// A whole entry between slow or endless peers on loopback: what it holds stays
// bounded, and callers get true answers. The store is a stand-in with one
// configuration and two endpoints.

#include "hawthornroad/entry/DirectEntry.h"
#include "hawthornroad/http/HttpListener.h"
#include "hawthornroad/runtime/Io.h"
#include "platform/StoreWire.h"
#include "tests/unit/RawSocket.h"

#include <atomic>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <poll.h>
#include <thread>
#include <utility>

using namespace hawthornroad;
using namespace std::string_literals;

namespace {
constexpr const char *ConfigText = R"({"version":1,"routes":[
 {"name":"s","host":"h","prefix":"/stream/","kind":"streaming",
  "timeout_ms":60000,"latency_goal_ms":400,"service":"x","max_attempts":2,
  "public":true,"resumable":true,"gap_goal_ms":300},
 {"name":"o","host":"h","prefix":"/once/","kind":"non_idempotent",
  "timeout_ms":60000,"service":"x","max_attempts":1,"public":true}],
 "services":[{"name":"x","health_path":"/health","max_conns":100}],
 "limits":{"max_body_bytes":4000000}})";
constexpr Duration FeedWait = Milliseconds(100);

// Lists the rows of a table, and reports no change of them.
struct StoreStandIn final : SessionHandler {
  IoThread Io_{"store", 64};
  std::shared_ptr<HttpListener> Listener_;
  std::vector<StoreRow> Rows_;
  std::string Address_;

  StoreStandIn() {
    Listener_ =
        std::make_shared<HttpListener>(Io_.context(), SessionLimits{}, *this);
    Address_ = Listener_->open("127.0.0.1:0");
  }
  ~StoreStandIn() override { Io_.stop(); }

  std::string listing(const std::string &Table) const {
    StoreTransaction T;
    for (const StoreRow &Each : Rows_)
      if (Each.Table_ == Table)
        T.Puts_.push_back(Each);
    auto Body =
        boost::json::parse(platform::StoreWire().write(T).Body_).as_object();
    for (auto &Each : Body["puts"].as_array())
      Each.as_object()["ver"] = 1;
    return boost::json::serialize(boost::json::object{
        {"rows", Body["puts"]}, {"has_more", false}, {"ver", 1}});
  }
  void onRequest(const std::shared_ptr<ServerSession> &S,
                 InboundRequest R) override {
    std::size_t At = R.Target_.find("table=") + 6;
    std::string Table = R.Target_.substr(At, R.Target_.find('&') - At);
    if (R.Target_.find("rows-get") != std::string::npos)
      return S->respond(200, {}, listing(Table));
    Io_.after(FeedWait, [S] {
      S->respond(200, {}, R"({"rows":[],"has_more":false,"ver":1})");
    });
  }
  void onCallerDisconnected(ServerSession &) override {}
};

struct EntryFixture {
  std::uint16_t Ports_[2] = {0, 0};
  RawSocket Endpoints_[2] = {RawSocket::listenAt(Ports_[0]),
                             RawSocket::listenAt(Ports_[1])};
  StoreStandIn Store_;
  std::unique_ptr<DirectEntry> Entry_;
  std::uint16_t Callers_ = 0;
  std::uint16_t Metrics_ = 0;

  explicit EntryFixture() {
    Store_.Rows_.push_back({"op", "config", ConfigText, 1, false});
    for (int I = 0; I < 2; ++I)
      Store_.Rows_.push_back(
          {"servers", "i-" + std::to_string(I),
           R"({"service":"x","zone":"z","slots":100,"state":"ready",)"
           R"("address":"127.0.0.1:)" +
               std::to_string(Ports_[I]) + "\"}",
           1, false});
    StoreEntrySettings S;
    S.Common_.Process_ = ProcessName("e");
    S.Common_.Zone_ = AvailabilityZone("z");
    S.Common_.Store_ = Store_.Address_;
    S.Common_.MetricsListen_ = "127.0.0.1:0";
    S.Common_.MemoryMb_ = 160;
    Entry_ = std::make_unique<DirectEntry>(S);
    auto Line = Entry_->readyLine();
    Callers_ = portOf(Line["callers"]);
    Metrics_ = portOf(Line["metrics"]);
    REQUIRE(
        waitFor([&] { return metric("hawthornroad_config_version") == 1; }));
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
  }
  static std::uint16_t portOf(const boost::json::value &V) {
    std::string Text(V.as_string().c_str());
    return static_cast<std::uint16_t>(
        std::stoul(Text.substr(Text.rfind(':') + 1)));
  }
  static bool waitFor(const std::function<bool()> &Is) {
    auto Until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!Is() && std::chrono::steady_clock::now() < Until)
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    return Is();
  }
  double metric(const std::string &Name) const {
    RawSocket S = RawSocket::connectTo(Metrics_);
    S.send("GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    std::string Text = S.readUntil("");
    std::size_t At = Text.find("\n" + Name + " ");
    return At == std::string::npos
               ? 0
               : std::stod(Text.substr(At + 2 + Name.size()));
  }
  RawSocket ask(const std::string &Target) const {
    RawSocket S = RawSocket::connectTo(Callers_);
    S.send("POST " + Target +
           " HTTP/1.1\r\nHost: h\r\nX-Hawthornroad-Request-Id: r1\r\n"
           "Content-Length: 2\r\n\r\nhi");
    return S;
  }
  static bool isWaiting(const RawSocket &Listener) {
    pollfd P{Listener.handle(), POLLIN, 0};
    return ::poll(&P, 1, 0) == 1;
  }
  // The endpoint that was chosen for the request.
  RawSocket acceptAttempt() const {
    REQUIRE(waitFor(
        [&] { return isWaiting(Endpoints_[0]) || isWaiting(Endpoints_[1]); }));
    RawSocket S = Endpoints_[isWaiting(Endpoints_[0]) ? 0 : 1].accept();
    S.readUntil("\r\n\r\nhi");
    return S;
  }
};

// The last bytes of an answer in chunks.
std::string readStream(const RawSocket &S) {
  constexpr std::size_t Kept = 4096;
  std::string Last;
  while (!Last.ends_with("\r\n0\r\n\r\n")) {
    std::string Some(64 * 1024, '\0');
    std::size_t N = S.readSome(Some);
    if (N == 0)
      break;
    Last.append(Some, 0, N);
    if (Last.size() > Kept)
      Last.erase(0, Last.size() - Kept);
  }
  return Last;
}

const std::string Head = "HTTP/1.1 200 OK\r\n"
                         "X-Hawthornroad-Server-Stamp: s\r\n"
                         "X-Hawthornroad-Request-Id: r1\r\n";
} // namespace

// Guards against an entry that buffers a stream for a caller that does not
// read, or that begins another attempt because it does not read the first.
TEST_CASE("entry, with a caller that reads a long stream late, stops reading "
          "from the endpoint and then passes everything on",
          "[entry][slow]") {
  EntryFixture F;
  RawSocket Caller = F.ask("/stream/1");
  RawSocket Endpoint = F.acceptAttempt();
  constexpr int Events = 40'000;
  std::atomic<int> Sent{0};
  std::thread Server([&] {
    std::string Text = Head + "Content-Type: text/event-stream\r\n"
                              "Connection: close\r\n\r\n";
    for (int I = 1; I <= Events && Endpoint.trySend(Text); ++I, ++Sent)
      Text = "id: " + std::to_string(I) + "\ndata: " + std::string(1000, 'x') +
             "\n\n";
    Endpoint.trySend(Text);
    Endpoint.close();
  });
  const std::string Paused =
      "hawthornroad_reading_paused_total{why=\"caller\"}";
  CHECK(F.waitFor([&] { return F.metric(Paused) == 1; }));
  // Longer than the silence after which another attempt is begun.
  // The kernel's buffers are full once nothing more is sent.
  int Before = -1;
  REQUIRE(F.waitFor([&] {
    int Last = std::exchange(Before, Sent.load());
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    return Last == Before && Sent == Before;
  }));
  std::this_thread::sleep_for(std::chrono::milliseconds(1000));
  CHECK(Sent == Before);
  CHECK(Sent < Events);
  CHECK(F.metric("hawthornroad_held_bytes") < 400'000);
  std::string Got = readStream(Caller);
  Server.join();
  CHECK(Got.find("id: " + std::to_string(Events) + "\n") != std::string::npos);
  CHECK(Got.ends_with("\r\n0\r\n\r\n"));
  CHECK_FALSE(F.isWaiting(F.Endpoints_[0]));
  CHECK_FALSE(F.isWaiting(F.Endpoints_[1]));
}

// Guards against an entry that grows until it is killed. The request may have
// run, so the answer is 502 and no other endpoint is tried.
TEST_CASE("entry, with an endpoint that sends without end, answers 502, closes "
          "the connection and holds little",
          "[entry][slow]") {
  struct Row {
    const char *Name_;
    std::string Start_, Repeated_;
  };
  const std::string Long(1000, 'a');
  for (const Row &R : std::vector<Row>{
           {"head", Head + "X-A: ", Long},
           {"chunked body", Head + "Transfer-Encoding: chunked\r\n\r\n",
            "3e8\r\n" + Long + "\r\n"},
           {"unframed body", Head + "\r\n", Long},
           {"trailers", Head + "Transfer-Encoding: chunked\r\n\r\n0\r\n",
            "X-A: " + Long + "\r\n"},
           {"unsigned body", "HTTP/1.1 200 OK\r\n\r\n", Long},
           {"another request's body",
            "HTTP/1.1 200 OK\r\nX-Hawthornroad-Server-Stamp: s\r\n"
            "X-Hawthornroad-Request-Id: other\r\n\r\n",
            Long}}) {
    CAPTURE(R.Name_);
    EntryFixture F;
    RawSocket Caller = F.ask("/once/1");
    RawSocket Endpoint = F.acceptAttempt();
    constexpr int Most = 100'000;
    int Sent = 0;
    Endpoint.trySend(R.Start_);
    while (Sent < Most && Endpoint.trySend(R.Repeated_))
      ++Sent;
    CHECK(Sent < Most);
    CHECK(Caller.readUntil("\r\n\r\n").find(" 502 ") != std::string::npos);
    CHECK(F.waitFor(
        [&] { return F.metric("hawthornroad_held_bytes") < 10'000; }));
    CHECK(F.metric("hawthornroad_requests_open") == 0);
    CHECK_FALSE(F.isWaiting(F.Endpoints_[0]));
    CHECK_FALSE(F.isWaiting(F.Endpoints_[1]));
  }
}

// Guards against many sound answers that together exceed a VM's memory: each is
// within its own bound, and their callers do not read them.
TEST_CASE("entry, with many callers that do not read large answers, keeps the "
          "sum of what it holds within its share",
          "[entry][slow]") {
  EntryFixture F;
  constexpr int Callers = 16;
  const std::string Body(7'000'000, 'x');
  const std::string Answer = Head + "Connection: close\r\nContent-Length: " +
                             std::to_string(Body.size()) + "\r\n\r\n" + Body;
  std::vector<RawSocket> Asked;
  std::vector<std::thread> Servers;
  std::atomic<bool> IsOver{false};
  double Most = 0;
  for (int I = 0; I < Callers; ++I) {
    RawSocket S = RawSocket::connectTo(F.Callers_);
    S.setReceiveBuffer(4096);
    S.send("GET /once/1 HTTP/1.1\r\nHost: h\r\n"
           "X-Hawthornroad-Request-Id: r1\r\n\r\n");
    Asked.push_back(std::move(S));
  }
  std::thread Accepting([&] {
    while (!IsOver) {
      for (const RawSocket &Each : F.Endpoints_)
        if (F.isWaiting(Each))
          Servers.emplace_back([&, S = Each.accept()] {
            S.readUntil("\r\n\r\n");
            S.trySend(Answer);
          });
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  });
  std::string Refusal;
  for (int I = 0; I < 100; ++I) {
    double Held = F.metric("hawthornroad_held_bytes");
    Most = std::max(Most, Held);
    if (Held > 40e6 && Refusal.empty()) {
      // Refused before its body has arrived.
      RawSocket Late = RawSocket::connectTo(F.Callers_);
      Late.send("POST /once/2 HTTP/1.1\r\nHost: h\r\n"
                "X-Hawthornroad-Request-Id: r2\r\n"
                "Content-Length: 1000000\r\n\r\nx");
      Refusal = Late.readUntil("\r\n\r\n");
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  CHECK(Most > 40e6);
  CHECK(Most < 70e6);
  CHECK(Refusal.find(" 503 ") != std::string::npos);
  CHECK(Refusal.find("Retry-After: 0.3") != std::string::npos);
  CHECK(Refusal.find("X-Hawthornroad-Request-Id: r2") != std::string::npos);
  IsOver = true;
  Accepting.join();
  Asked.clear();
  CHECK(F.waitFor([&] { return F.metric("hawthornroad_held_bytes") < 1e6; }));
  F.Entry_.reset();
  for (std::thread &Each : Servers)
    Each.join();
}
