#include "hawthornroad/traffic/Endpoint.h"

#include <algorithm>
#include <set>

namespace hawthornroad {

bool Endpoint::isOlderThan(const Endpoint &Other) const {
  return RowVersion_ == 0 || Other.RowVersion_ == 0
             ? Born_ < Other.Born_
             : RowVersion_ < Other.RowVersion_;
}

bool Endpoint::statesSame(const Endpoint &Other) const {
  Endpoint Copy = Other;
  Copy.RowVersion_ = RowVersion_;
  return *this == Copy;
}

bool EndpointSet::isWithinGrace(TimePoint Now) const {
  return StoreLost_ || (RestoredAt_ && Now < *RestoredAt_ + RestoreGrace);
}

void EndpointSet::listed(const std::vector<Endpoint> &All, TimePoint Now) {
  std::set<EndpointId> Present;
  for (const Endpoint &E : All) {
    Present.insert(E.Id_);
    changed(E, Now);
  }
  std::vector<EndpointId> Missing;
  for (const auto &[Id, Each] : Entries_)
    if (!Present.contains(Id))
      Missing.push_back(Id);
  removed(Missing, Now);
}

// An address has one owner: a lapsed entry with the same address is removed.
void EndpointSet::changed(const Endpoint &E, TimePoint Now) {
  auto Known = Entries_.find(E.Id_);
  if (Known != Entries_.end() && E.isOlderThan(Known->second.Endpoint_))
    return;
  std::erase_if(Entries_, [&](const auto &Each) {
    return Each.first != E.Id_ && Each.second.IsLapsed_ &&
           Each.second.Endpoint_.Address_ == E.Address_;
  });
  TimePoint ListedAt = Known != Entries_.end() ? Known->second.ListedAt_ : Now;
  Entries_[E.Id_] = {E, false, Now, ListedAt};
}

void EndpointSet::removed(const std::vector<EndpointId> &Ids, TimePoint Now) {
  std::map<ServiceName, std::size_t> Counts;
  for (const auto &[Id, Each] : Entries_)
    ++Counts[Each.Endpoint_.Service_];
  std::map<ServiceName, std::size_t> Removed;
  for (const EndpointId &Id : Ids)
    if (const Endpoint *E = find(Id))
      ++Removed[E->Service_];
  for (const EndpointId &Id : Ids) {
    auto Found = Entries_.find(Id);
    if (Found == Entries_.end())
      continue;
    const Endpoint &E = Found->second.Endpoint_;
    bool IsMajority = 2 * Removed[E.Service_] >= Counts[E.Service_];
    // A draining endpoint has left; its entry did not lapse.
    if (isWithinGrace(Now) && IsMajority && !E.IsDraining_)
      Found->second.IsLapsed_ = true;
    else
      Entries_.erase(Found);
  }
}

bool EndpointSet::refused(const EndpointId &Id) {
  auto Found = Entries_.find(Id);
  if (Found == Entries_.end() || !Found->second.IsLapsed_)
    return false;
  Entries_.erase(Found);
  return true;
}

void EndpointSet::storeLost(TimePoint Now) {
  StoreLost_ = true;
  RestoredAt_.reset();
}

void EndpointSet::storeRestored(TimePoint Now) {
  if (!StoreLost_)
    return;
  StoreLost_ = false;
  RestoredAt_ = Now;
}

bool EndpointSet::tick(TimePoint Now) {
  if (isWithinGrace(Now))
    return false;
  return std::erase_if(Entries_, [](const auto &Each) {
           return Each.second.IsLapsed_;
         }) > 0;
}

std::vector<const Endpoint *>
EndpointSet::of(const ServiceName &Service) const {
  std::vector<const Endpoint *> Out;
  for (const auto &[Id, Each] : Entries_)
    if (Each.Endpoint_.Service_ == Service && !Each.Endpoint_.IsDraining_)
      Out.push_back(&Each.Endpoint_);
  return Out;
}

bool EndpointSet::hasEnded(const EndpointUse &U) const {
  if (const Endpoint *E = find(U.Id_))
    return E->Born_ != U.Born_;
  return std::any_of(Entries_.begin(), Entries_.end(), [&](const auto &Each) {
    return Each.second.Endpoint_.Address_ == U.Address_ &&
           Each.second.ListedAt_ > U.At_;
  });
}

const Endpoint *EndpointSet::find(const EndpointId &Id) const {
  auto Found = Entries_.find(Id);
  return Found == Entries_.end() ? nullptr : &Found->second.Endpoint_;
}

} // namespace hawthornroad
