// Readiness of a plain service: ready after a good answer; not ready after a
// bad answer, a refused connection or a silence longer than Silence_.
//
// Cost: O(1).

#ifndef HAWTHORNROAD_ROLLOUT_PLAINHEALTH_H
#define HAWTHORNROAD_ROLLOUT_PLAINHEALTH_H

#include "hawthornroad/base/Types.h"

#include <optional>

namespace hawthornroad {

class PlainHealth {
public:
  explicit PlainHealth(Duration Silence) : Silence_(Silence) {}

  void onAnswer(bool Good, TimePoint Now) {
    GoodAt_ = Good ? std::optional(Now) : std::nullopt;
  }
  void onUnreachable() { GoodAt_.reset(); }
  bool isReady(TimePoint Now) const {
    return GoodAt_ && Now - *GoodAt_ <= Silence_;
  }

private:
  Duration Silence_;
  std::optional<TimePoint> GoodAt_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROLLOUT_PLAINHEALTH_H
