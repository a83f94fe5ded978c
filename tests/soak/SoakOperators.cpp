#include "tests/soak/SoakOperators.h"

namespace hawthornroad {

namespace {
TimePoint now() { return std::chrono::steady_clock::now(); }
} // namespace

// The store has acknowledged the row when put() returns.
void SoakOperators::evacuate(const std::string &Zone) {
  Store_.put("op", "evacuate/" + Zone, "{}");
  Record_.beginDisruption(SoakRecord::evacuation(Zone), now());
}

void SoakOperators::restore(const std::string &Zone) {
  Record_.endDisruption(SoakRecord::evacuation(Zone), now());
  Store_.remove("op", "evacuate/" + Zone);
}

} // namespace hawthornroad
