// The real entries as processes, with stand-ins and proxies around them, and
// callers that never stop.
//
//   SoakWorld W(Options);
//   W.run();               // faults from the seed's plan, then a calm end
//   W.checks().violations();
//
// Faults come only from outside: signals to processes, proxies before the store
// and the endpoints, the stand-ins' modes, and what operators write.
//
// The calm end: all faults are lifted, and within RecoverBound every entry is
// ready again, serves, and has the newest configuration.

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
  // The longest freeze may end just before; then a source is sought and the
  // store read (0.5 to 1.5 s), and a kept key lease must have been renewed.
  static constexpr Duration RecoverBound = Seconds(8);

  explicit SoakWorld(Options O);
  ~SoakWorld();

  void run();
  SoakChecks &checks() { return Checks_; }
  const std::filesystem::path &logs() const { return Folder_.path(); }

private:
  // A path and the faults under way on it; the last one that came is in force.
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
    // Faults under way that stop the process; a killed one is not frozen again.
    int Frozen_ = 0;
  };
  struct Api {
    std::unique_ptr<EndpointStandIn> Endpoint_;
    Path Path_;
  };
  // What callers may read while entries start anew.
  struct Address {
    std::string Callers_;
    std::string Process_;
  };

  void start(Entry &E);
  void configure();
  void begin(const SoakFault &F);
  void end(const SoakFault &F);
  void revive(Entry &E);
  void calm();
  bool isWell(const Entry &E, SoakCaller &Caller);
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
