#include "hawthornroad/traffic/EndpointSpeed.h"

#include <algorithm>

namespace hawthornroad {

void EndpointSpeed::note(std::optional<double> Slowdown, TimePoint At) {
  if (!Slowdown || (Slowdown_ && At < At_))
    return;
  Slowdown_ = Slowdown;
  At_ = At;
}

std::optional<double> EndpointSpeed::stated(TimePoint Now) const {
  return Slowdown_ && Now - At_ <= FreshFor ? Slowdown_ : std::nullopt;
}

double EndpointSpeed::factor(TimePoint Now) const {
  return factorOf(stated(Now));
}

double EndpointSpeed::factorOf(std::optional<double> Slowdown) {
  return std::clamp(Slowdown.value_or(1), 1.0, MaxFactor);
}

namespace {
std::size_t draw(const std::vector<SpeedCandidate> &Candidates, double Sum,
                 Random &R) {
  double Left = R.unit() * Sum;
  for (std::size_t I = 0; I + 1 < Candidates.size(); ++I) {
    Left -= Candidates[I].Speed_;
    if (Left < 0)
      return I;
  }
  return Candidates.size() - 1;
}
} // namespace

std::size_t chooseBySpeed(const std::vector<SpeedCandidate> &Candidates,
                          Random &R) {
  double Sum = 0;
  for (const SpeedCandidate &Each : Candidates)
    Sum += Each.Speed_;
  std::size_t First = draw(Candidates, Sum, R);
  std::size_t Second = draw(Candidates, Sum, R);
  return Candidates[Second].Cost_ < Candidates[First].Cost_ ? Second : First;
}

} // namespace hawthornroad
