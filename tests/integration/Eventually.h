// Waits for conditions instead of fixed times.
//
//   eventually([&] { return Agent.isReady(); }, "the agent is ready");

#ifndef HAWTHORNROAD_TESTS_INTEGRATION_EVENTUALLY_H
#define HAWTHORNROAD_TESTS_INTEGRATION_EVENTUALLY_H

#include "hawthornroad/base/Types.h"

#include <functional>
#include <string>

namespace hawthornroad {

// Long, so that it is reached only on a fault or on a heavily loaded machine.
constexpr Duration AwaitTimeout = Seconds(20);

// Polls Condition until it holds; an exception counts as "not yet". Throws
// std::runtime_error with What and the last exception's text once Bound has
// elapsed.
void eventually(const std::function<bool()> &Condition, const std::string &What,
                Duration Bound = AwaitTimeout);

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_INTEGRATION_EVENTUALLY_H
