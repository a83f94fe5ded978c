// Decides whether an entry reads the store itself or gets the tables from
// another entry of its zone, and from which one.
//
//   SourceChoice C(Options, Now);
//   C.setPreferred({PeerAddress("10.1.0.6:7700")}, Now); // before this entry
//   if (auto Peer = C.next(IsFresh, Now)) ask(*Peer);
//   C.onAnswer(Peer, SourceHealth::Fresh, IsFresh, Now);
//   C.onFailure(Peer, Now);          // no answer
//   C.onAging(Now);                  // the data is older than usual
//   C.onStale(Now);                  // the data is too old to use
//   if (C.readsStore()) ...
//
// All entries of a zone use the same order. Each one asks only entries before
// it and answers those after it, so no cycles arise, and in normal operation
// only the first entry reads the store.
//
// Load pattern: many entries need the same long table at the same moment, since
// all have restarted or the table has changed. Sent to each by the first entry,
// it takes longer with every entry of the zone: 100 copies of 1 MB over a link
// of 40 Mbit/s take 20 s. The entries therefore form a tree: the entry of rank
// R prefers the one of rank (R - 1) / Fanout, so nobody sends more than Fanout
// copies and the table arrives after log(entries) transmissions. When that
// entry fails, its own parent is next, and so on, then the zone's order; after
// ParentRetryDelay the entry returns to its parent.
//
// Entries that restart together start at different times. Beyond rank Backups,
// an entry that starts therefore waits for its parent: for StartSpread while
// that refuses connections, and for seekTimeout() while it answers without
// data. Otherwise all entries that start early read the store, or get the table
// from the first entry that has it.
//
// States:
//   Seeking    asks one peer after the other, for at most SeekTimeout
//   Reading    reads the store itself; retries a peer from time to time
//   Following  gets the tables from a peer
//
// A healthy entry must not fall behind because its source is frozen, cut off or
// dead. The age of the source's last confirmed state shows each of these, so
// the decision rests on that age alone. Once its data is older than usual, an
// entry of rank up to Backups reads the store at once, since one of them may be
// as badly off as the first entry; the others seek one of these backups. Once
// its data is too old, every entry reads.
//
// Many concurrent readers of one long row delay each other: 12 entries that
// read 325 KB a second over a link between regions saturate it, each read takes
// seconds, and no entry has fresh data (4 s behind for 30 s). An entry that
// reads and is late nevertheless therefore yields: while a peer before it is
// receiving from the store, it seeks for SeekTimeout and leaves the link to
// that peer.
//
// That holds also while no peer is receiving. When all entries of a zone read
// at once, the link is saturated, each read times out and is sent again, and
// nobody ever has fresh data. Beyond rank Backups, an entry that is late
// therefore leaves the link to the entries before it as long as any of them
// answers, and reads only after seekTimeout(), which grows with the logarithm
// of its rank, in case the store serves it and not them.
//
// A source that failed is not asked for FailedPeerDelay. A disconnected one is
// not asked for PeerRetryDelay, or for DisconnectedRetryDelay by an entry that
// is late.

#ifndef HAWTHORNROAD_STORE_SOURCECHOICE_H
#define HAWTHORNROAD_STORE_SOURCECHOICE_H

#include "hawthornroad/base/Types.h"

#include <map>
#include <optional>
#include <vector>

namespace hawthornroad {

// The state of a source, as its answer shows it.
enum class SourceHealth {
  // Its data is recent enough to use.
  Fresh,
  // Its data is too old, but bytes are arriving from the store.
  Receiving,
  // It does not reach the store, or has no data.
  Disconnected
};

// IsFresh: all of its tables are recent enough and it reaches the store.
// IsReceiving: bytes of an answer are arriving from the store. After an outage
// a source counts as disconnected until its first complete answer, which takes
// seconds for a long table over a saturated link. Receiving takes precedence,
// since otherwise no entry would yield the link to it.
constexpr SourceHealth sourceHealth(bool IsFresh, bool IsReceiving) {
  if (IsFresh)
    return SourceHealth::Fresh;
  return IsReceiving ? SourceHealth::Receiving : SourceHealth::Disconnected;
}

class SourceChoice {
public:
  struct Options {
    // When all processes of a zone start together, two reads of a configuration
    // by its first entry take 0.4 s over a link between regions.
    Duration SeekTimeout_ = Milliseconds(800);
    // Added for each doubling of the rank beyond Backups while peers answer.
    Duration SeekTimeoutStep_ = Milliseconds(600);
    // How many entries prefer the same source.
    std::size_t Fanout_ = 8;
    // How long an entry follows another source before it probes its parent.
    Duration ParentRetryDelay_ = Seconds(10);
    // Failures of two out of three VMs at once are rare. A store that refuses
    // VMs affects a third of them.
    std::size_t Backups_ = 2;
    // A reader whose own data is late asks a peer this long after it began to
    // read. One read of 336 KB over an idle link takes a fifth of this.
    Duration LatePeerRetryDelay_ = Milliseconds(500);
    // Endpoints whose rows expired during an outage of the store are back
    // within 2 s of its return; until then each entry relies on its own read.
    Duration PeerRetryDelay_ = Milliseconds(3000);
    // An entry whose own data is late asks a disconnected source again after
    // this. A query within a zone takes only a millisecond, and entries that
    // have to detect the store's return on their own all read the table at
    // once.
    Duration DisconnectedRetryDelay_ = Milliseconds(40);
    // A frozen or cut-off VM recovers after some seconds.
    Duration FailedPeerDelay_ = Milliseconds(6000);
    // An entry that starts asks a source that refuses connections again after
    // this.
    Duration RefusedRetryDelay_ = Milliseconds(100);
    // How long an entry that starts waits for a parent that does not run. All
    // VMs of a deployment start within 0.3 s of each other.
    Duration StartSpread_ = Milliseconds(500);
  };

  SourceChoice(Options O, TimePoint Now) : Options_(O), SeekingSince_(Now) {}

  // Sets the entries before this one, in the zone's order.
  void setPreferred(std::vector<PeerAddress> Before, TimePoint Now);
  // The peer to ask now, if any. The caller keeps at most one query open.
  // IsFresh: the data of this process is recent enough to use.
  std::optional<PeerAddress> next(bool IsFresh, TimePoint Now) const;
  void onAnswer(const PeerAddress &From, SourceHealth H, bool IsFresh,
                TimePoint Now);
  void onFailure(const PeerAddress &From, TimePoint Now);
  // It refuses connections: its process is not running, or not yet.
  void onRefused(const PeerAddress &From, TimePoint Now);
  void onAging(TimePoint Now);
  void onStale(TimePoint Now);
  void tick(TimePoint Now);

  bool readsStore() const { return State_ == State::Reading; }
  // The number of entries before this one.
  std::size_t rank() const { return Preferred_.size(); }
  // The number of transmissions from the store's reader to this entry: 0 for
  // the first entry, 1 for those that prefer it.
  unsigned depth() const;
  // Whether next() returns the parent of an entry that follows another source.
  // Its answer must not be waited for: the data of this process ages meanwhile.
  bool isProbingParent(TimePoint Now) const;
  // This process still waits for its first data, and a source that it asked is
  // receiving it.
  bool isExpectingData(TimePoint Now) const;
  // The peer being followed; unset in other states.
  std::optional<PeerAddress> source() const;

private:
  enum class State { Seeking, Reading, Following };
  std::optional<PeerAddress> firstAvailable(TimePoint Now) const;
  bool isAvoided(const PeerAddress &Peer, TimePoint Now) const;
  bool awaitsParent(TimePoint Now) const;
  // The rank that the entry of this rank, not 0, prefers.
  std::size_t parentOf(std::size_t Rank) const;
  // The peer that this entry prefers, if it may be asked now.
  std::optional<PeerAddress> parent(TimePoint Now) const;
  Duration seekTimeout() const;
  // An entry before this one has answered recently, with or without data.
  bool hasLivePeer(TimePoint Now) const;
  void startReading(TimePoint Now);
  void startSeeking(bool IsYielding, TimePoint Now);
  void abandonSource(const PeerAddress &From, TimePoint Now);

  Options Options_;
  TimePoint SeekingSince_;
  State State_ = State::Seeking;
  std::vector<PeerAddress> Preferred_;
  std::map<PeerAddress, TimePoint> AvoidUntil_;
  PeerAddress Source_;
  TimePoint FollowingSince_;
  TimePoint ReadingSince_;
  // It reads until then though its peers have no data.
  TimePoint YieldNotBefore_;
  // Since its start this process has not read the store, and no source has
  // answered with data or failed.
  bool IsStarting_ = true;
  // The last answer of a peer, and of one that is receiving.
  std::optional<TimePoint> PeerAnsweredAt_;
  std::optional<TimePoint> SourceReceivingAt_;
  // Seeking instead of reading, to leave the link to a peer that is receiving.
  bool IsYielding_ = false;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_STORE_SOURCECHOICE_H
