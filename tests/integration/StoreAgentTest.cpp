// The agent of a platform with a store, run as a process beside an engine, with
// an origin of weights.

#include "hawthornroad/base/Hash.h"
#include "tests/integration/EndlessServer.h"
#include "tests/integration/PlatformFixture.h"

#include <atomic>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace json = boost::json;

namespace {
constexpr int Pieces = 12;
constexpr std::size_t DigestPrefixLength = 7; // "sha256:"

std::string piece(int Version, int Index) {
  return "weights " + std::to_string(Version) + "." + std::to_string(Index);
}

int queryNumber(const std::string &Target, const std::string &Key) {
  std::size_t At = Target.find(Key + "=");
  return At == std::string::npos
             ? -1
             : std::stoi(Target.substr(At + Key.size() + 1));
}

// An engine that loads the staged pieces, and the origin of its weights.
class EngineStandIn {
public:
  EngineStandIn() {
    Server_ = std::make_unique<HttpServer>(
        Io_, HttpServer::Limits{},
        [this](HttpRequest R, std::shared_ptr<HttpExchange> X) {
          std::lock_guard Lock(Mutex_);
          handle(R, X);
        });
    Address_ = "127.0.0.1:" + std::to_string(Server_->listen("127.0.0.1", 0));
  }
  ~EngineStandIn() { Io_.stop(); }

  const std::string &address() const { return Address_; }
  int loaded() {
    std::lock_guard Lock(Mutex_);
    return Loaded_;
  }
  // Accepted orders, and whether each found all pieces of one version.
  int orders() {
    std::lock_guard Lock(Mutex_);
    return Orders_;
  }
  bool alwaysComplete() {
    std::lock_guard Lock(Mutex_);
    return AlwaysComplete_;
  }
  int pieceReads() {
    std::lock_guard Lock(Mutex_);
    return PieceReads_;
  }
  // Faults: the next Count answers of the origin are corrupted; the next Count
  // orders are accepted and not answered; one staged piece is corrupted right
  // after it was put.
  void corruptOrigin(int Count) { CorruptOrigin_ = Count; }
  void loseOrderAnswers(int Count) { LoseOrderAnswers_ = Count; }
  void corruptStagedOnce() { CorruptStaged_ = true; }
  // A staged piece turns bad where it lies.
  void corruptStaged(int Index) {
    std::lock_guard Lock(Mutex_);
    Staged_[Index] = "rotten";
  }
  // Staged pieces that were read back.
  int stagedReads() {
    std::lock_guard Lock(Mutex_);
    return StagedReads_;
  }
  // The engine restarts: it holds no weights and has counted no orders.
  void restart() {
    std::lock_guard Lock(Mutex_);
    Loaded_ = 0;
    Orders_ = 0;
  }

private:
  void handle(const HttpRequest &R, const std::shared_ptr<HttpExchange> &X) {
    const std::string &T = R.Target_;
    if (T.starts_with("/-/report"))
      return report(X);
    if (T.starts_with("/-/manifest/"))
      return manifest(queryNumber(T, "version"), X);
    if (T.starts_with("/-/piece/")) {
      ++PieceReads_;
      std::string Bytes =
          piece(queryNumber(T, "version"), queryNumber(T, "num"));
      if (CorruptOrigin_ > 0 && CorruptOrigin_-- > 0)
        Bytes[0] = 'X';
      return X->respond({.Status_ = 200, .Body_ = Bytes});
    }
    if (T.starts_with("/-/stage-put/")) {
      int Index = queryNumber(T, "num");
      Staged_[Index] = R.Body_;
      if (CorruptStaged_.exchange(false))
        Staged_[Index] = "rotten";
      return X->respond({.Status_ = 200});
    }
    if (T.starts_with("/-/stage-get/"))
      return staged(queryNumber(T, "num"), X);
    if (T.starts_with("/-/order"))
      return order(R, X);
    X->respond({.Status_ = 404});
  }

  void report(const std::shared_ptr<HttpExchange> &X) {
    json::array Models;
    if (Loaded_ > 0)
      Models.push_back(json::object{{"name", "m"}, {"version", Loaded_}});
    X->respond(jsonResponse(
        200, json::serialize(json::object{{"models", std::move(Models)},
                                          {"busy", false},
                                          {"seq", Orders_},
                                          {"running", 0},
                                          {"queued", 0}})));
  }

  void manifest(int Version, const std::shared_ptr<HttpExchange> &X) {
    json::array Digests;
    for (int I = 0; I < Pieces; ++I)
      Digests.push_back(
          json::string(sha256(piece(Version, I)).substr(DigestPrefixLength)));
    X->respond(jsonResponse(
        200, json::serialize(json::object{{"model", "m"},
                                          {"version", Version},
                                          {"chunk_bytes", 32},
                                          {"layers", 1},
                                          {"digests", std::move(Digests)}})));
  }

  void staged(int Index, const std::shared_ptr<HttpExchange> &X) {
    if (Index < 0) {
      json::array Held;
      for (const auto &[I, Bytes] : Staged_)
        Held.push_back(I);
      return X->respond(jsonResponse(
          200, json::serialize(json::object{{"held", std::move(Held)}})));
    }
    ++StagedReads_;
    auto Found = Staged_.find(Index);
    if (Found == Staged_.end())
      return X->respond({.Status_ = 404});
    X->respond({.Status_ = 200, .Body_ = Found->second});
  }

  void order(const HttpRequest &R, const std::shared_ptr<HttpExchange> &X) {
    auto Body = json::parse(R.Body_).as_object();
    int Version = Body["version"].to_number<int>();
    if (Body["expected"].to_number<int>() != Orders_)
      return X->respond({.Status_ = 409});
    ++Orders_;
    for (int I = 0; I < Pieces; ++I)
      AlwaysComplete_ = AlwaysComplete_ && Staged_[I] == piece(Version, I);
    Loaded_ = Version;
    if (LoseOrderAnswers_ > 0 && LoseOrderAnswers_-- > 0)
      return X->abort();
    X->respond({.Status_ = 202});
  }

  IoThread Io_{"engine", 256};
  std::mutex Mutex_;
  std::map<int, std::string> Staged_;
  int Loaded_ = 0;
  int Orders_ = 0;
  int PieceReads_ = 0;
  int StagedReads_ = 0;
  bool AlwaysComplete_ = true;
  std::atomic<int> CorruptOrigin_{0};
  std::atomic<int> LoseOrderAnswers_{0};
  std::atomic<bool> CorruptStaged_{false};
  std::unique_ptr<HttpServer> Server_;
  std::string Address_;
};

struct AgentFixture {
  TemporaryFolder Folder_;
  StoreStandIn Store_;
  EngineStandIn Engine_;
  std::unique_ptr<Process> Agent_;

  AgentFixture() {
    json::object Service = {
        {"name", "lm"},
        {"max_conns", 100},
        {"engine",
         json::object{{"slots", 4},
                      {"chunks", Pieces},
                      {"chunk_bytes", 32},
                      {"models", json::array{json::object{{"name", "m"}}}}}}};
    json::object Origin = {{"name", "weights"},
                           {"origin", Engine_.address()},
                           {"zone", "z"},
                           {"link_mbps", 100}};
    Store_.put(
        "op", "config",
        json::serialize(json::object{{"version", 1},
                                     {"routes", json::array{}},
                                     {"services", json::array{Service, Origin}},
                                     {"tenants", json::array{}}}));
    Store_.put("servers", "i-1",
               json::serialize(json::object{{"service", "lm"},
                                            {"address", Engine_.address()},
                                            {"zone", "z"},
                                            {"stage", "both"},
                                            {"models", json::array{}}}));
  }

  void name(int Version) {
    Store_.put(
        "op", "version/m",
        json::serialize(json::object{{"model", "m"}, {"version", Version}}));
  }
  void start() { start(Engine_.address()); }
  // Beside another engine than the one that the store lists.
  void start(const std::string &Engine) {
    std::string File = Folder_.write(
        "agent.jsonc",
        json::serialize(json::object{{"process", "agent-1"},
                                     {"zone", "z"},
                                     {"store", Store_.address()},
                                     {"engine_address", Engine},
                                     {"service", "lm"},
                                     {"metrics_listen", "127.0.0.1:0"},
                                     {"version_bound_ms", 3000}}));
    Agent_ =
        std::make_unique<Process>(Launch{.Name_ = "agent-1",
                                         .Program_ = "hawthornroad-store-agent",
                                         .Arguments_ = {"--settings", File}},
                                  Folder_);
    Agent_->ready();
  }
  void awaitLoaded(int Version) {
    eventually([&] { return Engine_.loaded() == Version; },
               "version " + std::to_string(Version) + " is loaded");
    REQUIRE(Engine_.alwaysComplete());
  }
};
} // namespace

TEST_CASE_METHOD(AgentFixture,
                 "store agent, beside an empty engine, loads the first "
                 "version and then each that is published",
                 "[store-agent]") {
  start();
  awaitLoaded(1);
  name(2);
  awaitLoaded(2);
  REQUIRE(Engine_.orders() == 2);
  REQUIRE(Engine_.pieceReads() == 2 * Pieces);
}

// The origin returns wrong bytes, and a piece is corrupted after it was staged.
// Neither may ever be loaded.
TEST_CASE_METHOD(AgentFixture,
                 "store agent, with corrupted reads and a corrupted staged "
                 "piece, loads complete weights only",
                 "[store-agent]") {
  Engine_.corruptOrigin(3);
  Engine_.corruptStagedOnce();
  start();
  awaitLoaded(1);
  REQUIRE(Engine_.orders() == 1);
}

// The engine accepts an order and its answer is lost. A second order would have
// to name the engine's new order count, and none is needed.
TEST_CASE_METHOD(AgentFixture,
                 "store agent, when an order's answer is lost, reads back and "
                 "does not give it twice",
                 "[store-agent]") {
  Engine_.loseOrderAnswers(1);
  start();
  awaitLoaded(1);
  std::this_thread::sleep_for(std::chrono::milliseconds(1200));
  REQUIRE(Engine_.orders() == 1);
}

TEST_CASE_METHOD(AgentFixture,
                 "store agent, when its engine restarts, loads again from "
                 "the pieces it has",
                 "[store-agent]") {
  start();
  awaitLoaded(1);
  int Reads = Engine_.pieceReads();
  Engine_.restart();
  awaitLoaded(1);
  REQUIRE(Engine_.pieceReads() == Reads);
}

// Guards against an agent that has freed its copy of the pieces, takes them for
// staged, and reads them back for ever without replacing the bad one.
TEST_CASE_METHOD(AgentFixture,
                 "store agent, whose engine restarts with a bad staged piece "
                 "after the copies were freed, fetches that piece alone",
                 "[store-agent]") {
  start();
  awaitLoaded(1);
  // Copies are kept for 5 s after a load.
  std::this_thread::sleep_for(Milliseconds(5500));
  int Reads = Engine_.pieceReads();
  int StagedReads = Engine_.stagedReads();
  Engine_.corruptStaged(3);
  Engine_.restart();
  awaitLoaded(1);
  REQUIRE(Engine_.pieceReads() == Reads + 1);
  REQUIRE(Engine_.stagedReads() <= StagedReads + 4 * Pieces);
}

TEST_CASE_METHOD(AgentFixture,
                 "store agent, when it restarts itself, uses the staged "
                 "pieces after checking them",
                 "[store-agent]") {
  start();
  awaitLoaded(1);
  Agent_->kill();
  Agent_->waitExit();
  Engine_.restart();
  int Reads = Engine_.pieceReads();
  start();
  awaitLoaded(1);
  REQUIRE(Engine_.pieceReads() == Reads);
}

// Guards against an engine that sends without end: the agent collected the
// answers until its machine ran out of memory, and with it the only way to the
// engine was gone.
TEST_CASE_METHOD(AgentFixture,
                 "store agent, beside an engine whose answers have no end, "
                 "stays within the memory of its machine",
                 "[store-agent]") {
  constexpr std::size_t MachineMegabytes = 128;
  auto Head = GENERATE(as<std::string>(), "HTTP/1.1 200 OK\r\n\r\n",
                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                       "HTTP/1.1 200 OK\r\nX-A: ");
  CAPTURE(Head);
  EndlessServer Endless(Head);
  start(Endless.address());
  name(2);
  eventually([&] { return Endless.answers() >= 12; },
             "the agent has called its engine many times");
  REQUIRE(Agent_->running());
  CHECK(Agent_->peakMegabytes() < MachineMegabytes);
}
