// State shared by all connections of a proxy: the active faults, the totals,
// and the link whose bandwidth the connections share.

#ifndef HAWTHORNROAD_FAKES_PROXYPATH_H
#define HAWTHORNROAD_FAKES_PROXYPATH_H

#include "fakes/FrameFilter.h"
#include "hawthornroad/runtime/Io.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace hawthornroad {

class ProxySession;

// Up is from the connecting side to the target, Down the reverse.
enum Direction : std::size_t { Up, Down, Directions };
constexpr std::array<const char *, Directions> DirectionNames = {"up", "down"};

struct PathFaults {
  bool Refuse_ = false;
  bool Blackhole_ = false;
  // Zones whose processes cannot reach anything through this proxy.
  std::set<std::string> BlackholeFrom_;
  Duration Delay_{};
  Duration Jitter_{};
  std::uint64_t JitterSeed_ = 1;
  // Share of the answers that are sent a second time, late: where the answer to
  // the connection's next request is expected. For HTTP without pipelining.
  double AnswerCopies_ = 0;
  // Bytes per second in each direction; 0 means no limit.
  double Rate_ = 0;
  std::array<FrameFaults, Directions> Frames_;
};

struct PathTotals {
  std::uint64_t Accepted_ = 0;
  std::uint64_t Refused_ = 0;
  std::uint64_t Resets_ = 0;
  std::uint64_t AnswerCopies_ = 0;
  std::array<std::uint64_t, Directions> Bytes_{};
  std::array<std::uint64_t, Directions> Frames_{};
};

struct ProxyPath {
  explicit ProxyPath(IoThread &Io) : Io_(Io) {}

  IoThread &Io_;
  std::optional<boost::asio::ip::tcp::endpoint> Target_;
  PathFaults Faults_;
  PathTotals Totals_;
  std::set<std::shared_ptr<ProxySession>> Sessions_;
  // When the link of each direction finishes the data scheduled so far.
  std::array<TimePoint, Directions> LinkFreeAt_{};
  Random Jitter_{1};
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_PROXYPATH_H
