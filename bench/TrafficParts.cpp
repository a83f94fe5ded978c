#include "bench/TrafficParts.h"

namespace hawthornroad {

namespace {
// One engine in seven works at 1 / 2.5 of its usual speed for 600 ms at a time.
constexpr std::size_t SlowOneIn = 7;
constexpr double SlowFactor = 2.5;
constexpr Duration SlowPeriod = Milliseconds(600);

std::optional<double> slowdown(const TrafficParts &P, std::size_t Index,
                               TimePoint Now) {
  if (!P.Speed_)
    return std::nullopt;
  auto Period = static_cast<std::size_t>(Now.time_since_epoch() / SlowPeriod);
  return (Index + Period) % SlowOneIn == 0 ? SlowFactor : 1.0;
}

Region regionOf(const AvailabilityZone &Zone) {
  return Region("region-of-" + Zone.str());
}
} // namespace

std::vector<TrafficParts> measuredParts() {
  return {{.Name_ = "off"},
          {.Name_ = "regions", .Regions_ = true},
          {.Name_ = "cold", .Cold_ = true},
          {.Name_ = "priorities", .Priorities_ = true},
          {.Name_ = "speed", .Speed_ = true},
          {.Name_ = "all",
           .Regions_ = true,
           .Cold_ = true,
           .Priorities_ = true,
           .Speed_ = true}};
}

void configure(const TrafficParts &P,
               const std::vector<AvailabilityZone> &Zones,
               RoutingConfig::Parts &Config, TrafficCore::Options &Core) {
  if (P.Regions_) {
    for (const AvailabilityZone &Each : Zones)
      Core.Placement_.Regions_[Each] = regionOf(Each);
    Config.Routes_.at(0).AllowedRegions_ = {regionOf(Zones.at(0)),
                                            regionOf(Zones.at(1))};
  }
  if (P.Cold_) {
    Config.Services_.at(0).ColdFor_ = Seconds(3);
    Config.Services_.at(0).ColdPerSecond_ = 15;
  }
  if (P.Priorities_)
    for (std::size_t I = 0; I < Config.Routes_.size(); ++I)
      Config.Routes_[I].Rank_ = static_cast<int>(I);
}

void state(const TrafficParts &P, std::size_t Index, TimePoint Now,
           EndpointHead &Head) {
  Head.Slowdown_ = slowdown(P, Index, Now);
  if (P.Cold_)
    Head.ColdLeft_ = Duration::zero();
}

void state(const TrafficParts &P, std::size_t Index, TimePoint Now,
           PlaceReply &Reply) {
  Reply.Slowdown_ = slowdown(P, Index, Now);
}

void state(const TrafficParts &P, std::size_t Index, TimePoint Now,
           EndpointLoad &Load) {
  Load.Slowdown_ = slowdown(P, Index, Now);
}

void state(const TrafficParts &P, Call &C) {
  if (P.Speed_)
    C.AnswerHint_ = C.Tokens_.Answer_;
}

} // namespace hawthornroad
