// The results of one run of the model, as callers see them.

#ifndef HAWTHORNROAD_BENCH_MODELRESULT_H
#define HAWTHORNROAD_BENCH_MODELRESULT_H

#include "bench/ModelCallers.h"

#include <cstddef>
#include <vector>

namespace hawthornroad {

struct ModelResult {
  std::size_t Offered_ = 0;
  std::size_t InTime_ = 0;
  std::size_t Refused_ = 0;
  // Admitted, then failed: deadline exceeded or attempts used up.
  std::size_t Failed_ = 0;
  std::size_t Attempts_ = 0;
  std::size_t FirstAttempts_ = 0;
  // Seconds since arrival, for all requests that were not refused; a failed
  // request counts with its whole deadline.
  std::vector<double> FirstToken_;
  std::vector<double> End_;
  // Answers in time per second, divided by the capacity.
  double Goodput_ = 0;
  // Share of requests answered in time: of the small customer with the lowest
  // share, of all small customers and of all large ones.
  double SmallWorst_ = 1;
  double Small_ = 1;
  double Large_ = 1;
  // Jain's fairness index of each customer's answers in time, divided by its
  // weighted max-min share.
  double Fairness_ = 1;
  double HitShare_ = 0;
  double amplification() const {
    return FirstAttempts_ == 0 ? 1
                               : static_cast<double>(Attempts_) /
                                     static_cast<double>(FirstAttempts_);
  }
};

// Sets the fields of Out on customers (shares answered in time, fairness) from
// the requests that each offered and had answered in time in Length seconds.
void summarizeCustomers(const std::vector<ModelCustomer> &Customers,
                        const std::vector<std::size_t> &Offered,
                        const std::vector<std::size_t> &InTime, double Length,
                        double Capacity, ModelResult &Out);

// The quantile at Share (0 to 1) of the samples; 0 when there are none.
double quantile(std::vector<double> Samples, double Share);

} // namespace hawthornroad

#endif // HAWTHORNROAD_BENCH_MODELRESULT_H
