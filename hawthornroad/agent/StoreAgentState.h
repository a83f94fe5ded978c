// Implementation of StoreAgent, shared by its source files:
//
//   StoreAgent.cpp       life cycle, peers, frames, metrics
//   AgentVersions.cpp    the wanted version, as read from the store
//   AgentEngine.cpp      the update steps of the engine: report, verify, order
//   AgentPlaces.cpp      places and limits that entries ask for
//   AgentDigests.cpp     where a version's digests are read from
//   AgentPieces.cpp      from the digests to a complete set of pieces
//
// Everything runs on the thread of Io_.

#ifndef HAWTHORNROAD_AGENT_STOREAGENTSTATE_H
#define HAWTHORNROAD_AGENT_STOREAGENTSTATE_H

#include "hawthornroad/agent/OriginReader.h"
#include "hawthornroad/agent/PieceTransfer.h"
#include "hawthornroad/agent/RowReader.h"
#include "hawthornroad/agent/StagedPieces.h"
#include "hawthornroad/agent/StoreAgent.h"
#include "hawthornroad/entry/PartTable.h"
#include "hawthornroad/entry/RowFaults.h"
#include "hawthornroad/http/HttpListener.h"
#include "hawthornroad/peers/PeerPace.h"
#include "hawthornroad/runtime/BootClock.h"
#include "hawthornroad/runtime/Io.h"
#include "hawthornroad/runtime/Metrics.h"
#include "hawthornroad/staging/HeardVersions.h"
#include "hawthornroad/staging/LoadSchedule.h"
#include "hawthornroad/staging/PlaceGrants.h"
#include "hawthornroad/staging/PriorityGate.h"
#include "hawthornroad/staging/VersionOrder.h"
#include "hawthornroad/store/StoreClient.h"
#include "hawthornroad/traffic/ColdGrants.h"
#include "hawthornroad/traffic/CrashingParts.h"
#include "hawthornroad/traffic/LimitGrants.h"
#include "hawthornroad/weights/DigestTree.h"
#include "platform/EngineWire.h"
#include "platform/StoreWire.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hawthornroad {

// Timeout of a call to the engine beside this agent.
inline constexpr Duration AgentEngineTimeout = Seconds(1);
// Longest silence while a version's digests are read from the origin.
inline constexpr Duration ManifestTimeout = Milliseconds(1200);
// Bytes of an engine's answer that holds neither weights nor a list of pieces.
inline constexpr std::size_t MaxEngineAnswer = 256 * 1024;
// Bytes of the list of the pieces that are staged.
inline constexpr std::size_t MaxStagedList = 1024 * 1024;
// Loads finish this long before the bound: by then entries no longer use
// engines with older versions.
inline constexpr Duration BoundMargin = Milliseconds(600);

// Share of the VM's link that pieces may use: the engine's answers need a tenth
// of it, in bursts.
inline constexpr double UploadShare = 0.85;

struct StoreAgent::State final : SessionHandler {
  static CrashingParts::Options relayOptions() {
    CrashingParts::Options O;
    O.IsRelay_ = true;
    return O;
  }

  // A version that is being brought to this VM.
  struct VersionUpdate {
    ModelVersion Version_;
    TimePoint HeardAt_{};
    // The digests are being read from the origin, or are known and are being
    // compared with the pieces staged at the engine.
    bool ManifestPending_ = false;
    // The origin's manifest text, kept for peers, and the connections that wait
    // for it.
    std::string Manifest_;
    std::vector<ConnectionId> ManifestWaiters_;
    // Set when the search for the digests starts.
    std::optional<DigestTree> Tree_;
    // Set when the digests are known.
    std::shared_ptr<PieceTransfer> Transfer_;
  };

  explicit State(StoreAgentSettings Settings);
  ~State() override;

  void onRequest(const std::shared_ptr<ServerSession> &S,
                 InboundRequest R) override;
  void onCallerDisconnected(ServerSession &) override {}

  RowReader::Transport readerTransport();
  void start();
  void tick();
  void step(TimePoint Now);
  // Lists the whole operators' table: configuration and versions.
  void listOperatorTable();
  // Lists only the versions.
  void listVersions();
  bool hasWatchers() const { return !Watchers_.empty(); }
  void onOperatorReply(bool IsFullTable, const StoreReply &R);
  void onOperatorRows(const StoreRows &Rows);
  // Reads the whole operators' table at the next tick, since the origin's
  // address may have changed.
  void lookUpOrigin();
  void takeOrigin(const ServiceConfig &Origin);
  void refreshOperatorTable(TimePoint Now);
  void takeVersion(const ModelVersion &V, TimePoint Now);
  void takeFirstVersion(TimePoint Now);
  // Configured capacity of this VM's engine; null until known.
  const EngineProfile *pace() const;
  // Makes P the wanted version.
  void startUpdate(std::shared_ptr<VersionUpdate> P);
  void startNextUpdate();
  void supersedeStalled(TimePoint Now);
  void requestReport();
  void onReport(const HttpCalls::Result &R, TimePoint AskedAt);
  // Advances the transfer of a version's pieces until all are held.
  void fetch(const std::shared_ptr<VersionUpdate> &P, TimePoint Now);
  std::vector<SwarmPeer> swarmPeers() const;
  void fetchDigests(const std::shared_ptr<VersionUpdate> &P, TimePoint Now);
  void fetchDigestsForPeers(TimePoint Now);
  void readManifest(const std::shared_ptr<VersionUpdate> &P);
  void requestManifest(const VersionUpdate &P, const Vm &To);
  void answerManifestWaiters(VersionUpdate &P);
  void learnVersionFrom(const std::string &FrameName);
  void onManifestRequest(const PeerContext &From, const std::string &FrameName);
  void onManifestReply(const wire::ChunkReplyT &Reply);
  // Returns whether the origin's answer could be read.
  bool onManifest(const std::shared_ptr<VersionUpdate> &P,
                  const OriginReader::Result &R);
  // Returns whether the text is a manifest of the version.
  bool takeManifest(const std::shared_ptr<VersionUpdate> &P,
                    const std::string &Text);
  bool onManifestFrame(const PeerContext &From, const wire::FrameT &Frame);
  std::shared_ptr<VersionUpdate> findUpdate(const std::string &FrameName) const;
  void checkStaged(const std::shared_ptr<VersionUpdate> &P,
                   const platform::PieceDigests &D);
  void beginTransfer(const std::shared_ptr<VersionUpdate> &P,
                     const platform::PieceDigests &D,
                     std::map<ChunkIndex, std::string> Held);
  void onPiecesComplete(const VersionUpdate &P);
  PieceTransfer::Setup transferSetup(const ModelVersion &V) const;
  // Serves the pieces of the loaded version to peers, if all are staged at the
  // engine.
  void offerLoaded();
  void readStaged(const std::string &Model, ChunkIndex Index,
                  std::size_t PieceBytes,
                  std::function<void(std::string)> Then);
  // Stages the pieces at the engine and reads them back.
  void stageAndVerify();
  void onVerified(const std::shared_ptr<VersionUpdate> &P,
                  StagedPieceReader::Result R);
  void reportVerified(const ModelVersion &V, const StagedCheck &C);
  // Fetches the pieces that are not among Held again.
  void fetchAgain(const std::shared_ptr<VersionUpdate> &P,
                  std::map<ChunkIndex, std::string> Held);
  void orderLoad();
  void listPeers(TimePoint Now);
  void onPeers(const StoreRows &Rows);
  void onFrame(const PeerContext &From, const wire::Frame &Frame);
  // Another process reports that a version was published.
  void onVersionHeard(const ModelVersion &V);
  // An entry asks for a place at the engine; answered at once, or after the
  // engine's next report.
  void onPlaceAsk(const PeerContext &From, const wire::PlaceAskT &Ask);
  void answerPlaceRequests(TimePoint Now);
  // Whether the engine has a place for the request and no more urgent request
  // lacks one.
  bool grantPlace(const wire::PlaceAskT &Ask, const PlaceGrants::Pace &P,
                  TimePoint Now);
  // Logs for which priorities places are held back.
  void reportGate(TimePoint Now);
  // Grants a request under the rate limit of any endpoint.
  void answerLimitRequest(const PeerContext &From, const wire::PlaceAskT &Ask);
  void noteCold(const wire::PlaceAskT &Ask, const ProcessName &From);
  void noteLimit(const EndpointStart &E, const wire::StatedLimitT &Limit,
                 const ProcessName &From);
  // Capacity of the engine, as the entry that asks or this agent knows it.
  PlaceGrants::Pace placePace(const wire::PlaceAskT &Ask) const;
  WeightVersion newestKnown() const;
  std::vector<std::shared_ptr<PieceTransfer>> transfers() const;
  TimePoint scheduledLoadAt() const;
  LoadSchedule loadSchedule() const;
  // Expected time to bring this many pieces over the narrowest link.
  Duration transferTime(double Pieces) const;
  PendingVersion pendingVersion(const VersionUpdate &P) const;
  // When all pieces of the wanted version are expected to be held.
  TimePoint expectedCompleteAt(TimePoint Now) const;
  // Load position of the zone's engine on the VM with this address.
  LoadPosition loadPosition(const std::string &Ip, const ModelVersion &V) const;
  void notifyEntries();
  PartTable::Owner partOwner();
  // Passes on to all entries and to the store what has changed of prompt parts.
  void relayParts(TimePoint Now);
  // Adds what changes without a notice.
  wire::EngineNoticeT withDetails(wire::EngineNoticeT Notice) const;
  // Bytes per second.
  std::int64_t uploadRate() const {
    constexpr double BytesPerMegabit = 1e6 / 8;
    return static_cast<std::int64_t>(Settings_.LinkMbps_ * BytesPerMegabit *
                                     UploadShare);
  }
  bool isBusy() const { return Updater_.wanted() && !Updater_.isDone(); }
  bool isFetching() const;

  StoreAgentSettings Settings_;
  Random Random_;
  EventLog Log_;
  RowFaults RowFaults_;
  Metrics Metrics_;
  PieceCounters PieceCounters_;
  IoThread Io_;
  platform::StoreWire Codec_;
  StoreClient Store_;
  HttpCalls Engine_;
  // Transfers refer to it.
  OriginReader Origin_;
  std::unique_ptr<PeerNet> Net_;
  RowReader Reader_;
  std::shared_ptr<HttpListener> MetricsServer_;
  std::string MetricsAddress_;
  bool OperatorPending_ = false;
  TimePoint OperatorNotBefore_{};
  // The configuration is not known, or the origin's address in it may be
  // outdated.
  bool MustListOperators_ = true;
  // Consecutive failed reads of the operators' table.
  unsigned OperatorFailures_ = 0;
  SharedConfig Config_;
  EngineUpdater Updater_;
  std::string Self_;
  AvailabilityZone OriginZone_;
  // The version that Updater_ wants, and one that was published while that
  // update was nearly finished.
  std::shared_ptr<VersionUpdate> Current_;
  std::shared_ptr<VersionUpdate> Next_;
  // Serves the loaded version to VMs that do not have it yet.
  std::shared_ptr<PieceTransfer> Offer_;
  bool OfferChecked_ = false;
  // The engine has accepted the order to load the wanted version.
  bool OrderBegun_ = false;
  std::vector<PiecePeer> Peers_;
  std::vector<std::string> ZoneMembers_;
  bool PeersPending_ = false;
  TimePoint PeersAt_{};
  std::optional<TimePoint> LoadedAt_;
  std::optional<EngineReport> LastLoggedReport_;
  // When the engine was asked for its latest report.
  TimePoint LastReportAskedAt_{};
  // The newest version that other processes have reported; the store is read at
  // once if it has not shown that version yet.
  WeightVersion HeardVersion_ = 0;
  HeardVersions Heard_;
  // Entries that subscribed to engine notices, by process.
  struct Watcher {
    ConnectionId Connection_ = 0;
    bool WantsLoads_ = false;
  };
  std::map<ProcessName, Watcher> Watchers_;
  PlaceGrants Places_;
  PriorityGate Gate_;
  LimitGrants Limits_{bootNow()};
  ColdGrants Cold_{bootNow()};
  CrashingParts Parts_{relayOptions()};
  PartTable PartTable_;
  struct PlaceRequest {
    ConnectionId From_ = 0;
    ProcessName Process_;
    wire::PlaceAskT Ask_;
  };
  std::vector<PlaceRequest> PlaceRequests_;
  bool ReportPending_ = false;
  std::optional<wire::EngineNoticeT> LastNotice_;
  TimePoint LastNoticeAt_{};
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_AGENT_STOREAGENTSTATE_H
