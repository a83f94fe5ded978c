// Binds charts/request.json to the code: enumerators match the names of its
// states, events, guards and actions by position.
//
// The states of a request: arrived -> (waiting for a slot) -> (claiming its
// idempotency key) -> running <-> asking (the connection was lost or silent, so
// the agent is queried over another one) -> done. A claimed request whose
// caller has been answered or has left lingers until the attempt ends, so that
// the outcome can be reported to a repeat of its key.

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
  ClaimEnded,  // denied, or answered from the claim record
  Whole,       // the answer is complete
  Failed,      // the attempt ended without a complete answer
  Lost,        // the connection of the attempt was lost
  Silent,      // no update on the attempt within the idle limit
  Heard,       // an update on the attempt arrived
  Unreachable, // no connection could be opened for a query
  CallerGone,
  Deadline,
  GivenUp,   // the linger time has passed
  TurnedAway // the agent refused the attempt; it did not run
};

enum class RequestGuard {
  NeedsClaim,
  IsWorthwhile, // the caller is connected, the deadline not passed
  CanRetry,     // another attempt is allowed and has an endpoint
  CanLeave,     // CanRetry, while the attempt may still be running
  MustSettle,   // the request holds a claim that needs its outcome
  CanWait       // refused by a full endpoint; may go back to the queue
};

enum class RequestStep {
  Claim,
  Dispatch,
  Ask,
  CancelAttempt,
  Finish,
  Answer, // a problem, or the answer stored with the claim
  SettleClaim
};

// Reads Directory/request.json. Throws Error(Step::Chart).
Chart loadRequestChart(const std::string &Directory);

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_REQUESTCHART_H
