// The engine's own interface, as JSON texts: what it says of its model and its
// load, and what an order to it looks like (docs/STANDINS.md, "engine").

#ifndef HAWTHORNROAD_RUNTIME_ENGINEANSWERS_H
#define HAWTHORNROAD_RUNTIME_ENGINEANSWERS_H

#include "hawthornroad/rollout/EngineReading.h"
#include "hawthornroad/rollout/OrderState.h"
#include "hawthornroad/runtime/EngineControl.h"

#include <optional>
#include <string>

namespace hawthornroad {

// The answer to GET /admin/model; nullopt when the text is anything else.
std::optional<EngineReading> parseEngineReading(const std::string &Body);
// The answer to GET /load; nullopt when the text is anything else.
std::optional<EngineLoad> parseEngineLoad(const std::string &Body);
// The body of POST /admin/load.
std::string formatOrder(const EngineOrder &Order);

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_ENGINEANSWERS_H
