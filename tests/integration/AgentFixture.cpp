#include "tests/integration/AgentFixture.h"

#include "hawthornroad/base/Hash.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

namespace hawthornroad {

namespace json = boost::json;

namespace {
constexpr std::size_t DigestPrefixLength = 7; // "sha256:"
constexpr int Pieces = OriginStandIn::Pieces;

int queryNumber(const std::string &Target, const std::string &Key) {
  std::size_t At = Target.find(Key + "=");
  return At == std::string::npos
             ? -1
             : std::stoi(Target.substr(At + Key.size() + 1));
}
} // namespace

OriginStandIn::OriginStandIn() {
  Server_ = std::make_unique<HttpServer>(
      Io_, HttpServer::Limits{},
      [this](const HttpRequest &R, const std::shared_ptr<HttpExchange> &X) {
        std::lock_guard Lock(Mutex_);
        handle(R, X);
      });
  Address_ = "127.0.0.1:" + std::to_string(Server_->listen("127.0.0.1", 0));
}

OriginStandIn::~OriginStandIn() { Io_.stop(); }

std::string OriginStandIn::piece(int Version, int Index) {
  return "weights " + std::to_string(Version) + "." + std::to_string(Index);
}

std::string OriginStandIn::manifest(int Version) {
  json::array Digests;
  for (int I = 0; I < Pieces; ++I)
    Digests.push_back(
        json::string(sha256(piece(Version, I)).substr(DigestPrefixLength)));
  return json::serialize(json::object{{"model", "m"},
                                      {"version", Version},
                                      {"chunk_bytes", 32},
                                      {"layers", 1},
                                      {"digests", std::move(Digests)}});
}

int OriginStandIn::piecesSent() {
  std::lock_guard Lock(Mutex_);
  return PiecesSent_;
}

int OriginStandIn::manifestsSent() {
  std::lock_guard Lock(Mutex_);
  return ManifestsSent_;
}

std::size_t OriginStandIn::unanswered() {
  std::lock_guard Lock(Mutex_);
  return Unanswered_.size();
}

void OriginStandIn::silencePiecesAfter(int Count) {
  std::lock_guard Lock(Mutex_);
  MaxPieces_ = Count;
}

void OriginStandIn::silence() {
  std::lock_guard Lock(Mutex_);
  IsSilent_ = true;
}

void OriginStandIn::close() {
  Io_.submit([this] { Server_.reset(); });
}

void OriginStandIn::handle(const HttpRequest &R,
                           const std::shared_ptr<HttpExchange> &X) {
  int Version = queryNumber(R.Target_, "version");
  bool IsPiece = R.Target_.starts_with("/-/piece/");
  if (IsSilent_ || (IsPiece && PiecesSent_ == MaxPieces_)) {
    Unanswered_.push_back(X);
    return;
  }
  if (R.Target_.starts_with("/-/manifest/")) {
    ++ManifestsSent_;
    return X->respond(jsonResponse(200, manifest(Version)));
  }
  if (!IsPiece)
    return X->respond({.Status_ = 404});
  ++PiecesSent_;
  X->respond(
      {.Status_ = 200, .Body_ = piece(Version, queryNumber(R.Target_, "num"))});
}

EngineStandIn::EngineStandIn() {
  Server_ = std::make_unique<HttpServer>(
      Io_, HttpServer::Limits{},
      [this](const HttpRequest &R, const std::shared_ptr<HttpExchange> &X) {
        std::lock_guard Lock(Mutex_);
        handle(R, X);
      });
  Address_ = "127.0.0.1:" + std::to_string(Server_->listen("127.0.0.1", 0));
}

EngineStandIn::~EngineStandIn() { Io_.stop(); }

void EngineStandIn::handle(const HttpRequest &R,
                           const std::shared_ptr<HttpExchange> &X) {
  const std::string &T = R.Target_;
  if (T.starts_with("/-/report"))
    return report(X);
  if (T.starts_with("/-/manifest/"))
    return X->respond(
        jsonResponse(200, OriginStandIn::manifest(queryNumber(T, "version"))));
  if (T.starts_with("/-/piece/")) {
    ++PieceReads_;
    std::string Bytes =
        OriginStandIn::piece(queryNumber(T, "version"), queryNumber(T, "num"));
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

void EngineStandIn::report(const std::shared_ptr<HttpExchange> &X) {
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

void EngineStandIn::staged(int Index, const std::shared_ptr<HttpExchange> &X) {
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

void EngineStandIn::order(const HttpRequest &R,
                          const std::shared_ptr<HttpExchange> &X) {
  auto Body = json::parse(R.Body_).as_object();
  int Version = Body["version"].to_number<int>();
  if (Body["expected"].to_number<int>() != Orders_)
    return X->respond({.Status_ = 409});
  ++Orders_;
  for (int I = 0; I < Pieces; ++I)
    AlwaysComplete_ =
        AlwaysComplete_ && Staged_[I] == OriginStandIn::piece(Version, I);
  Loaded_ = Version;
  if (LoseOrderAnswers_ > 0 && LoseOrderAnswers_-- > 0)
    return X->abort();
  X->respond({.Status_ = 202});
}

AgentFixture::AgentFixture() {
  moveOrigin(Engine_.address());
  Store_.put("servers", "i-1",
             json::serialize(json::object{{"service", "lm"},
                                          {"address", Engine_.address()},
                                          {"zone", "z"},
                                          {"stage", "both"},
                                          {"models", json::array{}}}));
}

void AgentFixture::moveOrigin(const std::string &Address,
                              const std::string &Zone) {
  json::object Service = {
      {"name", "lm"},
      {"max_conns", 100},
      {"engine",
       json::object{{"slots", 4},
                    {"chunks", Pieces},
                    {"chunk_bytes", 32},
                    {"models", json::array{json::object{{"name", "m"}}}}}}};
  json::object Origin = {{"name", "weights"},
                         {"origin", Address},
                         {"zone", Zone},
                         {"link_mbps", 100}};
  Store_.put(
      "op", "config",
      json::serialize(json::object{{"version", ++ConfigVersion_},
                                   {"routes", json::array{}},
                                   {"services", json::array{Service, Origin}},
                                   {"tenants", json::array{}}}));
}

void AgentFixture::name(int Version) {
  Store_.put(
      "op", "version/m",
      json::serialize(json::object{{"model", "m"}, {"version", Version}}));
}

void AgentFixture::start(const std::string &Engine) {
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

void AgentFixture::awaitLoaded(int Version, Duration Bound) {
  eventually([&] { return Engine_.loaded() == Version; },
             "version " + std::to_string(Version) + " is loaded", Bound);
  REQUIRE(Engine_.alwaysComplete());
}

} // namespace hawthornroad
