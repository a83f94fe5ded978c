#include "tests/soak/SoakWeights.h"

#include "hawthornroad/base/Hash.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace hawthornroad {

namespace json = boost::json;

namespace {
constexpr std::size_t DigestPrefixLength = 7; // "sha256:"

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

SoakOrigin::SoakOrigin() {
  Server_ = std::make_unique<HttpServer>(
      Io_, HttpServer::Limits{},
      [](const HttpRequest &R, const std::shared_ptr<HttpExchange> &X) {
        // Without a version: the first one, which is not published.
        int Version = std::max(1, queryNumber(R.Target_, "version"));
        if (R.Target_.starts_with("/-/manifest/"))
          return X->respond(manifest(Version));
        if (R.Target_.starts_with("/-/piece/"))
          return X->respond(
              {.Status_ = 200,
               .Body_ = piece(Version, queryNumber(R.Target_, "num"))});
        X->respond({.Status_ = 404});
      });
  Address_ = "127.0.0.1:" + std::to_string(Server_->listen("127.0.0.1", 0));
}

SoakOrigin::~SoakOrigin() { Io_.stop(); }

} // namespace hawthornroad
