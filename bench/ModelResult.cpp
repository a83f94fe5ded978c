#include "bench/ModelResult.h"

#include <algorithm>
#include <array>

namespace hawthornroad {

namespace {
// Each customer's weighted max-min share of the capacity: capacity is divided
// in proportion to weights, and what satisfied customers leave goes to the
// others.
std::vector<double> maxMinShares(const std::vector<ModelCustomer> &Customers,
                                 const std::vector<double> &Demand,
                                 double Capacity) {
  std::vector<double> Share(Demand.size());
  std::vector<bool> Satisfied(Demand.size());
  for (std::size_t Round = 0; Round < Demand.size(); ++Round) {
    double Left = Capacity;
    double Weights = 0;
    for (std::size_t I = 0; I < Demand.size(); ++I) {
      Left -= Satisfied[I] ? Demand[I] : 0;
      Weights += Satisfied[I] ? 0 : Customers[I].Weight_;
    }
    for (std::size_t I = 0; I < Demand.size(); ++I)
      if (!Satisfied[I])
        Share[I] = std::min(Demand[I], Left * Customers[I].Weight_ / Weights);
    for (std::size_t I = 0; I < Demand.size(); ++I)
      Satisfied[I] = Share[I] >= Demand[I];
  }
  return Share;
}

} // namespace

void summarizeCustomers(const std::vector<ModelCustomer> &Customers,
                        const std::vector<std::size_t> &Offered,
                        const std::vector<std::size_t> &InTime, double Length,
                        double Capacity, ModelResult &Out) {
  std::vector<double> Demand;
  for (std::size_t N : Offered)
    Demand.push_back(static_cast<double>(N) / Length);
  const auto Shares = maxMinShares(Customers, Demand, Capacity);
  double Sum = 0, Squares = 0;
  std::array<double, 2> OfferedBy{}, InTimeBy{};
  for (std::size_t I = 0; I < Customers.size(); ++I) {
    const auto Got = static_cast<double>(InTime[I]);
    const double OfShare =
        std::min(1.0, Got / Length / std::max(Shares[I], 1e-9));
    Sum += OfShare;
    Squares += OfShare * OfShare;
    OfferedBy[Customers[I].IsLarge_] += static_cast<double>(Offered[I]);
    InTimeBy[Customers[I].IsLarge_] += Got;
    if (!Customers[I].IsLarge_ && Offered[I] > 0)
      Out.SmallWorst_ =
          std::min(Out.SmallWorst_, Got / static_cast<double>(Offered[I]));
  }
  Out.Fairness_ = Sum * Sum / (static_cast<double>(Customers.size()) * Squares);
  Out.Small_ = InTimeBy[0] / OfferedBy[0];
  Out.Large_ = InTimeBy[1] / OfferedBy[1];
}

double quantile(std::vector<double> Samples, double Share) {
  if (Samples.empty())
    return 0;
  auto At = static_cast<std::size_t>(Share * double(Samples.size() - 1));
  std::nth_element(Samples.begin(), Samples.begin() + At, Samples.end());
  return Samples[At];
}

} // namespace hawthornroad
