// What RequestCore remembers of one request. Internal to RequestCore.

#ifndef HAWTHORNROAD_ROUTING_REQUESTRECORD_H
#define HAWTHORNROAD_ROUTING_REQUESTRECORD_H

#include "hawthornroad/routing/AttemptStream.h"
#include "hawthornroad/routing/CallerAnswer.h"
#include "hawthornroad/routing/RequestChart.h"
#include "hawthornroad/routing/RequestTypes.h"

#include <optional>
#include <set>

namespace hawthornroad {

// The current try of a request at one endpoint.
struct AttemptRecord {
  AttemptId Id_;
  std::uint64_t Number_ = 0;
  Vm Vm_;
  PeerAddress Address_;
  // The agent process meant, then the one heard.
  Incarnation Incarnation_ = 0;
  bool Heard_ = false;
  AttemptStream Stream_;
  TimePoint BegunAt_;
  // Last word that brought the answer forward.
  TimePoint HeardAt_;
  TimePoint AskedAt_;
  // Questions without an answer so far.
  unsigned Asks_ = 0;
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
  // Why the last attempt, or the request, came to nothing.
  Problem Problem_;
  // The endpoint found by a guard for the next attempt.
  std::optional<Vm> Next_;
  // An attempt that is over may have run.
  bool EndedAttemptMayHaveRun_ = false;
  // The last attempt's endpoint is healthy: it may be tried once more.
  bool MayTrySameAgain_ = false;
  // The last attempt was refused for want of a place.
  bool IsOverloaded_ = false;
  bool CallerGone_ = false;
  // The caller has its final answer.
  bool Answered_ = false;
  bool IsWhole_ = false;
  bool WasAdmitted_ = false;
  unsigned Attempts_ = 0;
  unsigned Status_ = 0;
  std::size_t CallerBacklog_ = 0;
  std::optional<KeptAnswer> Kept_;
  // What the claim's holder says became of the key, in place of outcome().
  std::optional<Outcome> Said_;
  Vm LastVm_;
  std::optional<TimePoint> DispatchedAt_;
  std::optional<TimePoint> FirstByteAt_;
  TimePoint LingerUntil_;

  RequestState state() const { return static_cast<RequestState>(State_); }
  bool mayHaveRun() const {
    return EndedAttemptMayHaveRun_ || Attempt_.has_value();
  }
  Outcome outcome() const {
    if (Said_)
      return *Said_;
    if (IsWhole_)
      return Outcome::Answered;
    return mayHaveRun() ? Outcome::Unknown : Outcome::NotRun;
  }
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_REQUESTRECORD_H
