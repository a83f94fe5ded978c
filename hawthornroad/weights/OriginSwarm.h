// Swarm settings for versions that come from an origin behind a narrow link,
// without a ledger of grants, and with seconds to deliver a whole version. Used
// by the agents beside engines and by the simulation model that measures them.
//
//   Swarm S(originSwarmSetup({Vm, Zone}, OriginZone, Seed), Shape, Held, Now);
//
// OriginSwarm.cpp gives the reason for each setting.

#ifndef HAWTHORNROAD_WEIGHTS_ORIGINSWARM_H
#define HAWTHORNROAD_WEIGHTS_ORIGINSWARM_H

#include "hawthornroad/weights/Swarm.h"

namespace hawthornroad {

Swarm::Setup originSwarmSetup(const SwarmPeer &Self,
                              const AvailabilityZone &OriginZone,
                              std::uint64_t Seed);

} // namespace hawthornroad

#endif // HAWTHORNROAD_WEIGHTS_ORIGINSWARM_H
