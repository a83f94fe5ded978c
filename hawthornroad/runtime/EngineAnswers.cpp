#include "hawthornroad/runtime/EngineAnswers.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace hawthornroad {

namespace json = boost::json;

namespace {

std::optional<json::object> parseObject(const std::string &Body) {
  json::error_code Code;
  json::value Parsed = json::parse(Body, Code);
  if (Code || !Parsed.is_object())
    return std::nullopt;
  return std::move(Parsed.as_object());
}

std::string textAt(const json::object &O, std::string_view Key) {
  const json::value *Found = O.if_contains(Key);
  return Found && Found->is_string() ? std::string(Found->as_string()) : "";
}

// Negative integers and numbers that do not fit into 64 bits read as 0.
std::uint64_t wholeAt(const json::object &O, std::string_view Key) {
  const json::value *Found = O.if_contains(Key);
  if (!Found)
    return 0;
  json::error_code Code;
  auto Value = Found->to_number<std::uint64_t>(Code);
  return Code ? 0 : Value;
}

float numberAt(const json::object &O, std::string_view Key) {
  const json::value *Found = O.if_contains(Key);
  return Found && Found->is_number() ? Found->to_number<float>() : 0.0f;
}

std::optional<EngineState> parseEngineState(std::string_view Text) {
  if (Text == "empty")
    return EngineState::Empty;
  if (Text == "loading")
    return EngineState::Loading;
  if (Text == "ready")
    return EngineState::Ready;
  if (Text == "failed")
    return EngineState::Failed;
  return std::nullopt;
}

} // namespace

std::optional<EngineReading> parseEngineReading(const std::string &Body) {
  std::optional<json::object> O = parseObject(Body);
  if (!O)
    return std::nullopt;
  std::optional<EngineState> State = parseEngineState(textAt(*O, "state"));
  if (!State)
    return std::nullopt;
  return EngineReading{.State_ = *State,
                       .Version_ = VersionDigest(textAt(*O, "version")),
                       .Fencing_ = FencingNumber(wholeAt(*O, "fencing")),
                       .Error_ = textAt(*O, "error")};
}

std::optional<EngineLoad> parseEngineLoad(const std::string &Body) {
  std::optional<json::object> O = parseObject(Body);
  if (!O)
    return std::nullopt;
  auto Count = [&](std::string_view Key) {
    return static_cast<std::uint32_t>(wholeAt(*O, Key));
  };
  return EngineLoad{.Capacity_ = Count("capacity"),
                    .Running_ = Count("running"),
                    .Waiting_ = Count("waiting"),
                    .StepMs_ = numberAt(*O, "step_ms")};
}

std::string formatOrder(const EngineOrder &Order) {
  return json::serialize(
      json::object{{"version", Order.EngineTarget_.Version_.str()},
                   {"path", Order.EngineTarget_.Path_},
                   {"fencing", Order.Fencing_.value()}});
}

} // namespace hawthornroad
