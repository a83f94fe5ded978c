// Which chunk to ask of which peer next.
//
//   ChunkPlan P(ChunkCount, {}, Random);
//   while (auto F = P.next(Exchange, MayCross, Now)) request(F->Chunk_,
//   F->From_); P.finish(Chunk, From, FetchEnd::Good, Now); for (const
//   ChunkFetch &F : P.expire(Now)) ...    // gave no answer in time
//
// Of the peers with the fewest requests of ours and the shortest queue of their
// own, the plan takes one and asks it for the chunk that the fewest peers of
// the zone hold (rarest first, over a random sample; ties fall at random), so
// that copies of a new chunk double fast and no chunk is left with one holder.
// Peers of other zones are asked first, but only for chunks in MayCross: those
// this VM is to bring into its zone.
//
// A peer that sent a bad chunk is avoided for AvoidBad_; one that did not
// answer for a time that doubles with each miss. At the end, when all that is
// missing is in flight, a chunk that takes long is asked of one more peer.
// Bounds: InFlight_ requests, PerPeer_ a peer. Cost of next(): a pass over the
// bitmaps of a few peers.

#ifndef HAWTHORNROAD_WEIGHTS_CHUNKPLAN_H
#define HAWTHORNROAD_WEIGHTS_CHUNKPLAN_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/weights/HaveExchange.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hawthornroad {

struct ChunkFetch {
  ChunkIndex Chunk_ = 0;
  Vm From_;
  auto operator<=>(const ChunkFetch &) const = default;
};

// How a request to a peer ended.
enum class FetchEnd {
  Good,    // the chunk came and was right
  Bad,     // it came and was wrong
  Busy,    // the peer has no room for the request
  Missing, // the peer does not hold the chunk
  Lost     // the connection was lost, or no answer came in time
};

class ChunkPlan {
public:
  struct Limits {
    std::size_t InFlight_ = 8;
    std::size_t PerPeer_ = 2;
    // Of them, requests to other zones: the link between zones is shared by
    // all VMs of both.
    std::size_t AcrossZones_ = 8;
    // When requests take longer than this as a rule, fewer are made at once: a
    // link narrower than it should be would otherwise hold all of them, and
    // live requests behind them. Zero: never.
    Duration SlowAt_ = Duration::zero();
    // Shortest wait for an answer; a multiple of the usual time counts when
    // that is longer.
    Duration Timeout_ = Seconds(5);
    Duration AvoidBusy_ = Milliseconds(50);
    Duration AvoidLost_ = Seconds(1);
    Duration AvoidBad_ = Milliseconds(500);
    // Chunks looked at for the rarest.
    std::size_t Sample_ = 64;
  };

  ChunkPlan(std::size_t Chunks, Limits L, std::uint64_t Seed);

  std::optional<ChunkFetch> next(const HaveExchange &E,
                                 const ChunkSet &MayCross, TimePoint Now);
  // Late and doubled ends are ignored. Chunks of other sources stay in flight.
  void finish(ChunkIndex Chunk, const Vm &From, FetchEnd End, TimePoint Now);
  // Requests that got no answer in time; they are finished as Lost.
  std::vector<ChunkFetch> expire(TimePoint Now);
  // All requests to Peer are finished as Lost.
  void onLost(const Vm &Peer, TimePoint Now);

  // Keeps a chunk from being asked of peers while the origin is read for it.
  void reserve(ChunkIndex Chunk) { Busy_.add(Chunk); }
  void release(ChunkIndex Chunk);
  bool isInFlight(ChunkIndex Chunk) const { return Busy_.has(Chunk); }
  std::size_t inFlight() const { return Requests_.size(); }

private:
  struct PeerState {
    std::size_t InFlight_ = 0;
    unsigned Misses_ = 0;
    unsigned BadChunks_ = 0;
    TimePoint AvoidUntil_{};
  };
  std::vector<const ChunkSource *> usable(const HaveExchange &E, bool InZone,
                                          TimePoint Now);
  std::optional<ChunkIndex> rarest(const HaveExchange &E, const ChunkSource &S,
                                   const ChunkSet *Mask);
  std::optional<ChunkFetch> askTwice(const HaveExchange &E, TimePoint Now);
  ChunkFetch begin(ChunkIndex Chunk, const Vm &From, TimePoint Now);
  Duration timeout() const;
  std::size_t inFlightLimit() const;

  Limits Limits_;
  Random Random_;
  // Chunks with a request or an origin read in progress.
  ChunkSet Busy_;
  std::map<ChunkFetch, TimePoint> Requests_;
  // Requests to other zones.
  std::set<ChunkFetch> Across_;
  std::map<Vm, PeerState> Peers_;
  // Moving average of the time a good request took.
  Duration Usual_{};
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_WEIGHTS_CHUNKPLAN_H
