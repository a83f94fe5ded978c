// The state that an engine reports when it is read back (GET /admin/model).

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
  // The highest fencing number the engine has seen; 0 before its first order.
  FencingNumber Fencing_;
  // Why a load failed, as reported by the engine.
  std::string Error_;

  // Whether the engine serves exactly one complete version. A ready engine that
  // reports no version does not count, since it may serve anything.
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
