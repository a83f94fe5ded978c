// Which of two versions close together an agent goes on with.

#include "hawthornroad/staging/VersionSwitch.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

using namespace hawthornroad;

// Guards against engines that serve nobody for seconds because a version with
// one missing piece was given up for one of which nothing is held.
TEST_CASE("version switch, with a late version, completes it when little is "
          "missing and the next one is not there",
          "[staging]") {
  struct Row {
    std::string Name_;
    VersionProgress Progress_;
    bool IsSuperseded_;
  };
  for (const Row &R : std::vector<Row>{
           {"in time", {64, 10, 0, false}, false},
           {"in time, the next one is complete", {64, 63, 64, false}, true},
           {"late, one piece missing", {64, 63, 0, true}, false},
           {"late, an eighth missing", {64, 56, 0, true}, false},
           {"late, more than an eighth missing", {64, 55, 0, true}, true},
           {"late, the next one has caught up", {64, 60, 60, true}, true},
           {"late, its pieces are not known", {0, 0, 0, true}, true},
           {"in time, its pieces are not known", {0, 0, 0, false}, false},
           {"complete", {64, 64, 64, true}, false}}) {
    CAPTURE(R.Name_);
    CHECK(supersedes(R.Progress_) == R.IsSuperseded_);
  }
}
