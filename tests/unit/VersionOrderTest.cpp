#include "hawthornroad/staging/VersionOrder.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

// Guards against an outage of seconds: a version that lacked two of 64 pieces
// at its bound was abandoned by the whole fleet for the next one, which took
// five seconds to transfer.
TEST_CASE("version order, two versions pending, prefers the one that leaves "
          "less time without a usable version",
          "[staging]") {
  struct Row {
    const char *Name_;
    int CurrentBoundMs_;
    int CurrentLeftMs_;
    int NextBoundMs_;
    int NextLeftMs_;
    bool Overtakes_;
  };
  // Bounds count from now.
  for (const Row &R : {
           Row{"current in time, next in time", 3000, 1000, 9000, 5000, false},
           Row{"current at its bound lacks two pieces", 0, 200, 3000, 5500,
               false},
           Row{"current past its bound lacks two pieces", -500, 200, 3000, 5500,
               false},
           Row{"current at its bound has just begun", 0, 5000, 3000, 5500,
               true},
           Row{"current would come after the next one's bound", 0, 3500, 3000,
               5500, true},
           Row{"next is complete, current is late", -100, 500, 3000, 0, true},
           Row{"next is complete, current in time", 1000, 500, 3000, 0, false},
           Row{"current late, but the next one's bound is far", 0, 1000, 20000,
               5500, false},
       }) {
    CAPTURE(R.Name_);
    const TimePoint Now = TimePoint() + Seconds(100);
    PendingVersion Current{Now + Milliseconds(R.CurrentBoundMs_),
                           Milliseconds(R.CurrentLeftMs_)};
    PendingVersion Next{Now + Milliseconds(R.NextBoundMs_),
                        Milliseconds(R.NextLeftMs_)};
    CHECK(overtakes(Next, Current, Now) == R.Overtakes_);
  }
}
