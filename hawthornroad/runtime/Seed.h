// Seeds for the generators that decisions draw from.
//
//   Random R(seedOr(Settings.RandomSeed_));
//
// A seed in the settings makes a run repeatable; without one, processes that
// start together must not choose alike, so it is taken from the system.

#ifndef HAWTHORNROAD_RUNTIME_SEED_H
#define HAWTHORNROAD_RUNTIME_SEED_H

#include <cstdint>
#include <random>

namespace hawthornroad {

inline std::uint64_t systemSeed() {
  std::random_device Device;
  return (std::uint64_t{Device()} << 32) ^ Device();
}

// Fixed, unless it is 0.
inline std::uint64_t seedOr(std::uint64_t Fixed) {
  return Fixed != 0 ? Fixed : systemSeed();
}

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_SEED_H
