// What an engine said of itself when it was read back (GET /admin/model).

#ifndef HAWTHORNROAD_ROLLOUT_ENGINEREADING_H
#define HAWTHORNROAD_ROLLOUT_ENGINEREADING_H

#include "hawthornroad/base/Types.h"
#include "hawthornroad/rollout/FencingNumber.h"

#include <string>

namespace hawthornroad {

enum class EngineState : std::uint8_t { Empty, Loading, Ready, Failed };

struct EngineReading {
  EngineState State_ = EngineState::Empty;
  VersionDigest Version_;
  // The highest number the engine has seen, 0 before its first order.
  FencingNumber Fencing_;
  // Why a load failed, in the engine's words.
  std::string Error_;

  // Whether it serves exactly one whole version. A ready engine that names no
  // version could be serving anything, so it does not count.
  bool serves() const {
    return State_ == EngineState::Ready && !Version_.empty();
  }
  bool serves(const VersionDigest &V) const {
    return serves() && Version_ == V;
  }
  bool operator==(const EngineReading &) const = default;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROLLOUT_ENGINEREADING_H
