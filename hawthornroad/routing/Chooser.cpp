#include "hawthornroad/routing/Chooser.h"

#include "hawthornroad/routing/EndpointDirectory.h"
#include "hawthornroad/routing/EndpointPool.h"

#include <algorithm>
#include <unordered_map>

namespace hawthornroad {

namespace {
// Endpoints sampled for a choice.
constexpr std::size_t SampleSize = 8;
// How long an endpoint that refused an attempt counts as full.
constexpr Duration RefusalBackoff = Milliseconds(1000);

// The endpoints of one service.
struct Group {
  std::vector<std::unique_ptr<EndpointPool>> Pools_;
  OutlierEjection Outliers_;
  std::size_t Limit_ = 16;
  std::size_t Ready_ = 0;
};
} // namespace

struct Chooser::State {
  State(Random R, AvailabilityZone Own)
      : Rng_(std::move(R)), Own_(std::move(Own)) {}

  enum class ZoneScope { OwnZone, OtherZones };

  Group *groupOf(const ServiceName &S);
  EndpointPool &poolFor(Group &G, const EndpointStatus &S);
  void addToPool(PooledEndpoint &E, TimePoint Now);
  void removeFromPool(PooledEndpoint &E);
  void releaseExcessEjections(Group &G, TimePoint Now);
  void refresh(PooledEndpoint &E, TimePoint Now);
  void setLimit(Group &G, std::size_t Limit, TimePoint Now);
  void markGone(PooledEndpoint &E, TimePoint Now);

  std::vector<EndpointPool *> matching(Group &G, const Query &Q,
                                       ZoneScope W) const;
  PooledEndpoint *drawFrom(const std::vector<EndpointPool *> &Pools,
                           const std::set<Vm> &Excluded);
  PooledEndpoint *chooseWaiting(const std::vector<EndpointPool *> &Pools,
                                const Query &Q, TimePoint Now);
  PooledEndpoint *pick(Group &G, const Query &Q, TimePoint Now);
  PooledEndpoint *dueProbe(Group &G, const Query &Q, TimePoint Now) const;
  PooledEndpoint *chooseFrom(const std::vector<EndpointPool *> &Pools,
                             const Query &Q);

  Random Rng_;
  AvailabilityZone Own_;
  // The time of the last update, for calls without a time argument.
  TimePoint Latest_;
  EndpointDirectory Directory_;
  std::unordered_map<ServiceName, Group> Groups_;
};

Chooser::Chooser(Random Rng, AvailabilityZone Own)
    : State_(std::make_unique<State>(std::move(Rng), std::move(Own))) {}

Chooser::~Chooser() = default;

Group *Chooser::State::groupOf(const ServiceName &S) {
  auto Found = Groups_.find(S);
  return Found == Groups_.end() ? nullptr : &Found->second;
}

EndpointPool &Chooser::State::poolFor(Group &G, const EndpointStatus &S) {
  for (auto &P : G.Pools_)
    if (P->zone() == S.Zone_ && P->version() == S.Version_)
      return *P;
  G.Pools_.push_back(
      std::make_unique<EndpointPool>(Directory_.slots(), S.Zone_, S.Version_));
  return *G.Pools_.back();
}

void Chooser::State::addToPool(PooledEndpoint &E, TimePoint Now) {
  Group &G = Groups_[E.Status_.Service_];
  poolFor(G, E.Status_).add(E, G.Limit_, Now);
  ++G.Ready_;
}

// Removes E from its pool, and the pool with its last member.
void Chooser::State::removeFromPool(PooledEndpoint &E) {
  if (!E.Pool_)
    return;
  Group &G = Groups_[E.Status_.Service_];
  G.Outliers_.release(E.Health_);
  EndpointPool *Pool = E.Pool_;
  Pool->remove(E);
  --G.Ready_;
  if (Pool->size() == 0)
    std::erase_if(G.Pools_, [&](const auto &P) { return P.get() == Pool; });
}

// Ejections are limited to a share of the ready endpoints. When the number of
// ready endpoints falls, the ejections that end first are lifted early, so that
// the few remaining endpoints do not receive all the load.
void Chooser::State::releaseExcessEjections(Group &G, TimePoint Now) {
  while (G.Outliers_.ejected() > OutlierEjection::maxEjected(G.Ready_)) {
    PooledEndpoint *First = nullptr;
    for (auto &P : G.Pools_) {
      PooledEndpoint *E = P->firstEjected();
      if (E && (!First || E->Health_.Until_ < First->Health_.Until_))
        First = E;
    }
    if (!First)
      return;
    G.Outliers_.release(First->Health_);
    refresh(*First, Now);
  }
}

void Chooser::State::refresh(PooledEndpoint &E, TimePoint Now) {
  if (E.Pool_)
    E.Pool_->refresh(E, Groups_[E.Status_.Service_].Limit_, Now);
}

void Chooser::State::setLimit(Group &G, std::size_t Limit, TimePoint Now) {
  if (G.Limit_ == Limit)
    return;
  G.Limit_ = Limit;
  for (auto &P : G.Pools_)
    P->refreshAll(Limit, Now);
}

void Chooser::State::markGone(PooledEndpoint &E, TimePoint Now) {
  removeFromPool(E);
  releaseExcessEjections(Groups_[E.Status_.Service_], Now);
  const bool IsNew = !E.Gone_;
  E.Gone_ = true;
  if (IsNew && E.Load_.own() == 0)
    Directory_.noteGone(E);
}

void Chooser::update(const EndpointStatus &Status, TimePoint Now) {
  State_->Latest_ = std::max(State_->Latest_, Now);
  PooledEndpoint *Old = State_->Directory_.find(Status.Vm_);
  if (Old && !Status.supersedes(Old->Status_))
    return;
  PooledEndpoint &E = State_->Directory_.obtain(Status.Vm_);
  const bool Restarted = Old && Status.Incarnation_ != E.Status_.Incarnation_;
  // An endpoint that has left returns only after a restart.
  if (Old && !Restarted && E.Status_.Phase_ == EndpointPhase::Left)
    return;
  const bool Moves = !E.Pool_ || Status.Phase_ != EndpointPhase::Ready ||
                     Restarted || Status.Zone_ != E.Status_.Zone_ ||
                     Status.Service_ != E.Status_.Service_ ||
                     Status.Version_ != E.Status_.Version_;
  const ServiceName OldService = E.Status_.Service_;
  if (Moves)
    State_->removeFromPool(E);
  if (Restarted) {
    E.Health_ = {};
    E.Load_.forgetReports();
    E.BusyUntil_ = {};
  }
  E.Status_ = Status;
  E.Gone_ = false;
  E.Load_.report(double(Status.Running_) + double(Status.Waiting_), Now);
  if (!Moves)
    State_->refresh(E, Now);
  else if (Status.Phase_ == EndpointPhase::Ready)
    State_->addToPool(E, Now);
  if (Status.Phase_ == EndpointPhase::Left)
    State_->markGone(E, Now);
  if (Moves)
    if (Group *G = State_->groupOf(OldService))
      State_->releaseExcessEjections(*G, Now);
}

void Chooser::remove(const Vm &V, Incarnation I) {
  PooledEndpoint *E = State_->Directory_.find(V);
  if (!E || E->Status_.Incarnation_ > I)
    return;
  State_->markGone(*E, State_->Latest_);
}

std::vector<EndpointPool *> Chooser::State::matching(Group &G, const Query &Q,
                                                     ZoneScope W) const {
  std::vector<EndpointPool *> Out;
  for (auto &P : G.Pools_) {
    const bool IsOwn = P->zone() == Own_;
    if (IsOwn == (W == ZoneScope::OwnZone) && P->serves(Q.Version_))
      Out.push_back(P.get());
  }
  return Out;
}

PooledEndpoint *
Chooser::State::drawFrom(const std::vector<EndpointPool *> &Pools,
                         const std::set<Vm> &Excluded) {
  std::size_t Open = 0;
  for (const EndpointPool *P : Pools)
    Open += P->open();
  std::size_t At = Rng_.below(Open);
  for (const EndpointPool *P : Pools) {
    if (At < P->open())
      return P->draw(Rng_, Excluded);
    At -= P->open();
  }
  return nullptr;
}

PooledEndpoint *
Chooser::State::chooseFrom(const std::vector<EndpointPool *> &Pools,
                           const Query &Q) {
  if (Q.PrefixHash_ != 0)
    for (const EndpointPool *P : Pools)
      if (PooledEndpoint *E = P->affinityEndpoint(Q.PrefixHash_, Q.Excluded_))
        return E;
  PooledEndpoint *Best = nullptr;
  for (std::size_t I = 0; I < SampleSize; ++I) {
    PooledEndpoint *E = drawFrom(Pools, Q.Excluded_);
    if (E && (!Best || E->Pool_->cost(*E) < Best->Pool_->cost(*Best)))
      Best = E;
  }
  return Best;
}

// With every place taken: selects an endpoint at which an attempt may wait.
PooledEndpoint *
Chooser::State::chooseWaiting(const std::vector<EndpointPool *> &Pools,
                              const Query &Q, TimePoint Now) {
  PooledEndpoint *Best = nullptr;
  for (EndpointPool *P : Pools) {
    if (P->isFull())
      continue;
    for (std::size_t I = 0; I < SampleSize; ++I) {
      PooledEndpoint *E = P->drawForWaiting(Rng_, Q.Excluded_, Now);
      if (E && (!Best || P->cost(*E) < Best->Pool_->cost(*Best)))
        Best = E;
    }
  }
  return Best;
}

// Tries the own zone's pools, then the others': first pools with spare capacity
// even if the estimate is slightly wrong, then pools with any free place, and
// last an endpoint of the own zone at which the attempt may wait.
PooledEndpoint *Chooser::State::pick(Group &G, const Query &Q, TimePoint Now) {
  auto Own = matching(G, Q, ZoneScope::OwnZone);
  auto Others = matching(G, Q, ZoneScope::OtherZones);
  for (auto *Pools : {&Own, &Others})
    for (EndpointPool *P : *Pools)
      P->refreshSome(G.Limit_, Now);
  for (auto *Pools : {&Own, &Others}) {
    auto Roomy = *Pools;
    std::erase_if(Roomy,
                  [](const EndpointPool *P) { return !P->hasSpareCapacity(); });
    PooledEndpoint *E = chooseFrom(Roomy, Q);
    // A healthy endpoint in another zone is better than a slow or failing one.
    if (E && E->Pool_->isHealthy(*E))
      return E;
  }
  for (auto *Pools : {&Own, &Others})
    if (PooledEndpoint *E = chooseFrom(*Pools, Q))
      return E;
  return chooseWaiting(Own, Q, Now);
}

PooledEndpoint *Chooser::State::dueProbe(Group &G, const Query &Q,
                                         TimePoint Now) const {
  for (ZoneScope W : {ZoneScope::OwnZone, ZoneScope::OtherZones})
    for (const EndpointPool *P : matching(G, Q, W))
      if (PooledEndpoint *E = P->dueProbe(Now))
        return E;
  return nullptr;
}

std::optional<Vm> Chooser::choose(const Query &Q, TimePoint Now) {
  Group *G = State_->groupOf(Q.Service_);
  if (!G)
    return std::nullopt;
  State_->setLimit(*G, Q.InFlightLimit_, Now);
  PooledEndpoint *E = nullptr;
  // A request that has already failed once is not used as a probe.
  if (Q.Excluded_.empty())
    E = State_->dueProbe(*G, Q, Now);
  if (!E)
    E = State_->pick(*G, Q, Now);
  return E ? std::optional(E->Status_.Vm_) : std::nullopt;
}

bool Chooser::hasRoom(const Query &Q, TimePoint Now) const {
  Group *G = State_->groupOf(Q.Service_);
  if (!G)
    return false;
  State_->setLimit(*G, Q.InFlightLimit_, Now);
  return State_->pick(*G, Q, Now) != nullptr;
}

std::size_t Chooser::readyCount(const ServiceName &Service) const {
  Group *G = State_->groupOf(Service);
  return G ? G->Ready_ : 0;
}

Chooser::Room Chooser::room(const ServiceName &Service,
                            std::size_t InFlightLimit) const {
  Group *G = State_->groupOf(Service);
  if (!G)
    return {};
  State_->setLimit(*G, InFlightLimit, State_->Latest_);
  double Places = 0;
  double Taken = 0;
  for (const auto &P : G->Pools_) {
    Places += P->places();
    Taken += P->taken();
  }
  return {.Places_ = static_cast<std::size_t>(Places + 0.5),
          .Taken_ = static_cast<std::size_t>(std::max(0.0, Taken) + 0.5)};
}

void Chooser::dispatched(const Vm &V, TimePoint Now) {
  PooledEndpoint *E = State_->Directory_.find(V);
  if (!E)
    return;
  E->Load_.dispatched(Now);
  if (E->Health_.mayProbe(Now))
    E->Health_.Probing_ = true;
  State_->refresh(*E, Now);
}

void Chooser::firstByte(const Vm &V, Duration Latency, TimePoint Now) {
  if (PooledEndpoint *E = State_->Directory_.find(V))
    EndpointPool::noteFirstByte(*E, Latency, Now);
}

void Chooser::finished(const Vm &V, Result R, TimePoint Now) {
  PooledEndpoint *E = State_->Directory_.find(V);
  if (!E || E->Load_.own() == 0)
    return;
  E->Load_.finished(Now);
  if (E->Gone_ && E->Load_.own() == 0) {
    State_->Directory_.noteGone(*E);
    return;
  }
  if (!E->Pool_)
    return;
  Group &G = State_->Groups_[E->Status_.Service_];
  switch (R) {
  case Result::Answered:
    G.Outliers_.answered(E->Health_, Now);
    E->Pool_->noteAnswered();
    break;
  case Result::Failed:
    G.Outliers_.failed(E->Health_, G.Ready_, Now);
    break;
  case Result::Refused:
    E->BusyUntil_ = Now + RefusalBackoff;
    E->Pool_->noteRefused();
    G.Outliers_.inconclusive(E->Health_);
    break;
  case Result::Cancelled:
    G.Outliers_.inconclusive(E->Health_);
    break;
  }
  State_->refresh(*E, Now);
}

const EndpointStatus *Chooser::find(const Vm &V) const {
  const PooledEndpoint *E = State_->Directory_.find(V);
  return E && !E->Gone_ ? &E->Status_ : nullptr;
}

std::vector<EndpointStatus> Chooser::all() const {
  std::vector<EndpointStatus> Out;
  for (const auto &E : State_->Directory_.slots())
    if (E && !E->Gone_)
      Out.push_back(E->Status_);
  return Out;
}

bool Chooser::isEjected(const Vm &V, TimePoint) const {
  const PooledEndpoint *E = State_->Directory_.find(V);
  return E && E->Health_.Ejected_;
}

} // namespace hawthornroad
