#include "hawthornroad/agent/StoreAgentState.h"
#include "hawthornroad/base/Hash.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// Failures of the origin in a row after which its address may have changed.
constexpr unsigned OriginFailuresBeforeLook = 4;
// In frames, the index that means the digests themselves.
constexpr std::uint32_t ManifestIndex = 0xffffffff;
// Connections whose question for digests is kept until they are here: more than
// the children and the other zones' first VMs that weights/DigestTree sends.
constexpr std::size_t MostManifestWaits = 256;
} // namespace

std::vector<SwarmPeer> StoreAgent::State::swarmPeers() const {
  std::vector<SwarmPeer> Out;
  for (const PiecePeer &Each : Peers_)
    Out.push_back(Each.Peer_);
  return Out;
}

void StoreAgent::State::fetch(const std::shared_ptr<Pursuit> &P,
                              TimePoint Now) {
  if (!P->Transfer_)
    seekDigests(P, Now);
}

// Digests of a version that this VM has loaded, for one that asks.
void StoreAgent::State::seekForOthers(TimePoint Now) {
  if (!Current_ || !Duty_.isDone() || Current_->ManifestWaits_.empty())
    return;
  // An agent that started beside a loaded engine has not needed them before.
  if (PeersAt_ == TimePoint())
    listPeers(Now);
  seekDigests(Current_, Now);
}

void StoreAgent::State::seekDigests(const std::shared_ptr<Pursuit> &P,
                                    TimePoint Now) {
  if (P->ManifestUnderWay_ || !Origin_ || PeersAt_ == TimePoint() ||
      PeersUnderWay_)
    return;
  if (!P->Tree_) {
    DigestTree::Setup S;
    S.Self_ = {Vm(Self_), Settings_.Common_.Zone_};
    S.OriginZone_ = OriginZone_;
    S.Version_ = PieceTransfer::frameName(P->Version_);
    S.Seed_ = Random_.next();
    P->Tree_.emplace(std::move(S), Now);
  }
  P->Tree_->setPeers(swarmPeers());
  DigestStep Step = P->Tree_->next(Now);
  if (Step.Kind_ == DigestStep::Kind::Read)
    readManifest(P);
  else if (Step.Kind_ == DigestStep::Kind::Ask)
    askForManifest(*P, Step.To_);
}

void StoreAgent::State::readManifest(const std::shared_ptr<Pursuit> &P) {
  P->ManifestUnderWay_ = true;
  Origin_->call(platform::manifestCall(P->Version_), ManifestLimit,
                [this, P](const HttpCalls::Result &R) { onManifest(P, R); });
}

void StoreAgent::State::askForManifest(const Pursuit &P, const Vm &To) {
  auto Found =
      std::find_if(Peers_.begin(), Peers_.end(),
                   [&](const PiecePeer &Each) { return Each.Peer_.Vm_ == To; });
  if (Found == Peers_.end())
    return;
  wire::ChunkRequestT Request;
  Request.manifest = PieceTransfer::frameName(P.Version_);
  Request.index = ManifestIndex;
  Request.vm = Self_;
  Net_->send(Found->Address_, Lane::Weights, makeFrame(Request));
}

void StoreAgent::State::onManifest(const std::shared_ptr<Pursuit> &P,
                                   const HttpCalls::Result &R) {
  P->ManifestUnderWay_ = false;
  const auto *Answer = std::get_if<HttpAnswer>(&R);
  constexpr unsigned Ok = 200;
  if (Answer == nullptr || Answer->Status_ != Ok) {
    LogLine L("manifest_failed");
    L.count("version", P->Version_.Version_).text("origin", Origin_->address());
    if (Answer != nullptr)
      L.count("status", Answer->Status_);
    else
      L.text("why", std::get<LinkFailure>(R).Message_);
    Log_.write(L);
    if (P->Tree_)
      P->Tree_->onReadFailed(bootNow());
    if (++OriginFailures_ % OriginFailuresBeforeLook == 0) {
      MustListOperators_ = true;
      OperatorNotBefore_ = TimePoint();
    }
    return;
  }
  Pieces_.OriginBytes_ += Answer->Body_.size();
  takeManifest(P, Answer->Body_);
}

void StoreAgent::State::takeManifest(const std::shared_ptr<Pursuit> &P,
                                     const std::string &Text) {
  if (P != Current_ && P != Next_)
    return;
  auto Digests = platform::decodeManifest(Text, P->Version_);
  if (!Digests) {
    Log_.write(
        LogLine("manifest_spoilt").count("version", P->Version_.Version_));
    if (P->Tree_)
      P->Tree_->onReadFailed(bootNow());
    return;
  }
  P->Manifest_ = Text;
  answerManifestWaits(*P);
  if (P->Transfer_)
    return P->Transfer_->setDigests(Digests->Digests_);
  bool IsLoaded = P == Current_ && Duty_.isDone();
  if (P->ManifestUnderWay_ || IsLoaded)
    return;
  P->ManifestUnderWay_ = true;
  lookAtStaged(P, *Digests);
}

void StoreAgent::State::answerManifestWaits(Pursuit &P) {
  wire::ChunkReplyT Reply;
  Reply.manifest = PieceTransfer::frameName(P.Version_);
  Reply.index = ManifestIndex;
  Reply.bytes.assign(P.Manifest_.begin(), P.Manifest_.end());
  FrameBuffer Frame = makeFrame(std::move(Reply));
  for (ConnectionId To : std::exchange(P.ManifestWaits_, {}))
    Net_->reply(To, Frame);
}

std::shared_ptr<StoreAgent::State::Pursuit>
StoreAgent::State::pursuitOf(const std::string &FrameName) const {
  for (const auto &P : {Current_, Next_})
    if (P && PieceTransfer::frameName(P->Version_) == FrameName)
      return P;
  return nullptr;
}

// An agent that asks has heard of a version before this one has.
void StoreAgent::State::learnFromAsker(const std::string &FrameName) {
  auto V = PieceTransfer::versionOf(FrameName);
  if (V && !pursuitOf(FrameName))
    onNamed(*V);
}

void StoreAgent::State::onManifestAsk(const PeerContext &From,
                                      const std::string &FrameName) {
  learnFromAsker(FrameName);
  auto P = pursuitOf(FrameName);
  bool IsRoom = P && P->ManifestWaits_.size() < MostManifestWaits;
  if (IsRoom) {
    P->ManifestWaits_.push_back(From.Connection_);
    if (!P->Manifest_.empty())
      answerManifestWaits(*P);
    return;
  }
  // An older version than this agent brings about, or of another model.
  wire::ChunkReplyT Out;
  Out.manifest = FrameName;
  Out.index = ManifestIndex;
  Out.error = "missing";
  Net_->reply(From.Connection_, makeFrame(std::move(Out)));
}

void StoreAgent::State::onManifestReply(const wire::ChunkReplyT &Reply) {
  auto P = pursuitOf(Reply.manifest);
  if (!P || !P->Manifest_.empty())
    return;
  if (Reply.error.empty())
    takeManifest(P, {Reply.bytes.begin(), Reply.bytes.end()});
  else if (P->Tree_)
    P->Tree_->onMissing(bootNow());
}

// Whether the frame was about a version's digests.
bool StoreAgent::State::onManifestFrame(const PeerContext &From,
                                        const wire::FrameT &Frame) {
  const auto *Request = Frame.body.AsChunkRequest();
  const auto *Reply = Frame.body.AsChunkReply();
  if (Request != nullptr && Request->index == ManifestIndex)
    onManifestAsk(From, Request->manifest);
  else if (Reply != nullptr && Reply->index == ManifestIndex)
    onManifestReply(*Reply);
  else
    return false;
  return true;
}

} // namespace hawthornroad
