#include "tests/soak/SoakCold.h"

#include "tests/soak/SoakConfig.h"

#include <algorithm>

namespace hawthornroad {

namespace {
constexpr Duration Window = Seconds(1);

struct Arrival {
  TimePoint SentAt_;
  TimePoint At_;
};

std::map<std::string, std::vector<Arrival>>
arrivalsByEndpoint(const SoakRecord &Record,
                   const std::map<std::string, SoakRequest> &Requests) {
  std::map<std::string, std::vector<Arrival>> Out;
  for (const auto &[Id, R] : Requests)
    for (const SoakRun &Each : Record.runs(Id))
      if (!Each.IsMisdirected_)
        Out[Each.Endpoint_].push_back({sentAt(R, Each), Each.From_});
  return Out;
}

// Engines are limited by their agents, so not while none answers an entry.
bool isCounted(const SoakRecord &Record, const SoakColdSpan &S,
               const Arrival &A) {
  if (A.SentAt_ < S.From_ || A.At_ > S.To_)
    return false;
  return !S.NeedsAgents_ ||
         !Record.isDisrupted(SoakRecord::Agents, A.SentAt_ - Window, A.SentAt_);
}

// The most arrivals that were sent and received within one window.
std::size_t worst(const std::vector<Arrival> &All) {
  std::size_t Out = 0;
  for (const Arrival &First : All)
    Out = std::max(Out, static_cast<std::size_t>(std::count_if(
                            All.begin(), All.end(), [&](const Arrival &Each) {
                              return Each.SentAt_ >= First.SentAt_ &&
                                     Each.At_ <= First.SentAt_ + Window;
                            })));
  return Out;
}
} // namespace

TimePoint sentAt(const SoakRequest &R, const SoakRun &Run) {
  if (!Run.Left_)
    return R.SentAt_;
  TimePoint At = R.SentAt_ + std::min(R.Deadline_, R.Timeout_) - *Run.Left_;
  return std::clamp(At, R.SentAt_, Run.From_);
}

SoakColdArrivals
checkColdArrivals(const SoakRecord &Record,
                  const std::map<std::string, SoakRequest> &Requests) {
  SoakColdArrivals Out;
  auto Arrivals = arrivalsByEndpoint(Record, Requests);
  for (const auto &[Endpoint, Spans] : Record.coldSpans())
    for (const SoakColdSpan &S : Spans) {
      std::vector<Arrival> Counted;
      for (const Arrival &Each : Arrivals[Endpoint])
        if (isCounted(Record, S, Each))
          Counted.push_back(Each);
      std::size_t Worst = worst(Counted);
      Out.Most_ = std::max(Out.Most_, Worst);
      if (static_cast<double>(Worst) > SoakConfig::MaxColdArrivals)
        Out.Faults_.push_back(Endpoint + " was cold and received " +
                              std::to_string(Worst) +
                              " requests in a second, " +
                              std::to_string(Counted.size()) + " in all");
    }
  return Out;
}

} // namespace hawthornroad
