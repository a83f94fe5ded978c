// Checks across the services of a declaration: dependencies exist and form no
// cycle, and no VM can belong to two services.
//
//   for (const DeclarationFault &F : checkServices(Services))
//     report(F.Service_, F.Key_, F.Message_);
//
// Every Declaration has passed these checks, so traversing dependencies
// terminates and serviceOf() is unambiguous.

#ifndef HAWTHORNROAD_CONFIG_DECLARATIONCHECK_H
#define HAWTHORNROAD_CONFIG_DECLARATIONCHECK_H

#include "hawthornroad/config/Declaration.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornroad {

struct DeclarationFault {
  ServiceName Service_;
  // The faulty member of the service: "depends_on" or "vms".
  std::string Key_;
  std::string Message_;
  auto operator<=>(const DeclarationFault &) const = default;
};

// Returns all faults, ordered by service name. Cost: linear in services plus
// dependencies for the graph. Patterns are compared in pairs, by their literal
// prefixes; only pairs whose prefixes agree cost the product of their lengths.
std::vector<DeclarationFault>
checkServices(const std::map<ServiceName, Service> &Services);

// Whether any name can match both patterns.
bool patternsOverlap(std::string_view A, std::string_view B);

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_DECLARATIONCHECK_H
