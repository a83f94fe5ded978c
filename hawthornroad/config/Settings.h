// The settings of the daemons: JSON with comments, every key checked at start.
//
//   EntrySettings S = EntrySettings::load("entry.jsonc");  // throws TextError
//
// An "IP:port" may have port 0: the kernel chooses, and the ready line tells.

#ifndef HAWTHORNROAD_CONFIG_SETTINGS_H
#define HAWTHORNROAD_CONFIG_SETTINGS_H

#include "hawthornroad/base/Types.h"

#include <string>
#include <string_view>
#include <vector>

namespace hawthornroad {

// The platform's services. An empty address means "not there".
struct PlatformSettings {
  std::string Table_;   // "IP:port"
  std::string Objects_; // "IP:port"
  std::string Members_; // "IP:port"
  // Longest wait for one answer of the platform.
  Duration Timeout_ = Seconds(2);
  // Period of reads of the table by the elected readers of a zone.
  Duration PollPeriod_ = Milliseconds(250);
  bool operator==(const PlatformSettings &) const = default;
};

// What both daemons share.
struct ProcessSettings {
  ProcessName Process_;
  AvailabilityZone Zone_;
  std::string PeerListen_ = "127.0.0.1:0";
  std::string AdminListen_ = "127.0.0.1:0";
  // Where other processes reach the peer listener when that is not its own
  // address (address translation, a proxy between); empty otherwise.
  std::string PeerAdvertise_;
  // Peers to join through, beside the platform's membership list.
  std::vector<PeerAddress> Seeds_;
  PlatformSettings Platform_;
  // Folder of the state charts.
  std::string Charts_ = "charts";
  std::string LogLevel_ = "info";
  // Seed of all random choices; 0 takes one from the system.
  std::uint64_t RandomSeed_ = 0;
  // Membership: period of probes, wait for a direct answer, and how long a
  // suspected process has to refute.
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
  // Deadline of a request that names none, and the longest one allowed.
  Duration DefaultDeadline_ = Seconds(30);
  Duration MaxDeadline_ = Seconds(600);
  // An attempt silent for this long is asked after over a fresh connection.
  Duration AttemptIdle_ = Milliseconds(1000);
  // How long after SIGTERM the listener stays open for the balancer's sake.
  Duration DrainGrace_ = Milliseconds(2000);
  // How long a finished claim's answer is kept for repeats of its key.
  Duration ClaimKeep_ = Seconds(86400);

  static EntrySettings parse(std::string_view Text, const std::string &File);
  static EntrySettings load(const std::string &File);
  bool operator==(const EntrySettings &) const = default;
};

struct AgentSettings {
  ProcessSettings Common_;
  Vm Vm_;
  // The engine or plain service on this VM, "IP:port".
  std::string EndpointAddress_;
  // Held for the process's lifetime: one agent a VM (port 0 only in tests).
  std::string LockListen_ = "127.0.0.1:0";
  std::string WeightsListen_ = "127.0.0.1:0";
  // As PeerAdvertise_, for the weights listener.
  std::string WeightsAdvertise_;
  // Memory-backed folder for weights.
  std::string WeightsFolder_;
  // Origin of weights, "IP:port".
  std::string Origin_;
  // Bytes of old versions kept for a rollback.
  std::int64_t KeepBytes_ = std::int64_t{64} << 30;
  // Shares of the VM's link that weights may use, bytes a second; 0 = no limit.
  std::int64_t UploadRate_ = 0;
  std::int64_t DownloadRate_ = 0;
  // Attempts run at once when the engine names no capacity.
  std::size_t Capacity_ = 16;
  // Bytes of one attempt's answer held until the entry acknowledges them.
  std::size_t AttemptBuffer_ = 4 * 1024 * 1024;
  // How long a finished attempt can be asked after.
  Duration AttemptKeep_ = Seconds(60);
  // Longest wait for running attempts at a planned stop.
  Duration DrainLimit_ = Seconds(600);
  Duration ReportPeriod_ = Milliseconds(500);
  // Longest silence of the endpoint within one attempt.
  Duration EndpointIdle_ = Seconds(30);

  static AgentSettings parse(std::string_view Text, const std::string &File);
  static AgentSettings load(const std::string &File);
  bool operator==(const AgentSettings &) const = default;
};

// What both processes share on a platform whose store holds configuration,
// endpoints and wanted versions (docs/design/platform.md).
struct StoreProcessSettings {
  ProcessName Process_;
  AvailabilityZone Zone_;
  // The platform's store, "IP:port".
  std::string Store_;
  // Counters and histograms, "IP:port"; empty: not served.
  std::string MetricsListen_;
  std::string LogLevel_ = "info";
  std::uint64_t RandomSeed_ = 0;
  // The operators' bounds. Time from the store's word that a key was taken
  // away until no request with it may be begun.
  Duration RevokeBound_ = Milliseconds(5000);
  // Time from the word of new weights until no request may begin on older ones.
  Duration VersionBound_ = Milliseconds(8000);
  // Time from the store's word that an endpoint leaves until no request may
  // reach it.
  Duration DrainBound_ = Milliseconds(2000);
  // Time from the store's word of a configuration until it is in force.
  Duration ApplyBound_ = Milliseconds(2000);
  // Time a process has between the signal to stop and its end.
  Duration StopBound_ = Seconds(8);
  bool operator==(const StoreProcessSettings &) const = default;
};

// How an entry decides whom to serve when endpoints cannot serve all. Each
// mechanism can be switched off by itself, to measure what it is worth.
struct EntryPolicy {
  // Those that wait share places by customer; off: first come, first served.
  bool FairByCustomer_ = true;
  // Those that came too late to be answered in time go behind those that did
  // not.
  bool LateGoBehind_ = true;
  // Engines' places are asked of the agents beside them; off: chosen by what
  // is believed of each engine.
  bool AsksForPlaces_ = true;
  // Part of its goal that a request may wait in line for a place.
  double LineShare_ = 0.15;
  Duration LineLeast_ = Milliseconds(50);
  // Prompts that may stand before a request at an engine, as reading time.
  Duration MostReading_ = Milliseconds(140);
  // How much sooner an endpoint of another zone must be expected to answer.
  Duration CrossZoneCost_ = Milliseconds(120);
  // Of an endpoint's places, the part that late ones may not take.
  double KeptFromLate_ = 0.2;
  bool operator==(const EntryPolicy &) const = default;
};

struct StoreEntrySettings {
  StoreProcessSettings Common_;
  EntryPolicy Policy_;
  std::string CallerListen_ = "127.0.0.1:0";
  // Answers the balancer's question whether this entry is ready.
  std::string ReadyListen_ = "127.0.0.1:0";
  // Port of agents' peer listeners, the same on all VMs; 0: agents are not
  // asked of their engines.
  std::int64_t AgentPort_ = 0;
  // Where other entries of the zone ask this one for what the store said,
  // "IP:port"; empty: this entry reads the store itself and is not asked.
  std::string PeerListen_;
  // Bits a second of this VM's link: those with wider ones are asked first.
  double LinkMbps_ = 1000;
  // Bounds of what a service is sent beyond first arrivals, over all entries.
  double RepeatRatio_ = 0.2;
  Duration RepeatWindow_ = Seconds(10);
  double RepeatSlack_ = 100;

  static StoreEntrySettings parse(std::string_view Text,
                                  const std::string &File);
  static StoreEntrySettings load(const std::string &File);
  bool operator==(const StoreEntrySettings &) const = default;
};

// How an agent gives out its engine's places and brings it new weights.
struct AgentPolicy {
  // Prompts that may stand before a request at the engine, as reading time.
  Duration MostReading_ = Milliseconds(100);
  // Part of the engine's places that is left empty.
  double PlacesKept_ = 0;
  // Of its places, the part that late requests may not take.
  double KeptFromLate_ = 0.2;
  bool operator==(const AgentPolicy &) const = default;
};

struct StoreAgentSettings {
  StoreProcessSettings Common_;
  AgentPolicy Policy_;
  // The engine beside this agent, "IP:port", and the service it is part of.
  std::string EngineAddress_;
  ServiceName Service_;
  std::string PeerListen_ = "127.0.0.1:0";
  // Bits a second of this VM's link.
  double LinkMbps_ = 1000;

  static StoreAgentSettings parse(std::string_view Text,
                                  const std::string &File);
  static StoreAgentSettings load(const std::string &File);
  bool operator==(const StoreAgentSettings &) const = default;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_SETTINGS_H
