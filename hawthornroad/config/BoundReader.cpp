#include "hawthornroad/config/BoundReader.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace hawthornroad {

namespace {
// The figure at Key; nothing when there is none or after a fault.
std::optional<double> figureAt(ObjectReader &R, const std::string &Key) {
  const JsonNode *Found = R.take(Key, false);
  if (Found == nullptr)
    return std::nullopt;
  bool IsOff = Found->Kind_ == JsonNode::Kind::Bool && !Found->Bool_;
  if (IsOff)
    return std::nullopt;
  bool IsNumber = Found->Kind_ == JsonNode::Kind::Integer ||
                  Found->Kind_ == JsonNode::Kind::Double;
  if (!IsNumber || Found->Double_ < 0) {
    R.fault(Key, "expected a number from 0, or false for none");
    return std::nullopt;
  }
  return Found->Double_;
}

Duration boundOf(double Figure, double UnitSeconds) {
  double Longest = std::chrono::duration<double>(LongestBound).count();
  double Bound = std::min(Figure * UnitSeconds, Longest);
  auto Kept = std::chrono::round<std::chrono::microseconds>(
      std::chrono::duration<double>(Bound));
  return std::chrono::duration_cast<Duration>(Kept);
}
} // namespace

void readBound(ObjectReader &R, const std::string &Name, Duration Least,
               Duration &Value) {
  constexpr double SecondsInMillisecond = 1e-3;
  const std::string InMilliseconds = Name + "_ms";
  const std::string InSeconds = Name + "_s";
  if (R.has(InMilliseconds) && R.has(InSeconds))
    R.fault(InSeconds, "expected either this member or " + InMilliseconds);
  double Short = figureAt(R, InMilliseconds).value_or(0);
  double Long = figureAt(R, InSeconds).value_or(0);
  if (Short > 0)
    Value = std::max(Least, boundOf(Short, SecondsInMillisecond));
  else if (Long > 0)
    Value = std::max(Least, boundOf(Long, 1));
}

void readFigure(ObjectReader &R, const std::string &Name, double &Value) {
  Value = figureAt(R, Name).value_or(Value);
}

void readRate(ObjectReader &R, const std::string &Name, double &Value) {
  double Given = figureAt(R, Name).value_or(0);
  if (Given > 0)
    Value = Given;
}

} // namespace hawthornroad
