// The inside of RequestCore, shared by its three files: RequestCore.cpp (chart,
// admission, time, events), RequestDispatch.cpp (what the chart asks for) and
// RequestWords.cpp (word of attempts). Nobody else includes it.

#ifndef HAWTHORNROAD_ROUTING_REQUESTCORESTATE_H
#define HAWTHORNROAD_ROUTING_REQUESTCORESTATE_H

#include "hawthornroad/routing/RequestCore.h"
#include "hawthornroad/routing/RequestRecord.h"

#include <set>
#include <unordered_map>

namespace hawthornroad {

// An ordinary question, then one over a fresh connection, before a request
// that may be repeated goes elsewhere.
constexpr unsigned AsksBeforeLeaving = 2;

// Status codes of RFC 9110 that the request path gives of its own.
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

  // The chart.
  void fire(Record &R, Event E, TimePoint Now);
  bool guard(Record &R, RequestGuard G, TimePoint Now);
  void perform(Record &R, RequestStep S, TimePoint Now);
  void retire(Record &R, TimePoint Now);

  // Its actions.
  void dispatch(Record &R, TimePoint Now);
  void ask(Record &R, TimePoint Now);
  void cancelAttempt(Record &R, TimePoint Now);
  void finish(Record &R);
  void answer(Record &R);
  void settleClaim(Record &R);

  // Attempts.
  Chooser::Query query(const Record &R) const;
  bool canRetry(Record &R, TimePoint Now);
  bool canWait(Record &R, TimePoint Now);
  bool mayTakePlace(Record &R, TimePoint Now);
  void endAttempt(Record &R, Chooser::Result Result, bool MayHaveRun,
                  TimePoint Now);
  void fail(Record &R, Problem P, bool MayHaveRun, TimePoint Now);
  Record *current(const AttemptSource &From, TimePoint Now);
  void hear(Record &R, const AttemptSource &From, TimePoint Now);
  void passOn(Record &R, CallerAnswer::Out Out, TimePoint Now);
  void checkEnd(Record &R, TimePoint Now);
  void ack(Record &R, bool Whole);
  void onWord(const AttemptAccepted &W, TimePoint Now);
  void onWord(const AttemptRefused &W, TimePoint Now);
  void onWord(const AttemptHead &W, TimePoint Now);
  void onWord(const AttemptData &W, TimePoint Now);
  void onWord(const AttemptEnd &W, TimePoint Now);
  void onWord(const AttemptFailed &W, TimePoint Now);
  void onWord(const AttemptState &W, TimePoint Now);
  void onLost(Record &R, const ConnectionLost &Lost, TimePoint Now);

  // Admission.
  Admission::Load load(const CallerRequest &R, TimePoint Now) const;
  void refuse(const Refusal &Out, TimePoint Now);
  void pump(const ServiceName &Name, TimePoint Now);

  void check(Record &R, TimePoint Now);
  void checkSilence(Record &R, TimePoint Now);
  Problem problem(unsigned Status, Step Where, const Record &R,
                  std::string Cause, std::string Detail) const;
  template <class Fn> void forEachAttempt(Fn Visit);
  Record *find(RequestId Id);
  // Ends a public call: hands out freed places, erases what is over.
  Actions take(TimePoint Now);

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
  // When a connection to an address was last replaced.
  std::unordered_map<PeerAddress, TimePoint> Refreshed_;
  // Over, to be erased; services in which a place may have come free.
  std::vector<RequestId> Retired_;
  std::set<ServiceName> Freed_;
  Actions Out_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_REQUESTCORESTATE_H
