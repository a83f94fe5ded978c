#include "hawthornroad/agent/StagedPieces.h"

#include "hawthornroad/base/Hash.h"
#include "platform/EngineWire.h"

#include <algorithm>

namespace hawthornroad {

namespace {
constexpr Duration EngineTimeout = Seconds(1);
constexpr std::size_t DigestPrefixLength = 7; // "sha256:"
constexpr unsigned Ok = 200;
} // namespace

void StagedPieceReader::run(HttpCalls &Engine, const std::string &Model,
                            std::vector<ChunkIndex> Pieces,
                            std::vector<std::string> Digests,
                            std::size_t PieceBytes, Done D) {
  std::shared_ptr<StagedPieceReader> Started(
      new StagedPieceReader(Engine, Model, std::move(Pieces),
                            std::move(Digests), PieceBytes, std::move(D)));
  Started->next();
}

void StagedPieceReader::next() {
  if (NextIndex_ >= Pieces_.size())
    return std::exchange(Done_, nullptr)(std::move(Result_));
  ChunkIndex Index = Pieces_[NextIndex_++];
  Engine_.call(
      platform::stagedReadCall(Model_, Index),
      {EngineTimeout, std::max(PieceBytes_, HttpCalls::MaxFailureText)},
      [Self = shared_from_this(), Index](const HttpCalls::Result &R) {
        const auto *Answer = std::get_if<HttpAnswer>(&R);
        bool Matching = Answer != nullptr && Answer->Status_ == Ok &&
                        Index < Self->Digests_.size() &&
                        sha256(Answer->Body_).substr(DigestPrefixLength) ==
                            Self->Digests_[Index];
        if (Matching)
          Self->Result_.Matching_[Index] = Answer->Body_;
        Self->Result_.Unread_ += Answer == nullptr ? 1 : 0;
        Self->next();
      });
}

void StagedPieceWriter::run(HttpCalls &Engine, const std::string &Model,
                            Pieces P, Done D) {
  std::shared_ptr<StagedPieceWriter> Started(
      new StagedPieceWriter(Engine, Model, std::move(P), std::move(D)));
  Started->next();
}

void StagedPieceWriter::next() {
  if (Pieces_.empty())
    return std::exchange(Done_, nullptr)(true);
  auto Piece = Pieces_.extract(Pieces_.begin());
  Engine_.call(
      platform::stagePutCall(Model_, Piece.key(), std::move(Piece.mapped())),
      {EngineTimeout, HttpCalls::MaxFailureText},
      [Self = shared_from_this()](const HttpCalls::Result &R) {
        const auto *Answer = std::get_if<HttpAnswer>(&R);
        constexpr unsigned FirstRedirect = 300;
        if (Answer == nullptr || Answer->Status_ >= FirstRedirect)
          return std::exchange(Self->Done_, nullptr)(false);
        Self->next();
      });
}

} // namespace hawthornroad
