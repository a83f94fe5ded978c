#include "hawthornroad/routing/EndpointPool.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// Members looked at for one that is not excluded.
constexpr std::size_t MostLooks = 16;
// Members refreshed with each choice, and when none is open.
constexpr std::size_t RefreshedEach = 3;
constexpr std::size_t RefreshedWhenFull = 32;
// A place counts as free when the estimate, which is fractional, leaves most
// of one.
constexpr double LeastFreePlace = 0.5;
// A pool with more than this share of its places taken may in truth be full:
// reports are seconds old.
constexpr double RoomyShare = 0.9;
// The share of places beyond them that may be used by entries with little in
// progress; agents let a quarter wait.
constexpr double WaitingPlaces = 0.2;
// A prefix's endpoint is passed over beyond this multiple of the mean load.
constexpr double AffinityBound = 1.25;
// Bounds the trust in a reported token time.
constexpr double LeastSlowness = 0.5;
constexpr double MostSlowness = 8.0;
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
  E.PooledStepMs_ = std::max(0.0F, E.Status_.StepMs_);
  E.Taken_ = E.Load_.total(Now, typicalOthers());
  addSums(E, 1);
  noteEjection(E);
  bool HasPlace = E.Taken_ + LeastFreePlace <= E.Places_;
  setOpen(E, HasPlace && !E.Health_.Ejected_ && Now >= E.BusyUntil_);
}

void EndpointPool::refreshAll(std::size_t Limit, TimePoint Now) {
  // A copy: refresh() moves members.
  for (PooledEndpoint *E : std::vector<PooledEndpoint *>(Members_))
    refresh(*E, Limit, Now);
}

void EndpointPool::refreshSome(std::size_t Limit, TimePoint Now) {
  std::size_t Count = Open_ > 0 ? RefreshedEach : RefreshedWhenFull;
  Count = std::min(Count, Members_.size());
  for (std::size_t I = 0; I < Count; ++I) {
    Cursor_ = (Cursor_ + 1) % Members_.size();
    refresh(*Members_[Cursor_], Limit, Now);
  }
}

double EndpointPool::inProgress() const {
  return Own_ + std::max(0.0, Latest_);
}

bool EndpointPool::isFull() const {
  return !Window_.allows(Own_) || inProgress() + LeastFreePlace > Places_;
}

bool EndpointPool::isRoomy() const {
  return inProgress() + 1 <= RoomyShare * Places_;
}

// Entries that fill each place they see come free keep what they have, and one
// that has little sees no place free for as long as the overload lasts: its
// callers are refused while those of its neighbours are served. So the less of
// the load is its own, the further an entry may go beyond the places; the
// others then see the pool as full and give way until shares are even.
bool EndpointPool::hasSlack() const {
  if (!Window_.allows(Own_))
    return false;
  double Load = inProgress();
  double OwnShare = Load > 0 ? Own_ / Load : 1;
  return Load + 1 <= Places_ * (1 + WaitingPlaces * (1 - OwnShare));
}

PooledEndpoint *EndpointPool::drawFull(Random &Rng,
                                       const std::set<Vm> &Excluded,
                                       TimePoint Now) const {
  std::size_t At = Rng.below(Members_.size());
  for (std::size_t I = 0; I < std::min(Members_.size(), MostLooks); ++I) {
    PooledEndpoint *E = Members_[(At + I) % Members_.size()];
    if (E->Health_.Ejected_ || Now < E->BusyUntil_)
      continue;
    // Never more than the declared places for one entry alone.
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
  for (std::size_t I = 0; I < std::min(Open_, MostLooks); ++I) {
    PooledEndpoint *E = Members_[(At + I) % Open_];
    if (Excluded.empty() || !Excluded.contains(E->Status_.Vm_))
      return E;
  }
  return nullptr;
}

PooledEndpoint *EndpointPool::holder(std::uint64_t PrefixHash,
                                     const std::set<Vm> &Excluded) const {
  if (open() == 0)
    return nullptr;
  const double MeanUse = Places_ > 0 ? Taken_ / Places_ : 0;
  PrefixAffinity::Candidates C = Affinity_.candidates(PrefixHash);
  for (std::size_t I = 0; I < C.Count_; ++I) {
    PooledEndpoint *E = Slots_[C.Handles_[I]].get();
    if (E->Position_ >= Open_ || Excluded.contains(E->Status_.Vm_))
      continue;
    if (E->Taken_ <= AffinityBound * MeanUse * E->Places_ + 1)
      return E;
  }
  return nullptr;
}

PooledEndpoint *EndpointPool::firstEjected() const {
  return Ejected_.empty() ? nullptr : Slots_[Ejected_.begin()->Slot_].get();
}

// Own attempts still running there began before the ejection: with none, the
// next one to end is the probe.
PooledEndpoint *EndpointPool::dueProbe(TimePoint Now) const {
  std::size_t Looks = 0;
  for (const Due &D : Ejected_) {
    if (D.Until_ > Now || ++Looks > MostLooks)
      return nullptr;
    PooledEndpoint *E = Slots_[D.Slot_].get();
    if (E->Health_.mayProbe(Now) && E->Load_.own() == 0)
      return E;
  }
  return nullptr;
}

double EndpointPool::cost(const PooledEndpoint &E) const {
  double Slowness = 1;
  if (E.PooledStepMs_ > 0 && Steps_ > 0) {
    double Mean = StepMs_ / static_cast<double>(Steps_);
    Slowness = std::clamp(E.PooledStepMs_ / Mean, LeastSlowness, MostSlowness);
  }
  return (E.Taken_ + 1) / E.Places_ * Slowness;
}

} // namespace hawthornroad
