// Decides when to probe a store that does not answer, and which open calls to
// resend once a probe is answered.
//
//   StoreProbe P;
//   if (P.isDue(IsAway, Receiving.isReceiving(Now), Now)) {
//     StoreProbe::Sent S = P.send(Bytes, Now);
//     // answered:
//     if (S.shouldResend(Call.sentAt(), BytesNow)) Call.retry();
//   }
//
// A network cut drops what is sent during it, so a call sent before its end
// waits for its time limit, and the next call for the retry pause: up to two
// seconds during which the store could be read. A probe is a call with a short
// answer that is sent every Interval beside the regular calls. Several probes
// may be open; each one is judged by the state at the time it was sent.

#ifndef HAWTHORNROAD_STORE_STOREPROBE_H
#define HAWTHORNROAD_STORE_STOREPROBE_H

#include "hawthornroad/base/Types.h"

#include <cstdint>

namespace hawthornroad {

class StoreProbe {
public:
  static constexpr Duration Interval = Milliseconds(250);
  // The answer to a call sent this shortly before the probe may still be in
  // transit.
  static constexpr Duration RecentCall = Milliseconds(200);
  // When more bytes than a probe's answer arrive, the answer to an open call is
  // arriving too; resending the call would discard it.
  static constexpr std::uint64_t MaxAnswerBytes = 4096;

  struct Sent {
    TimePoint At_;
    // Total bytes received from the store by then.
    std::uint64_t Received_ = 0;

    // Whether a call sent at CallSentAt that is still unanswered when this
    // probe is answered should be sent again.
    bool shouldResend(TimePoint CallSentAt, std::uint64_t Received) const {
      return Received - Received_ <= MaxAnswerBytes &&
             CallSentAt + RecentCall < At_;
    }
  };

  bool isDue(bool IsAway, bool IsReceiving, TimePoint Now) const {
    return IsAway && !IsReceiving && Now - SentAt_ >= Interval;
  }
  // Received: total bytes received from the store so far.
  Sent send(std::uint64_t Received, TimePoint Now) {
    SentAt_ = Now;
    return {Now, Received};
  }

private:
  TimePoint SentAt_{};
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_STORE_STOREPROBE_H
