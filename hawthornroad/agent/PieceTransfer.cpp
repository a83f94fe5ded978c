#include "hawthornroad/agent/PieceTransfer.h"

#include "hawthornroad/base/Hash.h"
#include "hawthornroad/runtime/BootClock.h"
#include "hawthornroad/weights/OriginSwarm.h"
#include "platform/EngineWire.h"

#include <algorithm>
#include <charconv>

namespace hawthornroad {

namespace {
constexpr unsigned StatusOk = 200;
constexpr const char *ReplyBusy = "busy";
constexpr const char *ReplyMissing = "missing";
constexpr std::size_t DigestPrefixLength = 7; // "sha256:"
// Longest silence while a piece is read from the origin: with eight readers of
// two reads each, a piece is queued behind others for at most 0.45 s.
constexpr Duration OriginIdleTimeout = Milliseconds(1200);
constexpr Duration OriginCheckTimeout = Milliseconds(1500);
// Most pieces queued to be sent; beyond it, peers are told to ask elsewhere.
// Over a narrow link five pieces take an eighth of a second.
constexpr std::size_t MaxQueuedUploads = 5;
// Ahead of all other urgencies.
constexpr unsigned CrossZoneUrgency = 0;
// Most pieces in flight on a link that delivers them fast.
constexpr std::size_t MaxConcurrentUploads = 4;
// A piece that takes longer shows that the link is slower than configured: four
// pieces take half of this over a narrow link.
constexpr Duration SlowUpload = Milliseconds(220);
// A piece that its receiver has not acknowledged for this long is given up.
constexpr Duration UploadTimeout = Milliseconds(1500);
// Copies of one piece with a wrong digest after which the digest is suspect.
constexpr unsigned MismatchesBeforeSuspicion = 2;
} // namespace

PieceTransfer::PieceTransfer(Setup S, IoThread &Io, OriginReader *Origin,
                             PeerNet &Net, EventLog &Log,
                             PieceCounters &Counters, Callbacks C)
    : Setup_(std::move(S)), Origin_(Origin), Net_(Net), Log_(Log),
      Counters_(Counters), Callbacks_(std::move(C)), Io_(Io),
      UploadRate_(Setup_.UploadRate_) {}

std::optional<ModelVersion>
PieceTransfer::versionOf(const std::string &FrameName) {
  auto Slash = FrameName.rfind('/');
  if (Slash == std::string::npos)
    return std::nullopt;
  WeightVersion Version = 0;
  const char *End = FrameName.data() + FrameName.size();
  auto [At, Code] = std::from_chars(FrameName.data() + Slash + 1, End, Version);
  if (Code != std::errc() || At != End)
    return std::nullopt;
  return ModelVersion{FrameName.substr(0, Slash), Version};
}

void PieceTransfer::start(std::vector<std::string> Digests,
                          std::map<ChunkIndex, std::string> Held,
                          TimePoint Now) {
  Digests_ = std::move(Digests);
  Pieces_ = std::move(Held);
  ChunkSet Have(Setup_.Pieces_);
  for (const auto &[Index, Bytes] : Pieces_)
    Have.add(Index);
  startSwarm(std::move(Have), Now);
}

void PieceTransfer::startOffer(TimePoint Now) {
  ChunkSet Have(Setup_.Pieces_);
  for (ChunkIndex I = 0; I < Setup_.Pieces_; ++I)
    Have.add(I);
  startSwarm(std::move(Have), Now);
}

void PieceTransfer::startSwarm(ChunkSet Have, TimePoint Now) {
  ContentShape Shape;
  Shape.Version_ = VersionDigest(frameName(Setup_.Version_));
  Shape.Chunks_ = static_cast<ChunkIndex>(Setup_.Pieces_);
  Shape.Size_ = Setup_.Pieces_ * Setup_.PieceBytes_;
  Shape.ChunkSize_ = Setup_.PieceBytes_;
  Swarm_.emplace(
      originSwarmSetup(Setup_.Self_, Setup_.OriginZone_, Setup_.Seed_), Shape,
      std::move(Have), Now);
  StartedAt_ = Now;
  CompleteNotified_ = false;
}

void PieceTransfer::setPeers(const std::vector<PiecePeer> &Peers,
                             TimePoint Now) {
  if (!Swarm_)
    return;
  std::vector<SwarmPeer> Live;
  Addresses_.clear();
  for (const PiecePeer &P : Peers) {
    Live.push_back(P.Peer_);
    Addresses_[P.Peer_.Vm_] = P.Address_;
    Zones_[P.Peer_.Vm_] = P.Peer_.Zone_;
  }
  Swarm_->setPeers(std::move(Live), Now);
}

void PieceTransfer::tick(TimePoint Now) {
  if (!Swarm_)
    return;
  run(Swarm_->tick(Now), Now);
  upload();
  checkComplete();
}

void PieceTransfer::checkComplete() {
  if (std::exchange(HeldBefore_, held()) != held())
    LastPieceAt_ = bootNow();
  if (CompleteNotified_ || !isComplete())
    return;
  CompleteNotified_ = true;
  if (Callbacks_.OnComplete_)
    Callbacks_.OnComplete_();
}

void PieceTransfer::pump(TimePoint Now) {
  run(Swarm_->pump(Now), Now);
  checkComplete();
}

void PieceTransfer::run(const std::vector<SwarmAction> &Actions,
                        TimePoint Now) {
  for (const SwarmAction &A : Actions)
    std::visit([&](const auto &Each) { run(Each, Now); }, A);
}

bool PieceTransfer::sendTo(const Vm &To, FrameBuffer Frame) {
  auto Found = Addresses_.find(To);
  return Found != Addresses_.end() &&
         Net_.send(Found->second, Lane::Weights, std::move(Frame));
}

void PieceTransfer::run(const RequestChunk &A, TimePoint Now) {
  wire::ChunkRequestT Request;
  Request.manifest = frameName(Setup_.Version_);
  Request.index = A.Fetch_.Chunk_;
  Request.vm = Setup_.Self_.Vm_.str();
  if (!sendTo(A.Fetch_.From_, makeFrame(std::move(Request))))
    Swarm_->onRefused(A.Fetch_.Chunk_, A.Fetch_.From_, FetchResult::Lost, Now);
}

void PieceTransfer::run(const ReadOrigin &A, TimePoint Now) {
  if (!hasOrigin() || !ReadsOrigin_)
    return Swarm_->onOrigin(A.Chunk_, OriginReadResult::Nothing, Now);
  Origin_->read(
      platform::pieceCall(Setup_.Version_, A.Chunk_),
      {OriginIdleTimeout,
       std::max(Setup_.PieceBytes_, HttpCalls::MaxFailureText)},
      [Weak = weak_from_this(), Index = A.Chunk_](OriginReader::Result R) {
        auto Self = Weak.lock();
        return Self && Self->onPieceRead(Index, std::move(R));
      });
}

bool PieceTransfer::onPieceRead(ChunkIndex Index, OriginReader::Result R) {
  TimePoint Now = bootNow();
  if (std::holds_alternative<OriginMoved>(R)) {
    Swarm_->onOrigin(Index, OriginReadResult::Nothing, Now);
    return false;
  }
  auto *Answer = std::get_if<HttpAnswer>(&R);
  bool IsAnswered = Answer != nullptr && Answer->Status_ == StatusOk;
  logOriginState(IsAnswered);
  if (!IsAnswered) {
    bool NothingReceived =
        Answer != nullptr || std::get<LinkFailure>(R).NeverSent_;
    Swarm_->onOrigin(Index,
                     NothingReceived ? OriginReadResult::Nothing
                                     : OriginReadResult::Wasted,
                     Now);
    return false;
  }
  Counters_.OriginBytes_ += Answer->Body_.size();
  if (!matchesDigest(Index, Answer->Body_)) {
    Swarm_->onOrigin(Index, OriginReadResult::Wasted, Now);
    return false;
  }
  Pieces_[Index] = std::move(Answer->Body_);
  Swarm_->onOrigin(Index, OriginReadResult::Good, Now);
  pump(Now);
  return true;
}

// Logs once when the origin stops answering, and once when it answers again.
void PieceTransfer::logOriginState(bool Answers) {
  if (Answers == OriginAnswers_)
    return;
  OriginAnswers_ = Answers;
  Log_.write(LogLine(Answers ? "origin_back" : "origin_lost")
                 .count("version", Setup_.Version_.Version_)
                 .count("held", held()));
}

// The platform's origin keeps no record of grants, and writes to the table are
// expensive: whoever asks for a grant gets it. The swarm asks only for its own
// slices, and for those of others after their owners have been silent. So a
// piece may be read twice when views of the fleet differ, but none stays
// unread.
void PieceTransfer::run(const ClaimGrant &A, TimePoint Now) {
  Swarm_->onClaim(A.Grant_, ClaimResult::Won, Now);
}

// Reads the manifest again: it is small, and only a working origin answers.
void PieceTransfer::run(const CheckOrigin &, TimePoint Now) {
  if (!hasOrigin())
    return Swarm_->onOriginChecked(false, Now);
  Origin_->read(platform::manifestCall(Setup_.Version_),
                {OriginCheckTimeout, MaxManifest},
                [Weak = weak_from_this()](const OriginReader::Result &R) {
                  auto Self = Weak.lock();
                  const auto *Answer = std::get_if<HttpAnswer>(&R);
                  bool Answers =
                      Answer != nullptr && Answer->Status_ == StatusOk;
                  if (Self)
                    Self->onOriginChecked(Answers);
                  return Answers;
                });
}

void PieceTransfer::onOriginChecked(bool Answers) {
  logOriginState(Answers);
  Swarm_->onOriginChecked(Answers, bootNow());
}

void PieceTransfer::onOriginMoved(const AvailabilityZone &Zone, TimePoint Now) {
  Setup_.OriginZone_ = Zone;
  if (Swarm_ && Origin_ != nullptr)
    Swarm_->onOriginMoved(Zone, Now);
}

void PieceTransfer::run(const AskHave &A, TimePoint) {
  wire::ChunkAskT Ask;
  Ask.manifest = frameName(Setup_.Version_);
  Ask.vm = Setup_.Self_.Vm_.str();
  sendTo(A.To_, makeFrame(std::move(Ask)));
}

void PieceTransfer::run(const TellHave &A, TimePoint) {
  wire::ChunkHaveT Have;
  Have.manifest = frameName(Setup_.Version_);
  Have.vm = Setup_.Self_.Vm_.str();
  Have.uploads = static_cast<std::uint32_t>(Uploads_.size());
  if (A.Update_.IsFullBitmap_)
    Have.bitmap = Swarm_->held().bytes();
  else
    Have.added = A.Update_.Added_;
  sendTo(A.Update_.To_, makeFrame(std::move(Have)));
}

Vm PieceTransfer::findVm(const PeerAddress &Address) const {
  for (const auto &[Peer, Its] : Addresses_)
    if (Its == Address)
      return Peer;
  return {};
}

bool PieceTransfer::onFrame(const PeerContext &From, const wire::FrameT &Frame,
                            TimePoint Now) {
  if (!Swarm_)
    return false;
  std::string Name = frameName(Setup_.Version_);
  if (const auto *Ask = Frame.body.AsChunkAsk()) {
    if (Ask->manifest != Name)
      return false;
    Vm Who(Ask->vm);
    Addresses_.try_emplace(Who, From.Address_);
    Swarm_->onAsk(Who, Now);
    return true;
  }
  if (const auto *Have = Frame.body.AsChunkHave()) {
    if (Have->manifest != Name)
      return false;
    Vm Who(Have->vm);
    if (Have->bitmap.empty())
      Swarm_->onAdded(Who, Have->added, Have->uploads, Now);
    else
      Swarm_->onHave(Who, ChunkSet::fromBytes(Have->bitmap, Setup_.Pieces_),
                     Have->uploads, Now);
    pump(Now);
    return true;
  }
  if (const auto *Request = Frame.body.AsChunkRequest()) {
    if (Request->manifest != Name)
      return false;
    onRequest(From, *Request, Now);
    return true;
  }
  if (const auto *Reply = Frame.body.AsChunkReply()) {
    if (Reply->manifest != Name)
      return false;
    if (!Reply->bytes.empty()) {
      wire::ChunkTakenT Taken;
      Taken.manifest = Name;
      Taken.index = Reply->index;
      Net_.reply(From.Connection_, makeFrame(std::move(Taken)));
    }
    onReply(*Reply, findVm(From.Address_), Now);
    return true;
  }
  if (const auto *Taken = Frame.body.AsChunkTaken()) {
    if (Taken->manifest != Name)
      return false;
    endUpload(From.Connection_, Taken->index, Now);
    return true;
  }
  return false;
}

void PieceTransfer::answer(const PeerContext &To, ChunkIndex Index,
                           const std::string &Bytes) {
  wire::ChunkReplyT Reply;
  Reply.manifest = frameName(Setup_.Version_);
  Reply.index = Index;
  if (Bytes.empty())
    Reply.error = ReplyMissing;
  else
    Reply.bytes.assign(Bytes.begin(), Bytes.end());
  Counters_.SentBytes_ += Bytes.size();
  Net_.reply(To.Connection_, makeFrame(std::move(Reply)));
  // Errors are not acknowledged.
  if (Bytes.empty()) {
    Uploading_.erase({To.Connection_, Index});
    upload();
  }
}

void PieceTransfer::onRequest(const PeerContext &From,
                              const wire::ChunkRequestT &R, TimePoint Now) {
  unsigned Urgency = urgencyOf(Vm(R.vm));
  std::size_t MaxQueued =
      Urgency == CrossZoneUrgency ? 2 * MaxQueuedUploads : MaxQueuedUploads;
  if (Uploads_.size() >= MaxQueued) {
    wire::ChunkReplyT Busy;
    Busy.manifest = R.manifest;
    Busy.index = R.index;
    Busy.error = ReplyBusy;
    Net_.reply(From.Connection_, makeFrame(std::move(Busy)));
    return;
  }
  if (!Swarm_->held().has(R.index))
    return answer(From, R.index, {});
  auto After =
      std::find_if(Uploads_.begin(), Uploads_.end(),
                   [&](const Upload &Each) { return Each.Urgency_ > Urgency; });
  Uploads_.insert(After, {From, R.index, Urgency});
  upload();
}

// A piece sent to another zone supplies that whole zone, and may be the last
// one to get there before the zones are cut off from each other.
unsigned PieceTransfer::urgencyOf(const Vm &Peer) const {
  auto Found = Zones_.find(Peer);
  if (Found != Zones_.end() && Found->second != Setup_.Self_.Zone_)
    return CrossZoneUrgency;
  unsigned InZone = Callbacks_.Urgency_ ? Callbacks_.Urgency_(Peer) : 0;
  return CrossZoneUrgency + 1 + InZone;
}

// Sends pieces at the upload rate, a few at a time. A link can be slower than
// configured, which shows when a piece takes long: then pieces are sent one by
// one, with a pause after each, so that live requests keep most of the link.
void PieceTransfer::upload() {
  TimePoint Now = bootNow();
  std::erase_if(Uploading_, [&](const auto &Each) {
    return Now - Each.second >= UploadTimeout;
  });
  while (!Uploads_.empty() && Uploading_.size() < ConcurrentUploads_) {
    TimePoint At = std::max(UploadRate_.opensAt(), UploadNotBefore_);
    if (At > Now)
      return uploadLater(At - Now);
    Upload Next = std::move(Uploads_.front());
    Uploads_.pop_front();
    UploadRate_.take(Setup_.PieceBytes_, Now);
    Uploading_[{Next.To_.Connection_, Next.Index_}] = Now;
    startUpload(Next.To_, Next.Index_);
  }
}

void PieceTransfer::uploadLater(Duration Wait) {
  if (UploadTimerSet_)
    return;
  UploadTimerSet_ = true;
  Io_.after(Wait, [Weak = weak_from_this()] {
    if (auto Self = Weak.lock()) {
      Self->UploadTimerSet_ = false;
      Self->upload();
    }
  });
}

void PieceTransfer::endUpload(ConnectionId To, ChunkIndex Index,
                              TimePoint Now) {
  auto Found = Uploading_.find({To, Index});
  if (Found == Uploading_.end())
    return;
  Duration Took = Now - Found->second;
  Uploading_.erase(Found);
  if (Took > SlowUpload) {
    ConcurrentUploads_ = 1;
    UploadNotBefore_ = Now + Took;
  } else if (Took < SlowUpload / 2) {
    ConcurrentUploads_ = std::min(ConcurrentUploads_ + 1, MaxConcurrentUploads);
  }
  upload();
}

void PieceTransfer::startUpload(const PeerContext &From, ChunkIndex Index) {
  auto Found = Pieces_.find(Index);
  if (Found != Pieces_.end())
    return answer(From, Index, Found->second);
  if (!Callbacks_.ReadStaged_)
    return answer(From, Index, {});
  Callbacks_.ReadStaged_(
      Index, [Weak = weak_from_this(), From, Index](const std::string &Bytes) {
        if (auto Self = Weak.lock())
          Self->answer(From, Index, Bytes);
      });
}

bool PieceTransfer::matchesDigest(ChunkIndex Index, const std::string &Bytes) {
  if (Index >= Digests_.size())
    return false;
  if (sha256(Bytes).substr(DigestPrefixLength) == Digests_[Index])
    return true;
  ++Counters_.Mismatches_;
  if (++MismatchCount_[Index] >= MismatchesBeforeSuspicion) {
    MismatchCount_[Index] = 0;
    if (Callbacks_.OnDigestsSuspect_)
      Callbacks_.OnDigestsSuspect_();
  }
  return false;
}

void PieceTransfer::onReply(const wire::ChunkReplyT &R, const Vm &From,
                            TimePoint Now) {
  ChunkIndex Index = R.index;
  if (Index >= Setup_.Pieces_ || Swarm_->held().has(Index))
    return Swarm_->onRefused(Index, From, FetchResult::Missing, Now);
  if (!R.error.empty()) {
    Swarm_->onRefused(
        Index, From,
        R.error == ReplyBusy ? FetchResult::Busy : FetchResult::Missing, Now);
    return pump(Now);
  }
  std::string Bytes(R.bytes.begin(), R.bytes.end());
  Counters_.PeerBytes_ += Bytes.size();
  if (!matchesDigest(Index, Bytes)) {
    Log_.write(LogLine("piece_wrong")
                   .count("piece", Index)
                   .text("peer", From.str())
                   .text("version", frameName(Setup_.Version_)));
    Swarm_->onRefused(Index, From, FetchResult::Bad, Now);
    return pump(Now);
  }
  Pieces_[Index] = std::move(Bytes);
  Swarm_->onChunk(Index, From, Now);
  pump(Now);
}

void PieceTransfer::onPeerLost(const PeerAddress &Address, TimePoint Now) {
  if (!Swarm_)
    return;
  Vm Who = findVm(Address);
  if (!Who.empty())
    Swarm_->onLost(Who, Now);
}

} // namespace hawthornroad
