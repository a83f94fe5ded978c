// Runs the decision modules of the request path against modelled engines,
// delayed load reports and open-loop callers, and measures what callers see.
//
//   ModelResult R = runModel(Scenario, Policy, Seed);
//
// Each entry has its own Chooser, Admission and RetryBudget; entries share only
// the endpoints. A report reaches each entry after a lag that is drawn anew for
// each entry and report, so reports also arrive out of order. Only decisions
// are modelled: there are no frames, connections or processes.

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
  Oracle         // the current true load
};

struct ModelPolicy {
  std::string Name_;
  ChoiceKind Choice_ = ChoiceKind::Chooser;
  // Admission, and the agents' bound on attempts; without them each request is
  // sent at once.
  bool HasLimits_ = true;
  // Without a budget every failure is retried, up to NaiveAttempts attempts
  // (RoutingModel.cpp).
  bool HasRetryBudget_ = true;
  bool HasAffinity_ = true;
};

ModelResult runModel(const Scenario &S, const ModelPolicy &P,
                     std::uint64_t Seed);

} // namespace hawthornroad

#endif // HAWTHORNROAD_BENCH_ROUTINGMODEL_H
