// A whole fleet on loopback: stand-ins for the platform, entries, agents with
// their engines and services, and the operators' declaration.
//
//   auto F = FleetBuilder().zones({"a", "b"}).modelVms(3).plainVms(1).build();
//   WeightVersion V1 = F->publishWeights("v1", 1);
//   REQUIRE(F->apply(F->declaration(V1)).ExitCode_ == 0);
//   F->awaitServing(V1);
//   F->complete(F->entry(0), "hello", 8);
//
// VM names are copywriter-lm-N (model engines) and billing-desk-N (plain
// services), assigned to the zones round-robin. With withProxies() each
// listener between processes, each endpoint and each zone's path to the
// platform has its own proxy; cutOff() partitions a zone from the others.

#ifndef HAWTHORNROAD_TESTS_INTEGRATION_FLEET_H
#define HAWTHORNROAD_TESTS_INTEGRATION_FLEET_H

#include "hawthornroad/base/Types.h"
#include "tests/integration/Fixture.h"

#include <boost/json/object.hpp>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hawthornroad {

// A version of weights at the origin.
struct WeightVersion {
  std::string ManifestPath_;
  VersionDigest Digest_;
  // Digest of the blob that an engine must have read.
  std::string BlobDigest_;
  std::size_t Size_ = 0;
  bool operator==(const WeightVersion &) const = default;
};

struct FleetShape {
  std::vector<std::string> Zones_ = {"zone-a"};
  std::size_t EntriesPerZone_ = 1;
  std::size_t ModelVms_ = 2;
  std::size_t PlainVms_ = 0;
  bool Proxies_ = false;
  std::vector<std::string> EngineOptions_ = {"--token-ms", "2"};
  std::vector<std::string> ServiceOptions_;
  std::vector<std::string> OriginOptions_;
  // Keys that override the settings that the fleet writes.
  boost::json::object EntrySettings_;
  boost::json::object AgentSettings_;
};

// One process of the system with its stand-ins and proxies.
struct FleetProcess {
  std::string Name_;
  std::string Zone_;
  std::string Role_;
  std::string Program_;
  std::string SettingsFile_;
  // Empty for an entry.
  Vm Vm_;
  Fake *Endpoint_ = nullptr;
  // Null without proxies. In front of the peer listener and, for an agent, in
  // front of its weights listener and of its engine or service.
  Proxy *PeerProxy_ = nullptr;
  Proxy *WeightsProxy_ = nullptr;
  Proxy *EndpointProxy_ = nullptr;
  // Unset while it is not running.
  std::optional<Process> Process_;

  std::string admin() { return Process_->readyText("admin"); }
  // The address of an entry for callers.
  std::string callers() { return Process_->readyText("callers"); }
  // The address at which other processes reach it.
  std::string peers();
};

// The platform's addresses as one zone reaches them.
struct PlatformPath {
  std::string Table_;
  std::string Objects_;
  std::string Members_;
  std::string Origin_;
  // In the same order; empty without proxies.
  std::vector<Proxy *> Proxies_;
};

class Fleet {
public:
  explicit Fleet(FleetShape Shape);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  FleetProcess &entry(std::size_t Index) { return Entries_.at(Index); }
  FleetProcess &agent(std::size_t Index) { return Agents_.at(Index); }
  std::deque<FleetProcess> &entries() { return Entries_; }
  std::deque<FleetProcess> &agents() { return Agents_; }
  // The agents of the model service.
  std::vector<FleetProcess *> modelAgents();
  PlatformPath &platformOf(const std::string &Zone);
  Fake &table() { return *Table_; }
  Fake &objects() { return *Objects_; }
  Fake &origin() { return *Origin_; }
  Fake &members() { return *Members_; }
  TemporaryFolder &folder() { return Stands_.folder(); }

  // Starts a process that is not running, with its settings as before.
  void start(FleetProcess &P);
  // Kills and discards it; the next start() runs a replacement.
  void kill(FleetProcess &P);
  // Partitions Zone from all other zones, and from the platform when Platform
  // is set; heal() clears the faults of all proxies. Needs withProxies().
  void cutOff(const std::string &Zone, bool Platform);
  void heal();
  // Writes the running processes to the platform's membership list.
  void publishMembers();

  // Puts a version of Size random bytes at the origin.
  WeightVersion publishWeights(const std::string &Name, std::uint64_t Seed,
                               std::size_t Size = 300'000);
  // The operators' declaration for this fleet; tests edit it before apply().
  boost::json::object declaration(const WeightVersion &Version) const;
  // hawthornroadctl with --table and --charts added.
  ToolResult ctl(std::vector<std::string> Arguments);
  ToolResult apply(const boost::json::object &Text,
                   const std::string &Reason = "test");

  // Wait until each process is ready, or until each model engine serves Version
  // and its agent reports it.
  void awaitReady();
  void awaitServing(const WeightVersion &Version);

private:
  void startPlatform();
  void addProcesses();
  void addProxies(FleetProcess &P);
  FleetProcess &addProcess(std::deque<FleetProcess> &To, FleetProcess P,
                           boost::json::object Settings);
  boost::json::object commonSettings(const FleetProcess &P);
  boost::json::object agentSettings(const FleetProcess &P);
  std::vector<std::string> seeds();
  std::vector<Proxy *> proxiesBetweenProcesses(const std::string &Zone);

  FleetShape Shape_;
  FakesFixture Stands_;
  Fake *Table_ = nullptr;
  Fake *Objects_ = nullptr;
  Fake *Origin_ = nullptr;
  Fake *Members_ = nullptr;
  std::deque<PlatformPath> Paths_;
  std::deque<FleetProcess> Entries_;
  std::deque<FleetProcess> Agents_;
};

class FleetBuilder {
public:
  FleetBuilder &zones(std::vector<std::string> Names);
  FleetBuilder &entriesPerZone(std::size_t Count);
  FleetBuilder &modelVms(std::size_t Count);
  FleetBuilder &plainVms(std::size_t Count);
  FleetBuilder &withProxies();
  FleetBuilder &engineOptions(std::vector<std::string> Options);
  FleetBuilder &serviceOptions(std::vector<std::string> Options);
  FleetBuilder &originOptions(std::vector<std::string> Options);
  FleetBuilder &entrySettings(boost::json::object Settings);
  FleetBuilder &agentSettings(boost::json::object Settings);
  std::unique_ptr<Fleet> build() const;

private:
  FleetShape Shape_;
};

// The state of another process in Seen's /status: "alive", "suspect", "dead" or
// "left"; empty when Seen does not know it.
std::string memberState(FleetProcess &Seen, const std::string &Process);
// Number of log lines of all processes of the fleet that contain every one of
// Texts.
int logLines(Fleet &F, const std::vector<std::string> &Texts);

// Bytes that depend only on Size and Seed.
std::string seededBytes(std::size_t Size, std::uint64_t Seed);
// The manifest of a blob stored at BlobPath of the origin.
std::string manifestText(const std::string &Model, const std::string &Blob,
                         const std::string &BlobPath, std::size_t ChunkSize);

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_INTEGRATION_FLEET_H
