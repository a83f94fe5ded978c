#include "hawthornroad/config/BoundReader.h"

#include <algorithm>
#include <chrono>
#include <optional>

namespace hawthornroad {

namespace {
// The number at Key; nullopt when it is absent, false or faulty.
std::optional<double> numberAt(ObjectReader &R, const std::string &Key) {
  const JsonNode *Found = R.take(Key, false);
  if (Found == nullptr)
    return std::nullopt;
  bool IsFalse = Found->Kind_ == JsonNode::Kind::Bool && !Found->Bool_;
  if (IsFalse)
    return std::nullopt;
  bool IsNumber = Found->Kind_ == JsonNode::Kind::Integer ||
                  Found->Kind_ == JsonNode::Kind::Double;
  if (!IsNumber || Found->Double_ < 0) {
    R.fault(Key, "expected a number of at least 0, or false for none");
    return std::nullopt;
  }
  return Found->Double_;
}

Duration boundOf(double Number, double UnitSeconds) {
  double Longest = std::chrono::duration<double>(LongestBound).count();
  double Bound = std::min(Number * UnitSeconds, Longest);
  auto Rounded = std::chrono::round<std::chrono::microseconds>(
      std::chrono::duration<double>(Bound));
  return std::chrono::duration_cast<Duration>(Rounded);
}
} // namespace

void readBound(ObjectReader &R, const std::string &Name, Duration Least,
               Duration &Value) {
  constexpr double SecondsInMillisecond = 1e-3;
  const std::string InMilliseconds = Name + "_ms";
  const std::string InSeconds = Name + "_s";
  if (R.has(InMilliseconds) && R.has(InSeconds))
    R.fault(InSeconds, "expected only one of this key and " + InMilliseconds);
  double GivenMilliseconds = numberAt(R, InMilliseconds).value_or(0);
  double GivenSeconds = numberAt(R, InSeconds).value_or(0);
  if (GivenMilliseconds > 0)
    Value = std::max(Least, boundOf(GivenMilliseconds, SecondsInMillisecond));
  else if (GivenSeconds > 0)
    Value = std::max(Least, boundOf(GivenSeconds, 1));
}

void readAllowance(ObjectReader &R, const std::string &Name, double &Value) {
  Value = numberAt(R, Name).value_or(Value);
}

void readRate(ObjectReader &R, const std::string &Name, double &Value) {
  double Given = numberAt(R, Name).value_or(0);
  if (Given > 0)
    Value = Given;
}

} // namespace hawthornroad
