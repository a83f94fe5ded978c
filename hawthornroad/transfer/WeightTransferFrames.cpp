#include "hawthornroad/transfer/WeightTransferState.h"

namespace hawthornroad {

void WeightTransfer::State::askForManifest(TimePoint Now) {
  std::optional<Vm> From = ManifestPlan_->next(Now, Random_);
  if (!From)
    return;
  VersionDigest Version = Wanted_->Model_.Version_;
  if (!From->empty()) {
    wire::ChunkRequestT Request;
    Request.manifest = Version.str();
    Request.index = ManifestIndex;
    Request.vm = Setup_.Settings_.Vm_.str();
    for (const WeightPeer &P : Peers_)
      if (P.Vm_ == *From)
        Work_.Net_.send(P.WeightsAddress_, Lane::Weights, makeFrame(Request));
    return;
  }
  Origin_.readFile(Wanted_->Model_.Manifest_, weak_from_this(),
                   [this, Version](const OriginAnswer &A, TimePoint Later) {
                     if (!isCurrent(Version) || !isIn(TransferPhase::Manifest))
                       return;
                     if (A.End_ != OriginReadResult::Good)
                       return fail(A.Reason_, Later);
                     onManifestBytes(Version, A.Bytes_, Origin_.origin(),
                                     Later);
                   });
}

void WeightTransfer::State::onManifestBytes(const VersionDigest &Version,
                                            const std::string &Bytes,
                                            const std::string &From,
                                            TimePoint Now) {
  if (!isCurrent(Version) || !isIn(TransferPhase::Manifest))
    return;
  try {
    Manifest_ = Manifest::parse(Bytes, Version, From);
  } catch (const Error &E) {
    return fail(E.what(), Now);
  }
  ManifestBytes_ = Bytes;
  fire(TransferEvent::ManifestRead, Now);
}

void WeightTransfer::State::onReply(const PeerContext &From,
                                    wire::ChunkReplyT &Reply, TimePoint Now) {
  VersionDigest Version(Reply.manifest);
  if (Reply.error.empty()) {
    wire::ChunkTakenT Taken;
    Taken.manifest = Reply.manifest;
    Taken.index = Reply.index;
    Taken.vm = Setup_.Settings_.Vm_.str();
    Work_.Net_.reply(From.Connection_, makeFrame(std::move(Taken)));
  }
  if (Reply.index == ManifestIndex) {
    if (Reply.error.empty())
      onManifestBytes(Version, {Reply.bytes.begin(), Reply.bytes.end()},
                      From.Address_.str(), Now);
    return;
  }
  if (!isInSwarm(Version))
    return;
  for (const WeightPeer &P : Peers_)
    if (P.WeightsAddress_ == From.Address_)
      Swarm_->onReply(P.Vm_, Reply, Now);
}

// Offers all chunks of a staged version that is not the one being fetched.
void WeightTransfer::State::sendStagedHave(const Vm &To,
                                           const VersionDigest &Version) {
  auto Found = Staged_.find(Version);
  if (Found == Staged_.end())
    return;
  ChunkSet All(Found->second.Manifest_.chunkCount());
  for (ChunkIndex I = 0; I < All.size(); ++I)
    All.add(I);
  wire::ChunkHaveT Have;
  Have.manifest = Version.str();
  Have.vm = Setup_.Settings_.Vm_.str();
  Have.uploads = static_cast<std::uint32_t>(Uploads_->load());
  Have.bitmap = All.bytes();
  for (const WeightPeer &P : Peers_)
    if (P.Vm_ == To)
      Work_.Net_.send(P.WeightsAddress_, Lane::Weights, makeFrame(Have));
}

bool WeightTransfer::onFrame(const PeerContext &From, wire::FrameT &Frame,
                             TimePoint Now) {
  State &S = *State_;
  switch (Frame.body.type) {
  case wire::Body::ChunkHave: {
    const wire::ChunkHaveT &Have = *Frame.body.AsChunkHave();
    if (S.isInSwarm(VersionDigest(Have.manifest)))
      S.Swarm_->onHave(Have, Now);
    return true;
  }
  case wire::Body::ChunkAsk: {
    const wire::ChunkAskT &Ask = *Frame.body.AsChunkAsk();
    if (S.isInSwarm(VersionDigest(Ask.manifest)))
      S.Swarm_->onAsk(Vm(Ask.vm), Now);
    else
      S.sendStagedHave(Vm(Ask.vm), VersionDigest(Ask.manifest));
    return true;
  }
  case wire::Body::ChunkRequest:
    S.Uploads_->onRequest(From, *Frame.body.AsChunkRequest(), Now);
    return true;
  case wire::Body::ChunkTaken:
    S.Uploads_->onTaken(*Frame.body.AsChunkTaken(), Now);
    return true;
  case wire::Body::ChunkReply:
    S.onReply(From, *Frame.body.AsChunkReply(), Now);
    return true;
  default:
    return false;
  }
}

} // namespace hawthornroad
