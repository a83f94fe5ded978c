// What callers saw in one run of the model.

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
  // Admitted, then given up on: deadline passed or attempts used up.
  std::size_t Failed_ = 0;
  std::size_t Attempts_ = 0;
  std::size_t FirstAttempts_ = 0;
  // Seconds from arrival, of all that were not refused; the whole deadline for
  // those that failed.
  std::vector<double> FirstToken_;
  std::vector<double> End_;
  // Answers in time a second, over the capacity.
  double Goodput_ = 0;
  // Share of a customer's requests answered in time: the small customers'
  // lowest, and over all small and all large ones.
  double SmallWorst_ = 1;
  double Small_ = 1;
  double Large_ = 1;
  // Jain's index of in-time answers over the weighted max-min share.
  double Fairness_ = 1;
  double HitShare_ = 0;
  double amplification() const {
    return FirstAttempts_ == 0 ? 1
                               : static_cast<double>(Attempts_) /
                                     static_cast<double>(FirstAttempts_);
  }
};

// Fills in what concerns customers: shares in time and fairness, from the
// requests each offered and had answered in time over Length seconds.
void summarizeCustomers(const std::vector<ModelCustomer> &Customers,
                        const std::vector<std::size_t> &Offered,
                        const std::vector<std::size_t> &InTime, double Length,
                        double Capacity, ModelResult &Out);

// The value at Share of the sorted samples; 0 without any.
double quantile(std::vector<double> Samples, double Share);

} // namespace hawthornroad

#endif // HAWTHORNROAD_BENCH_MODELRESULT_H
