#include "hawthornroad/traffic/AbandonedRepeats.h"

#include <algorithm>
#include <utility>

namespace hawthornroad {

void AbandonedRepeats::add(const ServiceName &Service, unsigned Repeats,
                           const std::vector<AbandonedAttempt> &Attempts,
                           TimePoint Now) {
  if (Requests_.size() >= MaxRequests)
    settleOldest();
  Number N = Next_++;
  auto Open = static_cast<unsigned>(Attempts.size());
  Requests_[N] = {Service, Repeats, Open, Now};
  for (const AbandonedAttempt &Each : Attempts)
    ByEndpoint_[Each.Endpoint_].emplace(Each.GivenUpAt_, N);
}

// One attempt of N can no longer arrive.
void AbandonedRepeats::close(Number N) {
  auto Found = Requests_.find(N);
  if (Found == Requests_.end())
    return;
  Request &R = Found->second;
  --R.Open_;
  if (R.Repeats_ > R.Open_) {
    Known_[R.Service_] += R.Repeats_ - R.Open_;
    R.Repeats_ = R.Open_;
  }
  if (R.Repeats_ == 0)
    Requests_.erase(Found);
}

void AbandonedRepeats::settleOldest() {
  auto Oldest = Requests_.begin();
  Known_[Oldest->second.Service_] += Oldest->second.Repeats_;
  Requests_.erase(Oldest);
}

void AbandonedRepeats::noteAnswer(const EndpointStart &E, TimePoint BegunAt) {
  auto Found = ByEndpoint_.find(E);
  if (Found == ByEndpoint_.end())
    return;
  auto &Attempts = Found->second;
  auto End = Attempts.lower_bound(BegunAt);
  for (auto At = Attempts.begin(); At != End; ++At)
    close(At->second);
  Attempts.erase(Attempts.begin(), End);
  if (Attempts.empty())
    ByEndpoint_.erase(Found);
}

void AbandonedRepeats::noteGone(const EndpointStart &E) {
  noteAnswer(E, TimePoint::max());
}

std::vector<EndpointStart> AbandonedRepeats::endpoints() const {
  std::vector<EndpointStart> Out;
  for (const auto &[E, Attempts] : ByEndpoint_)
    Out.push_back(E);
  return Out;
}

std::map<ServiceName, unsigned> AbandonedRepeats::take(TimePoint Now) {
  while (!Requests_.empty() &&
         Requests_.begin()->second.AddedAt_ <= Now - MaxDelay)
    settleOldest();
  for (auto &[E, Attempts] : ByEndpoint_)
    Attempts.erase(Attempts.begin(), Attempts.lower_bound(Now - MaxDelay));
  std::erase_if(ByEndpoint_,
                [](const auto &Each) { return Each.second.empty(); });
  return std::exchange(Known_, {});
}

} // namespace hawthornroad
