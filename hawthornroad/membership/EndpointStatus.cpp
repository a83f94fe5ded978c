#include "hawthornroad/membership/EndpointStatus.h"

#include <array>

namespace hawthornroad {

std::string_view toString(EndpointPhase P) {
  static constexpr std::array<std::string_view, 4> Names = {"starting", "ready",
                                                            "draining", "left"};
  return Names[static_cast<std::size_t>(P)];
}

} // namespace hawthornroad
