#include "hawthornroad/agent/StoreAgentState.h"
#include "hawthornroad/base/Hash.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// Chunk index that stands for the manifest in frames.
constexpr std::uint32_t ManifestIndex = 0xffffffff;
// Most connections that wait for the digests: more than the children and the
// first VMs of the other zones that weights/DigestTree sends here.
constexpr std::size_t MaxManifestWaiters = 256;
} // namespace

std::vector<SwarmPeer> StoreAgent::State::swarmPeers() const {
  std::vector<SwarmPeer> Out;
  for (const PiecePeer &Each : Peers_)
    Out.push_back(Each.Peer_);
  return Out;
}

void StoreAgent::State::fetch(const std::shared_ptr<VersionUpdate> &P,
                              TimePoint Now) {
  if (!P->Transfer_)
    fetchDigests(P, Now);
}

// Fetches the digests of the loaded version for peers that ask for them.
void StoreAgent::State::fetchDigestsForPeers(TimePoint Now) {
  if (!Current_ || !Updater_.isDone() || Current_->ManifestWaiters_.empty())
    return;
  // An agent that started beside a loaded engine has not needed the peers
  // before.
  if (PeersAt_ == TimePoint())
    listPeers(Now);
  fetchDigests(Current_, Now);
}

void StoreAgent::State::fetchDigests(const std::shared_ptr<VersionUpdate> &P,
                                     TimePoint Now) {
  if (P->ManifestPending_ || !Origin_.isKnown() || PeersAt_ == TimePoint() ||
      PeersPending_)
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
    requestManifest(*P, Step.To_);
}

void StoreAgent::State::readManifest(const std::shared_ptr<VersionUpdate> &P) {
  P->ManifestPending_ = true;
  Origin_.read(
      platform::manifestCall(P->Version_),
      {.Time_ = ManifestTimeout,
       .MaxBody_ = PieceTransfer::MaxManifest,
       .NeedsNewConnection_ = true},
      [this, P](const OriginReader::Result &R) { return onManifest(P, R); });
}

void StoreAgent::State::requestManifest(const VersionUpdate &P, const Vm &To) {
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

bool StoreAgent::State::onManifest(const std::shared_ptr<VersionUpdate> &P,
                                   const OriginReader::Result &R) {
  P->ManifestPending_ = false;
  if (std::holds_alternative<OriginMoved>(R))
    return false;
  const auto *Answer = std::get_if<HttpAnswer>(&R);
  constexpr unsigned Ok = 200;
  if (Answer == nullptr || Answer->Status_ != Ok) {
    LogLine L("manifest_failed");
    L.count("version", P->Version_.Version_).text("origin", Origin_.address());
    if (Answer != nullptr)
      L.count("status", Answer->Status_);
    else
      L.text("why", std::get<LinkFailure>(R).Message_);
    Log_.write(L);
    if (P->Tree_)
      P->Tree_->onReadFailed(bootNow());
    return false;
  }
  PieceCounters_.OriginBytes_ += Answer->Body_.size();
  return takeManifest(P, Answer->Body_);
}

bool StoreAgent::State::takeManifest(const std::shared_ptr<VersionUpdate> &P,
                                     const std::string &Text) {
  auto Digests = platform::decodeManifest(Text, P->Version_);
  if (P != Current_ && P != Next_)
    return Digests.has_value();
  if (!Digests) {
    Log_.write(
        LogLine("manifest_spoilt").count("version", P->Version_.Version_));
    if (P->Tree_)
      P->Tree_->onReadFailed(bootNow());
    return false;
  }
  P->Manifest_ = Text;
  answerManifestWaiters(*P);
  if (P->Transfer_) {
    P->Transfer_->setDigests(Digests->Digests_);
    return true;
  }
  bool IsLoaded = P == Current_ && Updater_.isDone();
  if (P->ManifestPending_ || IsLoaded)
    return true;
  P->ManifestPending_ = true;
  checkStaged(P, *Digests);
  return true;
}

void StoreAgent::State::answerManifestWaiters(VersionUpdate &P) {
  wire::ChunkReplyT Reply;
  Reply.manifest = PieceTransfer::frameName(P.Version_);
  Reply.index = ManifestIndex;
  Reply.bytes.assign(P.Manifest_.begin(), P.Manifest_.end());
  FrameBuffer Frame = makeFrame(std::move(Reply));
  for (ConnectionId To : std::exchange(P.ManifestWaiters_, {}))
    Net_->reply(To, Frame);
}

std::shared_ptr<StoreAgent::State::VersionUpdate>
StoreAgent::State::findUpdate(const std::string &FrameName) const {
  for (const auto &P : {Current_, Next_})
    if (P && PieceTransfer::frameName(P->Version_) == FrameName)
      return P;
  return nullptr;
}

// A request for an unknown version's digests shows that the version was
// published.
void StoreAgent::State::learnVersionFrom(const std::string &FrameName) {
  auto V = PieceTransfer::versionOf(FrameName);
  if (V && !findUpdate(FrameName))
    onVersionHeard(*V);
}

void StoreAgent::State::onManifestRequest(const PeerContext &From,
                                          const std::string &FrameName) {
  learnVersionFrom(FrameName);
  auto P = findUpdate(FrameName);
  bool HasRoom = P && P->ManifestWaiters_.size() < MaxManifestWaiters;
  if (HasRoom) {
    P->ManifestWaiters_.push_back(From.Connection_);
    if (!P->Manifest_.empty())
      answerManifestWaiters(*P);
    return;
  }
  // An older version than this agent wants, or one of another model.
  wire::ChunkReplyT Out;
  Out.manifest = FrameName;
  Out.index = ManifestIndex;
  Out.error = "missing";
  Net_->reply(From.Connection_, makeFrame(std::move(Out)));
}

void StoreAgent::State::onManifestReply(const wire::ChunkReplyT &Reply) {
  auto P = findUpdate(Reply.manifest);
  if (!P || !P->Manifest_.empty())
    return;
  if (Reply.error.empty())
    takeManifest(P, {Reply.bytes.begin(), Reply.bytes.end()});
  else if (P->Tree_)
    P->Tree_->onMissing(bootNow());
}

// Handles frames about a version's digests; returns whether this was one.
bool StoreAgent::State::onManifestFrame(const PeerContext &From,
                                        const wire::FrameT &Frame) {
  const auto *Request = Frame.body.AsChunkRequest();
  const auto *Reply = Frame.body.AsChunkReply();
  if (Request != nullptr && Request->index == ManifestIndex)
    onManifestRequest(From, Request->manifest);
  else if (Reply != nullptr && Reply->index == ManifestIndex)
    onManifestReply(*Reply);
  else
    return false;
  return true;
}

} // namespace hawthornroad
