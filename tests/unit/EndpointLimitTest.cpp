// Endpoints that name a rate limit for all entries together.

#include "tests/unit/LimitFleet.h"

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

namespace {
struct Case {
  unsigned Entries_;
  bool IsEngine_;
  double PerSecond_;
  // Requests a second that reach each entry.
  double Load_;
};
constexpr TimePoint LimitedAt = Start + Seconds(5);
} // namespace

// Guards against entries that read an endpoint's limit nowhere, or each use the
// whole of it.
TEST_CASE("fleet of entries, before an endpoint that names a limit for all of "
          "them, stays within it",
          "[limit]") {
  auto C = GENERATE(Case{9, true, 1, 6}, Case{9, true, 1.7, 6},
                    Case{9, false, 1, 6}, Case{9, false, 10, 60},
                    Case{300, true, 0.5, 1}, Case{300, true, 1, 1},
                    Case{300, false, 1, 1}, Case{300, false, 100, 5});
  CAPTURE(C.Entries_, C.IsEngine_, C.PerSecond_);
  LimitFleet F({.Entries_ = C.Entries_,
                .Endpoints_ = 6,
                .IsEngine_ = C.IsEngine_,
                .RequestsPerSecond_ = C.Load_});
  F.limit(0, C.PerSecond_, LimitedAt);
  F.run(Seconds(20));
  CHECK(F.excess() <= 0);
}
