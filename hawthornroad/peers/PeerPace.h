// How entries and agents of a store-based platform keep their connections.
//
// A connection carries a notice now and then; what it costs is its pings. Three
// seconds between them find a silent one in seven, and until then an entry
// merely learns of a load from the engine's own refusals.

#ifndef HAWTHORNROAD_PEERS_PEERPACE_H
#define HAWTHORNROAD_PEERS_PEERPACE_H

#include "hawthornroad/base/Types.h"

namespace hawthornroad {

inline constexpr Duration PeerPing = Seconds(3);
inline constexpr Duration PeerDead = Seconds(7);

// What an EngineNotice tells. Away: it takes nothing new, since it holds no
// weights, or a load follows or is under way.
enum class EnginePhase : std::uint8_t { Serving = 0, Away = 1 };

} // namespace hawthornroad

#endif // HAWTHORNROAD_PEERS_PEERPACE_H
