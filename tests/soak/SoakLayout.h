// The processes and stand-ins of a soak: entries of several zones, engines with
// their agents, endpoints behind proxies, and a store.
//
//   SoakLayout L({.Entries_ = 6, .Zones_ = 3, .Agents_ = 3}, Record);
//   L.stop(L.entries()[0], Now); ... L.tick(Now);   // restarts it in time
//   L.address(4).Callers_;
//
// Everything but address() is for one thread: a process ends with the thread
// that started it. Disruptions are recorded before they begin and after they
// end.

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKLAYOUT_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKLAYOUT_H

#include "tests/integration/PlatformFixture.h"
#include "tests/soak/SoakEarly.h"
#include "tests/soak/SoakEndpoint.h"
#include "tests/soak/SoakMemory.h"
#include "tests/soak/SoakSlowdown.h"

#include <deque>
#include <memory>

namespace hawthornroad {

class SoakLayout {
public:
  // The operator's bounds that entries and agents are started with.
  static constexpr Duration RevokeBound = Milliseconds(5000);
  static constexpr Duration EvacuateBound = Milliseconds(3000);
  static constexpr Duration DrainBound = Milliseconds(2000);
  static constexpr Duration StopBound = Seconds(6);
  static constexpr Duration VersionBound = Seconds(8);
  // Memory of their VMs.
  static constexpr std::size_t EntryMegabytes = 260;
  static constexpr std::size_t AgentMegabytes = 128;

  struct Options {
    std::uint64_t Seed_ = 1;
    std::size_t Entries_ = 6;
    std::size_t Zones_ = 3;
    std::size_t Agents_ = 3;
    // A program to run as the entries; empty for that of the build folder.
    std::string EntryProgram_;
    // The operators' limit on repeats. Few of them are allowed when many
    // endpoints pause.
    double RepeatRatio_ = 0.1;
    double RepeatSlack_ = 12;
    // What entries are started with; unset: the operators' ratio.
    std::optional<double> EntryRepeatRatio_;
  };
  // A path and its active faults; the one added last is in force.
  struct Path {
    std::unique_ptr<Proxy> Proxy_;
    std::vector<std::string> Faults_;
    // In force while there is no other.
    std::string StandingFault_ = "{}";
  };
  struct Entry {
    std::string Name_;
    // Without a proxy if there are many entries.
    Path StorePath_;
    std::unique_ptr<Process> Process_;
    std::string Settings_;
    int Starts_ = 0;
    // Number of active freeze faults; reset to 0 when the process is restarted.
    int Frozen_ = 0;
    // While it is stopping or killed: the earliest time of its restart, and
    // when it is killed if it still runs.
    std::optional<TimePoint> RestartAt_;
    TimePoint KillAt_;

    std::string process() const {
      return Name_ + "#" + std::to_string(Starts_);
    }
  };
  struct Endpoint {
    std::unique_ptr<SoakEndpoint> Server_;
    Path Path_;
    TimePoint ExitAt_;
  };
  struct Agent {
    std::unique_ptr<SoakEndpoint> Engine_;
    std::unique_ptr<Process> Process_;
    std::string Settings_;
    std::optional<TimePoint> RestartAt_;
  };
  struct Address {
    std::string Callers_;
    std::string Process_;
  };

  SoakLayout(Options O, SoakRecord &Record, TemporaryFolder &Folder);

  // Starts all; the configuration must be in the store.
  void start();
  StoreStandIn &store() { return Store_; }
  SoakOrigin &origin() { return Origin_; }
  std::deque<Entry> &entries() { return Entries_; }
  std::deque<Endpoint> &endpoints() { return Endpoints_; }
  std::deque<Agent> &agents() { return Agents_; }
  // The zone of the entry, agent or engine with this index.
  std::string zone(std::size_t Index) const;
  // Entries that have been started. Thread-safe.
  std::size_t running() const;
  // Of an entry's newest start. Thread-safe.
  Address address(std::size_t Entry) const;

  // Restarts ended processes in time, ends endpoints that have left, and lists
  // endpoints whose rows have changed.
  void tick(TimePoint Now);
  void stop(Entry &E, TimePoint RestartAt);
  void kill(Entry &E, TimePoint RestartAt);
  void freeze(Entry &E);
  void resume(Entry &E);
  // Lets all entries run for short moments only, until endSlowness(). They must
  // not be killed or frozen meanwhile.
  void slowEntries();
  void endSlowness();
  // Starts one more entry.
  void addEntry();
  void stop(Agent &A, TimePoint RestartAt);
  // Another endpoint in the same mode replaces this one, which drains and then
  // exits.
  void replace(Endpoint &E);
  void beginFault(Endpoint &E, const std::string &Fault);
  void endFault(Endpoint &E, const std::string &Fault);
  void beginFault(Entry &E, const std::string &Fault);
  void endFault(Entry &E, const std::string &Fault);
  void setStoreMode(StoreStandIn::Mode M);
  // Late second copies of answers that were sent by the endpoints listed now.
  std::uint64_t answerCopies() const;
  // Health checks that they have rejected.
  unsigned rejectedChecks() const;
  // Ends all faults and restarts what does not run.
  void clearFaults();
  const SoakMemory &memory() const { return Memory_; }

private:
  // The region of each zone, for the settings.
  boost::json::object regions() const;
  Endpoint makeEndpoint(const std::string &Service, std::size_t Index);
  void addEntry(std::size_t Index);
  void addAgent(std::size_t Index);
  void start(Entry &E);
  void start(Agent &A);
  void list(const SoakEndpoint &E);
  void setDisruption(Endpoint &E);
  void setDisruption(Entry &E);
  void sampleMemory(TimePoint Now);

  Options Options_;
  SoakRecord &Record_;
  TemporaryFolder &Folder_;
  StoreStandIn Store_;
  SoakOrigin Origin_;
  SoakEarly Early_;
  std::uint16_t AgentPort_;
  std::uint64_t NextEndpoint_ = 0;
  std::deque<Endpoint> Endpoints_;
  std::deque<Endpoint> Leaving_;
  std::deque<Agent> Agents_;
  std::deque<Entry> Entries_;
  std::optional<SoakSlowdown> Slowdown_;
  SoakMemory Memory_;
  TimePoint MemorySampledAt_;
  mutable std::mutex Mutex_;
  std::vector<Address> Addresses_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKLAYOUT_H
