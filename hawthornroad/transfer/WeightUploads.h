// Serves chunks and manifests of the versions on this VM to peers.
//
//   auto U = std::make_shared<WeightUploads>(Work, Settings.UploadRate_);
//   U->onRequest(From, Request, Now);     // ChunkRequest
//   U->onTaken(Taken, Now);               // ChunkTaken
//   U->tick(Now);
//
// Memory: at most UploadScheduler's Active_ chunks, each from its read until
// the peer acknowledges it. A request that finds no free slot is answered
// "busy" at once, and one for a chunk that is not held "missing".

#ifndef HAWTHORNROAD_TRANSFER_WEIGHTUPLOADS_H
#define HAWTHORNROAD_TRANSFER_WEIGHTUPLOADS_H

#include "hawthornroad/transfer/WeightWork.h"
#include "hawthornroad/weights/UploadScheduler.h"

#include <limits>
#include <map>
#include <memory>

namespace hawthornroad {

// Stands for the manifest in place of a chunk's index.
constexpr ChunkIndex ManifestIndex = std::numeric_limits<ChunkIndex>::max();

class WeightUploads : public std::enable_shared_from_this<WeightUploads> {
public:
  WeightUploads(WeightWork Work, std::int64_t BytesPerSecond)
      : Work_(std::move(Work)), Scheduler_({}, BytesPerSecond) {}

  void onRequest(const PeerContext &From, const wire::ChunkRequestT &Request,
                 TimePoint Now);
  void onTaken(const wire::ChunkTakenT &Taken, TimePoint Now);
  void onLost(ConnectionId Connection, TimePoint Now);
  void tick(TimePoint Now);
  // The chunk size determines how often a rate-limited link starts an upload.
  void setChunkSize(std::uint64_t Bytes) { ChunkSize_ = Bytes; }
  std::size_t load() const { return Scheduler_.load(); }

private:
  void start(const Upload &U);
  void answer(const Upload &U, const FileOutcome<std::string> &Read);

  WeightWork Work_;
  UploadScheduler Scheduler_;
  std::uint64_t ChunkSize_ = 0;
  // The connection on which each peer's last request arrived.
  std::map<Vm, ConnectionId> Connections_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRANSFER_WEIGHTUPLOADS_H
