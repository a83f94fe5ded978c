#include "hawthornroad/traffic/ColdEndpoints.h"

#include "hawthornroad/traffic/ColdFigures.h"
#include "hawthornroad/traffic/ColdGrants.h"

#include <algorithm>
#include <utility>

namespace hawthornroad {

namespace {
constexpr std::string_view FirstSeen = "first_seen";
constexpr std::string_view Row = "row";
constexpr std::string_view Answer = "answer";
constexpr std::string_view Granter = "granter";
constexpr std::string_view ZoneRestored = "zone_restored";
constexpr std::string_view Silent = "silent";
constexpr std::string_view CheckRejected = "check_rejected";

// Requests a second that an engine ends, all with empty prompts: the most that
// it can use.
std::optional<double> capacityOf(const EngineProfile &E) {
  double AnswerMs = E.MeanAnswerTokens_ * E.StepMs_;
  if (!(AnswerMs > 0))
    return std::nullopt;
  constexpr double MsPerSecond = 1000;
  return E.Slots_ / AnswerMs * MsPerSecond;
}

LimitShare::Options shareOptions(unsigned Entries) {
  LimitShare::Options O;
  O.Entries_ = Entries;
  O.Share_ = 1;
  return O;
}
} // namespace

ColdEndpoints::ColdEndpoints(Options O, Random R)
    : Options_(O), Share_(shareOptions(O.Entries_), R) {}

ColdEndpoints::Limit ColdEndpoints::limitOf(const ServiceConfig &S) const {
  Limit L;
  L.For_ = S.ColdFor_;
  L.PerSecond_ = S.ColdPerSecond_;
  L.Arrivals_ = S.ColdPerSecond_ * Options_.Factor_ + Options_.Slack_;
  auto Capacity = S.Engine_ ? capacityOf(*S.Engine_) : std::nullopt;
  L.IsPermanent_ =
      Options_.HasPlaceGrants_ && Capacity && *Capacity <= S.ColdPerSecond_;
  if (!S.Engine_)
    L.HealthPath_ = S.HealthPath_;
  return L;
}

void ColdEndpoints::extend(State &S, TimePoint &Until, TimePoint To,
                           std::string_view Source) {
  if (To <= Until)
    return;
  if (To > S.until())
    S.Source_ = Source;
  Until = To;
}

ColdEndpoints::State *ColdEndpoints::stateOf(const EndpointStart &E) {
  auto Found = States_.find(E);
  return Found == States_.end() ? nullptr : &Found->second;
}

void ColdEndpoints::listed(const EndpointSet &Set, const RoutingConfig &Config,
                           TimePoint Now) {
  std::map<ServiceName, Limit> Before = std::exchange(Services_, {});
  for (const ServiceConfig &S : Config.parts().Services_)
    if (S.ColdPerSecond_ > 0)
      Services_[S.Name_] = limitOf(S);
  if (Services_.empty() && States_.empty())
    return;
  for (auto &[Start, S] : States_)
    S.IsListed_ = false;
  for (const auto &[Id, Each] : Set.all()) {
    const Endpoint &E = Each.Endpoint_;
    auto Service = Services_.find(E.Service_);
    if (Service == Services_.end())
      continue;
    auto [Found, IsNew] = States_.try_emplace(startOf(E));
    State &S = Found->second;
    S.Service_ = E.Service_;
    S.IsListed_ = true;
    S.ListedAt_ = Now;
    if (IsNew)
      extend(S, S.UnknownUntil_, Now + Service->second.For_, FirstSeen);
    if (S.RowSeenAt_ == Each.SeenAt_)
      continue;
    S.RowSeenAt_ = Each.SeenAt_;
    extend(S, S.StatedUntil_,
           Now + std::min(E.ColdLeft_, MaxColdTimes * Service->second.For_),
           Row);
  }
  std::erase_if(States_, [&](const auto &Each) {
    const State &S = Each.second;
    return !S.IsListed_ && !S.ReportedAt_ &&
           (!Services_.contains(S.Service_) ||
            Now - S.ListedAt_ > Options_.Memory_);
  });
}

Duration ColdEndpoints::plausible(const State &S, Duration Left) const {
  auto Service = Services_.find(S.Service_);
  return Service == Services_.end()
             ? Left
             : std::min(Left, MaxColdTimes * Service->second.For_);
}

void ColdEndpoints::noteAnswer(const EndpointStart &E,
                               std::optional<Duration> Left, TimePoint Now) {
  State *S = stateOf(E);
  if (S == nullptr || !Left)
    return;
  if (*Left <= Duration::zero())
    S->UnknownUntil_ = std::min(S->UnknownUntil_, Now);
  else
    extend(*S, S->StatedUntil_, Now + plausible(*S, *Left), Answer);
}

// The granter may have learnt of it from this entry, see ColdGrants.
void ColdEndpoints::noteGranter(const EndpointStart &E,
                                const std::optional<ColdLimit> &L,
                                TimePoint AskedAt, TimePoint Now) {
  State *S = stateOf(E);
  if (S == nullptr || !L || L->Left_ <= Duration::zero())
    return;
  if (AskedAt + L->Left_ > S->until() + MinColdExtension)
    extend(*S, S->StatedUntil_, Now + plausible(*S, L->Left_), Granter);
}

void ColdEndpoints::zonesRestored(const std::set<AvailabilityZone> &Zones,
                                  const EndpointSet &Set, TimePoint Now) {
  for (const auto &[Id, Each] : Set.all()) {
    const Endpoint &E = Each.Endpoint_;
    auto Service = Services_.find(E.Service_);
    State *S = stateOf(startOf(E));
    if (S != nullptr && Service != Services_.end() && Zones.contains(E.Zone_))
      extend(*S, S->UnknownUntil_, Now + Service->second.For_, ZoneRestored);
  }
}

std::optional<ColdEndpoints::Watched>
ColdEndpoints::watched(const Endpoint &E, TimePoint Now) const {
  auto Service = Services_.find(E.Service_);
  if (Service == Services_.end() || Service->second.HealthPath_.empty() ||
      coldUntil(E) > Now)
    return std::nullopt;
  return Watched{Service->second.HealthPath_, Service->second.Arrivals_};
}

void ColdEndpoints::noteSilent(const EndpointStart &E, TimePoint Now) {
  if (State *S = stateOf(E))
    extend(*S, S->UnknownUntil_, Now + Options_.SilentFor_, Silent);
}

void ColdEndpoints::noteRejected(const EndpointStart &E, Duration For,
                                 TimePoint Now) {
  if (State *S = stateOf(E))
    extend(*S, S->UnknownUntil_, Now + For, CheckRejected);
}

TimePoint ColdEndpoints::coldUntil(const Endpoint &E) const {
  auto Found = States_.find(startOf(E));
  return Found == States_.end() ? TimePoint() : Found->second.until();
}

std::optional<ColdLimit> ColdEndpoints::find(const Endpoint &E,
                                             TimePoint Now) const {
  auto Service = Services_.find(E.Service_);
  if (Service == Services_.end())
    return std::nullopt;
  const Limit &L = Service->second;
  Duration Left = std::max<Duration>(coldUntil(E) - Now, Duration::zero());
  if (Left == Duration::zero() && !L.IsPermanent_)
    return std::nullopt;
  return ColdLimit{
      .PerSecond_ = L.PerSecond_, .Arrivals_ = L.Arrivals_, .Left_ = Left};
}

bool ColdEndpoints::isCold(const Endpoint &E, TimePoint Now) const {
  return Services_.contains(E.Service_) && coldUntil(E) > Now;
}

TimePoint ColdEndpoints::shareAt(const Endpoint &E, TimePoint Now) {
  if (!isCold(E, Now))
    return Now;
  double Rate = coldShareRate(Services_.at(E.Service_).Arrivals_);
  return std::min(Share_.nextAt(startOf(E), Rate, Now), coldUntil(E));
}

void ColdEndpoints::takeShare(const Endpoint &E, TimePoint Now) {
  if (isCold(E, Now))
    Share_.take(startOf(E), coldShareRate(Services_.at(E.Service_).Arrivals_),
                Now);
}

std::size_t ColdEndpoints::cold(TimePoint Now) const {
  return static_cast<std::size_t>(
      std::count_if(States_.begin(), States_.end(), [&](const auto &Each) {
        return Each.second.IsListed_ && Now < Each.second.until();
      }));
}

std::vector<ColdReport> ColdEndpoints::takeReports(TimePoint Now) {
  std::vector<ColdReport> Out;
  for (auto &[Start, S] : States_) {
    bool IsCold = S.IsListed_ && Now < S.until();
    if (IsCold == S.ReportedAt_.has_value())
      continue;
    Duration For = IsCold ? S.until() - Now : Now - *S.ReportedAt_;
    Out.push_back({Start.Id_, IsCold, S.Source_, For});
    if (IsCold)
      S.ReportedAt_ = Now;
    else
      S.ReportedAt_.reset();
  }
  return Out;
}

} // namespace hawthornroad
