// Ping intervals of the connections between the entries and agents of a
// store-based platform.
//
// Such a connection carries only an occasional notice, so most of its cost is
// its pings. A ping every three seconds detects a silent connection within
// seven; until then an entry learns of a load only from the engine's refusals.

#ifndef HAWTHORNROAD_PEERS_PEERPACE_H
#define HAWTHORNROAD_PEERS_PEERPACE_H

#include "hawthornroad/base/Types.h"

namespace hawthornroad {

inline constexpr Duration PeerPingAfter = Seconds(3);
inline constexpr Duration PeerDeadAfter = Seconds(7);

// The phase reported by an EngineNotice. Away: the engine accepts no new
// attempts because it holds no weights, or a load is pending or in progress.
enum class EnginePhase : std::uint8_t { Serving = 0, Away = 1 };

} // namespace hawthornroad

#endif // HAWTHORNROAD_PEERS_PEERPACE_H
