// RequestCore's state for one request. Internal to RequestCore.

#ifndef HAWTHORNROAD_ROUTING_REQUESTRECORD_H
#define HAWTHORNROAD_ROUTING_REQUESTRECORD_H

#include "hawthornroad/routing/AttemptStream.h"
#include "hawthornroad/routing/CallerAnswer.h"
#include "hawthornroad/routing/RequestChart.h"
#include "hawthornroad/routing/RequestTypes.h"

#include <optional>
#include <set>

namespace hawthornroad {

// The current attempt to run a request at one endpoint.
struct AttemptRecord {
  AttemptId Id_;
  std::uint64_t Number_ = 0;
  Vm Vm_;
  PeerAddress Address_;
  // The agent process the attempt was sent to; once an agent has replied, the
  // process that replied.
  Incarnation Incarnation_ = 0;
  bool HasReplied_ = false;
  AttemptStream Stream_;
  TimePoint BegunAt_;
  // The last update that advanced the answer.
  TimePoint LastProgressAt_;
  TimePoint QueriedAt_;
  // Queries that have not been answered yet.
  unsigned Queries_ = 0;
  std::uint64_t Acked_ = 0;
  bool FirstByteSeen_ = false;
};

struct RequestRecord {
  SharedRequest Call_;
  std::size_t State_ = 0;
  std::optional<AttemptRecord> Attempt_;
  std::set<Vm> Tried_;
  VersionDigest Version_;
  CallerAnswer Answer_;
  // Why the last attempt, or the request itself, failed.
  Problem Problem_;
  // The endpoint that a guard selected for the next attempt.
  std::optional<Vm> Next_;
  // One of the ended attempts may have run.
  bool EndedAttemptMayHaveRun_ = false;
  // The last attempt's endpoint is healthy and may be tried once more.
  bool MayRetrySameVm_ = false;
  // The last attempt was refused because the endpoint had no free slot.
  bool IsOverloaded_ = false;
  bool CallerGone_ = false;
  // The caller has received its final answer.
  bool Answered_ = false;
  bool IsWhole_ = false;
  bool WasAdmitted_ = false;
  unsigned Attempts_ = 0;
  unsigned Status_ = 0;
  std::size_t CallerBacklog_ = 0;
  std::optional<KeptAnswer> Kept_;
  // The outcome of the key as reported by the holder of its claim; takes the
  // place of outcome().
  std::optional<Outcome> ClaimOutcome_;
  Vm LastVm_;
  std::optional<TimePoint> DispatchedAt_;
  std::optional<TimePoint> FirstByteAt_;
  TimePoint LingerUntil_;

  RequestState state() const { return static_cast<RequestState>(State_); }
  bool mayHaveRun() const {
    return EndedAttemptMayHaveRun_ || Attempt_.has_value();
  }
  Outcome outcome() const {
    if (ClaimOutcome_)
      return *ClaimOutcome_;
    if (IsWhole_)
      return Outcome::Answered;
    return mayHaveRun() ? Outcome::Unknown : Outcome::NotRun;
  }
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_REQUESTRECORD_H
