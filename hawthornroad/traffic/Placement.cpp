#include "hawthornroad/traffic/Placement.h"

#include <algorithm>
#include <cmath>

namespace hawthornroad {

namespace {
// Weight of the newest sample in moving averages: roughly the last ten samples
// count.
constexpr double SampleWeight = 0.12;
// An endpoint is ejected when its share of failures exceeds this value and
// twice the service's mean.
constexpr double FailureFloor = 0.3;
} // namespace

void Placement::setEndpoints(const EndpointSet &Set,
                             const RoutingConfig &Config) {
  for (auto &[Id, S] : States_)
    S.IsListed_ = false;
  ByService_.clear();
  for (const auto &[Id, Each] : Set.all()) {
    const Endpoint &E = Each.Endpoint_;
    const ServiceConfig *Service = Config.findService(E.Service_);
    State &S = States_[Id];
    if (S.Endpoint_.Born_ != E.Born_) {
      // The endpoint restarted, so its recorded state is void. Attempts in
      // progress are ended by their own requests, each of which decrements the
      // counts.
      State Fresh;
      Fresh.Own_ = S.Own_;
      Fresh.OwnUnread_ = S.OwnUnread_;
      S = Fresh;
    }
    // The row supersedes an answer only when it names a newer version: a
    // restart has a new id, so versions of one id only grow.
    S.Version_ = std::max(S.Version_, E.Version_);
    S.Endpoint_ = E;
    S.IsListed_ = true;
    bool IsEngine = Service != nullptr && Service->Engine_;
    S.Places_ = std::max(1U, E.Slots_);
    if (IsEngine) {
      S.Places_ = Service->Engine_->Slots_ + Options_.EngineQueue_;
      S.ReadMs_ = Service->Engine_->meanFirstTokenMs();
    }
    std::size_t Cap = Service != nullptr ? Service->MaxConnections_ : S.Places_;
    S.Connections_ =
        std::max(2U, static_cast<unsigned>(static_cast<double>(Cap) *
                                           Options_.ConnectionShare_));
    if (!E.IsDraining_)
      ByService_[E.Service_].push_back(Id);
  }
  std::erase_if(States_, [](const auto &Each) {
    return !Each.second.IsListed_ && Each.second.Own_ == 0;
  });
  updateZones();
}

bool Placement::isUsable(const State &S, const Query &Q) const {
  if (!S.IsListed_ || S.IsReplaced_ || S.Endpoint_.IsDraining_ ||
      Holds_.isLeaving(startOf(S.Endpoint_)) || !permits(S, Q.Regions_))
    return false;
  if (Q.Tried_ != nullptr && Q.Tried_->contains(S.Endpoint_.Id_))
    return false;
  if (!S.Endpoint_.HasModel_)
    return true;
  if (S.Version_ == 0 || S.Version_ < Q.MinVersion_)
    return false;
  return Q.Version_ == 0 || S.Version_ == Q.Version_;
}

std::size_t Placement::usable(const Query &Q) const {
  auto Found = ByService_.find(Q.Service_);
  if (Found == ByService_.end())
    return 0;
  return static_cast<std::size_t>(std::count_if(
      Found->second.begin(), Found->second.end(),
      [&](const EndpointId &Id) { return isUsable(States_.at(Id), Q); }));
}

bool Placement::isFull(const State &S, const Query &Q, TimePoint Now) const {
  bool IsDenied = Now < S.DeniedUntil_ && Q.Rank_ >= S.DeniedRank_;
  if (Now < S.FullUntil_ || Now < S.AwayUntil_ || IsDenied ||
      Now < S.RefusedUntil_)
    return true;
  if (Q.MayAsk_ && mayAsk(S, Now))
    return false;
  double Places = S.Places_;
  if (Q.IsLate_)
    Places -= std::ceil(Places * Options_.KeptFromLate_);
  return load(S, Now) >= Places ||
         unread(S, Now) * S.ReadMs_ >= Options_.MostReading_;
}

std::optional<EndpointId> Placement::choose(const Query &Q, TimePoint Now) {
  auto Found = ByService_.find(Q.Service_);
  if (Found == ByService_.end())
    return std::nullopt;
  std::vector<const State *> Candidates;
  std::vector<const State *> Ejected;
  std::vector<const State *> Unresponsive;
  for (const EndpointId &Id : Found->second) {
    const State &S = States_.at(Id);
    if (!isUsable(S, Q) || Now < holdEnd(S))
      continue;
    if (Now < S.EjectedUntil_)
      Ejected.push_back(&S);
    else if (isUnresponsive(S, Q, Now))
      Unresponsive.push_back(&S);
    else
      Candidates.push_back(&S);
  }
  // When most endpoints seem to fail, the cause is elsewhere.
  if (Candidates.size() + Unresponsive.size() < Ejected.size())
    Candidates.insert(Candidates.end(), Ejected.begin(), Ejected.end());
  if (Candidates.size() < Unresponsive.size())
    Candidates.insert(Candidates.end(), Unresponsive.begin(),
                      Unresponsive.end());
  double Mean = meanFirstByte(Q.Service_);
  const State *Best = nullptr;
  double BestScore = 0;
  unsigned Ties = 0;
  std::vector<const State *> Open;
  for (const State *S : Candidates) {
    if (S->Own_ >= S->Connections_ || (!Q.MayQueue_ && isFull(*S, Q, Now)))
      continue;
    Open.push_back(S);
    double Score = cost(*S, Mean, Now);
    if (Best == nullptr || Score < BestScore) {
      Best = S;
      BestScore = Score;
      Ties = 1;
    } else if (Score == BestScore && Random_.below(++Ties) == 0) {
      Best = S;
    }
  }
  if (Best == nullptr)
    return std::nullopt;
  return shareBySpeed(*Best, Open, Mean, Now).Endpoint_.Id_;
}

void Placement::attemptBegun(const EndpointId &Id, TimePoint Now) {
  auto Found = States_.find(Id);
  if (Found == States_.end())
    return;
  ++Found->second.Own_;
  ++Found->second.OwnUnread_;
}

void Placement::updateLoad(const EndpointId &Id, unsigned Running,
                           unsigned Waiting, TimePoint Now) {
  auto Found = States_.find(Id);
  if (Found == States_.end())
    return;
  State &S = Found->second;
  S.Reported_ = Running + Waiting;
  S.ReportedWaiting_ = Waiting;
  S.OwnAtReport_ = S.Own_;
  S.OwnUnreadAtReport_ = S.OwnUnread_;
  S.ReportedAt_ = Now;
}

void Placement::updateVersion(const EndpointId &Id, WeightVersion V) {
  auto Found = States_.find(Id);
  if (Found != States_.end())
    Found->second.Version_ = std::max(Found->second.Version_, V);
}

void Placement::setAway(const EndpointId &Id, bool IsAway, TimePoint Now) {
  auto Found = States_.find(Id);
  if (Found == States_.end())
    return;
  State &S = Found->second;
  S.AwayUntil_ = IsAway ? Now + Options_.MaxAwayFor_ : TimePoint();
  if (!IsAway)
    S.FullUntil_ = TimePoint();
}

void Placement::placeDenied(const EndpointId &Id, TimePoint Now, int Rank) {
  auto Found = States_.find(Id);
  if (Found == States_.end())
    return;
  State &S = Found->second;
  auto Engines =
      static_cast<Duration::rep>(ByService_[S.Endpoint_.Service_].size());
  S.DeniedRank_ = Now < S.DeniedUntil_ ? std::min(S.DeniedRank_, Rank) : Rank;
  S.DeniedUntil_ = Now + std::max<Duration>(Options_.DeniedFor_,
                                            Engines * Options_.DeniedForEach_);
}

void Placement::connectFailed(const EndpointId &Id, TimePoint Now) {
  auto Found = States_.find(Id);
  if (Found != States_.end())
    Found->second.RefusedUntil_ = Now + Options_.RefusedFor_;
}

void Placement::hold(const EndpointId &Id, TimePoint Until) {
  auto Found = States_.find(Id);
  if (Found == States_.end())
    return;
  std::optional<TimePoint> &Held = Found->second.HeldUntil_;
  Held = Held ? std::max(*Held, Until) : Until;
}

void Placement::release(const EndpointId &Id) {
  auto Found = States_.find(Id);
  if (Found != States_.end())
    Found->second.HeldUntil_.reset();
}

bool Placement::hasGrant(const State &S, TimePoint Now) {
  return std::any_of(S.GrantsUntil_.begin(), S.GrantsUntil_.end(),
                     [&](TimePoint Until) { return Now < Until; });
}

void Placement::keepGrant(const EndpointId &Id, TimePoint Until) {
  auto Found = States_.find(Id);
  if (Found == States_.end())
    return;
  Found->second.GrantsUntil_.push_back(Until);
  Found->second.HeldUntil_.reset();
}

bool Placement::takeGrant(const EndpointId &Id, TimePoint Now) {
  auto Found = States_.find(Id);
  if (Found == States_.end())
    return false;
  std::vector<TimePoint> &Grants = Found->second.GrantsUntil_;
  std::erase_if(Grants, [&](TimePoint Until) { return Now >= Until; });
  if (Grants.empty())
    return false;
  Grants.erase(std::min_element(Grants.begin(), Grants.end()));
  return true;
}

bool Placement::restsOrLeaves(const EndpointId &Id, TimePoint Now) const {
  auto Found = States_.find(Id);
  if (Found == States_.end())
    return false;
  EndpointStart E = startOf(Found->second.Endpoint_);
  return Now < Holds_.restsUntil(E) || Holds_.isLeaving(E);
}

TimePoint Placement::heldUntil(const Query &Q) const {
  auto Found = ByService_.find(Q.Service_);
  if (Found == ByService_.end())
    return TimePoint();
  std::optional<TimePoint> First;
  for (const EndpointId &Id : Found->second) {
    const State &S = States_.at(Id);
    if (!isUsable(S, Q))
      continue;
    First = First ? std::min(*First, holdEnd(S)) : holdEnd(S);
  }
  return First.value_or(TimePoint());
}

void Placement::setReplaced(const EndpointId &Id) {
  auto Found = States_.find(Id);
  if (Found != States_.end())
    Found->second.IsReplaced_ = true;
}

void Placement::awaitReport(const EndpointId &Id, TimePoint Now) {
  auto Found = States_.find(Id);
  if (Found == States_.end())
    return;
  Found->second.DeniedUntil_ = Now + Options_.ReportWait_;
  Found->second.DeniedRank_ = 0;
}

void Placement::pauseAsking(const EndpointId &Id, TimePoint Now) {
  auto Found = States_.find(Id);
  if (Found != States_.end())
    Found->second.AskPausedUntil_ = Now + Options_.AskPause_;
}

void Placement::askTimedOut(const EndpointId &Id, TimePoint AskedAt,
                            TimePoint Now) {
  auto Found = States_.find(Id);
  if (Found == States_.end())
    return;
  State &S = Found->second;
  S.AskPausedUntil_ = Now + Options_.AskPause_;
  if (!S.UnansweredSince_)
    S.UnansweredSince_ = AskedAt;
}

void Placement::askAnswered(const EndpointId &Id, Duration Took) {
  auto Found = States_.find(Id);
  if (Found == States_.end())
    return;
  if (Took < Options_.UnresponsiveAfter_)
    Found->second.UnansweredSince_.reset();
  else
    Found->second.AskPausedUntil_ = TimePoint();
}

// An endpoint whose agent may be probed is not excluded: the reply decides.
bool Placement::isUnresponsive(const State &S, const Query &Q,
                               TimePoint Now) const {
  if (!S.UnansweredSince_ || (Q.MayAsk_ && mayAsk(S, Now)))
    return false;
  return Now - *S.UnansweredSince_ >= Options_.UnresponsiveAfter_ ||
         Q.TimeLeft_ < Options_.PromptFirstByte_;
}

bool Placement::mayAsk(const EndpointId &Id, TimePoint Now) const {
  auto Found = States_.find(Id);
  return Found != States_.end() && mayAsk(Found->second, Now);
}

void Placement::firstByte(const EndpointId &Id, Duration Took,
                          std::optional<double> Slowdown) {
  auto Found = States_.find(Id);
  if (Found == States_.end())
    return;
  if (Found->second.OwnUnread_ > 0)
    --Found->second.OwnUnread_;
  if (Took < Options_.PromptFirstByte_)
    Found->second.UnansweredSince_.reset();
  double Ms = std::chrono::duration<double, std::milli>(Took).count() /
              EndpointSpeed::factorOf(Slowdown);
  double &Mean = Found->second.FirstByteMs_;
  Mean = Mean <= 0 ? Ms : Mean + SampleWeight * (Ms - Mean);
}

Duration Placement::usualFirstByte(const EndpointId &Id) const {
  auto Found = States_.find(Id);
  if (Found == States_.end())
    return Duration::zero();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Found->second.FirstByteMs_));
}

double Placement::meanFailureShare(const ServiceName &Service) const {
  auto Found = ByService_.find(Service);
  if (Found == ByService_.end() || Found->second.empty())
    return 0;
  double Sum = 0;
  for (const EndpointId &Id : Found->second)
    Sum += States_.at(Id).FailureShare_;
  return Sum / static_cast<double>(Found->second.size());
}

void Placement::eject(State &S, TimePoint Now) {
  S.EjectFor_ = S.EjectFor_ == Duration::zero()
                    ? Options_.EjectFor_
                    : std::min(2 * S.EjectFor_, Options_.MaxEjectFor_);
  S.EjectedUntil_ = Now + S.EjectFor_;
  S.FailuresInRow_ = 0;
  S.FailureShare_ = FailureFloor / 2;
}

void Placement::setFull(const EndpointId &Id, TimePoint Until) {
  auto Found = States_.find(Id);
  if (Found != States_.end())
    Found->second.FullUntil_ = std::max(Found->second.FullUntil_, Until);
}

void Placement::attemptEnded(const EndpointId &Id, End E, bool HadHead,
                             TimePoint Now) {
  auto Found = States_.find(Id);
  if (Found == States_.end())
    return;
  State &S = Found->second;
  if (S.Own_ > 0)
    --S.Own_;
  if (!HadHead && S.OwnUnread_ > 0)
    --S.OwnUnread_;
  if (!S.IsListed_ && S.Own_ == 0) {
    States_.erase(Found);
    return;
  }
  switch (E) {
  case End::Cancelled:
    return;
  case End::TurnedAway:
    // Requests turned away at the same time count once.
    if (Now < S.FullUntil_)
      return;
    S.FullFor_ =
        std::clamp(2 * S.FullFor_, Options_.FullFor_, Options_.MaxFullFor_);
    S.FullUntil_ = Now + S.FullFor_;
    return;
  case End::Good:
    S.FullFor_ = Duration::zero();
    S.FailuresInRow_ = 0;
    S.FailureShare_ *= 1 - SampleWeight;
    if (S.FailureShare_ < SampleWeight)
      S.EjectFor_ = Duration::zero();
    return;
  case End::Failed:
    countFailure(S, Now);
    return;
  }
}

void Placement::noteFailure(const EndpointId &Id, TimePoint Now) {
  auto Found = States_.find(Id);
  if (Found != States_.end())
    countFailure(Found->second, Now);
}

void Placement::countFailure(State &S, TimePoint Now) {
  ++S.FailuresInRow_;
  S.FailureShare_ += SampleWeight * (1 - S.FailureShare_);
  double Mean = meanFailureShare(S.Endpoint_.Service_);
  if (S.FailuresInRow_ >= Options_.FailuresInRow_ ||
      (S.FailureShare_ > FailureFloor && S.FailureShare_ > 2 * Mean))
    eject(S, Now);
}

std::optional<Placement::View> Placement::view(const EndpointId &Id,
                                               TimePoint Now) const {
  auto Found = States_.find(Id);
  if (Found == States_.end())
    return std::nullopt;
  const State &S = Found->second;
  View V;
  V.Load_ = load(S, Now);
  V.Unread_ = unread(S, Now);
  V.Own_ = S.Own_;
  V.Places_ = S.Places_;
  if (S.ReportedAt_)
    V.ReportAge_ = Now - *S.ReportedAt_;
  V.Version_ = S.Version_;
  V.Slowdown_ = S.Speed_.stated(Now);
  V.IsEjected_ = Now < S.EjectedUntil_;
  V.IsAway_ = Now < S.AwayUntil_;
  return V;
}

const Endpoint *Placement::find(const EndpointId &Id) const {
  auto Found = States_.find(Id);
  return Found == States_.end() || !Found->second.IsListed_
             ? nullptr
             : &Found->second.Endpoint_;
}

} // namespace hawthornroad
