// Estimates the time that an engine spends reading a request's prompt.
//
//   PromptCost C = promptCost(Call.Tokens_, *Service.Engine_);
//   Ask.Reading_ = C.Reading_;
//
// Load pattern: prompts of very different lengths. An engine reads prompts one
// after another, so a request's first event waits for the prompts before it.
// Where prompts reach from a few hundred to several thousand tokens, counting
// requests takes one long prompt for a typical one and lets the next request
// wait three times as long as expected.
//
// Callers state the counts. One that is missing or larger than the engine's
// memory holds is replaced with the service's mean: it is no reason to refuse.

#ifndef HAWTHORNROAD_TRAFFIC_PROMPTCOST_H
#define HAWTHORNROAD_TRAFFIC_PROMPTCOST_H

#include "hawthornroad/base/Types.h"
#include "hawthornroad/config/RoutingConfig.h"
#include "hawthornroad/traffic/Call.h"

namespace hawthornroad {

struct PromptCost {
  // Time from the beginning of the prompt until its first token.
  Duration Reading_ = Duration::zero();
  // Whether the caller's count was used.
  bool IsStated_ = false;
  bool operator==(const PromptCost &) const = default;
};

PromptCost promptCost(const TokenCount &Stated, const EngineProfile &Engine);

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_PROMPTCOST_H
