// Seeds for the random generators used in decisions.
//
//   Random R(seedOr(Settings.RandomSeed_));
//
// A seed in the settings makes a run repeatable. Without one the seed comes
// from the system, so that processes started together do not make the same
// choices.

#ifndef HAWTHORNROAD_RUNTIME_SEED_H
#define HAWTHORNROAD_RUNTIME_SEED_H

#include <cstdint>
#include <random>

namespace hawthornroad {

inline std::uint64_t systemSeed() {
  std::random_device Device;
  return (std::uint64_t{Device()} << 32) ^ Device();
}

// Returns Fixed, or a system seed when Fixed is 0.
inline std::uint64_t seedOr(std::uint64_t Fixed) {
  return Fixed != 0 ? Fixed : systemSeed();
}

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_SEED_H
