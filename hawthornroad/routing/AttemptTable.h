// The agent's side of every request: the attempts that run at this VM's
// endpoint, their answers, and the connections that receive them.
//
//   AttemptTable Table(attemptChart("charts"), {.Buffer_ = 4 << 20});
//   Table.setEndpoint(Facts);                       // phase, version, capacity
//   AttemptActions Actions = Table.handle(BeginReceived{Spec, From}, Now);
//   for (const AttemptAction &Each : Actions) ...   // StartRun, SendAccepted
//   Actions = Table.handle(DataReceived{Attempt, Bytes}, Now);
//   Actions = Table.tick(Now);
//
// The state machine of one attempt is charts/attempt.json. Guarantees:
// - A Begin runs at most once, however often it arrives.
// - An attempt that was refused, cancelled or denied (a query answered
//   NeverSeen) does not run when its Begin arrives later, and one that ran is
//   never reported as unseen (PastAttempts).
// - AttemptFailure::NotRun_ is true only when no byte of the request reached
//   the endpoint, or a model engine answered 503, which its interface allows
//   only before anything runs.
// - An attempt is pinned to the version loaded when it was accepted; an answer
//   of another version fails before any byte of it is forwarded.
// - The answer is kept until acknowledged, in a bounded buffer. A full buffer
//   pauses the run; ReleaseRun tells the reader, which enforces the same limit
//   on its own thread, how much has been freed. A query redirects all later
//   frames to its connection.
// - A lost connection does not stop a non-repeatable attempt, because it cannot
//   be retried elsewhere; a repeatable one is aborted after OrphanGrace_.
//
// Limits: running attempts by capacity and its queue share, request bodies by
// MaxBodyBytes_, finished attempts by Keep_, MaxFinished_ and
// MaxFinishedBytes_ (oldest first; its bytes are dropped before its outcome),
// the ids of past attempts by PastAttempts. Cost: O(1) per event, O(running)
// per tick.

#ifndef HAWTHORNROAD_ROUTING_ATTEMPTTABLE_H
#define HAWTHORNROAD_ROUTING_ATTEMPTTABLE_H

#include "hawthornroad/base/Chart.h"
#include "hawthornroad/routing/AnswerBuffer.h"
#include "hawthornroad/routing/AttemptAdmission.h"
#include "hawthornroad/routing/AttemptMessages.h"
#include "hawthornroad/routing/PastAttempts.h"

#include <deque>
#include <unordered_map>
#include <unordered_set>

namespace hawthornroad {

// Loads charts/attempt.json. Throws Error(Step::Chart).
Chart attemptChart(const std::string &Directory);

class AttemptTable {
public:
  AttemptTable(Chart C, AttemptLimits L);
  ~AttemptTable();
  AttemptTable(const AttemptTable &) = delete;
  AttemptTable &operator=(const AttemptTable &) = delete;

  void setEndpoint(EndpointFacts Facts) { Facts_ = std::move(Facts); }

  AttemptActions handle(const BeginReceived &E, TimePoint Now);
  AttemptActions handle(const BeginDropped &E, TimePoint Now);
  AttemptActions handle(const QueryReceived &E, TimePoint Now);
  AttemptActions handle(const AckReceived &E, TimePoint Now);
  AttemptActions handle(const CancelReceived &E, TimePoint Now);
  AttemptActions handle(const RequesterLost &E, TimePoint Now);
  AttemptActions handle(const HeadReceived &E, TimePoint Now);
  AttemptActions handle(const DataReceived &E, TimePoint Now);
  AttemptActions handle(const RunEnded &E, TimePoint Now);
  // Aborts and evicts the attempts whose time limits have passed.
  AttemptActions tick(TimePoint Now);
  // Aborts every running attempt with the reason Why, at the time limit of a
  // planned stop.
  AttemptActions giveUpAll(const std::string &Why, TimePoint Now);

  std::size_t running() const { return Running_.size(); }
  // Finished attempts with bytes not yet acknowledged.
  std::size_t unacknowledged() const { return Unacknowledged_; }
  std::size_t finished() const { return FinishedOrder_.size(); }
  std::uint64_t finishedBytes() const { return FinishedBytes_; }
  std::uint64_t evictedEarly() const { return Past_.evictedEarly(); }

private:
  struct Attempt;
  using AttemptMap = std::unordered_map<AttemptId, Attempt>;
  enum class Event : std::size_t;

  AttemptActions refuse(const AttemptId &Attempt, AttemptRefusal Reason,
                        RequesterId From, TimePoint Now);
  AttemptActions repeatOutcome(const AttemptId &Attempt,
                               const PastAttempts::FinalState &FinalState,
                               RequesterId From, TimePoint Now);
  AttemptActions deny(const QueryReceived &E, TimePoint Now);
  AttemptActions fire(Attempt &A, Event E, TimePoint Now);
  void perform(const Attempt &A, std::size_t Which, AttemptActions &Out) const;
  void sendAnswer(const Attempt &A, std::size_t Which,
                  AttemptActions &Out) const;
  void finishRun(Attempt &A, TimePoint Now, AttemptActions &Out);
  // Returns the bytes freed.
  std::uint64_t acknowledge(Attempt &A, std::uint64_t Offset);
  void boundFinished(TimePoint Now);
  void forgetOldest(TimePoint Now);
  AttemptActions giveUp(Attempt &A, const std::string &Why, TimePoint Now);
  std::optional<std::string> abandonReason(const Attempt &A,
                                           TimePoint Now) const;
  std::vector<AttemptId> runningIds() const;

  Chart Chart_;
  AttemptLimits Limits_;
  EndpointFacts Facts_;
  // Accepted attempts, running or finished.
  AttemptMap Attempts_;
  std::unordered_set<AttemptId> Running_;
  PastAttempts Past_;
  struct Finished {
    AttemptId Attempt_;
    TimePoint Until_;
  };
  // Oldest first; the first Dropped_ of them no longer hold any bytes.
  std::deque<Finished> FinishedOrder_;
  std::size_t Dropped_ = 0;
  std::uint64_t FinishedBytes_ = 0;
  std::size_t Unacknowledged_ = 0;
  std::size_t BodyBytes_ = 0;
  // Moving average of the run time, for the retry delay after a refusal.
  Duration MeanRun_ = Milliseconds(100);
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_ATTEMPTTABLE_H
