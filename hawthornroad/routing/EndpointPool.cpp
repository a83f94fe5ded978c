#include "hawthornroad/routing/EndpointPool.h"

#include <algorithm>
#include <cmath>

namespace hawthornroad {

namespace {
// Members scanned to find one that is not excluded.
constexpr std::size_t MaxScanned = 16;
// Members refreshed per choice, and per choice when none is open.
constexpr std::size_t RefreshedPerChoice = 3;
constexpr std::size_t RefreshedWhenFull = 32;
// The estimate is fractional: a place counts as free when at least this part of
// it is.
constexpr double MinFreePlace = 0.5;
// The share of places beyond the pool's capacity that an entry with few
// attempts in progress may use; agents let a quarter of the capacity wait.
constexpr double MaxWaitingShare = 0.2;
// A prefix's endpoint is skipped above this multiple of the mean load.
constexpr double AffinityLoadBound = 1.0;
// First-byte times needed for a judgement, averaged over at most, and how long
// they remain valid.
constexpr std::size_t MinFirstBytes = 4;
constexpr std::size_t MaxFirstBytes = 16;
constexpr Duration FirstByteValidity = Seconds(10);
// Limits the effect of a reported step time.
constexpr double MaxSlowness = 8.0;
// An endpoint costs more to choose when its recent failure rate exceeds this.
constexpr double FailureRateThreshold = 0.3;
constexpr double FailureCost = 8.0;
// An endpoint counts as slow above this ratio to its peers, which a higher load
// does not explain.
constexpr double SlownessThreshold = 1.6;
} // namespace

EndpointPool::EndpointPool(const EndpointSlots &Slots, AvailabilityZone Zone,
                           VersionDigest Version)
    : Slots_(Slots), Zone_(std::move(Zone)), Version_(std::move(Version)) {}

double EndpointPool::typicalOthers() const {
  return Members_.empty() ? 0 : Others_ / static_cast<double>(Members_.size());
}

void EndpointPool::swapMembers(std::size_t A, std::size_t B) {
  std::swap(Members_[A], Members_[B]);
  Members_[A]->Position_ = A;
  Members_[B]->Position_ = B;
}

void EndpointPool::setOpen(PooledEndpoint &E, bool IsOpen) {
  const bool WasOpen = E.Position_ < Open_;
  if (IsOpen == WasOpen)
    return;
  if (IsOpen)
    swapMembers(E.Position_, Open_++);
  else
    swapMembers(E.Position_, --Open_);
}

void EndpointPool::addSums(const PooledEndpoint &E, double Sign) {
  Places_ += Sign * E.Places_;
  Taken_ += Sign * std::min(E.Taken_, E.Places_);
  Own_ += Sign * E.PooledOwn_;
  Others_ += Sign * E.PooledOthers_;
  Latest_ += Sign * E.PooledLatest_;
  StepMs_ += Sign * E.PooledStepMs_;
  if (E.PooledStepMs_ > 0)
    Steps_ += Sign > 0 ? 1 : -1;
}

void EndpointPool::add(PooledEndpoint &E, std::size_t Limit, TimePoint Now) {
  E.Pool_ = this;
  E.Position_ = Members_.size();
  E.Places_ = E.Taken_ = E.PooledStepMs_ = 0;
  E.PooledOwn_ = E.PooledOthers_ = E.PooledLatest_ = 0;
  Members_.push_back(&E);
  Affinity_.add({E.NameHash_, E.Slot_});
  refresh(E, Limit, Now);
}

void EndpointPool::remove(PooledEndpoint &E) {
  addSums(E, -1);
  setOpen(E, false);
  swapMembers(E.Position_, Members_.size() - 1);
  Members_.pop_back();
  Affinity_.remove({E.NameHash_, E.Slot_});
  if (E.Due_)
    Ejected_.erase({*E.Due_, E.Slot_});
  E.Due_.reset();
  E.Pool_ = nullptr;
}

void EndpointPool::noteEjection(PooledEndpoint &E) {
  std::optional<TimePoint> Due;
  if (E.Health_.Ejected_)
    Due = E.Health_.Until_;
  if (Due == E.Due_)
    return;
  if (E.Due_)
    Ejected_.erase({*E.Due_, E.Slot_});
  if (Due)
    Ejected_.insert({*Due, E.Slot_});
  E.Due_ = Due;
}

// The step time that the agent reports, or else the recent time to the first
// byte. Old measurements do not count: an endpoint that is avoided for being
// slow yields no new ones and would be avoided forever.
double EndpointPool::stepMs(const PooledEndpoint &E, TimePoint Now) {
  if (E.Status_.StepMs_ > 0)
    return E.Status_.StepMs_;
  if (E.FirstBytes_ < MinFirstBytes || Now - E.FirstByteAt_ > FirstByteValidity)
    return 0;
  return E.FirstByteMs_;
}

void EndpointPool::noteFirstByte(PooledEndpoint &E, Duration Latency,
                                 TimePoint Now) {
  if (Now - E.FirstByteAt_ > FirstByteValidity)
    E.FirstBytes_ = 0;
  E.FirstBytes_ = std::min(E.FirstBytes_ + 1, MaxFirstBytes);
  E.FirstByteAt_ = Now;
  double Ms = std::chrono::duration<double, std::milli>(Latency).count();
  E.FirstByteMs_ += (Ms - E.FirstByteMs_) / static_cast<double>(E.FirstBytes_);
}

void EndpointPool::refresh(PooledEndpoint &E, std::size_t Limit,
                           TimePoint Now) {
  addSums(E, -1);
  std::size_t Places = std::max<std::size_t>(Limit, 1);
  if (E.Status_.Capacity_ > 0)
    Places = std::min<std::size_t>(Places, E.Status_.Capacity_);
  E.Places_ = static_cast<double>(Places);
  E.PooledOwn_ = static_cast<double>(E.Load_.own());
  E.PooledOthers_ = E.Load_.reportedOthers();
  E.PooledLatest_ = E.Load_.latestOthers();
  // After a recent refusal it counts as overloaded, whatever reports say.
  if (Now < E.BusyUntil_)
    E.PooledLatest_ = std::max(
        E.PooledLatest_, E.Places_ * (1 + MaxWaitingShare) - E.PooledOwn_);
  E.PooledStepMs_ = stepMs(E, Now);
  E.Taken_ = E.Load_.total(Now, typicalOthers());
  // The places of an ejected endpoint are not available; counting them would
  // make a pool appear to have spare capacity when its other members are full.
  if (E.Health_.Ejected_)
    E.Places_ = E.Taken_ = E.PooledLatest_ = 0;
  addSums(E, 1);
  noteEjection(E);
  bool HasPlace = E.Taken_ + MinFreePlace <= E.Places_;
  setOpen(E, HasPlace && !E.Health_.Ejected_ && Now >= E.BusyUntil_);
}

void EndpointPool::refreshAll(std::size_t Limit, TimePoint Now) {
  // A copy: refresh() moves members.
  for (PooledEndpoint *E : std::vector<PooledEndpoint *>(Members_))
    refresh(*E, Limit, Now);
}

void EndpointPool::refreshSome(std::size_t Limit, TimePoint Now) {
  std::size_t Count = Open_ > 0 ? RefreshedPerChoice : RefreshedWhenFull;
  Count = std::min(Count, Members_.size());
  for (std::size_t I = 0; I < Count; ++I) {
    Cursor_ = (Cursor_ + 1) % Members_.size();
    refresh(*Members_[Cursor_], Limit, Now);
  }
}

double EndpointPool::inProgress() const {
  return Own_ + std::max(0.0, Latest_);
}

// The limit exceeds the pool's places, for two reasons. First, as reports are
// late, a pool is emptier than estimated as often as it is fuller, and waiting
// at the entry for a place that is free costs more than waiting in an engine
// for one that is not. Second, entries that fill each place as it is freed keep
// their share, so an entry with a small share sees no free place for as long as
// the overload lasts: its callers are refused while those of other entries are
// served. Therefore the smaller an entry's own part of the load, the further it
// may exceed the places; the other entries then see the pool as full and reduce
// their load until shares are about even.
bool EndpointPool::isFull() const {
  if (!Window_.allows(Own_))
    return true;
  double Load = inProgress();
  double OthersShare = Load > 0 ? 1 - Own_ / Load : 0;
  return Load + MinFreePlace > Places_ * (1 + MaxWaitingShare * OthersShare);
}

// With independent arrivals and completions, the other entries' attempts in
// progress have changed since the reports by about the square root of their
// number.
bool EndpointPool::hasSpareCapacity() const {
  double Margin = std::sqrt(std::max(0.0, Latest_));
  return inProgress() + Margin + 1 <= Places_;
}

PooledEndpoint *EndpointPool::drawForWaiting(Random &Rng,
                                             const std::set<Vm> &Excluded,
                                             TimePoint Now) const {
  std::size_t At = Rng.below(Members_.size());
  for (std::size_t I = 0; I < std::min(Members_.size(), MaxScanned); ++I) {
    PooledEndpoint *E = Members_[(At + I) % Members_.size()];
    if (E->Health_.Ejected_ || Now < E->BusyUntil_)
      continue;
    // One entry alone never exceeds the declared places.
    if (E->PooledOwn_ + 1 > E->Places_)
      continue;
    if (!Excluded.contains(E->Status_.Vm_))
      return E;
  }
  return nullptr;
}

PooledEndpoint *EndpointPool::draw(Random &Rng,
                                   const std::set<Vm> &Excluded) const {
  if (open() == 0)
    return nullptr;
  std::size_t At = Rng.below(Open_);
  for (std::size_t I = 0; I < std::min(Open_, MaxScanned); ++I) {
    PooledEndpoint *E = Members_[(At + I) % Open_];
    if (Excluded.empty() || !Excluded.contains(E->Status_.Vm_))
      return E;
  }
  return nullptr;
}

PooledEndpoint *
EndpointPool::affinityEndpoint(std::uint64_t PrefixHash,
                               const std::set<Vm> &Excluded) const {
  if (open() == 0)
    return nullptr;
  const double MeanUse = Places_ > 0 ? Taken_ / Places_ : 0;
  PrefixAffinity::Candidates C = Affinity_.candidates(PrefixHash);
  for (std::size_t I = 0; I < C.Count_; ++I) {
    PooledEndpoint *E = Slots_[C.Handles_[I]].get();
    if (E->Position_ >= Open_ || Excluded.contains(E->Status_.Vm_))
      continue;
    if (!isHealthy(*E))
      continue;
    if (E->Taken_ <= AffinityLoadBound * MeanUse * E->Places_ + 1)
      return E;
  }
  return nullptr;
}

PooledEndpoint *EndpointPool::firstEjected() const {
  return Ejected_.empty() ? nullptr : Slots_[Ejected_.begin()->Slot_].get();
}

// Own attempts still in progress there began before the ejection. Only when
// there are none is the next attempt to end certain to be the probe.
PooledEndpoint *EndpointPool::dueProbe(TimePoint Now) const {
  std::size_t Scanned = 0;
  for (const Due &D : Ejected_) {
    if (D.Until_ > Now || ++Scanned > MaxScanned)
      return nullptr;
    PooledEndpoint *E = Slots_[D.Slot_].get();
    if (E->Health_.mayProbe(Now) && E->Load_.own() == 0)
      return E;
  }
  return nullptr;
}

// Endpoints that fail fast always have free places, and when most of them fail,
// none is an outlier: without a penalty the failing ones, as the least loaded,
// would receive every request. Failure counts decay, so an avoided endpoint is
// eventually tried again.
double EndpointPool::failurePenalty(const PooledEndpoint &E) {
  const OutlierEjection::Tally &T = E.Health_.Tally_;
  double Rate = T.Failed_ / (T.Answered_ + T.Failed_ + 1);
  return Rate > FailureRateThreshold ? 1 + FailureCost * Rate : 1;
}

double EndpointPool::slowness(const PooledEndpoint &E) const {
  if (E.PooledStepMs_ <= 0 || Steps_ < 2)
    return 1;
  double Peers = (StepMs_ - E.PooledStepMs_) / static_cast<double>(Steps_ - 1);
  double Ratio = E.PooledStepMs_ / Peers;
  return Ratio > SlownessThreshold ? std::min(Ratio, MaxSlowness) : 1;
}

double EndpointPool::cost(const PooledEndpoint &E) const {
  return (1 + E.Taken_ / E.Places_) * slowness(E) * failurePenalty(E);
}

} // namespace hawthornroad
