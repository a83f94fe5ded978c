// Settings of the daemons: JSON with comments, validated at startup.
//
//   EntrySettings S = EntrySettings::load("entry.jsonc");  // throws TextError
//
// Every key is checked; unknown keys are faults. Fields are named like their
// keys. A listening "IP:port" may have port 0: the kernel then chooses the
// port, and the process prints it in its ready line.

#ifndef HAWTHORNROAD_CONFIG_SETTINGS_H
#define HAWTHORNROAD_CONFIG_SETTINGS_H

#include "hawthornroad/base/Types.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornroad {

// Services of the platform. An empty address means that the service does not
// exist.
struct PlatformSettings {
  std::string Table_;   // "IP:port"
  std::string Objects_; // "IP:port"
  std::string Members_; // "IP:port"
  // Timeout of one request to the platform.
  Duration Timeout_ = Seconds(2);
  // Interval at which the elected readers of a zone read the table.
  Duration PollPeriod_ = Milliseconds(250);
  bool operator==(const PlatformSettings &) const = default;
};

// Settings common to both daemons.
struct ProcessSettings {
  ProcessName Process_;
  AvailabilityZone Zone_;
  std::string PeerListen_ = "127.0.0.1:0";
  std::string AdminListen_ = "127.0.0.1:0";
  // Address at which other processes reach the peer listener, when it differs
  // from PeerListen_ (address translation or a proxy); empty otherwise.
  std::string PeerAdvertise_;
  // Peers to join through, in addition to the platform's membership list.
  std::vector<PeerAddress> Seeds_;
  PlatformSettings Platform_;
  // Directory of the state charts.
  std::string Charts_ = "charts";
  std::string LogLevel_ = "info";
  // Seed of the random number generator; 0 takes one from the system.
  std::uint64_t RandomSeed_ = 0;
  // Membership: probe interval, timeout of a direct probe, and the time that a
  // suspected process has to refute the suspicion.
  Duration ProbePeriod_ = Milliseconds(300);
  Duration ProbeTimeout_ = Milliseconds(150);
  Duration SuspicionTimeout_ = Milliseconds(1500);
  bool operator==(const ProcessSettings &) const = default;
};

struct EntrySettings {
  ProcessSettings Common_;
  std::string CallerListen_ = "127.0.0.1:0";
  std::size_t MaxBody_ = 8 * 1024 * 1024;
  std::size_t MaxConnections_ = 4096;
  // Deadline of requests that do not set one, and the maximum deadline.
  Duration DefaultDeadline_ = Seconds(30);
  Duration MaxDeadline_ = Seconds(600);
  // After this time without data from an attempt, its state is queried over a
  // new connection.
  Duration AttemptIdle_ = Milliseconds(1000);
  // How long the listener stays open after SIGTERM, so that the load balancer
  // can notice the shutdown.
  Duration DrainGrace_ = Milliseconds(2000);
  // How long the response of a finished claim is kept for requests that repeat
  // its key.
  Duration ClaimKeep_ = Seconds(86400);

  static EntrySettings parse(std::string_view Text, const std::string &File);
  static EntrySettings load(const std::string &File);
  bool operator==(const EntrySettings &) const = default;
};

struct AgentSettings {
  ProcessSettings Common_;
  Vm Vm_;
  // Address of the engine or plain service on this VM, "IP:port".
  std::string EndpointAddress_;
  // Bound for the lifetime of the process, which ensures one agent per VM. Port
  // 0 is for tests only.
  std::string LockListen_ = "127.0.0.1:0";
  std::string WeightsListen_ = "127.0.0.1:0";
  // Like PeerAdvertise_, for the weights listener.
  std::string WeightsAdvertise_;
  // Memory-backed directory for weights.
  std::string WeightsFolder_;
  // Address of the weights origin, "IP:port".
  std::string Origin_;
  // Maximum size of old versions kept for rollback, in bytes.
  std::int64_t KeepBytes_ = std::int64_t{64} << 30;
  // Bandwidth limits for transfers of weights, in bytes per second; 0 means no
  // limit.
  std::int64_t UploadRate_ = 0;
  std::int64_t DownloadRate_ = 0;
  // Maximum number of concurrent attempts when the engine reports no capacity.
  std::size_t Capacity_ = 16;
  // Response bytes buffered per attempt until the entry acknowledges them.
  std::size_t AttemptBuffer_ = 4 * 1024 * 1024;
  // How long the state of a finished attempt can be queried.
  Duration AttemptKeep_ = Seconds(60);
  // Maximum wait for running attempts at a planned shutdown.
  Duration DrainLimit_ = Seconds(600);
  Duration ReportPeriod_ = Milliseconds(500);
  // Maximum time without data from the endpoint within an attempt.
  Duration EndpointIdle_ = Seconds(30);

  static AgentSettings parse(std::string_view Text, const std::string &File);
  static AgentSettings load(const std::string &File);
  bool operator==(const AgentSettings &) const = default;
};

// Settings common to both processes on a platform whose store holds the
// configuration, the endpoints and the target versions
// (docs/design/platform.md).
struct StoreProcessSettings {
  ProcessName Process_;
  AvailabilityZone Zone_;
  // Address of the platform's store, "IP:port".
  std::string Store_;
  // Listener for metrics, "IP:port"; empty disables it.
  std::string MetricsListen_;
  std::string LogLevel_ = "info";
  std::uint64_t RandomSeed_ = 0;
  // The following time limits are set by the operators.
  //
  // From the store reporting a key as revoked until no request with that key
  // is started.
  Duration RevokeBound_ = Milliseconds(5000);
  // From the store reporting a new version of weights until no request is
  // started on an older one.
  Duration VersionBound_ = Milliseconds(8000);
  // From the store reporting that an endpoint leaves until no request is sent
  // to it.
  Duration DrainBound_ = Milliseconds(2000);
  // From the store reporting a configuration until it is in force.
  Duration ApplyBound_ = Milliseconds(2000);
  // From the store reporting that a zone is evacuated until no request is sent
  // to its endpoints. The default stands for a platform that states none.
  Duration EvacuateBound_ = Seconds(30 * 86400);
  // From the stop signal until the process has exited.
  Duration StopBound_ = Seconds(8);
  // Most requests that may reach a cold endpoint in one second, over all
  // entries: a factor of the rate that it bears, plus a constant allowance.
  double ColdFactor_ = 1.5;
  double ColdSlack_ = 5;
  // The region of each zone; empty when the platform does not say.
  std::map<AvailabilityZone, Region> Regions_;
  // Memory of this VM in MB; 0: not known.
  double MemoryMb_ = 0;
  // The bound on every change of the operators' table that entries follow: the
  // shorter of those for configurations and evacuations.
  Duration operatorBound() const {
    return ApplyBound_ < EvacuateBound_ ? ApplyBound_ : EvacuateBound_;
  }
  bool operator==(const StoreProcessSettings &) const = default;
};

// How an entry schedules requests when endpoints are overloaded. Each mechanism
// can be disabled separately, to measure its effect.
struct EntryPolicy {
  // Queued requests share slots fairly among customers; if false, the order is
  // first come, first served.
  bool FairByCustomer_ = true;
  // Requests that arrive too late to meet their latency objective queue behind
  // the others.
  bool LateGoBehind_ = true;
  // The entry requests engine slots from the engines' agents; if false, it
  // selects engines by its own estimate of their load.
  bool AsksForPlaces_ = true;
  // A request may wait for a slot for the fraction LineShare_ of its latency
  // objective, or for LineLeast_ if that is longer.
  double LineShare_ = 0.15;
  Duration LineLeast_ = Milliseconds(50);
  // Maximum prefill work queued ahead of a request at an engine, as time.
  Duration MostReading_ = Milliseconds(140);
  // An endpoint in another zone is preferred only if its expected response is
  // sooner by at least this much.
  Duration CrossZoneCost_ = Milliseconds(120);
  // Fraction of an endpoint's slots that late requests may not use.
  double KeptFromLate_ = 0.2;
  // An endpoint that asks for a longer rest gets this one.
  Duration MaxRest_ = Seconds(300);
  bool operator==(const EntryPolicy &) const = default;
};

struct StoreEntrySettings {
  StoreProcessSettings Common_;
  EntryPolicy Policy_;
  std::string CallerListen_ = "127.0.0.1:0";
  // Listener for the load balancer's readiness checks.
  std::string ReadyListen_ = "127.0.0.1:0";
  // Port of the agents' peer listeners, the same on all VMs; 0 disables queries
  // to agents about their engines.
  std::int64_t AgentPort_ = 0;
  // Listener through which this entry relays the store's data to other entries
  // of its zone, "IP:port"; if empty, this entry reads the store itself and
  // relays nothing.
  std::string PeerListen_;
  // Bandwidth of this VM's link in Mbit/s. Entries with more bandwidth are
  // queried first.
  double LinkMbps_ = 1000;
  // Limits on repeated requests to a service, over all entries: the ratio to
  // first attempts within the window, plus a constant allowance.
  double RepeatRatio_ = 0.2;
  Duration RepeatWindow_ = Seconds(10);
  double RepeatSlack_ = 100;

  static StoreEntrySettings parse(std::string_view Text,
                                  const std::string &File);
  static StoreEntrySettings load(const std::string &File);
  bool operator==(const StoreEntrySettings &) const = default;
};

// How an agent grants slots of its engine to entries.
struct AgentPolicy {
  // Maximum prefill work queued ahead of a request at the engine, as time.
  Duration MostReading_ = Milliseconds(100);
  // Fraction of the engine's slots that is left unused.
  double PlacesKept_ = 0;
  // Fraction of the engine's slots that late requests may not use.
  double KeptFromLate_ = 0.2;
  bool operator==(const AgentPolicy &) const = default;
};

struct StoreAgentSettings {
  StoreProcessSettings Common_;
  AgentPolicy Policy_;
  // The local engine, "IP:port", and the service that it belongs to.
  std::string EngineAddress_;
  ServiceName Service_;
  std::string PeerListen_ = "127.0.0.1:0";
  // Bandwidth of this VM's link in Mbit/s.
  double LinkMbps_ = 1000;
  // Whether the whole deployment starts for the first time.
  bool IsFirstStart_ = false;

  static StoreAgentSettings parse(std::string_view Text,
                                  const std::string &File);
  static StoreAgentSettings load(const std::string &File);
  bool operator==(const StoreAgentSettings &) const = default;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_SETTINGS_H
