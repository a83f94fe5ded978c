#include "hawthornroad/agent/ReadBack.h"

#include "hawthornroad/base/Hash.h"
#include "platform/EngineWire.h"

namespace hawthornroad {

namespace {
constexpr Duration EngineLimit = Seconds(1);
constexpr std::size_t DigestPrefixLength = 7; // "sha256:"
constexpr unsigned Ok = 200;
} // namespace

void ReadBack::run(HttpCalls &Engine, const std::string &Model,
                   std::vector<ChunkIndex> Pieces,
                   std::vector<std::string> Digests, Done D) {
  std::shared_ptr<ReadBack> Made(new ReadBack(
      Engine, Model, std::move(Pieces), std::move(Digests), std::move(D)));
  Made->next();
}

void ReadBack::next() {
  if (Begun_ >= Pieces_.size())
    return std::exchange(Done_, nullptr)(std::move(Right_));
  ChunkIndex Index = Pieces_[Begun_++];
  Engine_.call(platform::stagedReadCall(Model_, Index), EngineLimit,
               [Self = shared_from_this(), Index](const HttpCalls::Result &R) {
                 const auto *Answer = std::get_if<HttpAnswer>(&R);
                 bool Right =
                     Answer != nullptr && Answer->Status_ == Ok &&
                     Index < Self->Digests_.size() &&
                     sha256(Answer->Body_).substr(DigestPrefixLength) ==
                         Self->Digests_[Index];
                 if (Right)
                   Self->Right_[Index] = Answer->Body_;
                 Self->next();
               });
}

void StagePut::run(HttpCalls &Engine, const std::string &Model, Pieces P,
                   Done D) {
  std::shared_ptr<StagePut> Made(
      new StagePut(Engine, Model, std::move(P), std::move(D)));
  Made->next();
}

void StagePut::next() {
  if (Pieces_.empty())
    return std::exchange(Done_, nullptr)(true);
  auto Piece = Pieces_.extract(Pieces_.begin());
  Engine_.call(
      platform::stagePutCall(Model_, Piece.key(), std::move(Piece.mapped())),
      EngineLimit, [Self = shared_from_this()](const HttpCalls::Result &R) {
        const auto *Answer = std::get_if<HttpAnswer>(&R);
        constexpr unsigned FirstRedirect = 300;
        if (Answer == nullptr || Answer->Status_ >= FirstRedirect)
          return std::exchange(Self->Done_, nullptr)(false);
        Self->next();
      });
}

} // namespace hawthornroad
