// Finds an unavailable dependency of a service.
//
//   ServiceName Down = firstDownDependency(*D, Service, [&](const auto &S) {
//     return Chooser.readyCount(S);
//   });
//
// A request whose service would fail because of a direct or transitive
// dependency is refused before it takes a place: the caller learns at once and
// the endpoints are spared. Cost: one lookup per service in the closure.

#ifndef HAWTHORNROAD_ROUTING_DEPENDENCIES_H
#define HAWTHORNROAD_ROUTING_DEPENDENCIES_H

#include "hawthornroad/base/Types.h"
#include "hawthornroad/config/Declaration.h"

#include <functional>

namespace hawthornroad {

// The first service in the dependency closure of Service (itself not included)
// that has no ready endpoint; an empty name when all have. A dependency that
// is not declared counts as down.
ServiceName firstDownDependency(
    const Declaration &D, const Service &S,
    const std::function<std::size_t(const ServiceName &)> &ReadyCount);

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_DEPENDENCIES_H
