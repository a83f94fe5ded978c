// Tells whether bytes of an answer are arriving from the store.
//
//   ReceiveMonitor M;
//   M.onBytes(Store.counters().BytesReceived_, Now);       // periodically
//   M.onFailedCall(Store.counters().BytesReceived_);
//   if (M.isReceiving(Now)) ...
//
// The bytes of a failed call do not count: a store that refuses calls also
// sends some, and other entries would wait for a complete answer that does not
// come.

#ifndef HAWTHORNROAD_STORE_RECEIVEMONITOR_H
#define HAWTHORNROAD_STORE_RECEIVEMONITOR_H

#include "hawthornroad/base/Types.h"

#include <cstdint>
#include <optional>

namespace hawthornroad {

class ReceiveMonitor {
public:
  // Longer than the interval between two polls of the store.
  static constexpr Duration ReceiveWindow = Milliseconds(400);

  // Total: all bytes received so far. Returns whether it has changed since the
  // last call.
  bool onBytes(std::uint64_t Total, TimePoint Now) {
    if (Total == Total_)
      return false;
    LastAt_ = Now;
    Total_ = Total;
    return true;
  }
  void onFailedCall(std::uint64_t Total) {
    Total_ = Total;
    LastAt_.reset();
  }
  bool isReceiving(TimePoint Now) const {
    return LastAt_ && Now - *LastAt_ < ReceiveWindow;
  }

private:
  std::uint64_t Total_ = 0;
  std::optional<TimePoint> LastAt_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_STORE_RECEIVEMONITOR_H
