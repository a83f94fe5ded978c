// Checks the guarantees of a soak from what callers and endpoints observed.
//
//   SoakChecks C(RevokeBound);
//   C.sent({...}); C.answered(Id, {...});
//   C.keyRemoved("key-3", Now);
//   C.finish([&](const std::string &Id) { return runs(Id); });
//   C.violations();
//
// Thread-safe: each caller reports from its own thread.

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKCHECKS_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKCHECKS_H

#include "hawthornroad/base/Types.h"

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace hawthornroad {

enum class SoakKind { Once, Safe, Stream };

struct SoakRequest {
  std::string Id_;
  SoakKind Kind_ = SoakKind::Once;
  std::string Key_;
  TimePoint SentAt_;
  // The process it was sent to: entry name and start number, "entry-2#4".
  std::string Process_;
  // The configuration that added its route; 0 for an initial route.
  std::uint64_t RouteSince_ = 0;
};

struct SoakAnswer {
  unsigned Status_ = 0;
  std::string Stamp_;
  std::string EchoedId_;
  std::string Body_;
  TimePoint At_;
};

class SoakChecks {
public:
  // A request must not run if its key was removed more than RevokeBound before
  // it was sent.
  explicit SoakChecks(Duration RevokeBound) : RevokeBound_(RevokeBound) {}

  void sent(const SoakRequest &R);
  void answered(const std::string &Id, const SoakAnswer &A);
  void keyRemoved(const std::string &Key, TimePoint At);
  // Runs returns how often the endpoints ran a request.
  void finish(const std::function<int(const std::string &)> &Runs);

  std::vector<std::string> violations() const;
  std::string summary() const;
  void violation(const std::string &What);

private:
  void checkPlainAnswer(const SoakRequest &R, const SoakAnswer &A);
  void checkStream(const SoakRequest &R, const SoakAnswer &A);
  void checkNoRollback(const SoakRequest &R, const SoakAnswer &A);
  void checkRuns(const SoakRequest &R, int Runs);
  void add(const SoakRequest &R, const std::string &What);

  Duration RevokeBound_;
  mutable std::mutex Mutex_;
  std::map<std::string, SoakRequest> Requests_;
  std::map<std::string, SoakAnswer> Answers_;
  std::map<std::string, TimePoint> Removed_;
  // By process: the newest route it has served, and since when.
  std::map<std::string, std::pair<std::uint64_t, TimePoint>> NewestRoutes_;
  std::vector<std::string> Violations_;
  std::map<unsigned, int> Statuses_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKCHECKS_H
