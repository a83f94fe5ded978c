// Claims idempotency keys in the platform's table, so that a call that must run
// at most once runs at most once in the whole fleet.
//
//   ClaimCore Core(Options, loadClaimChart("charts"), Random(Seed));
//   auto Actions = Core.start(Request, Now);      // ClaimWrite
//   Actions = Core.tableCallEnded(Result, Now);   // ClaimWon, or a ClaimRead
//   ... Actions = Core.settle(SettleClaim{...}, Now); // ClaimWrite of the
//   outcome Actions = Core.tick(Now);
//
// Design: one write before the dispatch. An existing record means "may have
// been dispatched". Only the request that creates it, by a conditional write,
// may dispatch. The second write, after the run, stores the answer for repeats
// of the key. The alternative, to claim first and then mark the dispatch by
// compare-and-set, costs one more write per call and still leaves a gap between
// its second write and the dispatch; docs/design/claims.md compares the two.
//
// Paused holders. A record passes to another holder only if its holder wrote
// "not-run", which it does only after it has given up the dispatch permanently,
// or after ExpiresMs_, a day or more. A holder that was frozen between its
// write and the table's reply may resume after that. So the reply counts only
// within FreshFor of the time the call was made. Later than that, the record is
// first written again by compare-and-set, which fails if anyone has changed it.
// The remaining risk is a freeze longer than the retention period between that
// check and the socket write, together with a caller that repeats its key a day
// later.
//
// Lost replies. A write whose reply was lost is resolved by reading the record
// back: our token in it means that the write took effect. If the table is
// unavailable, the call is refused at once as not run, and the claim, which may
// have been written or may still be, is revoked later. Our own record is set to
// not-run. An absent record is created as not-run, so that the condition of a
// delayed write fails. A free record is rewritten to change its ETag, for the
// same reason. After OutageAfter calls in a row without a reply, new claims are
// refused without a call to the table, except for one per ProbePeriod.
//
// Limits: at most MaxRevoking claims to revoke. Beyond that the oldest are
// dropped; a repeat of such a key is answered "unknown".
// No I/O, no clock, no threads.

#ifndef HAWTHORNROAD_ROUTING_CLAIMCORE_H
#define HAWTHORNROAD_ROUTING_CLAIMCORE_H

#include "hawthornroad/base/Chart.h"
#include "hawthornroad/base/Random.h"
#include "hawthornroad/routing/Claims.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace hawthornroad {

// A conditional write. An empty Etag_ requires that the key is absent.
struct ClaimWrite {
  RequestId Request_;
  std::uint64_t Call_ = 0;
  std::string Key_;
  std::string Value_;
  std::string Etag_;
};
struct ClaimRead {
  RequestId Request_;
  std::uint64_t Call_ = 0;
  std::string Key_;
};
using ClaimAction = std::variant<ClaimWrite, ClaimRead, ClaimVerdict>;

// The result of a call to the table.
struct ClaimCallResult {
  enum class Kind {
    Written,
    Conflict,   // the condition did not hold
    Found,      // a read returned a record
    Missing,    // a read found no record
    Unanswered, // no reply; the call may have taken effect
    Unsent      // no byte reached the table
  };
  RequestId Request_;
  std::uint64_t Call_ = 0;
  Kind Kind_ = Kind::Unanswered;
  std::string Etag_;
  std::string Value_;
};

// Reads Directory/claim.json. Throws Error(Step::Chart).
Chart loadClaimChart(const std::string &Directory);

class ClaimCore {
public:
  struct Options {
    // Name and incarnation of this process; the incarnation is part of the
    // token.
    std::string Holder_;
    Incarnation Incarnation_ = 0;
    Duration Keep_ = Seconds(86400);
    // Maximum time from start() to the verdict.
    Duration Timeout_ = Seconds(2);
    Duration FreshFor_ = Seconds(5);
    Duration ClockSlack_ = Seconds(2);
    unsigned MaxTries_ = 4;
    std::size_t MaxRevoking_ = 1024;
    Duration RetryPeriod_ = Milliseconds(500);
    Duration GiveUpAfter_ = Seconds(600);
    unsigned OutageAfter_ = 3;
    Duration ProbePeriod_ = Milliseconds(500);
  };
  using Actions = std::vector<ClaimAction>;

  ClaimCore(Options O, Chart C, Random Rng);
  ~ClaimCore();
  ClaimCore(const ClaimCore &) = delete;
  ClaimCore &operator=(const ClaimCore &) = delete;

  // The time at Now in milliseconds since the epoch; set before the first call
  // and again on ticks.
  void setWallClock(std::int64_t EpochMs, TimePoint Now);

  Actions start(SharedRequest R, TimePoint Now);
  Actions tableCallEnded(const ClaimCallResult &A, TimePoint Now);
  Actions settle(const SettleClaim &S, TimePoint Now);
  Actions tick(TimePoint Now);

  // Claims whose last write has not completed, including revocations.
  std::size_t open() const;
  // Number of revocations given up or dropped.
  std::uint64_t dropped() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_CLAIMCORE_H
