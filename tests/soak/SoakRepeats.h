// Checks how often requests arrive again: in any window, a service receives at
// most Ratio_ * its requests + Slack_ arrivals beyond the first of each
// request, over all entries together.
//
//   SoakRepeats R(Limits);
//   R.add(Request, Outcome, Record.runs(Request.Id_));
//   for (const SoakRepeats::Use &Each : R.worst())
//     std::cout << Each.Service_ << ' ' << Each.share() << '\n';
//
// Arrivals are those that endpoints see, rejected ones too. Requests are those
// that callers have written, in the window, the one before it or the one half a
// window before it, whichever has most. A request on a route that moves counts
// for each of its services.

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKREPEATS_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKREPEATS_H

#include "tests/soak/SoakRecord.h"
#include "tests/soak/SoakRequest.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace hawthornroad {

class SoakRepeats {
public:
  // As set by the operator.
  struct Limits {
    double Ratio_ = 0;
    double Slack_ = 0;
    Duration Window_ = Seconds(10);
  };
  // A window of a service.
  struct Use {
    std::string Service_;
    TimePoint From_;
    long Requests_ = 0;
    long Repeats_ = 0;
    double Allowed_ = 0;
    // Of the allowed repeats; more than 1 breaks the limit.
    double share() const {
      return static_cast<double>(Repeats_) / std::max(1.0, Allowed_);
    }
  };

  explicit SoakRepeats(Limits L) : Limits_(L) {}

  // Runs: all arrivals of the request.
  void add(const SoakRequest &R, const SoakOutcome &O,
           const std::vector<SoakRun> &Runs);
  // The window of each service that uses most of what is allowed.
  std::vector<Use> worst();

private:
  struct Service {
    std::vector<TimePoint> Requests_;
    std::vector<TimePoint> Repeats_;
  };
  Use worstOf(const std::string &Name, const Service &S) const;
  Use useOf(const Service &S, TimePoint From) const;

  Limits Limits_;
  std::map<std::string, Service> Services_;
};

// Attempts that were told more time than their caller had left.
struct SoakTimeLeft {
  // Most of them that may be, and as a share of all attempts.
  static constexpr long MaxExcess = 20;
  static constexpr double MaxExcessShare = 0.2;

  long Attempts_ = 0;
  long Excess_ = 0;

  void add(const SoakRequest &R, const std::vector<SoakRun> &Runs,
           const SoakRecord &Record);
  bool isBroken() const {
    return Excess_ > MaxExcess &&
           static_cast<double>(Excess_) >
               MaxExcessShare * static_cast<double>(Attempts_);
  }
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKREPEATS_H
