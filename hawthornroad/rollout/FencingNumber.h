// The fencing number that every order to an engine carries, so that an engine
// that checks it can refuse an outdated order.
//
//   FencingNumber N = FencingNumber::make(R, epochOf(Incarnation), Order);
//   Engine: refuses N when it has seen a higher one.
//
// An engine keeps a single integer, the highest one it has seen. It holds three
// fields, the most significant first:
//
//   bit 62      36 35           7 6      0
//      [ revision ][    epoch    ][ order ]
//        27 bits       29 bits     7 bits
//
// - revision: an agent that was frozen with an old configuration loses to every
//   order of a newer one, whichever agent sends it.
// - epoch: among orders of one revision, a replacement agent beats its
//   predecessor. The epoch is the second in which the agent started, and at
//   least one more than the epoch the engine had seen when the agent first read
//   it. Two starts in one second, or a clock that was set back, therefore still
//   give increasing numbers.
// - order: a later order of one agent at one revision (back to the old version
//   after the new one failed) beats an earlier one that arrives late.
//
// Limits: 134 million revisions (15 years at 24,000 a day), agent starts until
// 2042 (17 years), 128 orders of one agent at one revision. make() throws
// beyond the first and third limit, since a number that wraps or stops
// increasing would let an old order pass. Bit 63 stays clear, so the number is
// an ordinary JSON integer.

#ifndef HAWTHORNROAD_ROLLOUT_FENCINGNUMBER_H
#define HAWTHORNROAD_ROLLOUT_FENCINGNUMBER_H

#include "hawthornroad/base/Types.h"

#include <compare>
#include <cstdint>

namespace hawthornroad {

class FencingNumber {
public:
  static constexpr unsigned RevisionBits = 27;
  static constexpr unsigned EpochBits = 29;
  static constexpr unsigned OrderBits = 7;
  static constexpr std::uint64_t MaxRevision = (1ULL << RevisionBits) - 1;
  static constexpr std::uint64_t MaxEpoch = (1ULL << EpochBits) - 1;
  static constexpr std::uint64_t MaxOrder = (1ULL << OrderBits) - 1;

  FencingNumber() = default;
  // A number as an engine reported it.
  explicit FencingNumber(std::uint64_t Value) : Value_(Value) {}
  // Throws Error(Step::Order) when R or Order is above its limit. An epoch
  // above its limit counts as the limit.
  static FencingNumber make(Revision R, std::uint64_t Epoch,
                            std::uint64_t Order);
  // Seconds from the start of 2026 to the agent's start.
  static std::uint64_t epochOf(Incarnation I);

  std::uint64_t value() const { return Value_; }
  Revision revision() const { return Value_ >> (EpochBits + OrderBits); }
  std::uint64_t epoch() const { return (Value_ >> OrderBits) & MaxEpoch; }
  std::uint64_t order() const { return Value_ & MaxOrder; }
  auto operator<=>(const FencingNumber &) const = default;

private:
  std::uint64_t Value_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROLLOUT_FENCINGNUMBER_H
