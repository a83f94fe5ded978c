// Runs the life cycle of every request of one entry, from admission to the
// final answer.
//
//   RequestCore Core(Options, loadRequestChart("charts"), Random(Seed),
//                    Admission, Chooser, Budget);
//   Core.configure(Declaration);
//   auto Actions = Core.arrived(Request, Now);
//   Actions = Core.attemptUpdated(Data, Now);   // frames of agents
//   Actions = Core.connectionLost(Lost, Now);
//   Actions = Core.tick(Now);
//
// Design. Each request follows the state chart charts/request.json. Each try at
// an endpoint is an attempt with an id of its own. Updates on any attempt but
// the current one are dropped, so late and duplicate frames are harmless.
//
// Correctness of "not run". EndedAttemptMayHaveRun_ is set as soon as an
// attempt ends without confirmation from its agent that it did not run. Only a
// request for which it was never set is answered not-run; every other request
// that ends without an answer is unknown. Two things count as confirmation
// beside a refusal by the agent:
//  - The connection that should have carried the begin was never established.
//    A begin and the loss of a connection are reported by different threads, so
//    begins are numbered, and a loss states up to which number they had been
//    sent on that connection.
//  - The agent, running as the same process that the begin was sent to, reports
//    that it has never seen the attempt. It thereby promises to refuse the
//    attempt permanently, should the begin still arrive on an old connection.
//
// At most once. A request that is not repeatable is sent to another endpoint
// only after such a confirmation. If its connection is lost or silent, the
// agent is queried over another connection until the deadline; if the agent's
// process is gone, the outcome is unknown at once.
//
// Silent connections. An attempt without updates for AttemptIdle is queried
// over the current connection and, if that stays unanswered, over a new one. At
// most one new connection is opened per address and idle limit, since each
// replaces the connection of all attempts at that address, which then have to
// query as well.
//
// Complete answers. AttemptStream orders the bytes and checks length and hash;
// CallerAnswer holds back what may still be replaced. An event stream resumes
// at another endpoint of the same version from the first event that has not
// been passed on.
//
// Limits: at most MaxRequests requests at once; per request, the limits of
// AttemptStream and CallerAnswer.
// Cost: a tick visits every request; an event looks up one.
// No I/O, no clock, no threads.

#ifndef HAWTHORNROAD_ROUTING_REQUESTCORE_H
#define HAWTHORNROAD_ROUTING_REQUESTCORE_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/config/Declaration.h"
#include "hawthornroad/routing/Admission.h"
#include "hawthornroad/routing/Chooser.h"
#include "hawthornroad/routing/RequestChart.h"
#include "hawthornroad/routing/RequestTypes.h"
#include "hawthornroad/routing/RetryBudget.h"

#include <memory>
#include <vector>

namespace hawthornroad {

class RequestCore {
public:
  struct Options {
    Duration AttemptIdle_ = Seconds(1);
    // Maximum number of attempts per request, refused ones included.
    unsigned MaxAttempts_ = 6;
    std::size_t MaxRequests_ = 65536;
    // How long a claimed request whose caller is gone or already answered
    // waits for its attempt to end.
    Duration LingerFor_ = Seconds(30);
    // When the caller has more unread bytes than this, no more are requested
    // from the agent.
    std::size_t MaxCallerBacklog_ = 1024 * 1024;
  };
  using Actions = std::vector<RequestAction>;

  RequestCore(Options O, Chart C, Random Rng, Admission &A, Chooser &Ch,
              RetryBudget &B);
  ~RequestCore();
  RequestCore(const RequestCore &) = delete;
  RequestCore &operator=(const RequestCore &) = delete;

  void configure(std::shared_ptr<const Declaration> D);
  // Whether the declaration allows the call to run more than once. True for
  // unknown services, which run nothing.
  bool isRepeatable(const ServiceName &Name, const std::string &Method,
                    const std::string &Target) const;
  // Refuses new requests from now on; those in progress continue.
  void drain();

  Actions arrived(SharedRequest R, TimePoint Now);
  Actions callerGone(RequestId Id, TimePoint Now);
  Actions claimDecided(const ClaimVerdict &Word, TimePoint Now);
  Actions attemptUpdated(const AttemptUpdate &Word, TimePoint Now);
  Actions connectionLost(const ConnectionLost &Lost, TimePoint Now);
  // A begin could not be passed to the network layer.
  Actions notSent(AttemptId Id, TimePoint Now);
  // The agent's process has died or left.
  Actions endpointGone(const Vm &V, Incarnation I, TimePoint Now);
  // An endpoint reported a new status: queued requests may find a slot.
  Actions endpointChanged(const ServiceName &Service, TimePoint Now);
  // Bytes the caller has not read yet; reported before attemptUpdated, and on
  // ticks for the requests in heldBack().
  Actions callerBacklog(RequestId Id, std::size_t Bytes, TimePoint Now);
  std::vector<RequestId> heldBack() const;
  // The request of a current attempt; unset when the attempt is not current.
  RequestId requestOf(AttemptId Id) const;
  Actions tick(TimePoint Now);

  // Requests whose callers have not received their final answer.
  std::size_t inProgress() const;
  // Requests that have not ended, including those that linger for their claim.
  std::size_t open() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_REQUESTCORE_H
