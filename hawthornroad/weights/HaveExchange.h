// Tracks which chunks peers hold: this VM watches a bounded number of peers and
// sends updates to those that watch it.
//
//   HaveExchange E(ChunkCount, Held);
//   E.watch(Neighbours, InZone);
//   for (const Vm &V : E.dueAsks(Now)) send ChunkAsk
//   for (const HaveUpdate &U : E.dueUpdates(Now)) send ChunkHave
//   E.onHave(V, Bitmap, Load, Now); E.onAdded(V, Indices, Load, Now);
//
// A subscription (ask) is a lease: the watcher renews it while it needs the
// peer, and it expires otherwise, so neither side keeps state for a dead peer.
// A new watcher gets the whole bitmap, then only added chunks, at most once in
// UpdatePeriod_: the messages that a VM sends grow with its neighbours, which
// are bounded, not with the fleet. Late and duplicate messages are harmless: a
// bit stays set until the peer is lost or answers that it does not hold the
// chunk.

#ifndef HAWTHORNROAD_WEIGHTS_HAVEEXCHANGE_H
#define HAWTHORNROAD_WEIGHTS_HAVEEXCHANGE_H

#include "hawthornroad/weights/ChunkSet.h"

#include <map>
#include <vector>

namespace hawthornroad {

// An update for one watcher.
struct HaveUpdate {
  Vm To_;
  // Send the whole bitmap; Added_ is then empty.
  bool IsFullBitmap_ = false;
  std::vector<ChunkIndex> Added_;
  bool operator==(const HaveUpdate &) const = default;
};

// A watched peer and the chunks it holds.
struct ChunkSource {
  Vm Vm_;
  bool InZone_ = false;
  ChunkSet Have_;
  // Number of pending uploads that the peer reported.
  std::size_t Load_ = 0;
  TimePoint AskedAt_{};
  bool Asked_ = false;
};

class HaveExchange {
public:
  struct Limits {
    Duration UpdatePeriod_ = Milliseconds(100);
    Duration AskPeriod_ = Seconds(2);
    Duration Lease_ = Seconds(7);
    std::size_t Watchers_ = 48;
  };

  HaveExchange(ChunkSet Held, Limits L);

  // Replaces the set of watched peers; the state of other peers is dropped.
  void watch(const std::map<Vm, bool> &InZone);
  std::vector<Vm> dueAsks(TimePoint Now);
  std::vector<HaveUpdate> dueUpdates(TimePoint Now);

  // Handles a subscription. Returns false when there are too many watchers.
  bool onAsk(const Vm &From, TimePoint Now);
  // Each returns the chunks that were not known to be available before.
  std::vector<ChunkIndex> onHave(const Vm &From, const ChunkSet &Have,
                                 std::size_t Load);
  std::vector<ChunkIndex> onAdded(const Vm &From,
                                  const std::vector<ChunkIndex> &Added,
                                  std::size_t Load);
  // The peer reported that it does not hold Index.
  void onMissing(const Vm &From, ChunkIndex Index);
  void onLost(const Vm &Peer);
  void noteHeld(ChunkIndex Index);

  const ChunkSet &held() const { return Held_; }
  const std::vector<ChunkSource> &sources() const { return Sources_; }
  const ChunkSource *find(const Vm &V) const;
  // Number of watched peers that hold Index, in this VM's zone and in all
  // zones.
  std::size_t inZone(ChunkIndex Index) const { return InZone_[Index]; }
  std::size_t anywhere(ChunkIndex Index) const { return Anywhere_[Index]; }
  std::vector<Vm> watchers() const;

private:
  struct Watcher {
    TimePoint Until_{};
    TimePoint SentAt_{};
    bool IsFullBitmap_ = true;
    // Position in Log_ up to which updates have been sent.
    std::size_t SentUpTo_ = 0;
  };
  ChunkSource *findSource(const Vm &V);
  bool addChunk(ChunkSource &S, ChunkIndex Index);
  void clearHave(ChunkSource &S);

  Limits Limits_;
  ChunkSet Held_;
  // Held chunks in the order in which they were added.
  std::vector<ChunkIndex> Log_;
  std::vector<ChunkSource> Sources_;
  std::map<Vm, Watcher> Watchers_;
  std::vector<std::uint16_t> InZone_;
  std::vector<std::uint16_t> Anywhere_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_WEIGHTS_HAVEEXCHANGE_H
