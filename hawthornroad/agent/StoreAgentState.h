// The inside of StoreAgent, shared by its parts:
//
//   StoreAgent.cpp       its life, the other VMs, frames, metrics
//   AgentVersions.cpp    which version is wanted, as the store tells it
//   AgentEngine.cpp      the steps of the engine's duty: report, verify, order
//   AgentDigests.cpp     who reads a version's digests, and from whom
//   AgentPieces.cpp      from digests to pieces that are whole
//
// Everything runs on one thread, Io_'s.

#ifndef HAWTHORNROAD_AGENT_STOREAGENTSTATE_H
#define HAWTHORNROAD_AGENT_STOREAGENTSTATE_H

#include "hawthornroad/agent/PieceTransfer.h"
#include "hawthornroad/agent/ReadBack.h"
#include "hawthornroad/agent/RowReader.h"
#include "hawthornroad/agent/StoreAgent.h"
#include "hawthornroad/http/ServerSession.h"
#include "hawthornroad/peers/PeerPace.h"
#include "hawthornroad/runtime/BootClock.h"
#include "hawthornroad/runtime/Io.h"
#include "hawthornroad/runtime/Metrics.h"
#include "hawthornroad/staging/LoadTurn.h"
#include "hawthornroad/staging/PlaceGrants.h"
#include "hawthornroad/store/StoreClient.h"
#include "hawthornroad/weights/DigestTree.h"
#include "platform/EngineWire.h"
#include "platform/StoreWire.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hawthornroad {

// A call to the engine beside this agent takes no longer.
inline constexpr Duration AgentEngineLimit = Seconds(1);
// A read of a version's digests from the origin: of each silence.
inline constexpr Duration ManifestLimit = Milliseconds(1200);
// Any read from the origin, which has a narrow link and many readers.
inline constexpr Duration OriginWholeLimit = Seconds(4);
// Loads are through this long before the bound: by then entries no longer use
// engines with older versions.
inline constexpr Duration BoundMargin = Milliseconds(600);

// Part of the VM's link that pieces may take: the engine's answers need a
// tenth of it, in bursts.
inline constexpr double UploadShare = 0.85;

struct StoreAgent::State final : SessionHandler {
  // A version on its way to this VM.
  struct Pursuit {
    ModelVersion Version_;
    TimePoint HeardAt_{};
    // The digests are being read from the origin, or were had and are compared
    // with what lies at the engine.
    bool ManifestUnderWay_ = false;
    // The origin's text, to be passed on, and who waits for it.
    std::string Manifest_;
    std::vector<ConnectionId> ManifestWaits_;
    // Set once they are looked for.
    std::optional<DigestTree> Tree_;
    // Set once its digests are known.
    std::shared_ptr<PieceTransfer> Transfer_;
  };

  explicit State(StoreAgentSettings Settings);
  ~State() override;

  void onRequest(const std::shared_ptr<ServerSession> &S,
                 InboundRequest R) override;
  void onCallerGone(ServerSession &) override {}

  RowReader::Ways readerWays();
  void start();
  void tick();
  void step(TimePoint Now);
  // The operators' table whole: configuration and versions.
  void listOperators();
  // Only the versions.
  void listVersions();
  bool isToldByEntries() const { return !Watchers_.empty(); }
  void onOperatorReply(bool IsWhole, const StoreReply &R);
  void onOperatorRows(const StoreRows &Rows);
  void askOperators(TimePoint Now);
  void takeVersion(const ModelVersion &V, TimePoint Now);
  void takeFirstVersion(TimePoint Now);
  // What is declared of this VM's engine; null until known.
  const EnginePace *pace() const;
  // V is the version to bring about from now on.
  void pursue(std::shared_ptr<Pursuit> P);
  void pursueNext();
  void overtake(TimePoint Now);
  void report();
  void onReport(const HttpCalls::Result &R, TimePoint AskedAt);
  // The pieces of a version, from nothing to whole.
  void fetch(const std::shared_ptr<Pursuit> &P, TimePoint Now);
  std::vector<SwarmPeer> swarmPeers() const;
  void seekDigests(const std::shared_ptr<Pursuit> &P, TimePoint Now);
  void seekForOthers(TimePoint Now);
  void readManifest(const std::shared_ptr<Pursuit> &P);
  void askForManifest(const Pursuit &P, const Vm &To);
  void answerManifestWaits(Pursuit &P);
  void learnFromAsker(const std::string &FrameName);
  void onManifestAsk(const PeerContext &From, const std::string &FrameName);
  void onManifestReply(const wire::ChunkReplyT &Reply);
  void onManifest(const std::shared_ptr<Pursuit> &P,
                  const HttpCalls::Result &R);
  void takeManifest(const std::shared_ptr<Pursuit> &P, const std::string &Text);
  bool onManifestFrame(const PeerContext &From, const wire::FrameT &Frame);
  std::shared_ptr<Pursuit> pursuitOf(const std::string &FrameName) const;
  void lookAtStaged(const std::shared_ptr<Pursuit> &P,
                    const platform::PieceDigests &D);
  void beginTransfer(const std::shared_ptr<Pursuit> &P,
                     const platform::PieceDigests &D,
                     std::map<ChunkIndex, std::string> Held);
  void onWhole(const Pursuit &P);
  PieceTransfer::Setup transferSetup(const ModelVersion &V) const;
  // Passes on the pieces of the loaded version, if all lie at the engine.
  void offerLoaded();
  void readStaged(const std::string &Model, ChunkIndex Index,
                  std::function<void(std::string)> Then);
  // Puts the pieces beside the engine and reads them back.
  void stageAndVerify();
  void onVerified(const std::shared_ptr<Pursuit> &P,
                  const ReadBack::Result &Right);
  void order();
  void listPeers(TimePoint Now);
  void onPeers(const StoreRows &Rows);
  void onFrame(const PeerContext &From, const wire::Frame &Frame);
  // Another process has heard of a version.
  void onNamed(const ModelVersion &V);
  // An entry asks for a place at the engine; answered at once, or when the
  // engine has told how it is.
  void onPlaceAsk(const PeerContext &From, const wire::PlaceAskT &Ask);
  void answerPlaceAsks(TimePoint Now);
  WeightVersion newestKnown() const;
  std::vector<std::shared_ptr<PieceTransfer>> transfers() const;
  TimePoint mayLoadAt() const;
  LoadTurn turn() const;
  // When all pieces of the wanted version are likely to be here.
  TimePoint wholeBy(TimePoint Now) const;
  // Of the zone's engine on the VM with this address.
  LoadPosition loadPosition(const std::string &Ip, const ModelVersion &V) const;
  void tellEntries();
  // Bytes a second.
  std::int64_t uploadRate() const {
    constexpr double BytesPerMegabit = 1e6 / 8;
    return static_cast<std::int64_t>(Settings_.LinkMbps_ * BytesPerMegabit *
                                     UploadShare);
  }
  bool isBusy() const { return Duty_.wanted() && !Duty_.isDone(); }
  bool isFetching() const;

  StoreAgentSettings Settings_;
  Random Random_;
  EventLog Log_;
  Metrics Metrics_;
  PieceCounters Pieces_;
  IoThread Io_;
  platform::StoreWire Codec_;
  StoreClient Store_;
  HttpCalls Engine_;
  std::unique_ptr<HttpCalls> Origin_;
  std::unique_ptr<PeerNet> Net_;
  RowReader Reader_;
  std::shared_ptr<HttpListener> MetricsServer_;
  std::string MetricsAddress_;
  bool OperatorUnderWay_ = false;
  TimePoint OperatorNotBefore_{};
  // The configuration is not known, or the origin's address in it may be old.
  bool MustListOperators_ = true;
  // Readings of that table in a row that failed.
  unsigned OperatorFailures_ = 0;
  unsigned OriginFailures_ = 0;
  SharedConfig Config_;
  EngineDuty Duty_;
  std::string Self_;
  AvailabilityZone OriginZone_;
  // What Duty_ wants, and what was named while that was nearly there.
  std::shared_ptr<Pursuit> Current_;
  std::shared_ptr<Pursuit> Next_;
  // Of the loaded version, for VMs that are still without.
  std::shared_ptr<PieceTransfer> Offer_;
  bool OfferLooked_ = false;
  // The engine has taken the order to load the wanted version.
  bool OrderBegun_ = false;
  std::vector<PiecePeer> Peers_;
  std::vector<std::string> ZoneMembers_;
  bool PeersUnderWay_ = false;
  TimePoint PeersAt_{};
  std::optional<TimePoint> LoadedAt_;
  std::optional<EngineReport> LastTold_;
  // The version for which the store was asked out of turn.
  WeightVersion LookedFor_ = 0;
  // Entries that asked to be told of the engine, by process.
  struct Watcher {
    ConnectionId Connection_ = 0;
    bool WantsLoads_ = false;
  };
  std::map<ProcessName, Watcher> Watchers_;
  PlaceGrants Places_;
  struct PlaceQuestion {
    ConnectionId From_ = 0;
    wire::PlaceAskT Ask_;
  };
  std::vector<PlaceQuestion> PlaceQuestions_;
  bool ReportUnderWay_ = false;
  std::optional<wire::EngineNoticeT> ToldEntries_;
  TimePoint ToldAt_{};
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_AGENT_STOREAGENTSTATE_H
