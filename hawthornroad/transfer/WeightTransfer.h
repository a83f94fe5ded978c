// Fetches a declared version's weights to this VM: reads the manifest, fetches
// chunks from peers and the origin, verifies them and stages the file in a
// memory-backed folder.
//
//   WeightTransfer Weights(Setup, Loop, WeightsNet, WeightsIo, Client, Metrics,
//       {.OnChange_ = [&](TimePoint Now) { Rollout.setStagedPath(...); }});
//   Weights.want({.Service_ = S, .Model_ = M, .Rollout_ = R}, Now);
//   Weights.setPeers(Peers, Now);        // whenever the fleet view changes
//   if (auto Path = Weights.pathOf(Version)) ...  // complete and verified
//
// Runs in the DecisionLoop, as ControlPlane does; hashing and file access run
// on WeightsIo's thread. A request names its manifest, so chunks of two
// versions cannot mix; a version counts as staged only after every chunk and
// the whole file have been verified.

#ifndef HAWTHORNROAD_TRANSFER_WEIGHTTRANSFER_H
#define HAWTHORNROAD_TRANSFER_WEIGHTTRANSFER_H

#include "hawthornroad/base/Chart.h"
#include "hawthornroad/base/Types.h"
#include "hawthornroad/config/Declaration.h"
#include "hawthornroad/config/Settings.h"
#include "hawthornroad/peers/PeerNet.h"
#include "hawthornroad/runtime/DecisionLoop.h"
#include "hawthornroad/runtime/Http.h"
#include "hawthornroad/runtime/Metrics.h"

#include <boost/json/object.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hawthornroad {

// Loads charts/transfer.json. Throws Error(Step::Chart).
Chart transferChart(const std::string &Directory);

// Another agent of the same service, from the fleet view.
struct WeightPeer {
  Vm Vm_;
  AvailabilityZone Zone_;
  PeerAddress WeightsAddress_;
  auto operator<=>(const WeightPeer &) const = default;
};

struct WantedVersion {
  ServiceName Service_;
  ModelDeclaration Model_;
  RolloutDeclaration Rollout_;
  bool operator==(const WantedVersion &) const = default;
};

class WeightTransfer {
public:
  struct Setup {
    AgentSettings Settings_;
    PeerAddress WeightsAddress_;
  };
  struct Callbacks {
    // A version was staged, failed or was deleted.
    std::function<void(TimePoint)> OnChange_;
  };

  WeightTransfer(Setup S, DecisionLoop &Loop, PeerNet &Net, IoThread &FileIo,
                 HttpClient &Client, Metrics &M, Callbacks C);
  ~WeightTransfer();
  WeightTransfer(const WeightTransfer &) = delete;
  WeightTransfer &operator=(const WeightTransfer &) = delete;

  // Verifies the versions that a previous agent left in the folder; intact
  // ones count as staged.
  void start(TimePoint Now);
  // Sets the version to stage, in place of any set before.
  void want(WantedVersion W, TimePoint Now);
  void setPeers(std::vector<WeightPeer> Peers, TimePoint Now);
  // Versions that must not be deleted: the loaded one and the one before it.
  void protect(std::set<VersionDigest> Versions);
  // Handles ChunkHave, ChunkAsk, ChunkRequest, ChunkTaken and ChunkReply frames
  // from Net. Returns whether the frame was one of them. Call in the loop.
  bool onFrame(const PeerContext &From, wire::FrameT &Frame, TimePoint Now);
  void onLost(const PeerContext &Peer, TimePoint Now);

  // Path of the staged file of a complete, verified version.
  std::optional<std::string> pathOf(const VersionDigest &Version) const;
  std::vector<VersionDigest> staged() const;
  // Why the wanted version is not staged; empty when nothing failed.
  std::string failure() const;
  boost::json::object status(TimePoint Now) const;

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRANSFER_WEIGHTTRANSFER_H
