#include "hawthornroad/agent/StoreAgentState.h"
#include "hawthornroad/runtime/Seed.h"

#include <algorithm>

namespace hawthornroad {

// After a restart of this agent the pieces may already be staged at the engine.
// Most often the staged pieces are of another version; checking one piece first
// avoids reading the rest.
void StoreAgent::State::checkStaged(const std::shared_ptr<VersionUpdate> &P,
                                    const platform::PieceDigests &D) {
  const std::string &Model = P->Version_.Model_;
  Engine_.call(
      platform::stagedListCall(Model), {AgentEngineTimeout, MaxStagedList},
      [this, P, D](const HttpCalls::Result &R) {
        const auto *Answer = std::get_if<HttpAnswer>(&R);
        std::vector<std::uint32_t> Held;
        if (Answer != nullptr)
          Held = platform::decodeStagedList(Answer->Body_);
        std::vector<ChunkIndex> First;
        if (!Held.empty())
          First.push_back(Held.front());
        StagedPieceReader::run(
            Engine_, P->Version_.Model_, First, D.Digests_, D.PieceBytes_,
            [this, P, D, Held](const StagedPieceReader::Result &One) {
              if (One.Matching_.empty())
                return beginTransfer(P, D, {});
              StagedPieceReader::run(
                  Engine_, P->Version_.Model_, Held, D.Digests_, D.PieceBytes_,
                  [this, P, D](StagedPieceReader::Result R) {
                    beginTransfer(P, D, std::move(R.Matching_));
                  });
            });
      });
}

PieceTransfer::Setup
StoreAgent::State::transferSetup(const ModelVersion &V) const {
  PieceTransfer::Setup S;
  S.Version_ = V;
  S.Self_ = {Vm(Self_), Settings_.Common_.Zone_};
  S.OriginZone_ = OriginZone_;
  S.Seed_ = seedOr(Settings_.Common_.RandomSeed_);
  S.UploadRate_ = uploadRate();
  return S;
}

void StoreAgent::State::readStaged(const std::string &Model, ChunkIndex Index,
                                   std::size_t PieceBytes,
                                   std::function<void(std::string)> Then) {
  Engine_.call(
      platform::stagedReadCall(Model, Index),
      {AgentEngineTimeout, std::max(PieceBytes, HttpCalls::MaxFailureText)},
      [Then = std::move(Then)](HttpCalls::Result R) {
        auto *Answer = std::get_if<HttpAnswer>(&R);
        constexpr unsigned Ok = 200;
        bool Has = Answer != nullptr && Answer->Status_ == Ok;
        Then(Has ? std::move(Answer->Body_) : std::string());
      });
}

void StoreAgent::State::beginTransfer(const std::shared_ptr<VersionUpdate> &P,
                                      const platform::PieceDigests &D,
                                      std::map<ChunkIndex, std::string> Held) {
  P->ManifestPending_ = false;
  if (P != Current_ && P != Next_)
    return;
  TimePoint Now = bootNow();
  Log_.write(LogLine("transfer")
                 .count("version", P->Version_.Version_)
                 .count("held", Held.size())
                 .count("peers", Peers_.size()));
  PieceTransfer::Setup S = transferSetup(P->Version_);
  S.Pieces_ = D.Digests_.size();
  S.PieceBytes_ = D.PieceBytes_;
  PieceTransfer::Callbacks C;
  std::weak_ptr<VersionUpdate> Weak = P;
  C.OnComplete_ = [this, Weak] {
    if (auto Held = Weak.lock())
      onPiecesComplete(*Held);
  };
  C.OnDigestsSuspect_ = [this, Weak] {
    auto Held = Weak.lock();
    if (Held && !Held->ManifestPending_ && Origin_.isKnown())
      readManifest(Held);
  };
  C.Urgency_ = [this, V = P->Version_](const Vm &Peer) {
    return static_cast<unsigned>(loadPosition(Peer.str(), V).Index_);
  };
  C.ReadStaged_ = [this, Model = P->Version_.Model_,
                   Bytes = D.PieceBytes_](ChunkIndex Index, auto Then) {
    readStaged(Model, Index, Bytes, std::move(Then));
  };
  P->Transfer_ = std::make_shared<PieceTransfer>(
      std::move(S), Io_, &Origin_, *Net_, Log_, PieceCounters_, std::move(C));
  P->Transfer_->start(D.Digests_, std::move(Held), Now);
  P->Transfer_->setPeers(Peers_, Now);
  if (Peers_.empty())
    listPeers(Now);
}

void StoreAgent::State::onPiecesComplete(const VersionUpdate &P) {
  Log_.write(LogLine("pieces_whole")
                 .count("version", P.Version_.Version_)
                 .millis("since_wanted_ms", bootNow() - P.HeardAt_)
                 .count("origin_bytes", PieceCounters_.OriginBytes_)
                 .count("peer_bytes", PieceCounters_.PeerBytes_));
  if (Current_.get() == &P)
    Updater_.setStaged(true);
}

void StoreAgent::State::offerLoaded() {
  const EngineProfile *Pace = pace();
  if (OfferChecked_ || Pace == nullptr || Pace->Pieces_ == 0)
    return;
  OfferChecked_ = true;
  ModelVersion V = *Updater_.wanted();
  Engine_.call(
      platform::stagedListCall(V.Model_), {AgentEngineTimeout, MaxStagedList},
      [this, V, Count = Pace->Pieces_,
       Bytes = Pace->PieceBytes_](const HttpCalls::Result &R) {
        const auto *Answer = std::get_if<HttpAnswer>(&R);
        if (Answer == nullptr || Updater_.wanted() != V || Offer_)
          return;
        if (platform::decodeStagedList(Answer->Body_).size() < Count)
          return;
        PieceTransfer::Setup S = transferSetup(V);
        S.Pieces_ = Count;
        S.PieceBytes_ = Bytes;
        PieceTransfer::Callbacks C;
        C.ReadStaged_ = [this, Model = V.Model_, Bytes](ChunkIndex Index,
                                                        auto Then) {
          readStaged(Model, Index, Bytes, std::move(Then));
        };
        Offer_ =
            std::make_shared<PieceTransfer>(std::move(S), Io_, nullptr, *Net_,
                                            Log_, PieceCounters_, std::move(C));
        Offer_->startOffer(bootNow());
      });
}

} // namespace hawthornroad
