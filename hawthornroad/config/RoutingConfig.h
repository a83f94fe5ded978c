// What operators have declared about requests, as one immutable value: routes,
// services, customers and what callers may send.
//
//   auto Config = RoutingConfig::build(std::move(Parts));
//   const Route *R = Config->match("api.example", "/a/b/c");
//   const CustomerEntry *C = Config->customerOf(Key);
//
// A route is chosen by the host and by the longest prefix that begins the path;
// prefixes begin and end with a slash. A request keeps the configuration that
// it was matched with, so a change never alters it half-way.
//
// Cost: match() is one hash look-up and one per distinct prefix length of that
// host; customerOf() is one hash look-up. Memory: about 300 bytes a route.

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
#include <vector>

namespace hawthornroad {

// What may be done with a request a second time.
enum class Repeat {
  Freely,   // may run more than once
  Never,    // may run at most once
  FromEvent // an event stream: may go on elsewhere after its last event
};

struct ServiceShare {
  ServiceName Service_;
  unsigned Weight_ = 1;
  bool operator==(const ServiceShare &) const = default;
};

struct Route {
  std::string Name_;
  std::string Host_;
  std::string Prefix_;
  Repeat Repeat_ = Repeat::Never;
  // Whether answers are event streams, resumable or not.
  bool IsStream_ = false;
  // Longest time from a request's arrival to its final answer.
  Duration Timeout_ = Seconds(30);
  // Time to the first byte within which an answer is worth its full value.
  Duration Goal_ = Seconds(1);
  // Longest pause between two events of a stream.
  Duration GapGoal_ = Seconds(1);
  // Rank in overload; 0 goes first.
  int Rank_ = 1;
  // Endpoints that one request may be sent to.
  unsigned MaxAttempts_ = 1;
  // Whether callers need no key.
  bool IsPublic_ = false;
  std::vector<ServiceShare> Services_;
  bool operator==(const Route &) const = default;
};

// How fast an engine reads and writes, from its declaration.
struct EnginePace {
  // The model it serves.
  std::string Model_;
  // Requests of one batch.
  unsigned Slots_ = 1;
  double StepMs_ = 0;
  double PerSequenceMs_ = 0;
  double ContextPerKTokensMs_ = 0;
  double ReadTokensPerMs_ = 1;
  // Token steps of one pass.
  unsigned Stride_ = 1;
  std::uint64_t KvCapacity_ = 0;
  Duration ReportLag_ = Duration::zero();
  // Mean tokens of a prompt and of an answer.
  double UsualPrompt_ = 0;
  double UsualAnswer_ = 0;
  // Of the model's weights: pieces of a version, and bytes of each but the
  // last.
  std::size_t Pieces_ = 0;
  std::size_t PieceBytes_ = 0;
  // What reading a usual prompt takes, with the step that makes its first
  // token.
  double readingMs() const {
    return UsualPrompt_ / std::max(1.0, ReadTokensPerMs_) + StepMs_;
  }
  bool operator==(const EnginePace &) const = default;
};

struct ServiceEntry {
  ServiceName Name_;
  // Path of the health check; empty when the service has none.
  std::string HealthPath_;
  // Connections that one endpoint accepts from all callers together.
  std::size_t MaxConnections_ = 16;
  // Set for model services.
  std::optional<EnginePace> Engine_;
  // Set for the service that hands out weights: its "IP:port" and zone.
  std::string OriginAddress_;
  AvailabilityZone OriginZone_;
  // The origin's link, megabits a second; 0 when not told.
  double LinkMbps_ = 0;
  bool operator==(const ServiceEntry &) const = default;
};

struct CustomerEntry {
  Customer Name_;
  std::vector<std::string> Keys_;
  // Takes precedence over the route's.
  std::optional<int> Rank_;
  bool operator==(const CustomerEntry &) const = default;
};

// Bounds on what a caller may send.
struct RequestBounds {
  std::size_t HeaderBytes_ = 16384;
  std::size_t BodyBytes_ = 4 * 1024 * 1024;
  Duration HeaderTimeout_ = Seconds(3);
  Duration IdleTimeout_ = Seconds(15);
  bool operator==(const RequestBounds &) const = default;
};

class RoutingConfig {
public:
  struct Parts {
    std::uint64_t Version_ = 0;
    std::vector<Route> Routes_;
    std::vector<ServiceEntry> Services_;
    std::vector<CustomerEntry> Customers_;
    RequestBounds Limits_;
  };

  static std::shared_ptr<const RoutingConfig> build(Parts P);

  std::uint64_t version() const { return Parts_.Version_; }
  // Path without query. Host may carry a port, letter case is ignored.
  const Route *match(std::string_view Host, std::string_view Path) const;
  const ServiceEntry *findService(const ServiceName &Name) const;
  // The service that hands out weights; null when there is none.
  const ServiceEntry *origin() const;
  const CustomerEntry *customerOf(const std::string &Key) const;
  // Whether any customer is declared: then routes need keys.
  bool hasCustomers() const { return !Parts_.Customers_.empty(); }
  const RequestBounds &limits() const { return Parts_.Limits_; }
  const Parts &parts() const { return Parts_; }

private:
  struct HostRoutes {
    std::unordered_map<std::string, std::size_t> ByPrefix_;
    // Lengths of prefixes, longest first.
    std::vector<std::size_t> Lengths_;
  };

  Parts Parts_;
  std::unordered_map<std::string, HostRoutes> Hosts_;
  std::map<ServiceName, std::size_t> Services_;
  std::unordered_map<std::string, std::size_t> Keys_;
};

using SharedConfig = std::shared_ptr<const RoutingConfig>;

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_ROUTINGCONFIG_H
