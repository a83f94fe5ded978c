// The operators' declaration of zones, services and customers. Immutable once
// built; the whole process shares one std::shared_ptr<const Declaration>.
//
//   auto D = parseDeclaration(Text, "fleet.jsonc");   // throws TextError
//   const Service *S = D->findService(ServiceName("copywriter-lm"));
//
// The format is JSON with comments. Services, zones and customers are objects
// keyed by name, so that a change is a small JSON merge patch (RFC 7386):
//
//   {
//     "format": 1,
//     "zones": {"zg-borongaj": {"region": "zagreb"}},
//     "services": {
//       "copywriter-lm": {
//         "kind": "model",
//         "vms": ["copywriter-lm-*"],       // names; * matches any substring
//         "replicas": 16,
//         "model": {"manifest": "/copywriter/v1/manifest.json",
//                   "version": "sha256:..."},
//         "rollout": {"prefer": "time", "max_unavailable": 2,
//                     "origin_copies": 3.3, "halt_after_failures": 2},
//         "checks_fencing": true,
//         "depends_on": ["panel-api"],
//         "non_repeatable": [{"method": "POST", "path": "/invoices"}],
//         "limits": {"in_flight_per_endpoint": 16, "queue": 256}
//       }
//     },
//     "customers": {
//       "hp-travel": {"weight": 4, "requests_per_second": 50, "burst": 100,
//                     "in_flight": 64}
//     }
//   }

#ifndef HAWTHORNROAD_CONFIG_DECLARATION_H
#define HAWTHORNROAD_CONFIG_DECLARATION_H

#include "hawthornroad/base/Types.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hawthornroad {

enum class ServiceKind { Model, Plain };

// What a rollout minimizes: the time until all replicas serve the version, or
// the bytes read from the origin.
enum class RolloutPreference { Time, OriginBytes };

struct ModelDeclaration {
  // Path of the manifest on the origin.
  std::string Manifest_;
  // Digest of the manifest; identifies the version that all endpoints serve.
  VersionDigest Version_;
  bool operator==(const ModelDeclaration &) const = default;
};

struct RolloutDeclaration {
  RolloutPreference Preference_ = RolloutPreference::Time;
  // Maximum number of endpoints per zone that are out of service at once.
  std::size_t MaxUnavailable_ = 1;
  // Limit of bytes read from the origin per version, as a multiple of the
  // weights' size.
  double OriginCopies_ = 3.3;
  // Number of endpoints failing to load the version that halts the rollout.
  std::size_t HaltAfterFailures_ = 2;
  bool operator==(const RolloutDeclaration &) const = default;
};

// Selects requests that must run at most once: those with this method and a
// path that starts with Path_. An empty method matches every method.
struct NonRepeatableRule {
  std::string Method_;
  std::string Path_;
  bool operator==(const NonRepeatableRule &) const = default;
};

struct ServiceLimits {
  std::size_t InFlightPerEndpoint_ = 16;
  // Maximum number of requests that wait for a free endpoint, per entry.
  std::size_t Queue_ = 256;
  bool operator==(const ServiceLimits &) const = default;
};

struct Service {
  ServiceName Name_;
  ServiceKind Kind_ = ServiceKind::Plain;
  // Patterns of VM names; '*' matches any substring, also an empty one.
  std::vector<std::string> Vms_;
  std::size_t Replicas_ = 1;
  std::optional<ModelDeclaration> Model_;
  RolloutDeclaration Rollout_;
  // Whether the engine rejects load orders with an outdated fencing number.
  bool ChecksFencing_ = false;
  std::vector<ServiceName> DependsOn_;
  std::vector<NonRepeatableRule> NonRepeatable_;
  ServiceLimits Limits_;

  bool covers(const Vm &V) const;
  // Whether a request that may already have run may be sent again.
  bool isRepeatable(std::string_view Method, std::string_view Path) const;
  bool operator==(const Service &) const = default;
};

struct CustomerLimits {
  Customer Name_;
  // Weight in weighted fair queueing, relative to other customers.
  double Weight_ = 1;
  double RequestsPerSecond_ = 100;
  double Burst_ = 200;
  // Maximum number of concurrent requests in the whole fleet.
  std::size_t InFlight_ = 256;
  bool operator==(const CustomerLimits &) const = default;
};

struct ZoneDeclaration {
  AvailabilityZone Name_;
  std::string Region_;
  bool operator==(const ZoneDeclaration &) const = default;
};

class Declaration {
public:
  const std::map<AvailabilityZone, ZoneDeclaration> &zones() const {
    return Zones_;
  }
  const std::map<ServiceName, Service> &services() const { return Services_; }
  const std::map<Customer, CustomerLimits> &customers() const {
    return Customers_;
  }
  // Null when the name is unknown.
  const Service *findService(const ServiceName &Name) const;
  const CustomerLimits *findCustomer(const Customer &Name) const;
  // The service whose patterns match V; null when there is none.
  const Service *serviceOf(const Vm &V) const;
  // All services in topological order: dependencies come first.
  std::vector<ServiceName> dependencyOrder() const;

  bool operator==(const Declaration &) const = default;

private:
  friend class DeclarationBuilder;
  std::map<AvailabilityZone, ZoneDeclaration> Zones_;
  std::map<ServiceName, Service> Services_;
  std::map<Customer, CustomerLimits> Customers_;
};

// Collects the parts of a declaration and validates them together.
class DeclarationBuilder {
public:
  DeclarationBuilder &add(ZoneDeclaration Zone);
  DeclarationBuilder &add(Service S);
  DeclarationBuilder &add(CustomerLimits Limits);
  // Throws Error(Step::Declaration) on an unknown dependency, a dependency
  // cycle, or patterns of two services that can match the same VM.
  std::shared_ptr<const Declaration> build() const;

private:
  Declaration Result_;
};

// Parses and validates a declaration. Throws TextError that lists all faults
// with their lines and paths.
std::shared_ptr<const Declaration> parseDeclaration(std::string_view Text,
                                                    const std::string &File);

// Whether Text matches Pattern, in which '*' matches any substring.
bool matchesPattern(std::string_view Pattern, std::string_view Text);

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_DECLARATION_H
