// Allows retries as a share of traffic, so that a failing fleet is not buried
// under its own repeats.
//
//   RetryBudget B;                     // 10 %
//   B.noteRequest(Service, Now);       // each first attempt
//   if (B.take(Service, Now)) retry();
//
// Each first attempt of the last Window earns Share of a retry; a small floor
// lets a quiet service retry at all. A retry after a truthful not-run refusal
// costs the same: it too loads the fleet. No I/O, no clock, no threads.

#ifndef HAWTHORNROAD_ROUTING_RETRYBUDGET_H
#define HAWTHORNROAD_ROUTING_RETRYBUDGET_H

#include "hawthornroad/base/Types.h"

#include <map>

namespace hawthornroad {

class RetryBudget {
public:
  struct Options {
    double Share_ = 0.1;
    // Retries a second a service always has. An entry sees a few requests a
    // second of a service; one retry a second would be a third of those.
    double Floor_ = 0.2;
    Duration Window_ = Seconds(10);
  };

  RetryBudget() = default;
  explicit RetryBudget(Options O) : Options_(O) {}

  void noteRequest(const ServiceName &Service, TimePoint Now);
  bool take(const ServiceName &Service, TimePoint Now);

private:
  struct Account {
    double Tokens_ = 0;
    // Tokens given by the floor that requests have not earned since; what they
    // earn repays it first, so a busy service gets its share and no more.
    double Advanced_ = 0;
    TimePoint Updated_;
    bool Started_ = false;
  };
  Account &refreshed(const ServiceName &Service, TimePoint Now);

  Options Options_;
  std::map<ServiceName, Account> Accounts_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_RETRYBUDGET_H
