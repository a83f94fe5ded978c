// Subscribes to agents for changes of their engines' state and load.
//
//   EngineNotices Notices(Io, Self, AgentPort,
//                         [](const EngineUpdate &U) {...},
//                         [](wire::RowsAskT Query, auto Reply) {...},
//                         [](AttemptNumber A, const PlaceReply &W) {...});
//   Notices.setEngines({{"10.0.0.7:8601", true}, ...}, Now);
//   Notices.tick(Now);
//
// The store's list is up to a second old and does not show that an engine is
// about to load weights. An entry that is notified stops sending requests to
// that engine in time; otherwise the engine rejects them, and each rejection
// costs a repeat.
//
// An agent answers on the entry's connection, so agents need not know the
// entries, and sends its queries for the store's tables on it as well. After
// the loss of a connection the entry subscribes again after
// MinResubscribeDelay, doubled for each further failure up to
// MaxResubscribeDelay.
//
// Load pattern: all processes start at the same moment, and callers are there
// already. Entries that wait a second for agents that were a tenth of a second
// late send requests to engines that have no weights yet.

#ifndef HAWTHORNROAD_ENTRY_ENGINENOTICES_H
#define HAWTHORNROAD_ENTRY_ENGINENOTICES_H

#include "hawthornroad/peers/PeerNet.h"
#include "hawthornroad/peers/PeerPace.h"
#include "hawthornroad/traffic/LimitGrants.h"
#include "hawthornroad/traffic/TrafficCore.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hawthornroad {

struct EngineUpdate {
  std::string Address_;
  EnginePhase Phase_ = EnginePhase::Serving;
  std::uint64_t Version_ = 0;
  // Unset when the subscription does not include the load.
  std::optional<EndpointLoad> Load_;
  // Entries that are subscribed to the agent; 0: not stated.
  unsigned Entries_ = 0;
  // Versions that the agent knows, and when it heard of each.
  struct Heard {
    std::string Model_;
    std::uint64_t Version_ = 0;
    TimePoint At_;
  };
  std::vector<Heard> Heard_;
};

// A connection to an agent was lost, or the agent reported again.
struct AgentConnection {
  std::string Agent_;
  bool IsLost_ = false;
  // Of a loss.
  std::string Reason_;
  // Losses since the last report of one, this one included.
  unsigned Losses_ = 0;
  // How long it was lost, of an agent that reported again.
  Duration LostFor_ = Duration::zero();
};

class EngineNotices {
public:
  using UpdateHandler = std::function<void(const EngineUpdate &)>;
  using QueryHandler = std::function<void(
      wire::RowsAskT, std::function<void(FrameBuffer)> Reply)>;

  using PlaceHandler = std::function<void(AttemptNumber, const PlaceReply &)>;

  EngineNotices(IoThread &Io, PeerNet::Self Self, std::string AgentPort,
                UpdateHandler H, QueryHandler A, PlaceHandler P);

  // Reports each loss of an agent that had reported, or that does not within
  // ConnectTime, and its return; at most one loss of an agent within
  // LossReportInterval.
  using ConnectionHandler = std::function<void(const AgentConnection &)>;
  void setConnectionHandler(ConnectionHandler H) {
    ConnectionHandler_ = std::move(H);
  }
  static constexpr Duration LossReportInterval = Seconds(5);

  // Requests a place from an engine's agent. Nothing is sent to an agent that
  // has not reported on its current connection: Connecting during the first
  // ConnectTime if it has not reported before, NoAgent otherwise.
  AskResult askPlace(AttemptNumber A, const std::string &Engine,
                     const PlaceDemand &D);
  static constexpr Duration ConnectTime = Milliseconds(1500);
  // Requests one request under a rate limit from the agent that grants for the
  // endpoint, when its own agent does not. All entries that are connected to
  // the same agents choose the same one.
  AskResult askLimit(AttemptNumber A, const std::string &Address,
                     const PlaceDemand &D);
  // Reports what is known of an endpoint's limit to the agent that grants for
  // it.
  void noteLimit(const std::string &Address, const EndpointStart &E,
                 const LimitStatement &S);

  // Sends what is known of prompt parts to the agents that relay it to all
  // entries. All entries that are connected to the same agents choose the same
  // RelayCount of them, so that one may be lost. False: none is connected.
  bool shareParts(const std::vector<PartEvidence> &Parts);
  // Called with what such an agent sends: parts, and endpoints that have ended.
  using PartsHandler =
      std::function<void(const std::vector<PartEvidence> &,
                         const std::vector<EndpointStart> &Ended)>;
  // Returns all that is known, which a newly chosen relay is sent.
  using PartsSource = std::function<std::vector<PartEvidence>()>;
  void setPartsHandler(PartsHandler H, PartsSource S) {
    PartsHandler_ = std::move(H);
    PartsSource_ = std::move(S);
  }
  static constexpr std::size_t RelayCount = 2;

  // Sets the engines to subscribe to, by address. The value says whether
  // to include their load, which costs a frame several times a second.
  void setEngines(const std::map<std::string, bool> &Engines, TimePoint Now);
  void tick(TimePoint Now);
  // Reports a newly named version of a model's weights to all agents, which do
  // not watch the store's table themselves.
  void setNewestVersion(const std::string &Model, std::uint64_t Version);

private:
  struct Agent {
    std::string Engine_;
    bool IncludesLoad_ = false;
    // When to subscribe again; unset while connected or connecting.
    std::optional<TimePoint> SubscribeAt_;
    Duration ResubscribeDelay_ = MinResubscribeDelay;
    // Whether a notice has arrived on the current connection.
    bool HasReported_ = false;
    // Whether a notice has ever arrived.
    bool WasSeen_ = false;
    TimePoint AddedAt_{};
    // Since when it is lost; unset when it has reported since.
    std::optional<TimePoint> LostAt_;
    // Whether that loss was reported, and when one was reported last.
    bool IsLossReported_ = false;
    std::optional<TimePoint> LossReportedAt_;
    unsigned UnreportedLosses_ = 0;
    unsigned Subscriptions_ = 0;
  };
  static constexpr Duration MinResubscribeDelay = Milliseconds(100);
  static constexpr Duration MaxResubscribeDelay = Milliseconds(1000);
  void subscribe(const std::string &Address, Agent &A);
  // The agent beside the endpoint at Address; empty when it is no engine.
  std::string agentBeside(const std::string &Address) const;
  bool isConnected(const std::string &Agent) const;
  // The connected agent other than Except that grants for an endpoint; empty
  // when there is none.
  std::string granterOf(const EndpointId &Id, const std::string &Except) const;
  // The connected agents that relay prompt parts, with their subscriptions.
  std::map<std::string, unsigned> relays() const;
  // Sends all that is known to relays that are new, or connected again.
  void updateRelays();
  void sendParts(const std::string &Agent,
                 const std::vector<PartEvidence> &Parts);
  // Role: set when only a request under the limit is asked for.
  bool sendAsk(const std::string &Agent, AttemptNumber A, const PlaceDemand &D,
               std::optional<GranterRole> Role);
  std::string agentOf(const std::string &Engine) const {
    return Engine.substr(0, Engine.rfind(':')) + ":" + Port_;
  }
  void onLost(const PeerContext &From, const Error &Why);
  void reportLoss(const std::string &Address, Agent &A, const Error &Why,
                  TimePoint Now);
  void reportReturn(const std::string &Address, Agent &A, TimePoint Now);
  void onNotice(const PeerContext &From, const wire::EngineNotice &N);
  void onParts(const wire::PartReport &Report);
  void onQuery(const PeerContext &From, const wire::Frame &Frame);

  std::string Port_;
  UpdateHandler UpdateHandler_;
  QueryHandler QueryHandler_;
  PlaceHandler PlaceHandler_;
  ConnectionHandler ConnectionHandler_;
  PartsHandler PartsHandler_;
  PartsSource PartsSource_;
  std::map<std::string, unsigned> Relays_;
  // By model.
  std::map<std::string, std::uint64_t> NewestVersions_;
  std::map<std::string, Agent> Agents_;
  std::unique_ptr<PeerNet> Net_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ENTRY_ENGINENOTICES_H
