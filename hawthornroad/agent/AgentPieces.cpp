#include "hawthornroad/agent/StoreAgentState.h"
#include "hawthornroad/runtime/Seed.h"

namespace hawthornroad {

// After a restart of this agent the pieces may lie at the engine already. What
// lies there is most likely another version; a look at one piece spares reading
// the rest.
void StoreAgent::State::lookAtStaged(const std::shared_ptr<Pursuit> &P,
                                     const platform::PieceDigests &D) {
  const std::string &Model = P->Version_.Model_;
  Engine_.call(platform::stagedListCall(Model), AgentEngineLimit,
               [this, P, D](const HttpCalls::Result &R) {
                 const auto *Answer = std::get_if<HttpAnswer>(&R);
                 std::vector<std::uint32_t> Held;
                 if (Answer != nullptr)
                   Held = platform::decodeStagedList(Answer->Body_);
                 std::vector<ChunkIndex> First;
                 if (!Held.empty())
                   First.push_back(Held.front());
                 ReadBack::run(Engine_, P->Version_.Model_, First, D.Digests_,
                               [this, P, D, Held](const ReadBack::Result &One) {
                                 if (One.empty())
                                   return beginTransfer(P, D, {});
                                 ReadBack::run(
                                     Engine_, P->Version_.Model_, Held,
                                     D.Digests_,
                                     [this, P, D](ReadBack::Result Right) {
                                       beginTransfer(P, D, std::move(Right));
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
                                   std::function<void(std::string)> Then) {
  Engine_.call(platform::stagedReadCall(Model, Index), AgentEngineLimit,
               [Then = std::move(Then)](HttpCalls::Result R) {
                 auto *Answer = std::get_if<HttpAnswer>(&R);
                 constexpr unsigned Ok = 200;
                 bool Has = Answer != nullptr && Answer->Status_ == Ok;
                 Then(Has ? std::move(Answer->Body_) : std::string());
               });
}

void StoreAgent::State::beginTransfer(const std::shared_ptr<Pursuit> &P,
                                      const platform::PieceDigests &D,
                                      std::map<ChunkIndex, std::string> Held) {
  P->ManifestUnderWay_ = false;
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
  std::weak_ptr<Pursuit> Weak = P;
  C.OnWhole_ = [this, Weak] {
    if (auto Held = Weak.lock())
      onWhole(*Held);
  };
  C.OnDoubt_ = [this, Weak] {
    auto Held = Weak.lock();
    if (!Held || Held->ManifestUnderWay_ || !Origin_)
      return;
    Held->ManifestUnderWay_ = true;
    Origin_->call(
        platform::manifestCall(Held->Version_), ManifestLimit,
        [this, Held](const HttpCalls::Result &R) { onManifest(Held, R); });
  };
  C.Urgency_ = [this, V = P->Version_](const Vm &Peer) {
    return static_cast<unsigned>(loadPosition(Peer.str(), V).Index_);
  };
  C.ReadStaged_ = [this, Model = P->Version_.Model_](ChunkIndex Index,
                                                     auto Then) {
    readStaged(Model, Index, std::move(Then));
  };
  P->Transfer_ = std::make_shared<PieceTransfer>(
      std::move(S), Io_, Origin_.get(), *Net_, Log_, Pieces_, std::move(C));
  P->Transfer_->start(D.Digests_, std::move(Held), Now);
  P->Transfer_->setPeers(Peers_, Now);
  if (Peers_.empty())
    listPeers(Now);
}

void StoreAgent::State::onWhole(const Pursuit &P) {
  Log_.write(LogLine("pieces_whole")
                 .count("version", P.Version_.Version_)
                 .millis("since_wanted_ms", bootNow() - P.HeardAt_)
                 .count("origin_bytes", Pieces_.OriginBytes_)
                 .count("peer_bytes", Pieces_.PeerBytes_));
  if (Current_.get() == &P)
    Duty_.setStaged(true);
}

void StoreAgent::State::offerLoaded() {
  const EnginePace *Pace = pace();
  if (OfferLooked_ || Pace == nullptr || Pace->Pieces_ == 0)
    return;
  OfferLooked_ = true;
  ModelVersion V = *Duty_.wanted();
  Engine_.call(
      platform::stagedListCall(V.Model_), AgentEngineLimit,
      [this, V, Count = Pace->Pieces_,
       Bytes = Pace->PieceBytes_](const HttpCalls::Result &R) {
        const auto *Answer = std::get_if<HttpAnswer>(&R);
        if (Answer == nullptr || Duty_.wanted() != V || Offer_)
          return;
        if (platform::decodeStagedList(Answer->Body_).size() < Count)
          return;
        PieceTransfer::Setup S = transferSetup(V);
        S.Pieces_ = Count;
        S.PieceBytes_ = Bytes;
        PieceTransfer::Callbacks C;
        C.ReadStaged_ = [this, Model = V.Model_](ChunkIndex Index, auto Then) {
          readStaged(Model, Index, std::move(Then));
        };
        Offer_ = std::make_shared<PieceTransfer>(
            std::move(S), Io_, nullptr, *Net_, Log_, Pieces_, std::move(C));
        Offer_->startOffer(bootNow());
      });
}

} // namespace hawthornroad
