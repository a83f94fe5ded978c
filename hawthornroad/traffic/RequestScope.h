// The regions in which attempts of a request may begin now.
//
//   RegionScope S = requestScope(*Config, *Record.Config_, Call, Customer);
//
// Both limits apply: that of the route that the request matches in the current
// configuration, and that of its customer. A request keeps the configuration
// that it arrived with; its limits are the exception, so that a new limit holds
// for queued requests and for repeats. A request that matches no route any more
// keeps all limits of the configuration that it arrived with. A customer that
// is no longer declared keeps the limit that it had.
//
// A request on a public route that is accepted without its key still has the
// limit of the customer that its key names.
//
// Cost: one route lookup and one customer lookup.

#ifndef HAWTHORNROAD_TRAFFIC_REQUESTSCOPE_H
#define HAWTHORNROAD_TRAFFIC_REQUESTSCOPE_H

#include "hawthornroad/config/RoutingConfig.h"
#include "hawthornroad/traffic/Call.h"
#include "hawthornroad/traffic/RegionScope.h"

namespace hawthornroad {

// Who: the customer that the request was accepted for; empty: none.
RegionScope requestScope(const RoutingConfig &Current,
                         const RoutingConfig &AtArrival, const Call &C,
                         const Customer &Who);

// Whether a route or a customer names regions.
bool limitsRegions(const RoutingConfig &Config);

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_REQUESTSCOPE_H
