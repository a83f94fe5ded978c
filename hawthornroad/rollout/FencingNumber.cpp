#include "hawthornroad/rollout/FencingNumber.h"

#include "hawthornroad/base/Error.h"

#include <algorithm>
#include <string>

namespace hawthornroad {

namespace {

// 2026-01-01T00:00:00Z, seconds since the Unix epoch.
constexpr std::uint64_t FirstSecond = 1767225600;
constexpr std::uint64_t NanosecondsPerSecond = 1000000000;

void requireAtMost(std::uint64_t Value, std::uint64_t Max,
                   const std::string &What) {
  if (Value > Max)
    throw Error(Step::Order, "",
                What + " " + std::to_string(Value) +
                    " does not fit into a fencing number");
}

} // namespace

FencingNumber FencingNumber::make(Revision R, std::uint64_t Epoch,
                                  std::uint64_t Order) {
  requireAtMost(R, MaxRevision, "revision");
  requireAtMost(Order, MaxOrder, "order");
  std::uint64_t Value = R << (EpochBits + OrderBits);
  Value |= std::min(Epoch, MaxEpoch) << OrderBits;
  return FencingNumber(Value | Order);
}

std::uint64_t FencingNumber::epochOf(Incarnation I) {
  std::uint64_t Second = I / NanosecondsPerSecond;
  if (Second < FirstSecond)
    return 0;
  return std::min(Second - FirstSecond, MaxEpoch);
}

} // namespace hawthornroad
