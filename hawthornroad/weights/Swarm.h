// The decision logic of one VM for distributing one version to the fleet: takes
// events and returns actions, which the driver (transfer/WeightTransfer,
// bench/WeightsModel) carries out.
//
//   Swarm S({.Self_ = {Vm, Zone}, ...}, Manifest, Held);
//   S.setPeers(Peers, Now);
//   S.onChunk(7, From, Now);             // verified and stored
//   for (const SwarmAction &A : S.tick(Now)) ...
//
// Path of a chunk:
// 1. Its owner reads it from the origin, under a grant of OriginBudget.
// 2. The owner of each other zone fetches it into its zone, from the owner or
//    from the owner of another zone, whichever watched peer has it.
// 3. Within the zone every VM requests chunks from its neighbours, rarest
//    first, and serves each chunk as soon as it is verified.
//
// Owners die, stall and are partitioned, and none of this can be told from a
// slow link. The criterion is therefore progress: a slice is late when none of
// its chunks has been newly seen for a timeout. When a slice is late in the
// zone, the next VM in the zone's order fetches it across zones; when it is
// late everywhere, the next VM in the fleet's order reads what is missing,
// under spare grants. The timeout grows with the rank, so that one VM steps in
// and not all. Across the fleet, time alone is no evidence: with a slow origin
// every slice is silent for long. So a slice must also have fallen behind the
// others, by LagChunks_ chunks each.
//
// That rule protects spare grants. It cannot detect owners that never began:
// where slices have few chunks, the other slices are complete before they are
// LagChunks_ ahead, and a zone cut off from the origin or the table would have
// to wait for the timeout of rank after rank. Therefore any VM may claim the
// slice's own grant after the timeout of its rank, on time alone. If the owner
// is working, the claim is lost and costs one write; if not, the winner reads
// in the owner's place, and each chunk is still read once. The holder of the
// grant reads, whatever its rank.
//
// An owner that is slow rather than silent, behind a link of reduced bandwidth,
// gets help (HelpAfter_): a VM that has no chunks of its own left to read and
// has recently had an answer from the origin reads chunks of other owners that
// nobody holds yet, first those of slices where it is next in the order. When
// it receives no more chunks, it also reads chunks that a single other VM holds
// and fails to deliver.
//
// Reading in another VM's place requires a recent answer from the origin: while
// the origin is down or unreachable, VMs that try in turn would otherwise use
// up the spare grants, or win slices that they cannot read.

#ifndef HAWTHORNROAD_WEIGHTS_SWARM_H
#define HAWTHORNROAD_WEIGHTS_SWARM_H

#include "hawthornroad/config/Declaration.h"
#include "hawthornroad/weights/ChunkPlan.h"
#include "hawthornroad/weights/OriginBudget.h"

#include <variant>
#include <vector>

namespace hawthornroad {

struct RequestChunk {
  ChunkFetch Fetch_;
  bool operator==(const RequestChunk &) const = default;
};
struct ReadOrigin {
  ChunkIndex Chunk_ = 0;
  bool operator==(const ReadOrigin &) const = default;
};
// Creates the grant's key in the ledger, or finds out who holds it.
struct ClaimGrant {
  Grant Grant_;
  bool operator==(const ClaimGrant &) const = default;
};
// Checks whether the origin answers, without reading chunks.
struct CheckOrigin {
  bool operator==(const CheckOrigin &) const = default;
};
struct AskHave {
  Vm To_;
  bool operator==(const AskHave &) const = default;
};
struct TellHave {
  HaveUpdate Update_;
  bool operator==(const TellHave &) const = default;
};
using SwarmAction = std::variant<RequestChunk, ReadOrigin, ClaimGrant,
                                 CheckOrigin, AskHave, TellHave>;

// The properties of a version that the transfer needs; a subset of the
// manifest.
struct ContentShape {
  VersionDigest Version_;
  ChunkIndex Chunks_ = 0;
  std::uint64_t Size_ = 0;
  std::uint64_t ChunkSize_ = 0;
  static ContentShape of(const Manifest &M) {
    return {M.version(), M.chunkCount(), M.size(), M.chunkSize()};
  }
  bool operator==(const ContentShape &) const = default;
};

// How a read from the origin ended.
enum class OriginReadResult {
  Good,   // the chunk arrived and its digest matched
  Wasted, // bytes were or may have been sent, but no valid chunk
  Nothing // the origin sent no byte of the chunk
};

class Swarm {
public:
  struct Setup {
    SwarmPeer Self_;
    RolloutPreference Preference_ = RolloutPreference::Time;
    double OriginCopies_ = 3.3;
    std::uint64_t Seed_ = 1;
    // Concurrent reads from the origin.
    std::size_t OriginReads_ = 2;
    ChunkPlan::Limits Plan_ = {};
    HaveExchange::Limits Exchange_ = {};
    // Time without a new chunk after which a slice is late: short when the
    // preference is time, long when it is the origin's bytes.
    Duration SliceTimeout_ = Seconds(1);
    Duration OriginBytesSliceTimeout_ = Seconds(4);
    // Time without a new chunk in the zone after which the next VM in the
    // zone's order fetches across zones; doing so needlessly costs messages,
    // but no reads of the origin.
    Duration ZoneTimeout_ = Seconds(4);
    // Chunks of the average other slice seen since the last chunk of a silent
    // slice.
    std::size_t LagChunks_ = 3;
    // Pause after the origin could not be reached, and after it sent invalid
    // bytes.
    Duration OriginRetry_ = Seconds(1);
    Duration WastedReadRetry_ = Milliseconds(200);
    // A VM that knows of no peers may not have heard of them yet; it waits this
    // long before it takes itself for the owner of all slices.
    Duration NoPeersGrace_ = Seconds(1);
    // How long a successful answer from the origin counts as recent.
    Duration OriginFresh_ = Seconds(5);
    // Set when there is no ledger: every claim of a grant succeeds, so a claim
    // in another VM's place needs better evidence than a slice's silence. A
    // slice is taken over only when its owner has shown no new chunk of any of
    // its slices for the timeout, which restarts when the origin recovers.
    bool WatchOwners_ = false;
    // How long a VM must have had no chunks of its own to read before it reads
    // for the owners next to it in the order; twice as long for those after
    // these, and so on. Zero disables this. Requires WatchOwners_.
    Duration HelpAfter_ = Duration::zero();
    // The origin's zone, see Owners; empty when unknown.
    AvailabilityZone OriginZone_ = {};
  };

  Swarm(Setup S, const Manifest &M, ChunkSet Held, TimePoint Now)
      : Swarm(std::move(S), ContentShape::of(M), std::move(Held), Now) {}
  Swarm(Setup S, const ContentShape &C, ChunkSet Held, TimePoint Now);

  void setPeers(std::vector<SwarmPeer> Peers, TimePoint Now);
  // Applies a new declared budget; grants already won are kept.
  void setRollout(RolloutPreference Preference, double Copies);

  void onAsk(const Vm &From, TimePoint Now);
  void onHave(const Vm &From, const ChunkSet &Have, std::size_t Load,
              TimePoint Now);
  void onAdded(const Vm &From, const std::vector<ChunkIndex> &Added,
               std::size_t Load, TimePoint Now);
  // A chunk requested from From arrived and is stored.
  void onChunk(ChunkIndex Index, const Vm &From, TimePoint Now);
  void onRefused(ChunkIndex Index, const Vm &From, FetchResult Result,
                 TimePoint Now);
  void onOrigin(ChunkIndex Index, OriginReadResult Result, TimePoint Now);
  void onClaim(const Grant &G, ClaimResult Result, TimePoint Now);
  void onOriginChecked(bool Answers, TimePoint Now);
  // The origin was replaced by another, in this zone. Chunks that are held stay
  // held. Every slice's owner gets its time anew, as nothing that was seen of
  // the former origin says how fast this one is. Only without a ledger, and
  // after the reads in progress have ended.
  void onOriginMoved(const AvailabilityZone &Zone, TimePoint Now);
  void onLost(const Vm &Peer, TimePoint Now);

  // Returns the actions that an event made possible. Cheap; call after each
  // event.
  std::vector<SwarmAction> pump(TimePoint Now);
  // Returns all actions that are due by time; call every 20 to 100 ms.
  std::vector<SwarmAction> tick(TimePoint Now);

  const ChunkSet &held() const { return Exchange_.held(); }
  bool isDone() const { return held().isFull(); }
  // Why the transfer cannot proceed on its own; empty while it can.
  std::string stallReason(TimePoint Now) const;
  // Whether this VM would hold G if every VM had the same view: the fallback
  // where there is no ledger. It bounds the reads only while views agree.
  bool holdsByView(const Grant &G) const;
  OriginBudget &budget() { return Budget_; }

private:
  void recordNewChunks(const std::vector<ChunkIndex> &Fresh, bool InZone,
                       TimePoint Now);
  void updateWatched();
  void updateCrossZoneSlices(TimePoint Now);
  void recordOwnChunk(ChunkIndex Index, TimePoint Now);
  bool isLateInZone(SliceIndex S, TimePoint Now) const;
  bool isLate(SliceIndex S, std::size_t Rank, TimePoint Now) const;
  bool mayTakeOver(SliceIndex S, std::size_t Rank, TimePoint Now) const;
  void updateIdle(TimePoint Now);
  // Whether to read a chunk from the origin although a peer holds it.
  bool isStuck(ChunkIndex Index, TimePoint Now) const;
  // Whether this VM, having this rank for a slice, has been idle for long
  // enough, plus More, to read in the owner's place.
  bool mayHelp(std::size_t Rank, Duration More, TimePoint Now) const;
  TimePoint lastActivity(SliceIndex S) const;
  void noteOriginSeen(TimePoint Now);
  Duration timeout(std::size_t Rank) const;
  void readOrigin(std::vector<SwarmAction> &Out, TimePoint Now);
  // IsOwnerReadAhead: the owner is reading the chunk or will do so shortly.
  bool tryOriginRead(ChunkIndex Index, bool IsOwnerReadAhead,
                     std::vector<SwarmAction> &Out, TimePoint Now);
  bool originIsFresh(TimePoint Now) const {
    return OriginSeen_ && Now - *OriginSeen_ <= Setup_.OriginFresh_;
  }

  Setup Setup_;
  Random Random_;
  OriginBudget Budget_;
  Owners Owners_;
  HaveExchange Exchange_;
  ChunkPlan Plan_;
  // When a new chunk of each slice was last seen: in the zone, anywhere.
  std::vector<TimePoint> ZoneNewChunkAt_;
  std::vector<TimePoint> SliceNewChunkAt_;
  // Number of chunks seen so far, and its value at the last new chunk of each
  // slice.
  std::size_t SeenCount_ = 0;
  std::vector<std::size_t> SeenCountAt_;
  TimePoint LastNewChunkAt_;
  // Slices that this VM fetches across zones, and their chunks.
  std::vector<bool> CrossZoneSlices_;
  ChunkSet MayCross_;
  // Neighbours that watch this VM and that it watches in return.
  std::set<Vm> ReciprocalPeers_;
  std::size_t OriginReadsInFlight_ = 0;
  // Chunks that this VM read from the origin without getting a valid chunk.
  ChunkSet WastedReads_;
  // A read or claim ended, so the next may begin before the next tick.
  bool OriginDue_ = false;
  // No read from the origin and no claim before this time.
  TimePoint OriginPausedUntil_;
  bool HasNoPeers_ = true;
  std::optional<TimePoint> OriginSeen_;
  // When the origin last recovered, and when each owner last showed a new
  // chunk; used with WatchOwners_.
  TimePoint OriginRestoredAt_;
  std::map<Vm, TimePoint> OwnerNewChunkAt_;
  bool CheckInFlight_ = false;
  // Chunks being read from the origin, with the start of each read; the
  // duration of the last good read; and when this VM last received a chunk.
  std::map<ChunkIndex, TimePoint> OriginReadStarts_;
  Duration LastReadTime_ = Duration::zero();
  TimePoint LastReceivedAt_;
  // Since when all chunks of this VM's own slices are held by some VM.
  std::optional<TimePoint> IdleSince_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_WEIGHTS_SWARM_H
