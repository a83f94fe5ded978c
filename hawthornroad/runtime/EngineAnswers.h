// Parses and formats the JSON of the engine's interface: reports on its model
// and its load, and load orders to it (docs/STANDINS.md, "engine").

#ifndef HAWTHORNROAD_RUNTIME_ENGINEANSWERS_H
#define HAWTHORNROAD_RUNTIME_ENGINEANSWERS_H

#include "hawthornroad/rollout/EngineReading.h"
#include "hawthornroad/rollout/OrderState.h"
#include "hawthornroad/runtime/EngineControl.h"

#include <optional>
#include <string>

namespace hawthornroad {

// Parses the answer to GET /admin/model; nullopt when Body is not one.
std::optional<EngineReading> parseEngineReading(const std::string &Body);
// Parses the answer to GET /load; nullopt when Body is not one.
std::optional<EngineLoad> parseEngineLoad(const std::string &Body);
// Formats the body of POST /admin/load.
std::string formatOrder(const EngineOrder &Order);

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_ENGINEANSWERS_H
