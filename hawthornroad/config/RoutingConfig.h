// The operators' routing configuration as one immutable value: routes,
// services, customers and limits on requests.
//
//   auto Config = RoutingConfig::build(std::move(Parts));
//   const Route *R = Config->match("api.example", "/a/b/c");
//   const CustomerConfig *C = Config->customerOf(Key);
//
// A route is selected by host and by the longest matching path prefix; prefixes
// begin and end with a slash. A request keeps the configuration that it was
// matched with, so a change does not affect requests in progress.
//
// Cost: match() takes one hash lookup plus one per distinct prefix length of
// the host; customerOf() takes one hash lookup. Memory: about 300 bytes per
// route.

#ifndef HAWTHORNROAD_CONFIG_ROUTINGCONFIG_H
#define HAWTHORNROAD_CONFIG_ROUTINGCONFIG_H

#include "hawthornroad/base/Types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hawthornroad {

// Whether a request may be sent again after it may have run.
enum class Repeat {
  Allowed,      // may run more than once
  Never,        // may run at most once
  FromLastEvent // event stream: may resume elsewhere after its last event
};

struct WeightedService {
  ServiceName Service_;
  unsigned Weight_ = 1;
  bool operator==(const WeightedService &) const = default;
};

struct Route {
  std::string Name_;
  std::string Host_;
  std::string Prefix_;
  Repeat Repeat_ = Repeat::Never;
  // Whether responses are event streams, resumable or not.
  bool IsStream_ = false;
  // Maximum time from the arrival of a request to its final response.
  Duration Timeout_ = Seconds(30);
  // Latency objective: a response whose first byte comes within this time has
  // its full value.
  Duration FirstByteGoal_ = Seconds(1);
  // Latency objective for the pause between two events of a stream.
  Duration EventGapGoal_ = Seconds(1);
  // Priority under overload; 0 is served first.
  int Rank_ = 1;
  // Maximum number of endpoints that one request is sent to.
  unsigned MaxAttempts_ = 1;
  // Whether requests are accepted without a key.
  bool IsPublic_ = false;
  // Regions in which requests may be served; empty: all of them.
  std::vector<Region> AllowedRegions_;
  std::vector<WeightedService> Services_;
  bool operator==(const Route &) const = default;
};

// Declared capacity and speed of a service's engines.
struct EngineProfile {
  // Name of the served model.
  std::string Model_;
  // Maximum number of requests in a batch.
  unsigned Slots_ = 1;
  double StepMs_ = 0;
  double PerSequenceMs_ = 0;
  double ContextPerKTokensMs_ = 0;
  double PrefillTokensPerMs_ = 1;
  // Token decoding steps per pass of the engine.
  unsigned StepsPerPass_ = 1;
  std::uint64_t KvCapacity_ = 0;
  Duration ReportLag_ = Duration::zero();
  // Mean number of tokens in a prompt and in a response.
  double MeanPromptTokens_ = 0;
  double MeanAnswerTokens_ = 0;
  // Number of pieces in a version of the model's weights, and the size of each
  // piece but the last, in bytes.
  std::size_t Pieces_ = 0;
  std::size_t PieceBytes_ = 0;
  // Time to prefill a prompt of that length and decode the first token.
  double firstTokenMs(double PromptTokens) const {
    return PromptTokens / std::max(1.0, PrefillTokensPerMs_) + StepMs_;
  }
  double meanFirstTokenMs() const { return firstTokenMs(MeanPromptTokens_); }
  bool operator==(const EngineProfile &) const = default;
};

struct ServiceConfig {
  ServiceName Name_;
  // Path of the health check; empty when the service has none.
  std::string HealthPath_;
  // Maximum number of connections to one endpoint, over all callers.
  std::size_t MaxConnections_ = 16;
  // How long an endpoint is cold after its start, and how many requests a
  // second it then accepts from all processes together; 0: endpoints are never
  // cold.
  Duration ColdFor_ = Duration::zero();
  double ColdPerSecond_ = 0;
  // Set for model services.
  std::optional<EngineProfile> Engine_;
  // Set for the origin service, which serves weights: its "IP:port" and zone.
  std::string OriginAddress_;
  AvailabilityZone OriginZone_;
  // Bandwidth of the origin's link in Mbit/s; 0 when unknown.
  double LinkMbps_ = 0;
  bool operator==(const ServiceConfig &) const = default;
};

struct CustomerConfig {
  Customer Name_;
  std::vector<std::string> Keys_;
  // Overrides the priority of the route.
  std::optional<int> Rank_;
  // Regions in which requests may be served, besides the limits of the route;
  // empty: all of them.
  std::vector<Region> AllowedRegions_;
  bool operator==(const CustomerConfig &) const = default;
};

// Limits on requests from callers.
struct RequestLimits {
  std::size_t HeaderBytes_ = 16384;
  std::size_t BodyBytes_ = 4 * 1024 * 1024;
  Duration HeaderTimeout_ = Seconds(3);
  Duration IdleTimeout_ = Seconds(15);
  bool operator==(const RequestLimits &) const = default;
};

class RoutingConfig {
public:
  struct Parts {
    std::uint64_t Version_ = 0;
    std::vector<Route> Routes_;
    std::vector<ServiceConfig> Services_;
    std::vector<CustomerConfig> Customers_;
    // Whether the operators' text lists customers. The list may be empty: then
    // no key is valid, and only public routes are served.
    bool ListsCustomers_ = false;
    RequestLimits Limits_;
  };

  static std::shared_ptr<const RoutingConfig> build(Parts P);

  std::uint64_t version() const { return Parts_.Version_; }
  // Path excludes the query. Host may include a port and is compared without
  // regard to case. Returns null when no route matches.
  const Route *match(std::string_view Host, std::string_view Path) const;
  const ServiceConfig *findService(const ServiceName &Name) const;
  // The service that serves weights; null when there is none.
  const ServiceConfig *origin() const;
  const CustomerConfig *customerOf(const std::string &Key) const;
  // Whether routes that are not public require the key of a customer. Without
  // a list of customers they are served without a key, and no key is valid.
  bool requiresKeys() const {
    return Parts_.ListsCustomers_ || !Parts_.Customers_.empty();
  }
  // Whether routes to a service have different priorities.
  bool prioritiesDiffer(const ServiceName &Name) const {
    return Priorities_.contains(Name);
  }
  // The place of a request among the priorities of its service, lowest first.
  struct PriorityLevel {
    int Level_ = 0;
    // Class in a queue with three of them.
    int QueueRank_ = 0;
  };
  // Rank is the customer's priority, or the route's where the customer has
  // none. It comes first; among requests of equal Rank the route's priority
  // decides. Both are as they are where customers have no different ones.
  PriorityLevel priorityLevel(const ServiceName &Name, int Rank,
                              int RouteRank) const;
  const RequestLimits &limits() const { return Parts_.Limits_; }
  const Parts &parts() const { return Parts_; }

private:
  struct HostRoutes {
    std::unordered_map<std::string, std::size_t> ByPrefix_;
    // Distinct prefix lengths, longest first.
    std::vector<std::size_t> Lengths_;
  };

  Parts Parts_;
  std::unordered_map<std::string, HostRoutes> Hosts_;
  std::map<ServiceName, std::size_t> Services_;
  std::unordered_map<std::string, std::size_t> Keys_;
  // The pairs of Rank and RouteRank of services whose routes have different
  // priorities, in order; empty where customers have no different ones.
  std::map<ServiceName, std::vector<std::pair<int, int>>> Priorities_;
};

using SharedConfig = std::shared_ptr<const RoutingConfig>;

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_ROUTINGCONFIG_H
