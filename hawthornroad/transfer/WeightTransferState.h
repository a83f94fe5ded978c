// The private state of WeightTransfer, shared by WeightTransfer.cpp (phases of
// a transfer) and WeightTransferFrames.cpp (messages to and from peers).

#ifndef HAWTHORNROAD_TRANSFER_WEIGHTTRANSFERSTATE_H
#define HAWTHORNROAD_TRANSFER_WEIGHTTRANSFERSTATE_H

#include "hawthornroad/base/Chart.h"
#include "hawthornroad/transfer/WeightSwarm.h"
#include "hawthornroad/transfer/WeightTransfer.h"
#include "hawthornroad/transfer/WeightUploads.h"
#include "hawthornroad/weights/ManifestPlan.h"

#include <map>

namespace hawthornroad {

// Names of charts/transfer.json, by position.
enum class TransferPhase {
  Idle,
  Manifest,
  Opening,
  Fetching,
  Verifying,
  Staged,
  Failed
};
enum class TransferEvent {
  Wanted,
  ManifestRead,
  Opened,
  AllHeld,
  WholeRight,
  Error,
  Retry
};
enum class TransferAction { SeekManifest, Open, JoinSwarm, Verify, Report };

// What the file thread found when it opened a version.
struct OpenedVersion {
  std::vector<bool> Held_;
  std::string Note_;
};

struct WeightTransfer::State : std::enable_shared_from_this<State> {
  State(Setup S, DecisionLoop &Loop, PeerNet &Net, IoThread &FileIo,
        HttpClient &Client, Metrics &M, Callbacks C);

  void fire(TransferEvent E, TimePoint Now);
  void runAction(TransferAction A, TimePoint Now);
  void seekManifest(TimePoint Now);
  void askForManifest(TimePoint Now);
  void onManifestBytes(const VersionDigest &Version, const std::string &Bytes,
                       const std::string &From, TimePoint Now);
  void open();
  void joinSwarm(TimePoint Now);
  void verify();
  void fail(std::string Reason, TimePoint Now);
  void evictOld();
  void tick(TimePoint Now);
  void sendStagedHave(const Vm &To, const VersionDigest &Version);
  void onReply(const PeerContext &From, wire::ChunkReplyT &Reply,
               TimePoint Now);
  bool isCurrent(const VersionDigest &V) const {
    return Wanted_ && Wanted_->Model_.Version_ == V;
  }
  bool isIn(TransferPhase P) const {
    return static_cast<TransferPhase>(Phase_) == P;
  }
  bool isInSwarm(const VersionDigest &V) const {
    return Swarm_ && Swarm_->version() == V;
  }

  Setup Setup_;
  Callbacks Callbacks_;
  WeightWork Work_;
  OriginClient Origin_;
  Chart Chart_;
  std::size_t Phase_;
  Random Random_;
  std::shared_ptr<WeightUploads> Uploads_;
  bool Recovered_ = false;
  std::map<VersionDigest, StoredVersion> Staged_;
  // Oldest first.
  std::vector<VersionDigest> StagedOrder_;
  std::set<VersionDigest> Protected_;
  std::vector<WeightPeer> Peers_;
  std::optional<WantedVersion> Wanted_;
  std::optional<ManifestPlan> ManifestPlan_;
  std::optional<Manifest> Manifest_;
  std::string ManifestBytes_;
  OpenedVersion Opened_;
  std::shared_ptr<WeightSwarm> Swarm_;
  std::string Failure_;
  TimePoint RetryAt_{};
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRANSFER_WEIGHTTRANSFERSTATE_H
