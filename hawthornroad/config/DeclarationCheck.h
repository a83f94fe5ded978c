// What must hold over a whole declaration, beyond each part's own form:
// dependencies exist and form no cycle, and no VM can belong to two services.
//
// Invariant for every holder of a Declaration: these checks have passed, so a
// walk over dependencies ends and serviceOf() has one answer.

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
  // The service's member at fault, "depends_on" or "vms".
  std::string Key_;
  std::string Message_;
  auto operator<=>(const DeclarationFault &) const = default;
};

// All faults, by service name. Cost: services plus dependencies for the graph;
// for patterns, one look at each pair's literal beginnings, and the product of
// the lengths for pairs that begin alike.
std::vector<DeclarationFault>
checkServices(const std::map<ServiceName, Service> &Services);

// Whether some name matches both patterns.
bool patternsOverlap(std::string_view A, std::string_view B);

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_DECLARATIONCHECK_H
