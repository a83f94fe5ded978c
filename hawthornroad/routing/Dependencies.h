// Finds the service that keeps another from being of use.
//
//   ServiceName Down = firstDownDependency(*D, Service, [&](const auto &S) {
//     return Chooser.readyCount(S);
//   });
//
// A request whose service would fail for want of something it depends on, near
// or far, is better refused before it takes a place: the caller learns at once
// and the endpoints are spared. Cost: one look per service in the closure.

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
