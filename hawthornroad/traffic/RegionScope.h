// The regions in which a request may be served.
//
//   RegionScope S = RegionScope::of(Route.AllowedRegions_)
//                       .within(Customer.AllowedRegions_);
//   if (S.permits(EndpointRegion)) ...
//
// A scope without limits permits every region, one that is not known included.
// A limited scope permits only the regions that it names, so an endpoint in a
// zone of unknown region is never used for it. A scope may be limited to no
// region at all: two limits that have no region in common.

#ifndef HAWTHORNROAD_TRAFFIC_REGIONSCOPE_H
#define HAWTHORNROAD_TRAFFIC_REGIONSCOPE_H

#include "hawthornroad/base/Types.h"

#include <algorithm>
#include <optional>
#include <set>
#include <vector>

namespace hawthornroad {

class RegionScope {
public:
  // Permits every region.
  RegionScope() = default;
  // Allowed empty: no limit.
  static RegionScope of(const std::vector<Region> &Allowed) {
    RegionScope Out;
    if (!Allowed.empty())
      Out.Allowed_.emplace(Allowed.begin(), Allowed.end());
    return Out;
  }

  // The regions that both this scope and the limit permit. Allowed empty: no
  // limit.
  RegionScope within(const std::vector<Region> &Allowed) const {
    if (Allowed.empty())
      return *this;
    RegionScope Out = of(Allowed);
    if (Allowed_)
      std::erase_if(*Out.Allowed_, [this](const Region &Each) {
        return !Allowed_->contains(Each);
      });
    return Out;
  }

  bool permits(const Region &R) const {
    return !Allowed_ || Allowed_->contains(R);
  }
  bool isLimited() const { return Allowed_.has_value(); }
  bool operator==(const RegionScope &) const = default;

private:
  // Unset: every region.
  std::optional<std::set<Region>> Allowed_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_REGIONSCOPE_H
