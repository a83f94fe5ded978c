// A token bucket over bytes: limits the rate of weight transfers so that live
// requests keep their share of the link.
//
//   RateLimiter Upload(Settings.UploadRate_);
//   if (Upload.isOpen(Now)) {
//     Upload.take(ChunkBytes, Now);
//     send(Chunk);
//   }
//
// A chunk may exceed the burst: the bucket then goes into debt and stays closed
// until the debt is paid, so the rate holds over any interval longer than one
// chunk takes. Rate 0 means no limit.

#ifndef HAWTHORNROAD_WEIGHTS_RATELIMITER_H
#define HAWTHORNROAD_WEIGHTS_RATELIMITER_H

#include "hawthornroad/base/Types.h"

#include <algorithm>

namespace hawthornroad {

class RateLimiter {
public:
  // Maximum burst accumulated while idle, as time at full rate.
  static constexpr Duration MaxBurst = Milliseconds(50);

  explicit RateLimiter(std::int64_t BytesPerSecond) : Rate_(BytesPerSecond) {}

  bool isOpen(TimePoint Now) const { return Rate_ <= 0 || ClosedUntil_ <= Now; }
  void take(std::uint64_t Bytes, TimePoint Now) {
    if (Rate_ <= 0)
      return;
    double Cost = static_cast<double>(Bytes) / static_cast<double>(Rate_);
    ClosedUntil_ = std::max(ClosedUntil_, Now - MaxBurst) +
                   std::chrono::duration_cast<Duration>(
                       std::chrono::duration<double>(Cost));
  }
  // Time at which isOpen() becomes true if nothing more is taken.
  TimePoint opensAt() const { return ClosedUntil_; }

private:
  std::int64_t Rate_;
  // Time at which everything taken so far has been paid for.
  TimePoint ClosedUntil_{};
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_WEIGHTS_RATELIMITER_H
