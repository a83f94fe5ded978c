// One VM's part in bringing one version to the fleet: takes events, returns
// actions; the driver (transfer/WeightTransfer, bench/WeightsModel) does them.
//
//   Swarm S({.Self_ = {Vm, Zone}, ...}, Manifest, Held);
//   S.setPeers(Peers, Now);
//   S.onChunk(7, From, Now);             // verified and kept
//   for (const SwarmAction &A : S.tick(Now)) ...
//
// How a chunk travels:
// 1. Its owner reads it from the origin, under a grant of OriginBudget.
// 2. The owner of each other zone takes it into its zone, from the owner or
//    from the owner of another zone, whichever it watches that has it.
// 3. Inside the zone every VM asks its neighbours, rarest chunks first, and
//    passes on what it has as soon as it is verified.
//
// Owners die, stall and are cut off. Nobody can tell this apart from a slow
// link, so what counts is news: a slice of which nothing new has been seen for
// a timeout is late. When a slice is late in the zone, the next in the zone's
// order takes it across zones; when it is late everywhere, the next in the
// fleet's order reads what is missing, under spare grants. The timeout grows
// with the rank, so that one VM steps in and not all. For the fleet, time alone
// is no evidence: with a slow origin every slice is silent for long. So a slice
// must also have fallen behind the others, by LagNews_ chunks each.
//
// That rule guards spare grants. It cannot see owners that never began: where
// slices hold few chunks the others are whole before they are LagNews_ ahead,
// and a zone cut off from the origin or the table would wait for silence, rank
// after rank. So the slice's own grant is free to whoever claims it after the
// timeout of its rank, on time alone: if the owner is at work, the claim is
// lost and costs one write; if not, the winner reads in the owner's place, and
// still each chunk once. The holder of the grant reads, whatever its rank.
//
// An owner that is slow rather than silent, behind a link that has become
// narrow, is helped (StealAfter_): a VM that has nothing of its own left to
// read and has read the origin lately reads chunks of others that nobody has
// yet, those of slices where it is next in the order first; and, when
// nothing more comes to it, chunks that one other VM alone has and does not get
// out.
//
// Reading in another's place needs the origin to have answered lately: while
// it is down or out of reach, VMs that take turns to try would otherwise use up
// the spare grants, or win slices that they cannot read.

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
// Create the grant's key in the ledger, or find out who holds it.
struct ClaimGrant {
  Grant Grant_;
  bool operator==(const ClaimGrant &) const = default;
};
// Find out whether the origin answers, without reading chunks.
struct CheckOrigin {
  bool operator==(const CheckOrigin &) const = default;
};
struct AskHave {
  Vm To_;
  bool operator==(const AskHave &) const = default;
};
struct TellHave {
  HaveNews News_;
  bool operator==(const TellHave &) const = default;
};
using SwarmAction = std::variant<RequestChunk, ReadOrigin, ClaimGrant,
                                 CheckOrigin, AskHave, TellHave>;

// What the transfer has to know of a version; a manifest knows more.
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
enum class OriginEnd {
  Good,   // the chunk came and was right
  Wasted, // bytes came, or may have been sent, but not a right chunk
  Nothing // the origin sent no byte of the chunk
};

class Swarm {
public:
  struct Setup {
    SwarmPeer Self_;
    RolloutPreference Preference_ = RolloutPreference::Time;
    double OriginCopies_ = 3.3;
    std::uint64_t Seed_ = 1;
    // Reads from the origin at once.
    std::size_t OriginReads_ = 2;
    ChunkPlan::Limits Plan_ = {};
    HaveExchange::Limits Exchange_ = {};
    // Time without news after which a slice is late: short when time matters,
    // long when the origin's bytes do.
    Duration SliceTimeout_ = Seconds(1);
    Duration FrugalSliceTimeout_ = Seconds(4);
    // Time without news in the zone after which the next of the zone's order
    // crosses; needless crossing costs messages, not the origin.
    Duration ZoneTimeout_ = Seconds(4);
    // Chunks seen of the average other slice since a silent slice's last.
    std::size_t LagNews_ = 3;
    // Pause after the origin could not be reached, and after it sent wrong
    // bytes.
    Duration OriginRetry_ = Seconds(1);
    Duration OriginAgain_ = Milliseconds(200);
    // A VM that knows of no peers may just not have heard of them yet; it waits
    // this long before it takes itself for the owner of everything.
    Duration LoneGrace_ = Seconds(1);
    // How long a successful answer of the origin counts.
    Duration OriginFresh_ = Seconds(5);
    // There is no ledger: whoever claims a grant gets it, so a claim in
    // another's place needs better evidence than a slice's silence. A slice is
    // taken over only when its owner has shown nothing new of any of its slices
    // for the timeout, counted anew when the origin comes back.
    bool WatchOwners_ = false;
    // How long a VM has had nothing of its own to read before it reads for the
    // owners that are next to it in the order; twice that for those next to
    // these, and so on. Zero: never. Needs WatchOwners_.
    Duration StealAfter_ = Duration::zero();
    // The origin's zone, see Owners; empty when it is not known.
    AvailabilityZone OriginZone_ = {};
  };

  Swarm(Setup S, const Manifest &M, ChunkSet Held, TimePoint Now)
      : Swarm(std::move(S), ContentShape::of(M), std::move(Held), Now) {}
  Swarm(Setup S, const ContentShape &C, ChunkSet Held, TimePoint Now);

  void setPeers(std::vector<SwarmPeer> Peers, TimePoint Now);
  // A larger or smaller declared budget; grants already won stay.
  void setRollout(RolloutPreference Preference, double Copies);

  void onAsk(const Vm &From, TimePoint Now);
  void onHave(const Vm &From, const ChunkSet &Have, std::size_t Load,
              TimePoint Now);
  void onAdded(const Vm &From, const std::vector<ChunkIndex> &Added,
               std::size_t Load, TimePoint Now);
  // A chunk that was asked of From came and is kept.
  void onChunk(ChunkIndex Index, const Vm &From, TimePoint Now);
  void onRefused(ChunkIndex Index, const Vm &From, FetchEnd End, TimePoint Now);
  void onOrigin(ChunkIndex Index, OriginEnd End, TimePoint Now);
  void onClaim(const Grant &G, ClaimResult Result, TimePoint Now);
  void onOriginChecked(bool Answers, TimePoint Now);
  void onLost(const Vm &Peer, TimePoint Now);

  // What an event just made possible: cheap, call after each event.
  std::vector<SwarmAction> pump(TimePoint Now);
  // Everything that time makes due: call every 20 to 100 ms.
  std::vector<SwarmAction> tick(TimePoint Now);

  const ChunkSet &held() const { return Exchange_.held(); }
  bool isDone() const { return held().isFull(); }
  // Why the transfer cannot go on by itself; empty while it can.
  std::string stalled(TimePoint Now) const;
  // Who would hold G if every VM had this view: the rule of last resort where
  // there is no ledger. It bounds the reads only while views agree.
  bool holdsByView(const Grant &G) const;
  OriginBudget &budget() { return Budget_; }

private:
  void noteNews(const std::vector<ChunkIndex> &Fresh, bool InZone,
                TimePoint Now);
  void rewatch();
  void refreshCrossing(TimePoint Now);
  void noteOwn(ChunkIndex Index, TimePoint Now);
  bool isLateInZone(SliceIndex S, TimePoint Now) const;
  bool isLate(SliceIndex S, std::size_t Rank, TimePoint Now) const;
  bool mayTakeOver(SliceIndex S, std::size_t Rank, TimePoint Now) const;
  void noteIdle(TimePoint Now);
  // Whether a chunk that somebody holds is to be read all the same.
  bool isStuck(ChunkIndex Index, TimePoint Now) const;
  // Whether a VM of this rank has been idle for long enough, and for More, to
  // read in an owner's place.
  bool maySteal(std::size_t Rank, Duration More, TimePoint Now) const;
  TimePoint lastSign(SliceIndex S) const;
  void noteOriginSeen(TimePoint Now);
  Duration timeout(std::size_t Rank) const;
  void readOrigin(std::vector<SwarmAction> &Out, TimePoint Now);
  // IsOwnersNext: its owner is about to read it, or does.
  bool stepIn(ChunkIndex Index, bool IsOwnersNext,
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
  // When something new of each slice was last seen: in the zone, anywhere.
  std::vector<TimePoint> ZoneNews_;
  std::vector<TimePoint> News_;
  // Chunks first seen so far, in all and when each slice had its last.
  std::size_t Seen_ = 0;
  std::vector<std::size_t> SeenAt_;
  TimePoint AnyNews_;
  // Slices this VM takes across zones, and their chunks.
  std::vector<bool> Crosses_;
  ChunkSet MayCross_;
  // Neighbours that watch this VM and are watched in return.
  std::set<Vm> Guests_;
  std::size_t Reading_ = 0;
  // Chunks this VM read from the origin in vain.
  ChunkSet Wasted_;
  // A read or claim ended, so the next may begin before the next tick.
  bool OriginDue_ = false;
  // No origin read or claim before this.
  TimePoint OriginPause_;
  bool Lone_ = true;
  std::optional<TimePoint> OriginSeen_;
  // When the origin first answered after it had not, and when each owner last
  // showed something new; used with WatchOwners_.
  TimePoint OriginBackAt_;
  std::map<Vm, TimePoint> OwnerNews_;
  bool Checking_ = false;
  // Chunks that are being read from the origin and since when, how long the
  // last good read took, and when a chunk last came to this VM.
  std::map<ChunkIndex, TimePoint> FromOrigin_;
  Duration UsualRead_ = Duration::zero();
  TimePoint OwnNewsAt_;
  // Since when nothing is left to read of this VM's own slices.
  std::optional<TimePoint> IdleSince_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_WEIGHTS_SWARM_H
