// A token bucket: Rate tokens a second, at most Burst saved up.
//
//   TokenBucket B(5.0, 10.0);
//   if (B.available(Now)) B.take(Now);
//   else comeBackAfter(B.untilAvailable(Now));
//
// Looking and taking are apart, so that a request refused for another reason
// spends nothing. No clock: a time earlier than the last one adds nothing.

#ifndef HAWTHORNROAD_ROUTING_TOKENBUCKET_H
#define HAWTHORNROAD_ROUTING_TOKENBUCKET_H

#include "hawthornroad/base/Types.h"

namespace hawthornroad {

class TokenBucket {
public:
  TokenBucket(double Rate, double Burst)
      : Rate_(Rate), Burst_(Burst), Tokens_(Burst) {}

  // Changes the limits and keeps the level, at most the new burst.
  void resize(double Rate, double Burst);
  bool available(TimePoint Now);
  void take(TimePoint Now);
  // Time until a token is there; a day when the rate is 0.
  Duration untilAvailable(TimePoint Now);
  double rate() const { return Rate_; }

private:
  void refill(TimePoint Now);

  double Rate_;
  double Burst_;
  double Tokens_;
  TimePoint Updated_;
  bool Started_ = false;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_TOKENBUCKET_H
