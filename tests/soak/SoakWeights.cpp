#include "tests/soak/SoakWeights.h"

#include "hawthornroad/base/Hash.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace hawthornroad {

namespace json = boost::json;

namespace {
constexpr std::size_t DigestPrefixLength = 7; // "sha256:"
// Of the origin.
constexpr Duration AnswerDelay = Milliseconds(30);

// Padded, so that all pieces have PieceBytes.
std::string piece(int Version, int Index) {
  std::string Out =
      "weights " + std::to_string(Version) + "." + std::to_string(Index);
  Out.resize(SoakWeights::PieceBytes, ' ');
  return Out;
}

int queryNumber(const std::string &Target, const std::string &Key) {
  std::size_t At = Target.find(Key + "=");
  return At == std::string::npos
             ? -1
             : std::stoi(Target.substr(At + Key.size() + 1));
}

HttpResponse manifest(int Version) {
  json::array Digests;
  for (int I = 0; I < SoakWeights::Pieces; ++I)
    Digests.push_back(
        json::string(sha256(piece(Version, I)).substr(DigestPrefixLength)));
  return jsonResponse(200, json::serialize(json::object{
                               {"model", "m"},
                               {"version", Version},
                               {"chunk_bytes", SoakWeights::PieceBytes},
                               {"layers", 1},
                               {"digests", std::move(Digests)}}));
}
} // namespace

bool SoakWeights::handle(const HttpRequest &R,
                         const std::shared_ptr<HttpExchange> &X) {
  int Index = queryNumber(R.Target_, "num");
  if (R.Target_.starts_with("/-/stage-put/")) {
    Staged_[Index] = R.Body_;
    X->respond({.Status_ = 200});
    return true;
  }
  if (!R.Target_.starts_with("/-/stage-get/"))
    return false;
  if (Index < 0) {
    json::array Held;
    for (const auto &[I, Bytes] : Staged_)
      Held.push_back(I);
    X->respond(jsonResponse(
        200, json::serialize(json::object{{"held", std::move(Held)}})));
    return true;
  }
  auto Found = Staged_.find(Index);
  X->respond(Found == Staged_.end()
                 ? HttpResponse{.Status_ = 404}
                 : HttpResponse{.Status_ = 200, .Body_ = Found->second});
  return true;
}

void SoakWeights::load(int Version) {
  for (int I = 0; I < Pieces; ++I)
    WasAlwaysWhole_ = WasAlwaysWhole_ && Staged_[I] == piece(Version, I);
  Loaded_ = Version;
}

void SoakWeights::restartSpoilt() {
  Loaded_ = 0;
  Orders_ = 0;
  if (!Staged_.empty())
    Staged_.begin()->second.front() ^= 1;
}

SoakOrigin::SoakOrigin() { listen(); }

SoakOrigin::~SoakOrigin() { Io_.stop(); }

void SoakOrigin::listen() {
  std::size_t Place = Servers_.size();
  Servers_.push_back(std::make_unique<HttpServer>(
      Io_, HttpServer::Limits{},
      [this, Place](const HttpRequest &R,
                    const std::shared_ptr<HttpExchange> &X) {
        handle(Place, R, X);
      }));
  std::uint16_t Port = Servers_.back()->listen("127.0.0.1", 0);
  Address_ = "127.0.0.1:" + std::to_string(Port);
}

std::string SoakOrigin::address() const {
  std::lock_guard Lock(Mutex_);
  return Address_;
}

void SoakOrigin::loseAfter(int Pieces, bool Refuses) {
  std::lock_guard Lock(Mutex_);
  PiecesLeft_ = Pieces;
  Refuses_ = Refuses;
}

void SoakOrigin::move() {
  std::lock_guard Lock(Mutex_);
  PiecesLeft_.reset();
  listen();
}

void SoakOrigin::handle(std::size_t Place, const HttpRequest &R,
                        const std::shared_ptr<HttpExchange> &X) {
  std::lock_guard Lock(Mutex_);
  bool IsNewest = Place + 1 == Servers_.size();
  if (!IsNewest || (PiecesLeft_ && *PiecesLeft_ == 0))
    return Unanswered_.push_back(X);
  // Without a version: the first one, which is not published.
  int Version = std::max(1, queryNumber(R.Target_, "version"));
  HttpResponse Answer{.Status_ = 404};
  if (R.Target_.starts_with("/-/manifest/"))
    Answer = manifest(Version);
  if (R.Target_.starts_with("/-/piece/")) {
    Answer = {.Status_ = 200,
              .Body_ = piece(Version, queryNumber(R.Target_, "num"))};
    bool IsLast = PiecesLeft_ && --*PiecesLeft_ == 0;
    if (IsLast && Refuses_)
      Servers_.back()->closeListener();
  }
  Io_.after(AnswerDelay, [X, Answer] { X->respond(Answer); });
}

} // namespace hawthornroad
