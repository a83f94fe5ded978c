#include "hawthornroad/config/RoutingConfig.h"

#include <algorithm>
#include <cctype>
#include <optional>
#include <set>

namespace hawthornroad {

namespace {
std::string hostName(std::string_view Host) {
  std::size_t Colon = Host.rfind(':');
  if (Colon != std::string_view::npos)
    Host = Host.substr(0, Colon);
  std::string Lower(Host);
  std::transform(Lower.begin(), Lower.end(), Lower.begin(), [](char C) {
    return static_cast<char>(std::tolower(static_cast<unsigned char>(C)));
  });
  return Lower;
}

using RankPairs = std::set<std::pair<int, int>>;

// The priorities that requests on a route may have: of the customer, or else of
// the route, and of the route.
RankPairs ranksOf(const Route &R,
                  const std::vector<CustomerConfig> &Customers) {
  RankPairs Out;
  for (const CustomerConfig &Each : Customers)
    Out.insert({Each.Rank_.value_or(R.Rank_), R.Rank_});
  if (R.IsPublic_ || Customers.empty())
    Out.insert({R.Rank_, R.Rank_});
  return Out;
}

std::map<ServiceName, std::vector<std::pair<int, int>>>
prioritiesOf(const std::vector<Route> &Routes,
             const std::vector<CustomerConfig> &Customers) {
  std::set<std::optional<int>> OfCustomers;
  for (const CustomerConfig &Each : Customers)
    OfCustomers.insert(Each.Rank_);
  std::map<ServiceName, RankPairs> Pairs;
  std::map<ServiceName, std::set<int>> OfRoutes;
  for (const Route &Each : Routes)
    for (const WeightedService &S : Each.Services_) {
      Pairs[S.Service_].merge(ranksOf(Each, Customers));
      OfRoutes[S.Service_].insert(Each.Rank_);
    }
  std::map<ServiceName, std::vector<std::pair<int, int>>> Out;
  for (const auto &[Name, Ranks] : OfRoutes) {
    if (Ranks.size() < 2)
      continue;
    const RankPairs &Found = Pairs[Name];
    Out[Name];
    if (OfCustomers.size() > 1)
      Out[Name].assign(Found.begin(), Found.end());
  }
  return Out;
}
} // namespace

std::shared_ptr<const RoutingConfig> RoutingConfig::build(Parts P) {
  auto Built = std::make_shared<RoutingConfig>();
  Built->Parts_ = std::move(P);
  const Parts &Source = Built->Parts_;
  for (std::size_t I = 0; I < Source.Routes_.size(); ++I) {
    HostRoutes &H = Built->Hosts_[hostName(Source.Routes_[I].Host_)];
    const std::string &Prefix = Source.Routes_[I].Prefix_;
    H.ByPrefix_[Prefix] = I;
    H.Lengths_.push_back(Prefix.size());
  }
  for (auto &[Host, H] : Built->Hosts_) {
    std::sort(H.Lengths_.begin(), H.Lengths_.end(), std::greater<>());
    H.Lengths_.erase(std::unique(H.Lengths_.begin(), H.Lengths_.end()),
                     H.Lengths_.end());
  }
  for (std::size_t I = 0; I < Source.Services_.size(); ++I)
    Built->Services_[Source.Services_[I].Name_] = I;
  for (std::size_t I = 0; I < Source.Customers_.size(); ++I)
    for (const std::string &Key : Source.Customers_[I].Keys_)
      Built->Keys_[Key] = I;
  Built->Priorities_ = prioritiesOf(Source.Routes_, Source.Customers_);
  return Built;
}

const Route *RoutingConfig::match(std::string_view Host,
                                  std::string_view Path) const {
  auto Found = Hosts_.find(hostName(Host));
  if (Found == Hosts_.end())
    return nullptr;
  const HostRoutes &H = Found->second;
  for (std::size_t Length : H.Lengths_) {
    if (Length > Path.size())
      continue;
    auto At = H.ByPrefix_.find(std::string(Path.substr(0, Length)));
    if (At != H.ByPrefix_.end())
      return &Parts_.Routes_[At->second];
  }
  return nullptr;
}

const ServiceConfig *RoutingConfig::findService(const ServiceName &Name) const {
  auto Found = Services_.find(Name);
  return Found == Services_.end() ? nullptr : &Parts_.Services_[Found->second];
}

RoutingConfig::PriorityLevel
RoutingConfig::priorityLevel(const ServiceName &Name, int Rank,
                             int RouteRank) const {
  constexpr int QueueClasses = 3;
  auto Found = Priorities_.find(Name);
  if (Found == Priorities_.end())
    return {Rank, Rank};
  const auto &Pairs = Found->second;
  if (Pairs.empty())
    return {RouteRank, RouteRank};
  auto At =
      std::lower_bound(Pairs.begin(), Pairs.end(), std::pair(Rank, RouteRank));
  int Level = static_cast<int>(At - Pairs.begin());
  int Levels = static_cast<int>(Pairs.size());
  return {Level, std::min(Level * QueueClasses / Levels, QueueClasses - 1)};
}

const ServiceConfig *RoutingConfig::origin() const {
  for (const ServiceConfig &Each : Parts_.Services_)
    if (!Each.OriginAddress_.empty())
      return &Each;
  return nullptr;
}

const CustomerConfig *RoutingConfig::customerOf(const std::string &Key) const {
  auto Found = Keys_.find(Key);
  return Found == Keys_.end() ? nullptr : &Parts_.Customers_[Found->second];
}

} // namespace hawthornroad
