// Schedules uploads of chunks to peers: each peer has a short queue, and the
// queues are served round-robin.
//
//   UploadScheduler Uploads({}, Settings.UploadRate_);
//   if (!Uploads.request({.Peer_ = V, .Version_ = D, .Chunk_ = 7}))
//     reply("busy");
//   while (auto Next = Uploads.next(ChunkBytes, Now)) send(*Next);
//   Uploads.finish(*Next);             // received by the peer, or the peer is
//   gone
//
// Round-robin keeps one greedy or slow peer from delaying the others. Limits:
// each active upload holds one chunk in memory, so memory is Active_ chunks
// whatever the number of peers; PerPeer_ chunks wait for one peer, Total_ for
// all.

#ifndef HAWTHORNROAD_WEIGHTS_UPLOADSCHEDULER_H
#define HAWTHORNROAD_WEIGHTS_UPLOADSCHEDULER_H

#include "hawthornroad/weights/Manifest.h"
#include "hawthornroad/weights/RateLimiter.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace hawthornroad {

struct Upload {
  Vm Peer_;
  VersionDigest Version_;
  ChunkIndex Chunk_ = 0;
  auto operator<=>(const Upload &) const = default;
};

class UploadScheduler {
public:
  struct Limits {
    // Chunks read from the store and not yet received by their peers.
    std::size_t Active_ = 4;
    std::size_t PerPeer_ = 4;
    std::size_t Total_ = 16;
    // An upload that is not acknowledged for this long frees its slot: the
    // acknowledgement may have been lost with a connection.
    Duration AckTimeout_ = Seconds(30);
  };

  UploadScheduler(Limits L, std::int64_t BytesPerSecond)
      : Limits_(L), Rate_(BytesPerSecond) {}

  // Returns false when a queue is full. A request that is already queued or
  // being served counts once.
  bool request(const Upload &U);
  // Returns the next upload to start, if one may start now; Bytes is the
  // chunk's size.
  std::optional<Upload> next(std::uint64_t Bytes, TimePoint Now);
  void finish(const Upload &U);
  // Drops all queued and active uploads to Peer.
  void forget(const Vm &Peer);
  // Uploads queued or active; reported to peers for load balancing.
  std::size_t load() const { return Waiting_ + Active_.size(); }

private:
  Limits Limits_;
  RateLimiter Rate_;
  std::map<Vm, std::deque<Upload>> Queues_;
  // Peers with queued uploads, in round-robin order.
  std::deque<Vm> Turns_;
  std::size_t Waiting_ = 0;
  std::map<Upload, TimePoint> Active_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_WEIGHTS_UPLOADSCHEDULER_H
