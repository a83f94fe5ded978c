// Brings a declared version's weights to this VM: manifest, chunks from peers
// and the origin, verification, staging in a memory-backed folder.
//
//   WeightTransfer Weights(Setup, Loop, WeightsNet, WeightsIo, Client, Metrics,
//       {.OnChange_ = [&](TimePoint Now) { Rollout.noteStaged(...); }});
//   Weights.want({.Service_ = S, .Model_ = M, .Rollout_ = R}, Now);
//   Weights.setPeers(Peers, Now);        // whenever the fleet view changes
//   if (auto Path = Weights.pathOf(Version)) ...  // whole and verified
//
// Runs inside the DecisionLoop, as ControlPlane does; file reads and writes and
// hashing run on WeightsIo's thread. A request names its manifest, so chunks of
// two versions cannot mix; a version counts as staged only when every chunk and
// the whole have been verified.

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
    // A version became staged, failed, or was dropped.
    std::function<void(TimePoint)> OnChange_;
  };

  WeightTransfer(Setup S, DecisionLoop &Loop, PeerNet &Net, IoThread &FileIo,
                 HttpClient &Client, Metrics &M, Callbacks C);
  ~WeightTransfer();
  WeightTransfer(const WeightTransfer &) = delete;
  WeightTransfer &operator=(const WeightTransfer &) = delete;

  // Verifies what a predecessor left in the folder, then counts it.
  void start(TimePoint Now);
  // The version to have; replaces the wish before it.
  void want(WantedVersion W, TimePoint Now);
  void setPeers(std::vector<WeightPeer> Peers, TimePoint Now);
  // Versions that must not be dropped: the one loaded and the one before.
  void protect(std::set<VersionDigest> Versions);
  // Takes ChunkHave, ChunkAsk, ChunkRequest, ChunkReply from Net. True when
  // the frame was one. Called inside the loop.
  bool onFrame(const PeerContext &From, wire::FrameT &Frame, TimePoint Now);
  void onLost(const PeerContext &Peer, TimePoint Now);

  // The staged file of a whole, verified version.
  std::optional<std::string> pathOf(const VersionDigest &Version) const;
  std::vector<VersionDigest> staged() const;
  // Why the wanted version cannot be had; empty when none.
  std::string failure() const;
  boost::json::object status(TimePoint Now) const;

private:
  struct State;
  std::shared_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRANSFER_WEIGHTTRANSFER_H
