// Selects the next chunk to request and the peer to request it from.
//
//   ChunkPlan P(ChunkCount, {}, Random);
//   while (auto F = P.next(Exchange, MayCross, Now))
//     request(F->Chunk_, F->From_);
//   P.finish(Chunk, From, FetchResult::Good, Now);
//   for (const ChunkFetch &F : P.expire(Now)) ...    // timed out
//
// The plan picks a peer with the fewest requests from this VM in flight and the
// shortest upload queue, and requests the chunk that the fewest peers of the
// zone hold (rarest first, over a random sample; ties are broken at random).
// Copies of a new chunk therefore multiply quickly and no chunk stays with a
// single holder. Peers of other zones are considered first, but only for chunks
// in MayCross: those that this VM fetches into its zone.
//
// A peer that sent a bad chunk is avoided for AvoidBad_, which grows fourfold
// with each further bad chunk; a peer that did not answer is avoided for
// AvoidLost_, which doubles with each miss. At the end, when every missing
// chunk is in flight, a chunk whose request takes long is requested from one
// more peer. Limits: InFlight_ requests in total, PerPeer_ for each peer. Cost
// of next(): one pass over the bitmaps of a few peers.

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
enum class FetchResult {
  Good,    // the chunk arrived and its digest matched
  Bad,     // it arrived and its digest did not match
  Busy,    // the peer's upload queue is full
  Missing, // the peer does not hold the chunk
  Lost     // the connection was lost, or the request timed out
};

class ChunkPlan {
public:
  struct Limits {
    std::size_t InFlight_ = 8;
    std::size_t PerPeer_ = 2;
    // Limit on requests to other zones, which share the link between zones with
    // all VMs of both.
    std::size_t CrossZone_ = 8;
    // When the mean request time exceeds this, the number of concurrent
    // requests is reduced in proportion: a link of reduced bandwidth would
    // otherwise carry all of them, and delay live requests behind them. Zero
    // disables this.
    Duration SlowAt_ = Duration::zero();
    // Minimum request timeout; a multiple of the mean request time applies when
    // that is longer.
    Duration Timeout_ = Seconds(5);
    Duration AvoidBusy_ = Milliseconds(50);
    Duration AvoidLost_ = Seconds(1);
    Duration AvoidBad_ = Milliseconds(500);
    // Number of candidate chunks sampled when looking for the rarest.
    std::size_t Sample_ = 64;
  };

  ChunkPlan(std::size_t Chunks, Limits L, std::uint64_t Seed);

  std::optional<ChunkFetch> next(const HaveExchange &E,
                                 const ChunkSet &MayCross, TimePoint Now);
  // Late and duplicate results are ignored. A chunk that is also requested from
  // another peer stays in flight.
  void finish(ChunkIndex Chunk, const Vm &From, FetchResult Result,
              TimePoint Now);
  // Returns the requests that timed out, after finishing them as Lost.
  std::vector<ChunkFetch> expire(TimePoint Now);
  // Finishes all requests to Peer as Lost.
  void onLost(const Vm &Peer, TimePoint Now);

  // Excludes a chunk from peer requests while it is read from the origin.
  void reserve(ChunkIndex Chunk) { InFlightChunks_.add(Chunk); }
  void release(ChunkIndex Chunk);
  bool isInFlight(ChunkIndex Chunk) const { return InFlightChunks_.has(Chunk); }
  std::size_t inFlight() const { return Requests_.size(); }

private:
  struct PeerState {
    std::size_t InFlight_ = 0;
    unsigned Misses_ = 0;
    unsigned BadChunks_ = 0;
    TimePoint AvoidUntil_{};
  };
  std::vector<const ChunkSource *> usableSources(const HaveExchange &E,
                                                 bool InZone, TimePoint Now);
  std::optional<ChunkIndex> rarestChunk(const HaveExchange &E,
                                        const ChunkSource &S,
                                        const ChunkSet *Mask);
  std::optional<ChunkFetch> duplicateRequest(const HaveExchange &E,
                                             TimePoint Now);
  ChunkFetch startRequest(ChunkIndex Chunk, const Vm &From, TimePoint Now);
  Duration timeout() const;
  std::size_t inFlightLimit() const;

  Limits Limits_;
  Random Random_;
  // Chunks with a request or an origin read in progress.
  ChunkSet InFlightChunks_;
  std::map<ChunkFetch, TimePoint> Requests_;
  // Requests to other zones.
  std::set<ChunkFetch> CrossZoneRequests_;
  std::map<Vm, PeerState> Peers_;
  // Moving average of the duration of successful requests.
  Duration MeanRequestTime_{};
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_WEIGHTS_CHUNKPLAN_H
