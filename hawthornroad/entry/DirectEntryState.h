// Implementation class of DirectEntry, defined in:
//
//   DirectEntry.cpp      start, stop, readiness, metrics
//   EntryTables.cpp      updates from the store and from agents
//   EntryCalls.cpp       callers' connections, attempts, their log lines
//   EntryBuffers.cpp     slow callers and endpoints, bytes held for them
//
// Everything runs on the thread of Io_.

#ifndef HAWTHORNROAD_ENTRY_DIRECTENTRYSTATE_H
#define HAWTHORNROAD_ENTRY_DIRECTENTRYSTATE_H

#include "hawthornroad/entry/DirectEntry.h"
#include "hawthornroad/entry/EngineNotices.h"
#include "hawthornroad/entry/PartTable.h"
#include "hawthornroad/entry/RowFaults.h"
#include "hawthornroad/entry/TableSource.h"
#include "hawthornroad/http/BufferBudget.h"
#include "hawthornroad/http/HttpListener.h"
#include "hawthornroad/http/LinkPool.h"
#include "hawthornroad/runtime/BootClock.h"
#include "hawthornroad/runtime/EventLog.h"
#include "hawthornroad/runtime/Io.h"
#include "hawthornroad/runtime/Metrics.h"
#include "hawthornroad/store/StoreClient.h"
#include "hawthornroad/traffic/TrafficCore.h"
#include "platform/RequestWire.h"
#include "platform/StoreWire.h"

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace hawthornroad {

struct DirectEntry::State final : TrafficPort, SessionHandler {
  explicit State(StoreEntrySettings Settings);
  ~State() override;

  // ---- SessionHandler
  void onRequest(const std::shared_ptr<ServerSession> &S,
                 InboundRequest R) override;
  void onCallerDisconnected(ServerSession &S) override;
  void onEnd(ServerSession &S, const SessionEndReport &R) override;

  void onDrained(ServerSession &S) override;
  bool refusesBodies() const override { return Buffers_.isFull(); }
  void onBodyRefused(ServerSession &S, const RefusedRequest &R) override;

  // ---- TrafficPort
  void beginAttempt(AttemptNumber A, const Call &C,
                    const AttemptParams &O) override;
  void cancelAttempt(AttemptNumber A) override;
  void skipAnswer(AttemptNumber A) override;
  AskResult askPlace(AttemptNumber A, const std::string &Address,
                     const PlaceDemand &D) override {
    return Notices_ ? Notices_->askPlace(A, Address, D) : AskResult::NoAgent;
  }
  AskResult askLimit(AttemptNumber A, const std::string &Address,
                     const PlaceDemand &D) override {
    return Notices_ ? Notices_->askLimit(A, Address, D) : AskResult::NoAgent;
  }
  bool checkHealth(AttemptNumber A, const Endpoint &E,
                   const std::string &Path) override;
  void shareLimit(const std::string &Address, const EndpointStart &E,
                  const LimitStatement &S) override {
    if (Notices_)
      Notices_->noteLimit(Address, E, S);
  }
  void shareParts(const std::vector<PartEvidence> &Parts) override {
    // The agents that relay them write them to the store.
    if (!Notices_ || !Notices_->shareParts(Parts))
      PartTable_.changed(Parts, bootNow());
  }
  void respond(CallNumber N, unsigned Status, const HeaderFields &Fields,
               std::string Body) override;
  void refuse(CallNumber N, const Call &C, unsigned Status, Cause Why,
              Duration RetryAfter) override;
  void beginStream(CallNumber N, unsigned Status,
                   const HeaderFields &Fields) override;
  void writeStream(CallNumber N, std::string_view Bytes) override;
  void finishStream(CallNumber N) override;
  void abortStream(CallNumber N) override;
  void report(const CallReport &R) override;
  void report(const AttemptReport &R) override;
  void report(const CutReport &R) override;
  void report(const LimitReport &R) override;
  void report(const HoldReport &R) override;
  void report(const ColdReport &R) override;
  void report(const PartEvent &E) override;
  void report(const ZoneReport &R) override;

  void start();
  void tick();
  // Logs that this thread did not run for a while.
  void notePause(TimePoint Now);
  void onOperatorRows(const TableWatch::Update &U);
  // Configurations and weight versions.
  void applyOperatorRows(const TableWatch::Update &U, TimePoint Now);
  void noteUnreadableEvacuation(const std::string &Key);
  void onEndpointRows(const TableWatch::Update &U);
  TableSource::Setup sourceSetup() const;
  TableSource::Callbacks sourceCallbacks();
  PartTable::Owner partOwner();
  // Takes what the store has of prompt parts, once, and writes what has
  // changed.
  void updatePartTable(TimePoint Now);
  PeerNet::Self peerSelf() const;
  void onOperatorCall(bool Ok);
  void onEndpointCall(bool Ok);
  void applyConfig(const std::string &Text);
  void onEngineUpdate(const EngineUpdate &T);
  void onAgentConnection(const AgentConnection &C);
  void updateWatchedEngines(TimePoint Now);
  bool isReady(TimePoint Now) const;
  // Ends idle connections until none is left or Last; blocks, called on the
  // main thread.
  void drainUntil(TimePoint Last);
  void closeConnections();
  void answerReady(ServerSession &S);
  void answerMetrics(ServerSession &S);
  void setRepeatMetrics();
  void countHealthCheck(std::string_view End);
  // Counts statements of an endpoint that could not be read, and logs each
  // once.
  void noteUnreadable(const std::string &Endpoint, const EndpointHead &H);
  // Stops reading an attempt's answer while its caller is held back.
  void followCaller(AttemptNumber A);
  void setPaused(AttemptNumber A, bool ByCaller, bool ByBudget);
  // Keeps what is held within Buffers_: at every tick, and in between when much
  // was received.
  void noteReceived(std::size_t Bytes);
  void checkBuffers(TimePoint Now);
  void applyBudget(TimePoint Now);
  void endHolder(const std::shared_ptr<ServerSession> &S, std::size_t Bytes,
                 TimePoint Now);
  std::size_t heldByAttempts() const;
  ServerSession *session(CallNumber N) const;
  std::shared_ptr<ServerSession> takeSession(CallNumber N);

  struct Attempt {
    std::shared_ptr<ClientLink> Link_;
    std::string Endpoint_;
    // 0: a health check.
    CallNumber Call_ = 0;
    // Its answer names no request.
    bool IsUnnamed_ = false;
    // Why its answer is not read.
    bool PausedByCaller_ = false;
    bool PausedByBudget_ = false;
  };
  // Answers requests on the readiness and metrics addresses.
  struct StatusHandler final : SessionHandler {
    State &Owner_;
    explicit StatusHandler(State &Owner) : Owner_(Owner) {}
    void onRequest(const std::shared_ptr<ServerSession> &S,
                   InboundRequest R) override {
      if (platform::isReadinessProbe(R))
        Owner_.answerReady(*S);
      else if (R.Target_ == "/metrics")
        Owner_.answerMetrics(*S);
      else
        S->respond(404, {}, "");
    }
    void onCallerDisconnected(ServerSession &) override {}
  };

  StoreEntrySettings Settings_;
  EventLog Log_;
  Metrics Metrics_;
  IoThread Io_;
  platform::StoreWire Codec_;
  StoreClient Store_;
  StatusHandler StatusHandler_;
  LinkPool Links_;
  TrafficCore Core_;
  PartTable PartTable_;
  std::shared_ptr<HttpListener> Callers_;
  std::shared_ptr<HttpListener> Ready_;
  std::shared_ptr<HttpListener> MetricsServer_;
  std::unique_ptr<TableSource> Source_;
  std::unique_ptr<EngineNotices> Notices_;
  std::map<std::string, EngineUpdate> LastUpdates_;
  RowFaults RowFaults_;
  // Endpoint and field.
  std::set<std::pair<std::string, std::string>> LoggedUnreadable_;
  std::unordered_map<CallNumber, std::shared_ptr<ServerSession>> Sessions_;
  std::unordered_map<AttemptNumber, Attempt> Attempts_;
  // Connections that have carried attempts of an open request.
  std::unordered_map<CallNumber, LinkPool::Numbers> UsedLinks_;
  BufferBudget Buffers_;
  std::size_t ReceivedSinceCheck_ = 0;
  // Some attempt may be paused by the budget.
  bool IsBudgetApplied_ = false;
  CallNumber NextCall_ = 1;
  TimePoint SweptAt_{};
  std::optional<TimePoint> TickedAt_;
  // The longest time without a tick in the last PauseMemory.
  Duration LongestPause_ = Duration::zero();
  TimePoint PausedAt_{};
  bool EndpointsListed_ = false;
  bool ArePartsRead_ = false;
  bool IsOperatorTableLost_ = false;
  bool IsEndpointTableLost_ = false;
  bool WasReady_ = false;
  std::atomic<bool> Stopping_{false};
  std::string CallersAddress_;
  std::string ReadyAddress_;
  std::string MetricsAddress_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ENTRY_DIRECTENTRYSTATE_H
