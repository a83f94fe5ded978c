#include "hawthornroad/routing/EndpointPool.h"

#include <algorithm>
#include <cmath>

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
// The share of places beyond them that an entry with little in progress may
// use; agents let a quarter wait.
constexpr double WaitingPlaces = 0.2;
// A prefix's endpoint is passed over beyond this multiple of the mean load.
constexpr double AffinityBound = 1.0;
// First bytes that are enough to judge by, that count, and for how long.
constexpr std::size_t FairFirstBytes = 4;
constexpr std::size_t FirstBytesKept = 16;
constexpr Duration FirstByteFor = Seconds(10);
// Bounds the trust in a reported token time.
constexpr double MostSlowness = 8.0;
// An endpoint counts as slow beyond what more load than its peers explains.
constexpr double SlowFrom = 1.6;
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

// What the agent reports; an endpoint whose agent reports no time is judged by
// the first bytes that came from it lately. Old ones do not count: an endpoint
// shunned for being slow sends none, and would be shunned for ever.
double EndpointPool::stepMs(const PooledEndpoint &E, TimePoint Now) {
  if (E.Status_.StepMs_ > 0)
    return E.Status_.StepMs_;
  if (E.FirstBytes_ < FairFirstBytes || Now - E.FirstByteAt_ > FirstByteFor)
    return 0;
  return E.FirstByteMs_;
}

void EndpointPool::noteFirstByte(PooledEndpoint &E, Duration Latency,
                                 TimePoint Now) {
  if (Now - E.FirstByteAt_ > FirstByteFor)
    E.FirstBytes_ = 0;
  E.FirstBytes_ = std::min(E.FirstBytes_ + 1, FirstBytesKept);
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
  // It has just refused: whatever reports say, it is full and more.
  if (Now < E.BusyUntil_)
    E.PooledLatest_ = std::max(E.PooledLatest_,
                               E.Places_ * (1 + WaitingPlaces) - E.PooledOwn_);
  E.PooledStepMs_ = stepMs(E, Now);
  E.Taken_ = E.Load_.total(Now, typicalOthers());
  // An ejected endpoint has no places to give; counted, they would make a pool
  // look roomy whose other members are full.
  if (E.Health_.Ejected_)
    E.Places_ = E.Taken_ = E.PooledLatest_ = 0;
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

// Beyond all its places, for two reasons. By late reports a pool is as often
// emptier as fuller than it seems, and to wait at the entry for a place that is
// free costs more than to wait in an engine for one that is not. And entries
// that fill each place they see come free keep what they have, so that one with
// little sees none free for as long as the overload lasts: its callers are
// refused while its neighbours' are served. So the less of the load is its own,
// the further an entry may go; the others then see the pool as full and give
// way until shares are about even.
bool EndpointPool::isFull() const {
  if (!Window_.allows(Own_))
    return true;
  double Load = inProgress();
  double OthersShare = Load > 0 ? 1 - Own_ / Load : 0;
  return Load + LeastFreePlace > Places_ * (1 + WaitingPlaces * OthersShare);
}

// What others have in progress now differs from what they had when the reports
// were made by about the root of it, as independent arrivals and ends make it.
bool EndpointPool::isRoomy() const {
  double Margin = std::sqrt(std::max(0.0, Latest_));
  return inProgress() + Margin + 1 <= Places_;
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
    if (slowness(*E) > 1)
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

double EndpointPool::slowness(const PooledEndpoint &E) const {
  if (E.PooledStepMs_ <= 0 || Steps_ < 2)
    return 1;
  double Peers = (StepMs_ - E.PooledStepMs_) / static_cast<double>(Steps_ - 1);
  double Ratio = E.PooledStepMs_ / Peers;
  return Ratio > SlowFrom ? std::min(Ratio, MostSlowness) : 1;
}

double EndpointPool::cost(const PooledEndpoint &E) const {
  return (1 + E.Taken_ / E.Places_) * slowness(E);
}

} // namespace hawthornroad
