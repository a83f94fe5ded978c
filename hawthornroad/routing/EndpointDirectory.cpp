#include "hawthornroad/routing/EndpointDirectory.h"

#include "hawthornroad/base/Hash.h"

namespace hawthornroad {

PooledEndpoint *EndpointDirectory::find(const Vm &V) const {
  auto Found = ByVm_.find(V);
  return Found == ByVm_.end() ? nullptr : Slots_[Found->second].get();
}

PooledEndpoint &EndpointDirectory::obtain(const Vm &V) {
  if (PooledEndpoint *E = find(V))
    return *E;
  std::size_t Slot = Slots_.size();
  if (FreeSlots_.empty()) {
    Slots_.push_back(nullptr);
  } else {
    Slot = FreeSlots_.back();
    FreeSlots_.pop_back();
  }
  Slots_[Slot] = std::make_unique<PooledEndpoint>();
  ByVm_[V] = Slot;
  PooledEndpoint &E = *Slots_[Slot];
  E.Slot_ = Slot;
  E.NameHash_ = rendezvousScore(V.str(), "");
  return E;
}

void EndpointDirectory::noteGone(const PooledEndpoint &E) {
  Gone_.push_back(E.Status_.Vm_);
  while (Gone_.size() > MaxGone) {
    Vm Oldest = std::move(Gone_.front());
    Gone_.pop_front();
    forget(Oldest);
  }
}

void EndpointDirectory::forget(const Vm &V) {
  PooledEndpoint *E = find(V);
  // It may have returned, or gone again with own attempts in progress.
  if (!E || !E->Gone_ || E->Load_.own() > 0)
    return;
  std::size_t Slot = E->Slot_;
  Slots_[Slot].reset();
  FreeSlots_.push_back(Slot);
  ByVm_.erase(V);
}

} // namespace hawthornroad
