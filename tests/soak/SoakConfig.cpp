#include "tests/soak/SoakConfig.h"

#include "tests/soak/SoakEarly.h"
#include "tests/soak/SoakEndpoint.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace hawthornroad {

namespace json = boost::json;

namespace {
json::object route(const std::string &Prefix, const std::string &Kind,
                   const std::string &Service, bool IsResumable = false) {
  Duration Timeout = Kind == "streaming" ? SoakConfig::StreamTimeout
                                         : SoakConfig::PlainTimeout;
  return {{"name", "r-" + Prefix},
          {"host", "127.0.0.1"},
          {"prefix", "/" + Prefix + "/"},
          {"kind", Kind},
          {"timeout_ms", Timeout / Milliseconds(1)},
          {"latency_goal_ms", 1000},
          {"gap_goal_ms", 1000},
          {"priority", 1},
          {"service", Service},
          {"max_attempts", 2},
          {"public", false},
          {"resumable", IsResumable}};
}

json::object service(const std::string &Name, bool LimitsCold) {
  json::object Out = {
      {"name", Name}, {"health_path", "/health"}, {"max_conns", 400}};
  if (LimitsCold) {
    Out["cold_start_s"] = SoakConfig::ColdFor / Seconds(1);
    Out["cold_per_s"] = SoakConfig::ColdPerSecond;
  }
  return Out;
}

constexpr std::size_t MaxBodyBytes = 2 * SoakEarly::UploadBytes;

// An event's mean pause. By it an engine ends 4.8 requests a second, below
// ColdPerSecond, so engines are limited at all times.
constexpr int LimitedStepMs = 140;
// The same for requests that take some milliseconds.
constexpr int ShortStepMs = 1;

json::object engineService(bool LimitsCold) {
  json::object Out = service("lm", LimitsCold);
  Out["engine"] =
      json::object{{"slots", SoakEndpoint::Slots},
                   {"step_ms", LimitsCold ? LimitedStepMs : ShortStepMs},
                   {"usual", json::object{{"answer", SoakEndpoint::Events}}},
                   {"chunks", SoakWeights::Pieces},
                   {"chunk_bytes", SoakWeights::PieceBytes},
                   {"models", json::array{json::object{{"name", "m"}}}}};
  return Out;
}
} // namespace

std::string SoakConfig::regionOf(const std::string &Zone) {
  return std::stoul(Zone.substr(1)) % 2 == 0 ? FirstRegion : SecondRegion;
}

// "/moved/" changes its service too often to tell which one was in force.
std::vector<std::string> SoakConfig::servicesOf(const std::string &Target) {
  if (Target.starts_with("/moved/"))
    return {"api", "aux"};
  if (Target.starts_with("/early/"))
    return {SoakEarly::Service};
  bool IsForEngine = Target.starts_with("/stream-lm/") ||
                     Target.starts_with("/streamonce-lm/");
  return {IsForEngine ? "lm" : "api"};
}

std::string SoakConfig::text() const {
  json::array Routes = {route("once", "non_idempotent", "api"),
                        route("safe", "idempotent", "api"),
                        route("stream", "streaming", "api", true),
                        route("streamonce", "streaming", "api"),
                        route("moved", "idempotent", IsMoved_ ? "aux" : "api")};
  Routes.push_back(route("early", "non_idempotent", SoakEarly::Service));
  Routes.push_back(route("home", "idempotent", "api"));
  Routes.back().as_object()["allowed_regions"] = json::array{FirstRegion};
  json::array Services = {service("api", LimitsCold_),
                          service("aux", LimitsCold_),
                          service(SoakEarly::Service, false)};
  if (!Origin_.empty()) {
    Routes.push_back(route("stream-lm", "streaming", "lm", true));
    Routes.push_back(route("streamonce-lm", "streaming", "lm"));
    Services.push_back(engineService(LimitsCold_));
    Services.push_back(json::object{{"name", "weights"},
                                    {"origin", Origin_},
                                    {"zone", "z0"},
                                    {"link_mbps", 100}});
  }
  for (std::uint64_t I = 1; I <= AddedRoutes_; ++I)
    Routes.push_back(route("new" + std::to_string(I), "idempotent", "api"));
  for (std::size_t I = 0; I < UnusedRoutes_; ++I)
    Routes.push_back(route("unused" + std::to_string(I), "idempotent", "api"));
  json::array Keys;
  for (const std::string &Each : Keys_)
    Keys.push_back(json::string(Each));
  json::array Customers;
  if (HasCustomers_)
    Customers = {json::object{{"name", "zet"}, {"api_keys", std::move(Keys)}},
                 json::object{{"name", "yon"},
                              {"api_keys", json::array{RegionalKey}},
                              {"allowed_regions", json::array{SecondRegion}}}};
  return json::serialize(
      json::object{{"version", Version_},
                   {"routes", std::move(Routes)},
                   {"services", std::move(Services)},
                   {"limits", json::object{{"max_header_bytes", 16384},
                                           {"max_body_bytes", MaxBodyBytes},
                                           {"header_timeout_ms", 3000},
                                           {"idle_timeout_ms", 15000}}},
                   {"tenants", std::move(Customers)}});
}

} // namespace hawthornroad
