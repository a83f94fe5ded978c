#include "hawthornroad/traffic/Endpoint.h"

#include <set>

namespace hawthornroad {

bool EndpointSet::isExcused(TimePoint Now) const {
  return StoreAway_ || (BackAt_ && Now < *BackAt_ + ReturnGrace);
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
  for (const EndpointId &Id : Missing)
    removed(Id, Now);
}

// An address has one owner: an older entry with the same address is gone.
void EndpointSet::changed(const Endpoint &E, TimePoint Now) {
  std::erase_if(Entries_, [&](const auto &Each) {
    return Each.first != E.Id_ && Each.second.IsLapsed_ &&
           Each.second.Endpoint_.Address_ == E.Address_;
  });
  Entries_[E.Id_] = {E};
}

void EndpointSet::removed(const EndpointId &Id, TimePoint Now) {
  auto Found = Entries_.find(Id);
  if (Found == Entries_.end())
    return;
  // One that had said it leaves has not lapsed, it has left.
  if (!isExcused(Now) || Found->second.Endpoint_.IsDraining_) {
    Entries_.erase(Found);
    return;
  }
  Found->second.IsLapsed_ = true;
  if (!StoreAway_)
    Found->second.Until_ = Now + LateGrace;
}

bool EndpointSet::refused(const EndpointId &Id) {
  auto Found = Entries_.find(Id);
  if (Found == Entries_.end() || !Found->second.IsLapsed_)
    return false;
  Entries_.erase(Found);
  return true;
}

bool EndpointSet::isOver(const Entry &E, TimePoint Now) const {
  if (!E.IsLapsed_)
    return false;
  return !isExcused(Now) || (E.Until_ && Now >= *E.Until_);
}

void EndpointSet::storeLost(TimePoint Now) {
  StoreAway_ = true;
  BackAt_.reset();
}

void EndpointSet::storeBack(TimePoint Now) {
  if (!StoreAway_)
    return;
  StoreAway_ = false;
  BackAt_ = Now;
}

bool EndpointSet::tick(TimePoint Now) {
  return std::erase_if(Entries_, [&](const auto &Each) {
           return isOver(Each.second, Now);
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

const Endpoint *EndpointSet::find(const EndpointId &Id) const {
  auto Found = Entries_.find(Id);
  return Found == Entries_.end() ? nullptr : &Found->second.Endpoint_;
}

} // namespace hawthornroad
