// Who holds what: this VM watches a bounded number of peers and tells those
// that watch it.
//
//   HaveExchange E(ChunkCount, Held);
//   E.watch(Neighbours, InZone);
//   for (const Vm &V : E.dueAsks(Now)) send ChunkAsk
//   for (const HaveNews &N : E.dueNews(Now)) send ChunkHave
//   E.onHave(V, Bitmap, Load, Now); E.onAdded(V, Indices, Load, Now);
//
// An ask is a lease: it is renewed while the peer is of use and lapses by
// itself, so neither side keeps word of a dead one. A new watcher gets the
// whole bitmap, then only what was added, at most once in TellPeriod_: messages
// a VM sends grow with its neighbours, which are bounded, not with the fleet.
// A late or doubled message is harmless: a bit once true stays true until the
// peer is lost or answers that it does not hold the chunk.

#ifndef HAWTHORNROAD_WEIGHTS_HAVEEXCHANGE_H
#define HAWTHORNROAD_WEIGHTS_HAVEEXCHANGE_H

#include "hawthornroad/weights/ChunkSet.h"

#include <map>
#include <vector>

namespace hawthornroad {

// What is to be told to one watcher.
struct HaveNews {
  Vm To_;
  // Send the whole bitmap; Added_ is then empty.
  bool Whole_ = false;
  std::vector<ChunkIndex> Added_;
  bool operator==(const HaveNews &) const = default;
};

// A watched peer and what it holds.
struct ChunkSource {
  Vm Vm_;
  bool InZone_ = false;
  ChunkSet Have_;
  // Uploads it said were waiting.
  std::size_t Load_ = 0;
  TimePoint AskedAt_{};
  bool Asked_ = false;
};

class HaveExchange {
public:
  struct Limits {
    Duration TellPeriod_ = Milliseconds(100);
    Duration AskPeriod_ = Seconds(2);
    Duration Lease_ = Seconds(7);
    std::size_t Watchers_ = 48;
  };

  HaveExchange(ChunkSet Held, Limits L);

  // The peers to watch from now on; what others hold is forgotten.
  void watch(const std::map<Vm, bool> &InZone);
  std::vector<Vm> dueAsks(TimePoint Now);
  std::vector<HaveNews> dueNews(TimePoint Now);

  // A peer asks to be told. False when there are too many watchers.
  bool onAsk(const Vm &From, TimePoint Now);
  // Each returns the chunks not known to be available before.
  std::vector<ChunkIndex> onHave(const Vm &From, const ChunkSet &Have,
                                 std::size_t Load);
  std::vector<ChunkIndex> onAdded(const Vm &From,
                                  const std::vector<ChunkIndex> &Added,
                                  std::size_t Load);
  // The peer said that it does not hold Index after all.
  void onMissing(const Vm &From, ChunkIndex Index);
  void onLost(const Vm &Peer);
  void noteHeld(ChunkIndex Index);

  const ChunkSet &held() const { return Held_; }
  const std::vector<ChunkSource> &sources() const { return Sources_; }
  const ChunkSource *find(const Vm &V) const;
  // Watched peers of the own zone, and of all zones, that hold Index.
  std::size_t inZone(ChunkIndex Index) const { return InZone_[Index]; }
  std::size_t anywhere(ChunkIndex Index) const { return Anywhere_[Index]; }
  std::vector<Vm> watchers() const;

private:
  struct Watcher {
    TimePoint Until_{};
    TimePoint ToldAt_{};
    bool Whole_ = true;
    // Position in Log_ up to which it has been told.
    std::size_t Told_ = 0;
  };
  ChunkSource *findSource(const Vm &V);
  bool addTo(ChunkSource &S, ChunkIndex Index);
  void forget(ChunkSource &S);

  Limits Limits_;
  ChunkSet Held_;
  // Chunks in the order in which they came to be held.
  std::vector<ChunkIndex> Log_;
  std::vector<ChunkSource> Sources_;
  std::map<Vm, Watcher> Watchers_;
  std::vector<std::uint16_t> InZone_;
  std::vector<std::uint16_t> Anywhere_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_WEIGHTS_HAVEEXCHANGE_H
