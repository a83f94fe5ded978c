// Random numbers for decision modules. The caller provides the seed, so that a
// test with a fixed seed makes the same choices in every run.

#ifndef HAWTHORNROAD_BASE_RANDOM_H
#define HAWTHORNROAD_BASE_RANDOM_H

#include "hawthornroad/base/Types.h"

#include <cstdint>
#include <random>

namespace hawthornroad {

class Random {
public:
  explicit Random(std::uint64_t Seed) : Engine_(Seed) {}

  std::uint64_t next() { return Engine_(); }

  // Uniform in [0, Bound); 0 when Bound is 0.
  std::uint64_t below(std::uint64_t Bound) {
    return Bound == 0 ? 0 : Engine_() % Bound;
  }

  // Uniform in [0, 1).
  double unit() {
    constexpr double Scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(Engine_() >> 11) * Scale;
  }

  // Uniform in [Base * (1 - Spread), Base * (1 + Spread)].
  Duration jitter(Duration Base, double Spread) {
    double Factor = 1.0 + Spread * (2.0 * unit() - 1.0);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Base) * Factor);
  }

  template <class Tag> Id<Tag> id() {
    std::uint64_t Hi = Engine_();
    return Id<Tag>{Hi, Engine_()};
  }

private:
  std::mt19937_64 Engine_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_BASE_RANDOM_H
