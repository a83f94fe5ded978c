// Limits retries to a share of the traffic, so that retries do not overload a
// failing fleet.
//
//   RetryBudget B;                     // 10 %
//   B.noteRequest(Service, Now);       // each first attempt
//   if (B.take(Service, Now)) retry();
//
// Each first attempt within the last Window earns Share of a retry. A small
// minimum rate, the floor, allows retries to services with little traffic. A
// retry after a not-run refusal costs the same, since it loads the fleet as
// well. No I/O, no clock, no threads.

#ifndef HAWTHORNROAD_ROUTING_RETRYBUDGET_H
#define HAWTHORNROAD_ROUTING_RETRYBUDGET_H

#include "hawthornroad/base/Types.h"

#include <map>

namespace hawthornroad {

class RetryBudget {
public:
  struct Options {
    double Share_ = 0.1;
    // Minimum rate of retries per service, in retries per second. An entry
    // sees a few requests per second of a service; one retry per second would
    // be a third of those.
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
    // Tokens granted by the floor and not yet earned by requests. What requests
    // earn repays these first, so that a busy service gets its share and no
    // more.
    double Borrowed_ = 0;
    TimePoint Updated_;
    bool Started_ = false;
  };
  Account &updatedAccount(const ServiceName &Service, TimePoint Now);

  Options Options_;
  std::map<ServiceName, Account> Accounts_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_RETRYBUDGET_H
