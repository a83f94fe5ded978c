// Decides what becomes of every request of one entry.
//
//   RequestCore Core(Setup, loadRequestChart("charts"), Admission, Chooser,
//                    Budget);
//   Core.configure(Declaration, Revision);
//   auto Actions = Core.arrived(Request, Now);
//   Actions = Core.attemptWord(Data, Now);      // frames of agents
//   Actions = Core.connectionLost(Lost, Now);
//   Actions = Core.tick(Now);
//
// The idea. A request lives in the state chart charts/request.json. Each try at
// an endpoint is an attempt with an id of its own; word of any attempt but the
// current one is dropped, so late and doubled frames can do no harm.
//
// Truth of "not run". MayHaveRun_ is set as soon as an attempt ends without its
// agent's statement that it did not run. Only a request for which it was never
// set is answered not-run; all else that ends without an answer is unknown.
// Two things count as that statement beside the agent's own refusal:
//  - the connection that should have carried the begin was never made. Since a
//    begin and a lost connection come from different threads, begins are
//    numbered: a loss says up to which number they had been put on it.
//  - the agent, the same process that was meant to have it, says it has never
//    seen the attempt; by saying so it promises to refuse it for good, should
//    the begin still be under way on an old connection.
//
// At most once. A request that is not repeatable is given to a next endpoint
// only after such a statement. If its connection is lost or silent, the agent
// is asked over another one until the deadline; if the agent's process is gone,
// the answer is unknown at once.
//
// Silent connections. An attempt without word for AttemptIdle is asked after
// over the connection in use; without word again, over one dialled anew, at
// most one per address and idle limit: each replaces the connection of all
// attempts at that address, which then ask too.
//
// Whole answers. AttemptStream orders bytes and checks length and hash,
// CallerAnswer holds back what may still be replaced. An event stream goes on
// at another endpoint of the same version from the first event not passed on.
//
// Bounds: MaxRequests at once; per request AttemptStream's and CallerAnswer's.
// Cost: a tick looks at every request; an event looks up one.
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
    // Attempts of one request, refused ones included.
    unsigned MaxAttempts_ = 6;
    std::size_t MaxRequests_ = 65536;
    // How long a claimed request without a caller waits for its end.
    Duration LingerFor_ = Seconds(30);
    // Bytes unread by the caller above which no more are asked of the agent.
    std::size_t MaxCallerBacklog_ = 1024 * 1024;
  };
  using Actions = std::vector<RequestAction>;

  RequestCore(Options O, Chart C, Random Rng, Admission &A, Chooser &Ch,
              RetryBudget &B);
  ~RequestCore();
  RequestCore(const RequestCore &) = delete;
  RequestCore &operator=(const RequestCore &) = delete;

  void configure(std::shared_ptr<const Declaration> D);
  // Whether the declaration lets the call run more than once; true for unknown
  // services, which run nothing.
  bool isRepeatable(const ServiceName &Name, const std::string &Method,
                    const std::string &Target) const;
  // From now on new requests are refused; those in progress go on.
  void drain();

  Actions arrived(SharedRequest R, TimePoint Now);
  Actions callerGone(RequestId Id, TimePoint Now);
  Actions claimWord(const ClaimWord &Word, TimePoint Now);
  Actions attemptWord(const AttemptWord &Word, TimePoint Now);
  Actions connectionLost(const ConnectionLost &Lost, TimePoint Now);
  // A begin could not be handed to the network at all.
  Actions notSent(AttemptId Id, TimePoint Now);
  // The agent's process is dead or has left.
  Actions endpointGone(const Vm &V, Incarnation I, TimePoint Now);
  // Later word of an endpoint: waiting requests may find a place.
  Actions endpointChanged(const ServiceName &Service, TimePoint Now);
  // Bytes the caller has not read yet; told before attemptWord and on ticks
  // for the requests in heldBack().
  Actions callerBacklog(RequestId Id, std::size_t Bytes, TimePoint Now);
  std::vector<RequestId> heldBack() const;
  // The request of a current attempt; unset when there is none.
  RequestId requestOf(AttemptId Id) const;
  Actions tick(TimePoint Now);

  // Requests whose callers have not got their final answer.
  std::size_t inProgress() const;
  // Requests not yet over, those that linger for their claim included.
  std::size_t open() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_REQUESTCORE_H
