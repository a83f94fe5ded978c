// The callers of a scenario: customers with their rates, what they ask, and at
// which entry their requests arrive.
//
//   ModelCallers C(Scenario, capacityOf(Scenario), Rng);
//   EngineWork W = C.drawWork(Rng);
//
// Two large customers of weight 4 and eight small ones of weight 1. A small one
// asks for a fixed share of the capacity, well below its fair one; the large
// ones share what is left of the offered load.

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
  // Requests a second.
  double Rate_ = 1;
  bool IsLarge_ = false;
};

// How much longer a slow endpoint takes.
constexpr double SlowFactor = 4;

struct Scenario {
  std::string Name_;
  std::size_t Zones_ = 3;
  std::size_t EntriesPerZone_ = 2;
  std::size_t EndpointsPerZone_ = 5;
  // Offered load in multiples of the capacity.
  double Load_ = 0.7;
  double LeastLag_ = 1;
  double MostLag_ = 5;
  // Endpoints with these faults, from the first on.
  std::size_t SlowEndpoints_ = 0;
  std::size_t FailingEndpoints_ = 0;
  // The first large customer sends BurstFactor times its rate for BurstSeconds
  // out of every BurstPeriod.
  double BurstFactor_ = 1;
  double BurstSeconds_ = 5;
  double BurstPeriod_ = 20;
  // Shared prefixes, popular ones more (Zipf); 0: none are shared.
  std::size_t Prefixes_ = 0;
  double DeadlineSeconds_ = 10;
  double Seconds_ = 90;
  double WarmUpSeconds_ = 15;
};

// Answers a second of all the scenario's healthy endpoints when each is always
// full and no prefix is shared; a slow one counts by its speed.
double capacityOf(const Scenario &S);

class ModelCallers {
public:
  ModelCallers(const Scenario &S, double Capacity, Random &Rng);

  const std::vector<ModelCustomer> &customers() const { return Customers_; }
  // Requests a second at a time since the start, and at most.
  double rateAt(std::size_t Customer, Duration SinceStart) const;
  double highestRate(std::size_t Customer) const;
  EngineWork drawWork(Random &Rng) const;
  // Callers hold connections, so a customer's requests come unevenly.
  std::size_t drawEntry(std::size_t Customer, Random &Rng) const;

private:
  double BurstFactor_;
  double BurstSeconds_;
  double BurstPeriod_;
  std::vector<ModelCustomer> Customers_;
  // Running sums of weights, by which to draw.
  std::vector<std::vector<double>> EntryWeights_;
  std::vector<double> PrefixWeights_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_BENCH_MODELCALLERS_H
