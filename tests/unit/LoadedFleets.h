// Fleets whose answers are lost after a calm window, for the tests of what
// repeats arrive.
//
//   auto Size = GENERATE(from_range(std::begin(Loaded), std::end(Loaded)));
//   RepeatFleet F(calmUntilTrouble(Size));
//   F.run(FirstTrouble + Seconds(15) - Start);

#ifndef HAWTHORNROAD_TESTS_UNIT_LOADEDFLEETS_H
#define HAWTHORNROAD_TESTS_UNIT_LOADEDFLEETS_H

#include "tests/unit/RepeatFleet.h"

namespace hawthornroad::traffic_test {

inline constexpr TimePoint FirstTrouble = Start + Seconds(15);

// Sizes at which what is saved in calm exceeds what the slack forgives.
struct LoadedFleet {
  unsigned Entries_;
  double Load_;
  double Slack_;
};
inline constexpr LoadedFleet Loaded[] = {
    {9, 31, 102}, {9, 20, 102}, {9, 10, 102}, {41, 10, 238}, {300, 10, 1040}};

inline RepeatFleet::Options calmUntilTrouble(const LoadedFleet &F) {
  return {.Entries_ = F.Entries_,
          .RequestsPerSecond_ = F.Load_,
          .LostShare_ = 1,
          .LostFrom_ = FirstTrouble,
          .Slack_ = F.Slack_};
}

} // namespace hawthornroad::traffic_test

#endif // HAWTHORNROAD_TESTS_UNIT_LOADEDFLEETS_H
