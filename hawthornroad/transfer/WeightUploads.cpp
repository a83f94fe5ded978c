#include "hawthornroad/transfer/WeightUploads.h"

namespace hawthornroad {

namespace {
wire::ChunkReplyT replyTo(const Upload &U) {
  wire::ChunkReplyT Reply;
  Reply.manifest = U.Version_.str();
  Reply.index = U.Chunk_;
  return Reply;
}
} // namespace

void WeightUploads::onRequest(const PeerContext &From,
                              const wire::ChunkRequestT &Request,
                              TimePoint Now) {
  if (!isSha256Digest(Request.manifest))
    return;
  Upload U{Vm(Request.vm), VersionDigest(Request.manifest), Request.index};
  if (!Scheduler_.request(U)) {
    wire::ChunkReplyT Reply = replyTo(U);
    Reply.error = "busy";
    Work_.Net_.reply(From.Connection_, makeFrame(std::move(Reply)));
    return;
  }
  Connections_[U.Peer_] = From.Connection_;
  tick(Now);
}

void WeightUploads::onTaken(const wire::ChunkTakenT &Taken, TimePoint Now) {
  Scheduler_.finish({Vm(Taken.vm), VersionDigest(Taken.manifest), Taken.index});
  tick(Now);
}

void WeightUploads::onLost(ConnectionId Connection, TimePoint Now) {
  for (auto At = Connections_.begin(); At != Connections_.end();) {
    if (At->second != Connection) {
      ++At;
      continue;
    }
    Scheduler_.forget(At->first);
    At = Connections_.erase(At);
  }
  tick(Now);
}

void WeightUploads::tick(TimePoint Now) {
  while (auto U = Scheduler_.next(ChunkSize_, Now))
    start(*U);
}

void WeightUploads::start(const Upload &U) {
  bool Queued = runOnFileThread<std::string>(
      Work_, weak_from_this(),
      [U](ChunkStore &Store) {
        if (U.Chunk_ != ManifestIndex)
          return Store.read(U.Version_, U.Chunk_);
        std::string Bytes = Store.readManifest(U.Version_);
        if (Bytes.empty())
          throw Error(Step::Manifest, U.Version_.str(), "manifest is not held");
        return Bytes;
      },
      [this, U](const FileOutcome<std::string> &Read, TimePoint) {
        answer(U, Read);
      });
  if (!Queued)
    Scheduler_.finish(U);
}

void WeightUploads::answer(const Upload &U,
                           const FileOutcome<std::string> &Read) {
  auto Found = Connections_.find(U.Peer_);
  wire::ChunkReplyT Reply = replyTo(U);
  if (Read.Result_) {
    Reply.bytes.assign(Read.Result_->begin(), Read.Result_->end());
    Work_.Metrics_.count("hawthornroad_weights_uploaded_bytes_total", {},
                         static_cast<double>(Read.Result_->size()));
  } else {
    Reply.error = "missing";
  }
  bool Sent = Found != Connections_.end() &&
              Work_.Net_.reply(Found->second, makeFrame(std::move(Reply)));
  // A chunk's slot is freed when the peer acknowledges it. An error, or a
  // reply that could not be sent, is never acknowledged.
  if (!Sent || !Read.Result_)
    Scheduler_.finish(U);
}

} // namespace hawthornroad
