// The soak's environment: real entry processes, stand-ins and proxies around
// them, and callers that send requests continuously.
//
//   SoakWorld W(Options);
//   W.run();               // runs the seed's faults, then checks recovery
//   W.checks().violations();
//
// Faults are injected only from outside: signals to processes, proxies in front
// of the store and the endpoints, modes of the stand-ins, and operator writes.
//
// At the end all faults are cleared; within RecoverBound every entry must be
// ready, serve requests and have the newest configuration.

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKWORLD_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKWORLD_H

#include "hawthornroad/base/Random.h"
#include "tests/integration/PlatformFixture.h"
#include "tests/soak/SoakCaller.h"
#include "tests/soak/SoakFaults.h"

#include <atomic>
#include <memory>
#include <thread>

namespace hawthornroad {

class SoakWorld {
public:
  struct Options {
    std::uint64_t Seed_ = 1;
    Duration Length_ = Seconds(30);
    std::size_t Entries_ = 4;
    std::size_t Callers_ = 6;
  };
  // The longest freeze may end just before. After it, an entry selects a source
  // and reads the store (0.5 to 1.5 s), and its stored key lease must be
  // renewed.
  static constexpr Duration RecoverBound = Seconds(8);

  explicit SoakWorld(Options O);
  ~SoakWorld();

  void run();
  SoakChecks &checks() { return Checks_; }
  const std::filesystem::path &logs() const { return Folder_.path(); }

private:
  // A path and its active faults; the one added last is in force.
  struct Path {
    std::unique_ptr<Proxy> Proxy_;
    std::vector<std::string> Faults_;

    void begin(const std::string &Fault);
    void end(const std::string &Fault);
  };
  struct Entry {
    std::string Name_;
    Path StorePath_;
    std::unique_ptr<Process> Process_;
    std::string Settings_;
    int Starts_ = 0;
    // Number of active freeze faults; reset to 0 when the process is restarted.
    int Frozen_ = 0;
  };
  struct Api {
    std::unique_ptr<EndpointStandIn> Endpoint_;
    Path Path_;
  };
  // Copy that callers may read while entries are restarted.
  struct Address {
    std::string Callers_;
    std::string Process_;
  };

  void start(Entry &E);
  void configure();
  void begin(const SoakFault &F);
  void end(const SoakFault &F);
  void restart(Entry &E);
  void checkRecovery();
  bool hasRecovered(const Entry &E, SoakCaller &Caller);
  void callerLoop(std::size_t Number);
  SoakRequest makeRequest(Random &R, std::size_t Caller, std::uint64_t N,
                          std::string &Target);
  int runs(const std::string &Id) const;

  Options Options_;
  TemporaryFolder Folder_;
  SoakChecks Checks_;
  StoreStandIn Store_;
  std::vector<Api> Apis_;
  std::vector<Entry> Entries_;
  std::uint64_t Config_ = 0;
  std::uint64_t Routes_ = 0;
  mutable std::mutex Mutex_;
  std::vector<Address> Addresses_;
  std::string RotatingKey_ = "rotating-1";
  std::string OldKey_ = "rotating-1";
  std::uint64_t NewestRoute_ = 0;
  std::atomic<bool> Stopping_{false};
  std::vector<std::thread> Callers_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKWORLD_H
