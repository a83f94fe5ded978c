// One seed of the soak: its layout, its plan of faults and planned work, and
// callers that send requests continuously.
//
//   SoakWorld W(Options);
//   W.run();               // runs the seed's plan, then checks recovery
//   W.checks().violations();
//
// Faults are injected only from outside: signals to processes, proxies in front
// of the store and the endpoints, modes of the stand-ins, and operator writes.
//
// At the end all faults are cleared; within RecoverBound every entry must be
// ready, serve requests and have the newest configuration.

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKWORLD_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKWORLD_H

#include "tests/soak/SoakCallers.h"
#include "tests/soak/SoakChecks.h"
#include "tests/soak/SoakConfig.h"
#include "tests/soak/SoakFaults.h"
#include "tests/soak/SoakLayout.h"
#include "tests/soak/SoakLoad.h"
#include "tests/soak/SoakOperators.h"

#include <functional>

namespace hawthornroad {

class SoakWorld {
public:
  struct Options {
    Duration Length_ = Seconds(30);
    // Without faults.
    bool IsPlannedOnly_ = false;
    // Runs planRepeatStrain() with callers that send this many requests a
    // second, whatever becomes of them; 0: the usual plan and callers.
    double StrainPerSecond_ = 0;
    // Of them, with the crashing part; see planCrashes().
    double CrashingPerSecond_ = 0;
    // How it begins; unset: by the seed.
    std::optional<StrainFailure> StrainFailure_;
    std::size_t CallersPerEntry_ = 5;
    SoakLayout::Options Layout_;
  };
  // The longest freeze may end just before. After it, an entry selects a source
  // and reads the store (0.5 to 1.5 s), and its stored key lease must be
  // renewed.
  static constexpr Duration RecoverBound = Seconds(8);

  explicit SoakWorld(Options O);

  void run();
  SoakChecks &checks() { return Checks_; }
  const SoakMemory &memory() const { return Layout_.memory(); }
  // Second copies of answers and rejected health checks.
  std::string copiesSummary() const;
  const std::filesystem::path &logs() const { return Folder_.path(); }

private:
  void configure();
  void begin(const SoakFault &F, TimePoint EndsAt);
  void end(const SoakFault &F);
  bool isStrain() const { return Options_.StrainPerSecond_ > 0; }
  std::vector<SoakFault> plan();
  // Runs F for each endpoint of a strained service.
  void forEachEndpoint(std::size_t Service,
                       const std::function<void(SoakEndpoint &)> &F);
  void removeKey();
  void removeCustomers();
  void addCustomers();
  void declareVersion();
  void moveOrigin();
  void runPlan();
  // Runs the layout's own work until then.
  void tickUntil(TimePoint End);
  void checkRecovery();
  void checkRecovery(std::size_t Entry, TimePoint Since);
  // Each engine has the newest version RecoverBound after Since, and has loaded
  // none in part.
  void checkWeights(TimePoint Since);
  // Those that are not being stopped run.
  void checkAgents();

  Options Options_;
  TemporaryFolder Folder_;
  SoakRecord Record_;
  SoakChecks Checks_;
  SoakLayout Layout_;
  SoakOperators Operators_;
  SoakConfig Config_;
  int WeightVersion_ = 1;
  std::string RotatingKey_ = "rotating-1";
  SoakCallers Callers_;
  SoakLoad Load_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKWORLD_H
