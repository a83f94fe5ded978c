// Transfers the pieces of one version to this VM, in cooperation with the
// agents of the other VMs.
//
//   auto T = std::make_shared<PieceTransfer>(Setup, Io, Origin, Net, ...);
//   T->start(Digests, Held, Now);
//   T->setPeers(Peers, Now);
//   T->onFrame(From, Frame, Now);
//   T->tick(Now);
//
// weights/Swarm decides which piece to request from which peer, and who reads
// the origin. This class carries it out: it exchanges frames with peers, reads
// from the origin, and checks a piece's digest before the piece counts as held.
//
// Pieces are collected in memory (a version is a few megabytes) and not staged
// at the engine, which has room for one version. So the next version can be
// transferred while the previous one waits to be loaded. Once a version is
// loaded, forgetPieces() frees them; later requests are answered through
// ReadStaged from the staged pieces, unchecked, since the requester checks each
// piece.
//
// Runs on one thread.

#ifndef HAWTHORNROAD_AGENT_PIECETRANSFER_H
#define HAWTHORNROAD_AGENT_PIECETRANSFER_H

#include "hawthornroad/agent/OriginReader.h"
#include "hawthornroad/peers/PeerNet.h"
#include "hawthornroad/runtime/EventLog.h"
#include "hawthornroad/staging/EngineUpdater.h"
#include "hawthornroad/weights/RateLimiter.h"
#include "hawthornroad/weights/Swarm.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace hawthornroad {

// Another agent that needs or holds the version.
struct PiecePeer {
  SwarmPeer Peer_;
  PeerAddress Address_;
  bool operator==(const PiecePeer &) const = default;
};

struct PieceCounters {
  std::uint64_t OriginBytes_ = 0;
  std::uint64_t PeerBytes_ = 0;
  std::uint64_t SentBytes_ = 0;
  std::uint64_t Mismatches_ = 0;
};

class PieceTransfer : public std::enable_shared_from_this<PieceTransfer> {
public:
  struct Setup {
    ModelVersion Version_;
    SwarmPeer Self_;
    AvailabilityZone OriginZone_;
    std::size_t Pieces_ = 0;
    std::size_t PieceBytes_ = 0;
    std::uint64_t Seed_ = 1;
    // Bytes per second of this VM's link that pieces may use; 0: no limit. The
    // engine's answers share the link, and an event that is queued behind a
    // burst of pieces is late.
    std::int64_t UploadRate_ = 0;
  };
  struct Callbacks {
    // All pieces are held.
    std::function<void()> OnComplete_;
    // Reads a piece that is not in memory; passes empty bytes on failure.
    std::function<void(ChunkIndex, std::function<void(std::string)>)>
        ReadStaged_;
    // Among peers of the same zone, those with a lower value are sent pieces
    // first. May be empty.
    std::function<unsigned(const Vm &)> Urgency_;
    // A piece does not match its digest, whatever its source: the digests
    // themselves may be corrupted.
    std::function<void()> OnDigestsSuspect_;
  };

  // Bytes of an origin's answer with the digests of a version.
  static constexpr std::size_t MaxManifest = 8 * 1024 * 1024;

  // Origin may be null when this VM only serves pieces; it outlives this, and
  // is not read while its address is unknown.
  PieceTransfer(Setup S, IoThread &Io, OriginReader *Origin, PeerNet &Net,
                EventLog &Log, PieceCounters &Counters, Callbacks C);

  // Held: pieces that are known to match their digests.
  void start(std::vector<std::string> Digests,
             std::map<ChunkIndex, std::string> Held, TimePoint Now);
  // This VM only serves its staged pieces, which are complete.
  void startOffer(TimePoint Now);
  void setDigests(std::vector<std::string> Digests) {
    Digests_ = std::move(Digests);
  }
  void setPeers(const std::vector<PiecePeer> &Peers, TimePoint Now);
  // Returns whether the frame was about this version.
  bool onFrame(const PeerContext &From, const wire::FrameT &Frame,
               TimePoint Now);
  void onPeerLost(const PeerAddress &Address, TimePoint Now);
  // The origin has another address, in this zone; its reads have ended.
  void onOriginMoved(const AvailabilityZone &Zone, TimePoint Now);
  void tick(TimePoint Now);
  // False while another version has precedence at the origin.
  void setReadsOrigin(bool Reads) { ReadsOrigin_ = Reads; }
  void forgetPieces() { Pieces_.clear(); }
  // The pieces in memory, and whether these are all.
  const std::map<ChunkIndex, std::string> &pieces() const { return Pieces_; }
  bool holdsCopy() const {
    return !Digests_.empty() && Pieces_.size() == Digests_.size();
  }
  std::size_t pieceBytes() const { return Setup_.PieceBytes_; }
  const std::vector<std::string> &digests() const { return Digests_; }

  bool isComplete() const { return Swarm_ && Swarm_->isDone(); }
  std::size_t held() const { return Swarm_ ? Swarm_->held().count() : 0; }
  TimePoint startedAt() const { return StartedAt_; }
  // When the latest piece arrived.
  TimePoint lastPieceAt() const { return LastPieceAt_; }
  const ModelVersion &version() const { return Setup_.Version_; }
  static std::string frameName(const ModelVersion &V) {
    return V.Model_ + "/" + std::to_string(V.Version_);
  }
  // The version that a frame name stands for; nothing if the name is malformed.
  static std::optional<ModelVersion> versionOf(const std::string &FrameName);

private:
  void pump(TimePoint Now);
  void run(const std::vector<SwarmAction> &Actions, TimePoint Now);
  void run(const RequestChunk &A, TimePoint Now);
  void run(const ReadOrigin &A, TimePoint Now);
  void run(const ClaimGrant &A, TimePoint Now);
  void run(const CheckOrigin &A, TimePoint Now);
  void run(const AskHave &A, TimePoint Now);
  void run(const TellHave &A, TimePoint Now);
  bool hasOrigin() const { return Origin_ != nullptr && Origin_->isKnown(); }
  // Returns whether the piece is held now.
  bool onPieceRead(ChunkIndex Index, OriginReader::Result R);
  void onOriginChecked(bool Answers);
  bool sendTo(const Vm &To, FrameBuffer Frame);
  void onRequest(const PeerContext &From, const wire::ChunkRequestT &R,
                 TimePoint Now);
  void onReply(const wire::ChunkReplyT &R, const Vm &From, TimePoint Now);
  // Sends queued pieces as far as the upload rate allows.
  void upload();
  void uploadLater(Duration Wait);
  void endUpload(ConnectionId To, ChunkIndex Index, TimePoint Now);
  void startUpload(const PeerContext &To, ChunkIndex Index);
  void answer(const PeerContext &To, ChunkIndex Index,
              const std::string &Bytes);
  bool matchesDigest(ChunkIndex Index, const std::string &Bytes);
  void startSwarm(ChunkSet Have, TimePoint Now);
  unsigned urgencyOf(const Vm &Peer) const;
  Vm findVm(const PeerAddress &Address) const;
  void checkComplete();
  void logOriginState(bool Answers);

  Setup Setup_;
  OriginReader *Origin_;
  PeerNet &Net_;
  EventLog &Log_;
  PieceCounters &Counters_;
  Callbacks Callbacks_;
  std::vector<std::string> Digests_;
  std::optional<Swarm> Swarm_;
  std::map<ChunkIndex, std::string> Pieces_;
  std::map<Vm, PeerAddress> Addresses_;
  std::map<Vm, AvailabilityZone> Zones_;
  std::map<ChunkIndex, unsigned> MismatchCount_;
  struct Upload {
    PeerContext To_;
    ChunkIndex Index_ = 0;
    unsigned Urgency_ = 0;
  };
  std::deque<Upload> Uploads_;
  // Pieces in flight and when each was sent; receivers acknowledge them.
  std::map<std::pair<ConnectionId, ChunkIndex>, TimePoint> Uploading_;
  std::size_t ConcurrentUploads_ = 1;
  TimePoint UploadNotBefore_{};
  bool UploadTimerSet_ = false;
  IoThread &Io_;
  RateLimiter UploadRate_;
  TimePoint StartedAt_{};
  TimePoint LastPieceAt_{};
  std::size_t HeldBefore_ = 0;
  bool CompleteNotified_ = false;
  bool ReadsOrigin_ = true;
  bool OriginAnswers_ = true;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_AGENT_PIECETRANSFER_H
