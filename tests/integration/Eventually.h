// Waits on conditions in place of times.
//
//   eventually([&] { return Agent.isReady(); }, "the agent is ready");

#ifndef HAWTHORNROAD_TESTS_INTEGRATION_EVENTUALLY_H
#define HAWTHORNROAD_TESTS_INTEGRATION_EVENTUALLY_H

#include "hawthornroad/base/Types.h"

#include <functional>
#include <string>

namespace hawthornroad {

// Generous: it is met only when something is wrong, or on a very busy machine.
constexpr Duration Patience = Seconds(20);

// Polls Condition until it holds; an exception counts as "not yet". Throws
// std::runtime_error naming What, with the last exception's text, when Bound is
// over.
void eventually(const std::function<bool()> &Condition, const std::string &What,
                Duration Bound = Patience);

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_INTEGRATION_EVENTUALLY_H
