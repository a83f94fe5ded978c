// How a swarm is set where versions come from an origin behind a narrow link,
// there is no ledger of grants, and the whole of a version is due in seconds:
// the figures of agents beside engines, and of the model that measures them.
//
//   Swarm S(originSwarmSetup({Vm, Zone}, OriginZone, Seed), Shape, Held, Now);
//
// Each figure stands in OriginSwarm.cpp with its reason.

#ifndef HAWTHORNROAD_WEIGHTS_ORIGINSWARM_H
#define HAWTHORNROAD_WEIGHTS_ORIGINSWARM_H

#include "hawthornroad/weights/Swarm.h"

namespace hawthornroad {

Swarm::Setup originSwarmSetup(const SwarmPeer &Self,
                              const AvailabilityZone &OriginZone,
                              std::uint64_t Seed);

} // namespace hawthornroad

#endif // HAWTHORNROAD_WEIGHTS_ORIGINSWARM_H
