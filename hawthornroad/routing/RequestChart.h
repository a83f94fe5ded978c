// Binds charts/request.json to the code: the names of its states, events,
// guards and actions, by position.
//
// The life of one request: arrived -> (waiting for a place) -> (claiming its
// idempotency key) -> running <-> asking (the connection was lost or went
// silent: the agent is asked over another one) -> done. A claimed request whose
// caller has been answered or has left lingers until the attempt's end is
// known, so that a repeat of its key can be told what became of it.

#ifndef HAWTHORNROAD_ROUTING_REQUESTCHART_H
#define HAWTHORNROAD_ROUTING_REQUESTCHART_H

#include "hawthornroad/base/Chart.h"

namespace hawthornroad {

enum class RequestState {
  Arrived,
  Waiting,
  Claiming,
  ClaimingLate,
  Running,
  Asking,
  Lingering,
  Done
};

enum class RequestEvent {
  Admitted,
  Queued,
  Refused,
  ClaimWon,
  ClaimEnded,  // denied, or answered from the claim
  Whole,       // the answer is whole
  Failed,      // the attempt is over without a whole answer
  Lost,        // its connection is gone
  Silent,      // no word of the attempt for its idle limit
  Heard,       // word of the attempt
  Unreachable, // no connection could be made to ask
  CallerGone,
  Deadline,
  GivenUp,   // lingered long enough
  TurnedAway // the agent refused the attempt, which did not run
};

enum class RequestGuard {
  NeedsClaim,
  IsWorthwhile, // the caller is there and the deadline has not passed
  CanRetry,     // another attempt is allowed and there is an endpoint for it
  CanLeave,     // as CanRetry, though the attempt may still be running
  MustSettle,   // a claim waits to be told the outcome
  CanWait       // turned away for want of a place: waits for one in the queue
};

enum class RequestStep {
  Claim,
  Dispatch,
  Ask,
  CancelAttempt,
  Finish,
  Answer, // a problem, or the answer kept with the claim
  SettleClaim
};

// Reads Directory/request.json. Throws Error(Step::Chart).
Chart loadRequestChart(const std::string &Directory);

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_REQUESTCHART_H
