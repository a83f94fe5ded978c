// The cost by which Placement compares endpoints: estimated load, expected
// times and how fast each endpoint works now.

#include "hawthornroad/traffic/Placement.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// Caps the first-byte time of a slow endpoint, as a multiple of the mean.
constexpr double MaxSlowFactor = 3.0;
} // namespace

bool Placement::isReportFresh(const State &S, TimePoint Now) const {
  return S.ReportedAt_ && Now - *S.ReportedAt_ <= Options_.ReportFresh_;
}

namespace {
// Estimated requests at an endpoint: the report, plus what this process and, by
// estimate, its peers have sent since. All see the same report and choose
// alike.
double estimateRequests(unsigned Reported, unsigned OwnAtReport, unsigned Own,
                        double Senders) {
  double Change = static_cast<double>(Own) - static_cast<double>(OwnAtReport);
  if (Change > 0)
    Change *= Senders;
  return std::max(static_cast<double>(Reported) + Change,
                  static_cast<double>(Own));
}
} // namespace

double Placement::load(const State &S, TimePoint Now) const {
  if (!isReportFresh(S, Now))
    return S.Own_ * senders(S);
  return estimateRequests(S.Reported_, S.OwnAtReport_, S.Own_, senders(S));
}

double Placement::unread(const State &S, TimePoint Now) const {
  if (!isReportFresh(S, Now))
    return S.OwnUnread_ * senders(S);
  return estimateRequests(S.ReportedWaiting_, S.OwnUnreadAtReport_,
                          S.OwnUnread_, senders(S));
}

double Placement::cost(const State &S, double MeanFirstByte,
                       TimePoint Now) const {
  // Below all others: a grant that is not used soon is lost.
  constexpr double GrantedCost = -1;
  if (hasGrant(S, Now))
    return GrantedCost;
  double Cost =
      unread(S, Now) * S.ReadMs_ + load(S, Now) * Options_.RunningCost_;
  // Plain services: the cost grows with utilization.
  if (S.ReadMs_ <= 0)
    Cost += load(S, Now) / S.Places_ * Options_.CrossZoneCost_;
  double Slowdown = S.Speed_.factor(Now);
  Cost = Cost * Slowdown + usualMs(S, MeanFirstByte) * (Slowdown - 1);
  if (MeanFirstByte > 0 && S.FirstByteMs_ > MeanFirstByte)
    Cost +=
        std::min(S.FirstByteMs_, MaxSlowFactor * MeanFirstByte) - MeanFirstByte;
  if (S.Endpoint_.Zone_ != Options_.Zone_)
    Cost += Options_.CrossZoneCost_;
  return Cost;
}

// Time of one request at an idle endpoint of usual speed, ms.
double Placement::usualMs(const State &S, double MeanFirstByte) const {
  if (S.ReadMs_ > 0)
    return S.ReadMs_;
  double Own = S.FirstByteMs_ > 0 ? S.FirstByteMs_ : MeanFirstByte;
  return std::min(Own, MaxSlowFactor * MeanFirstByte);
}

void Placement::noteSlowdown(const EndpointId &Id,
                             std::optional<double> Slowdown, TimePoint At) {
  auto Found = States_.find(Id);
  if (Found != States_.end())
    Found->second.Speed_.note(Slowdown, At);
}

// Engines' agents decide with a fresh figure, so for engines the cheapest one
// is asked. Plain endpoints are drawn where any of the zone states its speed,
// also while none is slow: at the begin of a slow period most processes have
// not heard of it yet, and would all send to the endpoint that then looks
// cheapest. One that costs more by what would justify another zone is not
// drawn.
const Placement::State &
Placement::shareBySpeed(const State &Cheapest,
                        const std::vector<const State *> &Open,
                        double MeanFirstByte, TimePoint Now) {
  if (Cheapest.Endpoint_.HasModel_ || hasGrant(Cheapest, Now))
    return Cheapest;
  bool IsAnyStated = std::any_of(Open.begin(), Open.end(), [&](const State *S) {
    return S->Endpoint_.Zone_ == Cheapest.Endpoint_.Zone_ &&
           S->Speed_.wasStated();
  });
  if (!IsAnyStated)
    return Cheapest;
  double MaxCost = cost(Cheapest, MeanFirstByte, Now) + Options_.CrossZoneCost_;
  std::vector<const State *> Near;
  std::vector<SpeedCandidate> Candidates;
  for (const State *S : Open) {
    if (S->Endpoint_.Zone_ != Cheapest.Endpoint_.Zone_)
      continue;
    double Cost = cost(*S, MeanFirstByte, Now);
    if (Cost > MaxCost)
      continue;
    Near.push_back(S);
    Candidates.push_back({Cost, S->Places_ / S->Speed_.factor(Now)});
  }
  return *Near[chooseBySpeed(Candidates, Random_)];
}

double Placement::meanFirstByte(const ServiceName &Service) const {
  double Sum = 0;
  unsigned Count = 0;
  for (const EndpointId &Id : ByService_.at(Service)) {
    double Ms = States_.at(Id).FirstByteMs_;
    if (Ms <= 0)
      continue;
    Sum += Ms;
    ++Count;
  }
  return Count == 0 ? 0 : Sum / Count;
}

} // namespace hawthornroad
