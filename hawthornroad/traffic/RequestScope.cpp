#include "hawthornroad/traffic/RequestScope.h"

#include <algorithm>

namespace hawthornroad {

namespace {
const CustomerConfig *findCustomer(const RoutingConfig &Config, const Call &C,
                                   const Customer &Who) {
  const CustomerConfig *ByKey = Config.customerOf(C.Key_);
  if (Who.empty() || (ByKey != nullptr && ByKey->Name_ == Who))
    return ByKey;
  const std::vector<CustomerConfig> &All = Config.parts().Customers_;
  auto Found =
      std::find_if(All.begin(), All.end(), [&](const CustomerConfig &Each) {
        return Each.Name_ == Who;
      });
  return Found == All.end() ? nullptr : &*Found;
}
} // namespace

RegionScope requestScope(const RoutingConfig &Current,
                         const RoutingConfig &AtArrival, const Call &C,
                         const Customer &Who) {
  const RoutingConfig *Config = &Current;
  const Route *Matched = Current.match(C.Host_, C.path());
  if (Matched == nullptr) {
    Config = &AtArrival;
    Matched = AtArrival.match(C.Host_, C.path());
  }
  RegionScope Out;
  if (Matched != nullptr)
    Out = RegionScope::of(Matched->AllowedRegions_);
  const CustomerConfig *By = findCustomer(*Config, C, Who);
  if (By == nullptr)
    By = findCustomer(AtArrival, C, Who);
  return By == nullptr ? Out : Out.within(By->AllowedRegions_);
}

bool limitsRegions(const RoutingConfig &Config) {
  auto IsLimited = [](const auto &Each) {
    return !Each.AllowedRegions_.empty();
  };
  const RoutingConfig::Parts &P = Config.parts();
  return std::any_of(P.Routes_.begin(), P.Routes_.end(), IsLimited) ||
         std::any_of(P.Customers_.begin(), P.Customers_.end(), IsLimited);
}

} // namespace hawthornroad
