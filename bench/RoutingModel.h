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

#include "bench/ModelCallers.h"
#include "bench/ModelResult.h"
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

ModelResult runModel(const Scenario &S, const ModelPolicy &P,
                     std::uint64_t Seed);

} // namespace hawthornroad

#endif // HAWTHORNROAD_BENCH_ROUTINGMODEL_H
