// When to probe a store that is away, and what an answered probe ends.
//
//   StoreProbe P;
//   if (P.isDue(IsAway, Receiving.isReceiving(Now), Now)) {
//     StoreProbe::Sent S = P.send(Bytes, Now);
//     // answered:
//     if (S.outlives(Call.sentAt(), BytesNow)) Call.retry();
//   }
//
// A cut swallows what is sent, so a call that was sent before its end waits for
// its time limit, and the next one for its pause: up to two seconds in which
// the store could have been read. A probe is a call with a short answer, sent
// every Pace beside those. Several may be under way, and each is judged by what
// was so when it was sent.

#ifndef HAWTHORNROAD_STORE_STOREPROBE_H
#define HAWTHORNROAD_STORE_STOREPROBE_H

#include "hawthornroad/base/Types.h"

#include <cstdint>

namespace hawthornroad {

class StoreProbe {
public:
  static constexpr Duration Pace = Milliseconds(250);
  // A call that was sent so shortly before the probe may have its answer on the
  // way.
  static constexpr Duration YoungCall = Milliseconds(200);
  // More than a probe's answer: that of a call under way comes in as well, and
  // would be lost if it were sent anew.
  static constexpr std::uint64_t AnswerBytesMost = 4096;

  struct Sent {
    TimePoint At_;
    // All bytes received from the store by then.
    std::uint64_t Received_ = 0;

    // Whether a call that was sent at CallSentAt, and is without its answer
    // when that of this probe has come, is to be sent anew.
    bool outlives(TimePoint CallSentAt, std::uint64_t Received) const {
      return Received - Received_ <= AnswerBytesMost &&
             CallSentAt + YoungCall < At_;
    }
  };

  bool isDue(bool IsAway, bool IsReceiving, TimePoint Now) const {
    return IsAway && !IsReceiving && Now - SentAt_ >= Pace;
  }
  // Received: all bytes ever received from the store.
  Sent send(std::uint64_t Received, TimePoint Now) {
    SentAt_ = Now;
    return {Now, Received};
  }

private:
  TimePoint SentAt_{};
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_STORE_STOREPROBE_H
