// What the operators declared: zones, services, customers. Immutable once
// built; the whole process shares one std::shared_ptr<const Declaration>.
//
//   auto D = parseDeclaration(Text, "fleet.jsonc");   // throws TextError
//   const Service *S = D->findService(ServiceName("copywriter-lm"));
//
// The text is JSON with comments. Services, zones and customers are objects
// keyed by name, so that a change is a small JSON merge patch (RFC 7386):
//
//   {
//     "format": 1,
//     "zones": {"zg-borongaj": {"region": "zagreb"}},
//     "services": {
//       "copywriter-lm": {
//         "kind": "model",
//         "vms": ["copywriter-lm-*"],       // names; one * stands for any run
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

// Which of the two measures a rollout spares: time to N replicas, or bytes
// read from the origin.
enum class RolloutPreference { Time, OriginBytes };

struct ModelDeclaration {
  // Path of the manifest at the origin.
  std::string Manifest_;
  // The manifest's digest: the version every endpoint must serve.
  VersionDigest Version_;
  bool operator==(const ModelDeclaration &) const = default;
};

struct RolloutDeclaration {
  RolloutPreference Preference_ = RolloutPreference::Time;
  // Endpoints of one zone that may be out of service at once.
  std::size_t MaxUnavailable_ = 1;
  // Bytes read from the origin for one version, in copies of the weights.
  double OriginCopies_ = 3.3;
  // Endpoints that fail to load before the rollout halts.
  std::size_t HaltAfterFailures_ = 2;
  bool operator==(const RolloutDeclaration &) const = default;
};

// Calls that must run at most once: those whose method matches and whose path
// starts with Path_. An empty method matches any.
struct NonRepeatableRule {
  std::string Method_;
  std::string Path_;
  bool operator==(const NonRepeatableRule &) const = default;
};

struct ServiceLimits {
  std::size_t InFlightPerEndpoint_ = 16;
  // Requests that may wait at one entry for a free endpoint.
  std::size_t Queue_ = 256;
  bool operator==(const ServiceLimits &) const = default;
};

struct Service {
  ServiceName Name_;
  ServiceKind Kind_ = ServiceKind::Plain;
  // Patterns of VM names; '*' stands for any run of characters.
  std::vector<std::string> Vms_;
  std::size_t Replicas_ = 1;
  std::optional<ModelDeclaration> Model_;
  RolloutDeclaration Rollout_;
  // Whether the engine refuses an order with an old fencing number.
  bool ChecksFencing_ = false;
  std::vector<ServiceName> DependsOn_;
  std::vector<NonRepeatableRule> NonRepeatable_;
  ServiceLimits Limits_;

  bool covers(const Vm &V) const;
  // Whether a call may be sent again after it may have run.
  bool isRepeatable(std::string_view Method, std::string_view Path) const;
  bool operator==(const Service &) const = default;
};

struct CustomerLimits {
  Customer Name_;
  // Share in weighted fair queueing, relative to other customers.
  double Weight_ = 1;
  double RequestsPerSecond_ = 100;
  double Burst_ = 200;
  // Requests in progress over the whole fleet.
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
  // Null when there is none of that name.
  const Service *findService(const ServiceName &Name) const;
  const CustomerLimits *findCustomer(const Customer &Name) const;
  // The service whose patterns cover V; null when none does.
  const Service *serviceOf(const Vm &V) const;
  // Services in an order in which each comes after what it depends on.
  std::vector<ServiceName> dependencyOrder() const;

  bool operator==(const Declaration &) const = default;

private:
  friend class DeclarationBuilder;
  std::map<AvailabilityZone, ZoneDeclaration> Zones_;
  std::map<ServiceName, Service> Services_;
  std::map<Customer, CustomerLimits> Customers_;
};

// Gathers parts and checks them as a whole.
class DeclarationBuilder {
public:
  DeclarationBuilder &add(ZoneDeclaration Zone);
  DeclarationBuilder &add(Service S);
  DeclarationBuilder &add(CustomerLimits Limits);
  // Throws Error(Step::Declaration) on a dangling dependency, a cycle, or a
  // VM pattern that two services share.
  std::shared_ptr<const Declaration> build() const;

private:
  Declaration Made_;
};

// Parses and validates an operators' text. Throws TextError with every fault,
// each with its line and path.
std::shared_ptr<const Declaration> parseDeclaration(std::string_view Text,
                                                    const std::string &File);

// Whether Text matches Pattern, in which '*' stands for any run.
bool matchesPattern(std::string_view Pattern, std::string_view Text);

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_DECLARATION_H
