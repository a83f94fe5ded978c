#include "hawthornroad/traffic/EndpointHolds.h"

namespace hawthornroad {

// Null when the memory is full.
EndpointHolds::Hold *EndpointHolds::entryFor(const EndpointStart &E) {
  if (Known_.size() >= MaxKnown && !Known_.contains(E))
    return nullptr;
  return &Known_[E];
}

bool EndpointHolds::rest(const EndpointStart &E, TimePoint Until) {
  Hold *H = entryFor(E);
  if (H == nullptr || (H->RestsUntil_ && *H->RestsUntil_ >= Until))
    return false;
  H->RestsUntil_ = Until;
  return true;
}

bool EndpointHolds::leave(const EndpointStart &E, TimePoint Now) {
  Hold *H = entryFor(E);
  if (H == nullptr || H->LeavingSince_)
    return false;
  H->LeavingSince_ = Now;
  return true;
}

TimePoint EndpointHolds::restsUntil(const EndpointStart &E) const {
  auto Found = Known_.find(E);
  return Found == Known_.end()
             ? TimePoint()
             : Found->second.RestsUntil_.value_or(TimePoint());
}

bool EndpointHolds::isLeaving(const EndpointStart &E) const {
  auto Found = Known_.find(E);
  return Found != Known_.end() && Found->second.LeavingSince_;
}

std::vector<EndpointStart> EndpointHolds::takeEnded(TimePoint Now) {
  std::vector<EndpointStart> Ended;
  for (auto &[E, H] : Known_) {
    if (H.RestsUntil_ && *H.RestsUntil_ <= Now) {
      Ended.push_back(E);
      H.RestsUntil_.reset();
    }
    if (H.LeavingSince_ && Now - *H.LeavingSince_ >= LeavingMemory)
      H.LeavingSince_.reset();
  }
  std::erase_if(Known_, [](const auto &Each) {
    return !Each.second.RestsUntil_ && !Each.second.LeavingSince_;
  });
  return Ended;
}

} // namespace hawthornroad
