// The callers of a scenario: customers with their request rates, the work that
// they request, and the entry at which each request arrives.
//
//   ModelCallers C(Scenario, capacityOf(Scenario), Rng);
//   EngineWork W = C.drawWork(Rng);
//
// There are two large customers of weight 4 and eight small ones of weight 1. A
// small customer offers a fixed share of the capacity, well below its fair
// share; the large ones split the rest of the offered load.

#ifndef HAWTHORNROAD_BENCH_MODELCALLERS_H
#define HAWTHORNROAD_BENCH_MODELCALLERS_H

#include "bench/EngineModel.h"
#include "hawthornroad/base/Random.h"
#include "hawthornroad/base/Types.h"

#include <string>
#include <vector>

namespace hawthornroad {

struct ModelCustomer {
  std::string Name_;
  double Weight_ = 1;
  // Requests per second.
  double Rate_ = 1;
  bool IsLarge_ = false;
};

// Factor by which a slow endpoint takes longer.
constexpr double SlowFactor = 4;

struct Scenario {
  std::string Name_;
  std::size_t Zones_ = 3;
  std::size_t EntriesPerZone_ = 2;
  std::size_t EndpointsPerZone_ = 5;
  // Offered load as a multiple of the capacity.
  double Load_ = 0.7;
  double MinLag_ = 1;
  double MaxLag_ = 5;
  // Number of endpoints with each fault, counted from the first endpoint on.
  std::size_t SlowEndpoints_ = 0;
  std::size_t FailingEndpoints_ = 0;
  // The first large customer sends BurstFactor times its rate for BurstSeconds
  // out of every BurstPeriod.
  double BurstFactor_ = 1;
  double BurstSeconds_ = 5;
  double BurstPeriod_ = 20;
  // Number of shared prefixes, drawn by Zipf's law; 0: none are shared.
  std::size_t Prefixes_ = 0;
  double DeadlineSeconds_ = 10;
  double Seconds_ = 90;
  double WarmUpSeconds_ = 15;
};

// Answers per second of all healthy endpoints of the scenario when each is
// always full and no prefix is shared; a slow endpoint counts by its speed.
double capacityOf(const Scenario &S);

class ModelCallers {
public:
  ModelCallers(const Scenario &S, double Capacity, Random &Rng);

  const std::vector<ModelCustomer> &customers() const { return Customers_; }
  // Requests per second at a time since the start, and their maximum.
  double rateAt(std::size_t Customer, Duration SinceStart) const;
  double highestRate(std::size_t Customer) const;
  EngineWork drawWork(Random &Rng) const;
  // Callers keep connections open, so a customer's requests are spread unevenly
  // over the entries.
  std::size_t drawEntry(std::size_t Customer, Random &Rng) const;

private:
  double BurstFactor_;
  double BurstSeconds_;
  double BurstPeriod_;
  std::vector<ModelCustomer> Customers_;
  // Cumulative weights for drawing entries (by customer) and prefixes.
  std::vector<std::vector<double>> EntryWeights_;
  std::vector<double> PrefixWeights_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_BENCH_MODELCALLERS_H
