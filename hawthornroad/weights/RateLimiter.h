// A token bucket over bytes: shapes weights so that live requests keep their
// share of the link.
//
//   RateLimiter Upload(Settings.UploadRate_);
//   if (Upload.isOpen(Now)) {
//     Upload.take(ChunkBytes, Now);
//     send(Chunk);
//   }
//
// A chunk may be larger than the burst: the bucket then goes into debt and
// stays closed until the debt is paid, so the rate holds over any span longer
// than one chunk takes. Rate 0 means no limit.

#ifndef HAWTHORNROAD_WEIGHTS_RATELIMITER_H
#define HAWTHORNROAD_WEIGHTS_RATELIMITER_H

#include "hawthornroad/base/Types.h"

#include <algorithm>

namespace hawthornroad {

class RateLimiter {
public:
  // Burst saved up while idle, as time at full rate.
  static constexpr Duration MaxBurst = Milliseconds(50);

  explicit RateLimiter(std::int64_t BytesPerSecond) : Rate_(BytesPerSecond) {}

  bool isOpen(TimePoint Now) const { return Rate_ <= 0 || PaidUntil_ <= Now; }
  void take(std::uint64_t Bytes, TimePoint Now) {
    if (Rate_ <= 0)
      return;
    double Cost = static_cast<double>(Bytes) / static_cast<double>(Rate_);
    PaidUntil_ = std::max(PaidUntil_, Now - MaxBurst) +
                 std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(Cost));
  }
  // When isOpen() will hold, if nothing is taken meanwhile.
  TimePoint opensAt() const { return PaidUntil_; }

private:
  std::int64_t Rate_;
  // The moment at which everything taken so far has been paid for.
  TimePoint PaidUntil_{};
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_WEIGHTS_RATELIMITER_H
