#include "hawthornroad/staging/HeardVersions.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

// Guards against agents that forget a version when a newer one is published:
// entries that start then let requests begin on weights past its bound.
TEST_CASE("heard versions, when a newer one is heard of, keep the earlier ones "
          "with their first times",
          "[versions]") {
  const TimePoint Start{Seconds(1000)};
  HeardVersions H;
  H.note({"m", 2}, Start);
  H.note({"m", 3}, Start + Seconds(9));
  H.note({"m", 2}, Start + Seconds(12));
  REQUIRE(H.all().size() == 2);
  CHECK(H.all()[0] == HeardVersions::Entry{{"m", 2}, Start});
  CHECK(H.all()[1] == HeardVersions::Entry{{"m", 3}, Start + Seconds(9)});
  for (WeightVersion V = 4; V < 30; ++V)
    H.note({"m", V}, Start + Seconds(20));
  CHECK(H.all().size() == HeardVersions::MaxEntries);
  CHECK(H.all().back().Version_ == ModelVersion{"m", 29});
}
