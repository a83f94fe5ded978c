// How many requests may still be sent to an endpoint on the strength of its
// last health answer, which showed that it was warm.
//
//   HealthCredits C({});
//   if (!C.has(Start, Now)) checkHealth();
//   C.noteAnswer(Start, Arrivals, AskedAt);   // it states no cold time
//   C.spend(Start);                           // a request was sent
//   Duration Pause = C.noteRejected(Start, Now);   // it had no room to answer
//
// Handles endpoints that become cold without a statement: their row follows
// seconds later, and the entries together exceed what a cold endpoint bears
// within a fraction of a second.
//
// An entry sends at most quota() requests for one health answer, so after an
// endpoint has become cold all entries together send at most Share_ of Arrivals
// without a grant, whatever their rates, besides what was on its way at that
// moment. With many entries the quota is one request, sent as soon as the
// answer arrives.
//
// No I/O, no clock, no threads. Memory: the listed endpoints that were asked.

#ifndef HAWTHORNROAD_TRAFFIC_HEALTHCREDITS_H
#define HAWTHORNROAD_TRAFFIC_HEALTHCREDITS_H

#include "hawthornroad/traffic/Endpoint.h"
#include "hawthornroad/traffic/StatedLimits.h"

#include <algorithm>
#include <map>

namespace hawthornroad {

class HealthCredits {
public:
  struct Options {
    // Share of the allowed arrivals that all entries together may send for
    // health answers from before the endpoint became cold.
    double Share_ = 0.35;
    // Number of entries where none is known.
    unsigned Entries_ = 300;
    // How long an answer is used.
    Duration MaxAge_ = Seconds(1);
    // When an endpoint that gave no answer is asked again.
    Duration Retry_ = Milliseconds(500);
    // When one that rejected the check is asked again; doubles up to Retry_ on
    // each further rejection.
    Duration RejectedRetry_ = Milliseconds(30);
  };

  explicit HealthCredits(Options O) : Options_(O) {}

  // At least this many entries send requests.
  void noteEntries(unsigned Count) { Known_ = std::max(Known_, Count); }
  // Requests that one entry may send for one answer.
  unsigned quota(double Arrivals) const;

  // Whether one more request may be sent now.
  bool has(const EndpointStart &E, TimePoint Now) const;
  // Whether the next answer should be asked for before it is needed.
  bool isLow(const EndpointStart &E) const;
  // A health answer, asked for at AskedAt. Arrivals: requests that may arrive
  // in any one second once the endpoint is cold; 0: it is cold now.
  void noteAnswer(const EndpointStart &E, double Arrivals, TimePoint AskedAt);
  // It did not answer.
  void noteSilent(const EndpointStart &E, TimePoint Now);
  // It rejected the check, as a full endpoint does whether it is cold or not.
  // Returns for how long it is not asked again.
  Duration noteRejected(const EndpointStart &E, TimePoint Now);
  void spend(const EndpointStart &E);
  // Whether its last answer was a rejection.
  bool isRejecting(const EndpointStart &E) const;
  // Whether it may be asked again after it did not answer.
  bool mayCheck(const EndpointStart &E, TimePoint Now) const;
  // Whether it has ever answered.
  bool hasAnswered(const EndpointStart &E) const;
  // Forgets what is not listed any more.
  void listed(const EndpointSet &Set);

private:
  struct State {
    // Requests left, of Quota_, until then.
    unsigned Left_ = 0;
    unsigned Quota_ = 0;
    TimePoint Until_;
    TimePoint RetryAt_;
    // Zero unless its last answer was a rejection.
    Duration RejectedRetry_ = Duration::zero();
    bool HasAnswered_ = false;
  };
  const State *find(const EndpointStart &E) const;

  Options Options_;
  unsigned Known_ = 0;
  std::map<EndpointStart, State> States_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_HEALTHCREDITS_H
