// Brings the pieces of one version to this VM, together with the agents of the
// other VMs.
//
//   auto T = std::make_shared<PieceTransfer>(Setup, Io, Origin, Net, ...);
//   T->start(Digests, Held, Now);
//   T->setPeers(Peers, Now);
//   T->onFrame(From, Frame, Now);
//   T->tick(Now);
//
// The decisions are weights/Swarm's: which piece to ask of whom, and who reads
// the origin. Here they are carried out: frames to and from peers, reads from
// the origin, digests checked before a piece counts.
//
// Pieces are gathered in memory (a version is a few megabytes) and not beside
// the engine, which has room for one version: so the next version can be on its
// way while the one before waits for its turn to be loaded. Once a version is
// loaded, forgetPieces() frees them; later requests are answered through
// ReadStaged from what lies at the engine, unchecked: who asked for a piece
// checks it.
//
// All of it runs on one thread.

#ifndef HAWTHORNROAD_AGENT_PIECETRANSFER_H
#define HAWTHORNROAD_AGENT_PIECETRANSFER_H

#include "hawthornroad/http/HttpCalls.h"
#include "hawthornroad/peers/PeerNet.h"
#include "hawthornroad/runtime/EventLog.h"
#include "hawthornroad/staging/EngineDuty.h"
#include "hawthornroad/weights/RateLimiter.h"
#include "hawthornroad/weights/Swarm.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace hawthornroad {

// Another agent that needs the version, or holds it.
struct PiecePeer {
  SwarmPeer Peer_;
  PeerAddress Address_;
  bool operator==(const PiecePeer &) const = default;
};

// Counted for the metrics.
struct PieceCounters {
  std::uint64_t OriginBytes_ = 0;
  std::uint64_t PeerBytes_ = 0;
  std::uint64_t SentBytes_ = 0;
  std::uint64_t Wrong_ = 0;
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
    // Bytes a second that pieces may take of this VM's link; 0: no bound. The
    // engine's answers use the same link, and an event that waits behind a
    // burst of pieces comes late.
    std::int64_t UploadRate_ = 0;
  };
  struct Callbacks {
    // All pieces are here.
    std::function<void()> OnWhole_;
    // Reads a piece that is not in memory; empty bytes when it cannot be had.
    std::function<void(ChunkIndex, std::function<void(std::string)>)>
        ReadStaged_;
    // Of the zone's peers, those with a lower value are sent pieces first. May
    // be empty.
    std::function<unsigned(const Vm &)> Urgency_;
    // A piece never matches its digest, wherever it comes from: the digests
    // themselves may be spoilt.
    std::function<void()> OnDoubt_;
  };

  // Origin may be null when this VM only passes pieces on.
  PieceTransfer(Setup S, IoThread &Io, HttpCalls *Origin, PeerNet &Net,
                EventLog &Log, PieceCounters &Counters, Callbacks C);

  // Held: pieces known to be right.
  void start(std::vector<std::string> Digests,
             std::map<ChunkIndex, std::string> Held, TimePoint Now);
  // This VM only passes on what lies staged, all of it.
  void startOffer(TimePoint Now);
  void setDigests(std::vector<std::string> Digests) {
    Digests_ = std::move(Digests);
  }
  void setPeers(const std::vector<PiecePeer> &Peers, TimePoint Now);
  // Whether the frame was about this version.
  bool onFrame(const PeerContext &From, const wire::FrameT &Frame,
               TimePoint Now);
  void onPeerLost(const PeerAddress &Address, TimePoint Now);
  void tick(TimePoint Now);
  // Another version needs the origin first.
  void setReadsOrigin(bool Reads) { ReadsOrigin_ = Reads; }
  void forgetPieces() { Pieces_.clear(); }
  const std::map<ChunkIndex, std::string> &pieces() const { return Pieces_; }
  const std::vector<std::string> &digests() const { return Digests_; }

  bool isWhole() const { return Swarm_ && Swarm_->isDone(); }
  std::size_t held() const { return Swarm_ ? Swarm_->held().count() : 0; }
  TimePoint startedAt() const { return StartedAt_; }
  // When the last piece came.
  TimePoint heldAt() const { return HeldAt_; }
  const ModelVersion &version() const { return Setup_.Version_; }
  static std::string frameName(const ModelVersion &V) {
    return V.Model_ + "/" + std::to_string(V.Version_);
  }
  // The version whose frames bear a name; nothing for a name of another form.
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
  bool sendTo(const Vm &To, FrameBuffer Frame);
  void onRequest(const PeerContext &From, const wire::ChunkRequestT &R,
                 TimePoint Now);
  void onReply(const wire::ChunkReplyT &R, const Vm &From, TimePoint Now);
  // Sends what waits as far as the link's share allows.
  void upload();
  void uploadLater(Duration Wait);
  void endUpload(ConnectionId To, ChunkIndex Index, TimePoint Now);
  void startUpload(const PeerContext &To, ChunkIndex Index);
  void answer(const PeerContext &To, ChunkIndex Index,
              const std::string &Bytes);
  bool isRight(ChunkIndex Index, const std::string &Bytes);
  void startSwarm(ChunkSet Have, TimePoint Now);
  unsigned urgencyOf(const Vm &Peer) const;
  Vm vmOf(const PeerAddress &Address) const;
  void checkWhole();
  void noteOrigin(bool Answers);

  Setup Setup_;
  HttpCalls *Origin_;
  PeerNet &Net_;
  EventLog &Log_;
  PieceCounters &Counters_;
  Callbacks Callbacks_;
  std::vector<std::string> Digests_;
  std::optional<Swarm> Swarm_;
  std::map<ChunkIndex, std::string> Pieces_;
  std::map<Vm, PeerAddress> Addresses_;
  std::map<Vm, AvailabilityZone> Zones_;
  std::map<ChunkIndex, unsigned> WrongCount_;
  struct Upload {
    PeerContext To_;
    ChunkIndex Index_ = 0;
    unsigned Urgency_ = 0;
  };
  std::deque<Upload> Uploads_;
  // Pieces under way and since when; receivers say when they have come.
  std::map<std::pair<ConnectionId, ChunkIndex>, TimePoint> Uploading_;
  std::size_t UploadsAtOnce_ = 1;
  TimePoint UploadNotBefore_{};
  bool UploadTimerSet_ = false;
  IoThread &Io_;
  RateLimiter UploadRate_;
  TimePoint StartedAt_{};
  TimePoint HeldAt_{};
  std::size_t HeldBefore_ = 0;
  bool WholeTold_ = false;
  bool ReadsOrigin_ = true;
  bool OriginAnswers_ = true;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_AGENT_PIECETRANSFER_H
