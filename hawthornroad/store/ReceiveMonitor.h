// Whether bytes of an answer are coming in from the store.
//
//   ReceiveMonitor M;
//   M.onBytes(Store.counters().BytesReceived_, Now);       // now and then
//   M.onFailedCall(Store.counters().BytesReceived_);
//   if (M.isReceiving(Now)) ...
//
// The bytes of a call that failed do not count: a store that refuses sends
// some, and others would wait for its next answer in vain.

#ifndef HAWTHORNROAD_STORE_RECEIVEMONITOR_H
#define HAWTHORNROAD_STORE_RECEIVEMONITOR_H

#include "hawthornroad/base/Types.h"

#include <cstdint>
#include <optional>

namespace hawthornroad {

class ReceiveMonitor {
public:
  // Longer than the pause between two polls of the store.
  static constexpr Duration ReceivingFor = Milliseconds(400);

  // Total: all bytes ever received. Whether some have come since the last time.
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
    return LastAt_ && Now - *LastAt_ < ReceivingFor;
  }

private:
  std::uint64_t Total_ = 0;
  std::optional<TimePoint> LastAt_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_STORE_RECEIVEMONITOR_H
