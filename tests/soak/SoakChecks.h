// Checks the guarantees of a soak from what callers and endpoints observed.
//
//   SoakChecks C(Record, {.RevokeBound_ = ..., .StopBound_ = ...});
//   C.sent(Request); C.ended(Request.Id_, Outcome);
//   C.keyRemoved("key-3", Now);
//   C.finish();
//   C.violations();
//
// Thread-safe: each caller reports from its own thread.

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKCHECKS_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKCHECKS_H

#include "tests/soak/SoakCrashes.h"
#include "tests/soak/SoakFate.h"
#include "tests/soak/SoakRepeats.h"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace hawthornroad {

class SoakChecks {
public:
  // As set by the operator.
  struct Bounds {
    // A request must not run if its key was removed longer before it was sent.
    Duration RevokeBound_{};
    // From the acknowledgement of an evacuation until nothing is sent there.
    Duration EvacuateBound_{};
    // From the stop signal until the process has ended.
    Duration StopBound_{};
    // Arrivals of requests beyond the first.
    SoakRepeats::Limits Repeats_;
    // Whether services limit what their cold endpoints receive.
    bool LimitsCold_ = true;
  };
  SoakChecks(const SoakRecord &Record, Bounds B)
      : Record_(Record), Bounds_(B) {}

  void sent(const SoakRequest &R);
  void ended(const std::string &Id, const SoakOutcome &O);
  // After a configuration without the key was stored.
  void keyRemoved(const std::string &Key, TimePoint At);
  // Before one with the key is stored again.
  void keyAdded(const std::string &Key, TimePoint At);
  // Call once all runs have ended.
  void finish();

  std::vector<std::string> violations() const;
  // Ids and entries of lost requests.
  std::vector<std::pair<std::string, std::string>> lost() const;
  std::string summary() const;
  void violation(const std::string &What);

private:
  void checkPlainAnswer(const SoakRequest &R, const SoakAnswer &A);
  void checkStream(const SoakRequest &R, const SoakOutcome &O);
  void checkNoRollback(const SoakRequest &R, const SoakAnswer &A);
  void checkRuns(const SoakRequest &R);
  void checkKey(const SoakRequest &R);
  void checkFate(const SoakRequest &R);
  void checkRepeats();
  void checkCrashes();
  void add(const SoakRequest &R, const std::string &What);

  const SoakRecord &Record_;
  Bounds Bounds_;
  mutable std::mutex Mutex_;
  std::map<std::string, SoakRequest> Requests_;
  std::map<std::string, SoakOutcome> Outcomes_;
  // By key, in order of time.
  std::map<std::string, std::vector<SoakSpan>> Removed_;
  // By process: the newest route it has served, and since when.
  std::map<std::string, std::pair<std::uint64_t, TimePoint>> NewestRoutes_;
  std::vector<std::string> Violations_;
  std::vector<std::pair<std::string, std::string>> Lost_;
  std::map<unsigned, int> Statuses_;
  std::map<SoakFate, int> Fates_;
  std::size_t MostColdArrivals_ = 0;
  // Repeatable requests that ran as often as they may.
  long LastRuns_ = 0;
  std::vector<SoakRepeats::Use> MostRepeats_;
  SoakTimeLeft TimeLeft_;
  SoakCrashes Crashes_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKCHECKS_H
