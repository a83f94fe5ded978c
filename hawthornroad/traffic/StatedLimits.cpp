#include "hawthornroad/traffic/StatedLimits.h"

#include <algorithm>

namespace hawthornroad {

namespace {
bool permitsMore(const LimitStatement &A, const LimitStatement &B) {
  if (!B.PerSecond_)
    return false;
  return !A.PerSecond_ || *A.PerSecond_ > *B.PerSecond_;
}
} // namespace

bool StatedLimits::note(const EndpointStart &E, const LimitStatement &S) {
  auto Found = Known_.find(E);
  if (Found == Known_.end()) {
    if (!S.PerSecond_)
      return false;
    if (Known_.size() >= MaxKnown)
      evictOldest();
    Known_.emplace(E, S);
    return true;
  }
  LimitStatement &Held = Found->second;
  if (S.PerSecond_ == Held.PerSecond_) {
    Held.Begun_ = std::max(Held.Begun_, S.Begun_);
    Held.At_ = std::max(Held.At_, S.At_);
    return false;
  }
  bool Replaces =
      permitsMore(S, Held) ? S.Begun_ >= Held.At_ : S.At_ > Held.Begun_;
  if (Replaces)
    Held = S;
  return Replaces;
}

const LimitStatement *StatedLimits::find(const EndpointStart &E) const {
  const LimitStatement *S = last(E);
  return S != nullptr && S->PerSecond_ ? S : nullptr;
}

const LimitStatement *StatedLimits::last(const EndpointStart &E) const {
  auto Found = Known_.find(E);
  return Found == Known_.end() ? nullptr : &Found->second;
}

std::size_t StatedLimits::inForce() const {
  return static_cast<std::size_t>(
      std::count_if(Known_.begin(), Known_.end(), [](const auto &Each) {
        return Each.second.PerSecond_.has_value();
      }));
}

void StatedLimits::evictOldest() {
  auto Oldest = std::min_element(
      Known_.begin(), Known_.end(),
      [](const auto &A, const auto &B) { return A.second.At_ < B.second.At_; });
  Known_.erase(Oldest);
}

} // namespace hawthornroad
