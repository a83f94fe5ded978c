// Which chunk to send to whom next: the requests of each peer wait in a short
// queue of their own, and the queues take turns.
//
//   UploadScheduler Uploads({}, Settings.UploadRate_);
//   if (!Uploads.request({.Peer_ = V, .Version_ = D, .Chunk_ = 7}))
//     reply("busy");
//   while (auto Next = Uploads.next(ChunkBytes, Now)) send(*Next);
//   Uploads.finish(*Next);             // the peer has it, or is gone
//
// Turns keep one greedy or slow peer from holding up the others. Bounds: Active
// uploads hold a chunk in memory each, so memory is Active_ chunks whatever the
// number of peers; a peer waits for at most PerPeer_ chunks, all for Total_.

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
    // Chunks read from the store and not yet taken by their peers.
    std::size_t Active_ = 4;
    std::size_t PerPeer_ = 4;
    std::size_t Total_ = 16;
    // A peer that has not taken a chunk for this long frees its place: its
    // acknowledgement may have been lost with a connection.
    Duration GiveUp_ = Seconds(30);
  };

  UploadScheduler(Limits L, std::int64_t BytesPerSecond)
      : Limits_(L), Rate_(BytesPerSecond) {}

  // False when a queue is full. A request that already waits or is being
  // served counts once.
  bool request(const Upload &U);
  // The next upload to start, if one may start now; Bytes is a chunk's size.
  std::optional<Upload> next(std::uint64_t Bytes, TimePoint Now);
  void finish(const Upload &U);
  // Drops all that waits for or goes to Peer.
  void forget(const Vm &Peer);
  // Uploads waiting or active, for peers to weigh.
  std::size_t load() const { return Waiting_ + Active_.size(); }

private:
  Limits Limits_;
  RateLimiter Rate_;
  std::map<Vm, std::deque<Upload>> Queues_;
  // Peers with something waiting, in the order of their turns.
  std::deque<Vm> Turns_;
  std::size_t Waiting_ = 0;
  std::map<Upload, TimePoint> Active_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_WEIGHTS_UPLOADSCHEDULER_H
