#include "hawthornroad/traffic/ColdFigures.h"

#include <algorithm>
#include <chrono>

namespace hawthornroad {

namespace {
// Parts of the arrivals. The substitute serves the entries that the agent
// beside the engine does not answer, which are few at most times.
constexpr double BesidePart = 0.8;
constexpr double SubstitutePart = 0.12;
constexpr double ChosenPart = 0.46;
constexpr double SharesPart = 1 - BesidePart - SubstitutePart;
static_assert(2 * ChosenPart + SharesPart <= 1 + 1e-9);
// Of a part, what may be granted at once. The rest is the rate: an engine with
// places for a second of its rate fills up within that second either way.
constexpr double BurstShare = 0.2;

double seconds(Duration D) { return std::chrono::duration<double>(D).count(); }

double partOf(GranterRole Role) {
  switch (Role) {
  case GranterRole::Beside:
    return BesidePart;
  case GranterRole::Substitute:
    return SubstitutePart;
  case GranterRole::Chosen:
    return ChosenPart;
  }
  return 0;
}
} // namespace

ColdRate coldRate(double Arrivals, GranterRole Role) {
  double Part = partOf(Role) * Arrivals;
  if (!(Part > 1))
    return {};
  double Burst = std::max(1.0, BurstShare * Part);
  return {.PerSecond_ = (Part - Burst) / seconds(ColdWindow), .Burst_ = Burst};
}

double coldShareRate(double Arrivals) {
  return SharesPart * std::max(0.0, Arrivals) / seconds(ColdWindow);
}

} // namespace hawthornroad
