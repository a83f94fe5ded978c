// A token bucket that refills at Rate tokens per second up to Burst tokens.
//
//   TokenBucket B(5.0, 10.0);
//   if (B.available(Now)) B.take(Now);
//   else comeBackAfter(B.untilAvailable(Now));
//
// available() and take() are separate, so that a request refused for another
// reason uses no token. No clock: a time before the last one adds no tokens.

#ifndef HAWTHORNROAD_ROUTING_TOKENBUCKET_H
#define HAWTHORNROAD_ROUTING_TOKENBUCKET_H

#include "hawthornroad/base/Types.h"

namespace hawthornroad {

class TokenBucket {
public:
  TokenBucket(double Rate, double Burst)
      : Rate_(Rate), Burst_(Burst), Tokens_(Burst) {}

  // Changes the limits; keeps the current tokens, up to the new burst.
  void resize(double Rate, double Burst);
  bool available(TimePoint Now);
  void take(TimePoint Now);
  // Time until a token is available; a day when the rate is 0.
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
