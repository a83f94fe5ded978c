#include "hawthornroad/agent/StoreAgentState.h"
#include "hawthornroad/base/Hash.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// Failures of the origin in a row after which its address may have changed.
constexpr unsigned OriginFailuresBeforeLook = 4;
constexpr Duration ManifestAgain = Milliseconds(300);
// A peer that was asked for the digests has them within two round trips to the
// origin and its own hearing of the version.
constexpr Duration ManifestPatience = Milliseconds(400);
// Later ones in the order wait no longer than this many patiences.
constexpr std::size_t MostManifestRank = 8;
constexpr double ManifestSpread = 0.9;
// In frames, the index that means the digests themselves.
constexpr std::uint32_t ManifestIndex = 0xffffffff;
} // namespace

// The digests of a version are some kilobytes; read by every VM from a narrow
// origin they would take as long as half of the pieces, and more connections
// than it takes. So VMs have an order, those of the origin's zone first: the
// first reads the origin, each next one only when all before it have been
// silent for a patience. The others ask the first of their zone, then the next
// in the order, and so on.
std::vector<PiecePeer>
StoreAgent::State::manifestOrder(const Pursuit &P) const {
  std::string Name = PieceTransfer::frameName(P.Version_);
  std::vector<PiecePeer> Order = Peers_;
  Order.push_back({{Vm(Self_), Settings_.Common_.Zone_}, {}});
  auto Key = [&](const PiecePeer &Each) {
    bool IsElsewhere = Each.Peer_.Zone_ != OriginZone_;
    return std::make_pair(IsElsewhere,
                          ~rendezvousScore(Name, Each.Peer_.Vm_.str()));
  };
  std::sort(
      Order.begin(), Order.end(),
      [&](const PiecePeer &A, const PiecePeer &B) { return Key(A) < Key(B); });
  return Order;
}

void StoreAgent::State::fetch(const std::shared_ptr<Pursuit> &P,
                              TimePoint Now) {
  if (P->Transfer_ || P->ManifestUnderWay_ || !Origin_ ||
      Now < P->ManifestNotBefore_ || PeersAt_ == TimePoint() || PeersUnderWay_)
    return;
  if (!P->ManifestSince_)
    P->ManifestSince_ = Now;
  std::vector<PiecePeer> Order = manifestOrder(*P);
  std::size_t Rank = 0;
  while (Order[Rank].Peer_.Vm_.str() != Self_)
    ++Rank;
  auto Patiences = static_cast<Duration::rep>(std::min(Rank, MostManifestRank));
  if (P->IsUnknownToPeers_ ||
      Now - *P->ManifestSince_ >= ManifestPatience * Patiences)
    return readManifest(P);
  if (P->ManifestAsks_ > 0 && Now - P->ManifestAskedAt_ < ManifestPatience)
    return;
  P->ManifestAskedAt_ = Now;
  askForManifest(P, Order);
}

void StoreAgent::State::readManifest(const std::shared_ptr<Pursuit> &P) {
  P->ManifestUnderWay_ = true;
  Origin_->call(platform::manifestCall(P->Version_), ManifestLimit,
                [this, P](const HttpCalls::Result &R) { onManifest(P, R); });
}

void StoreAgent::State::askForManifest(const std::shared_ptr<Pursuit> &P,
                                       std::vector<PiecePeer> Order) {
  std::erase_if(Order, [&](const PiecePeer &Each) {
    return Each.Peer_.Vm_.str() == Self_;
  });
  // The first of the own zone goes first: its link is near.
  auto Near =
      std::find_if(Order.begin(), Order.end(), [&](const PiecePeer &Each) {
        return Each.Peer_.Zone_ == Settings_.Common_.Zone_;
      });
  if (Near != Order.end())
    std::rotate(Order.begin(), Near, Near + 1);
  if (Order.empty())
    return;
  const PiecePeer &To = Order[P->ManifestAsks_++ % Order.size()];
  wire::ChunkRequestT Request;
  Request.manifest = PieceTransfer::frameName(P->Version_);
  Request.index = ManifestIndex;
  Request.vm = Self_;
  Net_->send(To.Address_, Lane::Weights, makeFrame(Request));
}

void StoreAgent::State::onManifest(const std::shared_ptr<Pursuit> &P,
                                   const HttpCalls::Result &R) {
  P->ManifestUnderWay_ = false;
  Duration Pause = ManifestAgain * (1 << std::min(P->ManifestFailures_, 3U));
  P->ManifestNotBefore_ = bootNow() + Random_.jitter(Pause, ManifestSpread);
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
    ++P->ManifestFailures_;
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
    return;
  }
  P->Manifest_ = Text;
  wire::ChunkReplyT Reply;
  Reply.manifest = PieceTransfer::frameName(P->Version_);
  Reply.index = ManifestIndex;
  Reply.bytes.assign(Text.begin(), Text.end());
  FrameBuffer Frame = makeFrame(std::move(Reply));
  for (ConnectionId To : std::exchange(P->ManifestWaits_, {}))
    Net_->reply(To, Frame);
  if (P->Transfer_)
    return P->Transfer_->setDigests(Digests->Digests_);
  if (P->ManifestUnderWay_)
    return;
  P->ManifestUnderWay_ = true;
  lookAtStaged(P, *Digests);
}

std::shared_ptr<StoreAgent::State::Pursuit>
StoreAgent::State::pursuitOf(const std::string &FrameName) const {
  for (const auto &P : {Current_, Next_})
    if (P && PieceTransfer::frameName(P->Version_) == FrameName)
      return P;
  return nullptr;
}

// Whether the frame was about a version's digests.
bool StoreAgent::State::onManifestFrame(const PeerContext &From,
                                        const wire::FrameT &Frame) {
  const auto *Request = Frame.body.AsChunkRequest();
  const auto *Reply = Frame.body.AsChunkReply();
  if (Request != nullptr && Request->index == ManifestIndex) {
    auto P = pursuitOf(Request->manifest);
    // A loaded version's digests are not fetched again.
    bool IsWanted = P && (P == Next_ || !Duty_.isDone());
    bool WillHave = IsWanted && !P->Transfer_ && P->Manifest_.empty();
    if (WillHave) {
      P->ManifestWaits_.push_back(From.Connection_);
      return true;
    }
    // Of a version that was loaded before this agent's start, or has not been
    // heard of here, the origin must be asked.
    wire::ChunkReplyT Out;
    Out.manifest = Request->manifest;
    Out.index = ManifestIndex;
    if (P)
      Out.bytes.assign(P->Manifest_.begin(), P->Manifest_.end());
    if (Out.bytes.empty())
      Out.error = "missing";
    Net_->reply(From.Connection_, makeFrame(std::move(Out)));
    return true;
  }
  if (Reply == nullptr || Reply->index != ManifestIndex)
    return false;
  auto P = pursuitOf(Reply->manifest);
  if (P && !Reply->error.empty()) {
    P->IsUnknownToPeers_ = true;
    P->ManifestNotBefore_ =
        bootNow() + Random_.jitter(ManifestAgain / 2, ManifestSpread);
  } else if (P && P->Manifest_.empty())
    takeManifest(P, {Reply->bytes.begin(), Reply->bytes.end()});
  return true;
}

} // namespace hawthornroad
