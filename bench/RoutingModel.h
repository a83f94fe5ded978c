// Drives the decision modules of the request path with modelled engines, late
// load reports and open-loop callers, and measures what callers see.
//
//   ModelResult R = runModel(Scenario, Policy, Seed);
//
// Each entry has its own Chooser, Admission and RetryBudget; entries share
// nothing but the endpoints. A report reaches each entry Lag after it was made,
// Lag drawn anew for each, so reports also come out of order. It is no
// simulation of the system: there are no frames, connections or processes.

#ifndef HAWTHORNROAD_BENCH_ROUTINGMODEL_H
#define HAWTHORNROAD_BENCH_ROUTINGMODEL_H

#include "bench/EngineModel.h"
#include "hawthornroad/base/Types.h"

#include <string>
#include <vector>

namespace hawthornroad {

enum class ChoiceKind {
  Chooser,       // hawthornroad/routing/Chooser.h
  RoundRobin,    // over all ready endpoints
  LeastReported, // lowest load in the last report
  Oracle         // the true load of this moment
};

struct ModelPolicy {
  std::string Name_;
  ChoiceKind Choice_ = ChoiceKind::Chooser;
  // Admission, and the agents' bound; without them all is sent at once.
  bool HasLimits_ = true;
  // Without a budget every failure is tried again, up to MostAttempts.
  bool HasRetryBudget_ = true;
  bool HasAffinity_ = true;
};

struct ModelCustomer {
  std::string Name_;
  double Weight_ = 1;
  // Requests a second.
  double Rate_ = 1;
  bool IsLarge_ = false;
};

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

// Answers a second of all the scenario's healthy endpoints when each is always
// full and no prefix is shared; a slow one counts by its speed.
double capacityOf(const Scenario &S);

ModelResult runModel(const Scenario &S, const ModelPolicy &P,
                     std::uint64_t Seed);

// The value at Share of the sorted samples; 0 without any.
double quantile(std::vector<double> Samples, double Share);

} // namespace hawthornroad

#endif // HAWTHORNROAD_BENCH_ROUTINGMODEL_H
