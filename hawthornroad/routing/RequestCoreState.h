// The implementation state of RequestCore. Shared by RequestCore.cpp (chart,
// admission, timers, events), RequestDispatch.cpp (actions of the chart) and
// RequestUpdates.cpp (updates on attempts); not for use by other files.

#ifndef HAWTHORNROAD_ROUTING_REQUESTCORESTATE_H
#define HAWTHORNROAD_ROUTING_REQUESTCORESTATE_H

#include "hawthornroad/routing/RequestCore.h"
#include "hawthornroad/routing/RequestRecord.h"

#include <set>
#include <unordered_map>

namespace hawthornroad {

// A repeatable request fails over to another endpoint after one query over
// the current connection and one over a new connection went unanswered.
constexpr unsigned QueriesBeforeFailover = 2;

// RFC 9110 status codes that the request path generates itself.
namespace status {
constexpr unsigned BadGateway = 502;
constexpr unsigned Unavailable = 503;
constexpr unsigned GatewayTimeout = 504;
constexpr unsigned FirstServerError = 500;
} // namespace status

struct RequestCore::State {
  using Record = RequestRecord;
  using Event = RequestEvent;

  State(Options O, Chart C, Random Rng, Admission &A, Chooser &Ch,
        RetryBudget &B)
      : Options_(O), Chart_(std::move(C)), Rng_(Rng), Admission_(A),
        Chooser_(Ch), Budget_(B) {}

  // State chart.
  void fire(Record &R, Event E, TimePoint Now);
  bool guard(Record &R, RequestGuard G, TimePoint Now);
  void perform(Record &R, RequestStep S, TimePoint Now);
  void retire(Record &R, TimePoint Now);

  // Actions of the chart.
  void dispatch(Record &R, TimePoint Now);
  void queryAttempt(Record &R, TimePoint Now);
  void cancelAttempt(Record &R, TimePoint Now);
  void finish(Record &R);
  void answer(Record &R);
  void settleClaim(Record &R);

  // Attempts.
  Chooser::Query query(const Record &R) const;
  bool canRetry(Record &R, TimePoint Now);
  bool canWait(Record &R, TimePoint Now);
  bool mayDispatch(Record &R, TimePoint Now);
  void endAttempt(Record &R, Chooser::Result Result, bool MayHaveRun,
                  TimePoint Now);
  void fail(Record &R, Problem P, bool MayHaveRun, TimePoint Now);
  Record *current(const AttemptSource &From, TimePoint Now);
  void noteContact(Record &R, const AttemptSource &From, TimePoint Now);
  void forward(Record &R, CallerAnswer::Out Out, TimePoint Now);
  void checkEnd(Record &R, TimePoint Now);
  void ack(Record &R, bool Whole);
  void onUpdate(const AttemptAccepted &W, TimePoint Now);
  void onUpdate(const AttemptRefused &W, TimePoint Now);
  void onUpdate(const AttemptHead &W, TimePoint Now);
  void onUpdate(const AttemptData &W, TimePoint Now);
  void onUpdate(const AttemptEnd &W, TimePoint Now);
  void onUpdate(const AttemptFailed &W, TimePoint Now);
  void onUpdate(const AttemptState &W, TimePoint Now);
  void onLost(Record &R, const ConnectionLost &Lost, TimePoint Now);

  // Admission.
  Admission::Load load(const CallerRequest &R, TimePoint Now) const;
  void refuse(const Refusal &Out, TimePoint Now);
  void dispatchQueue(const ServiceName &Name, TimePoint Now);

  void check(Record &R, TimePoint Now);
  void checkSilence(Record &R, TimePoint Now);
  Problem problem(unsigned Status, Step Where, const Record &R,
                  std::string Cause, std::string Detail) const;
  template <class Fn> void forEachAttempt(Fn Visit);
  Record *find(RequestId Id);
  // Finishes a public call: dispatches queued requests to freed slots, erases
  // ended requests and returns the actions.
  Actions takeActions(TimePoint Now);

  Options Options_;
  Chart Chart_;
  Random Rng_;
  Admission &Admission_;
  Chooser &Chooser_;
  RetryBudget &Budget_;
  std::shared_ptr<const Declaration> Declaration_;
  bool Draining_ = false;
  std::uint64_t NextNumber_ = 1;
  std::unordered_map<RequestId, Record> Requests_;
  std::unordered_map<AttemptId, RequestId> ByAttempt_;
  // When the connection to an address was last replaced.
  std::unordered_map<PeerAddress, TimePoint> LastReconnect_;
  // Ended requests to erase; services in which a slot may have become free.
  std::vector<RequestId> Retired_;
  std::set<ServiceName> Freed_;
  Actions Out_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_REQUESTCORESTATE_H
