// Claims idempotency keys in the platform's table, so that a call that must run
// at most once runs at most once in the whole fleet.
//
//   ClaimCore Core(Options, loadClaimChart("charts"), Random(Seed));
//   auto Actions = Core.start(Request, Now);      // ClaimWrite
//   Actions = Core.tableAnswer(Answer, Now);      // ClaimWon, or read back ...
//   Actions = Core.settle(SettleClaim{...}, Now); // ClaimWrite of the outcome
//   Actions = Core.tick(Now);
//
// The idea: one write before the dispatch. A record that exists means "may have
// been dispatched"; whoever creates it by conditional write, and only they, may
// dispatch. The second write, after the run, keeps the answer for repeats of
// the key. The other way, claimed first and then dispatched by compare-and-set,
// costs one more write a call and still leaves the gap between its second write
// and the dispatch; docs/design/claims.md weighs them.
//
// Why a paused holder can do no harm. A record passes to another holder only if
// its holder wrote "not-run", which it does only after it has given up the
// dispatch for good, or after ExpiresMs_, a day or more. A holder that was
// frozen between its write and the answer to it may wake up after that. So the
// answer counts only within FreshFor of the moment the call was made; later the
// record is written again under compare-and-set first, which fails when anybody
// has touched it. What remains is a freeze longer than the keeping time between
// that check and the socket, and it would need the caller to repeat its key a
// day later.
//
// A lost answer to the write is resolved by reading back: our token in the
// record means it took effect. With the table out the call is refused at once
// as not run, and the claim, should it have landed or land yet, is revoked
// later: our own record is set to not-run; an absent one is created as not-run,
// so that a write still under way fails its condition; a free one is rewritten
// to change its ETag for the same reason. After OutageAfter calls in a row
// without an answer new claims are refused without a call, but for one in
// ProbePeriod.
//
// Bounds: MaxRevoking claims to be revoked; the oldest beyond are dropped, at
// the price that a repeat of such a key is told "unknown".
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

// A conditional write. Empty Etag_ means: only if the key is absent.
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
using ClaimAction = std::variant<ClaimWrite, ClaimRead, ClaimWord>;

// How a call to the table ended.
struct ClaimAnswer {
  enum class Kind {
    Written,
    Conflict,   // the condition did not hold
    Found,      // a read's value
    Missing,    // a read found nothing
    Unanswered, // it may have taken effect
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
    // Of this process: part of the token.
    std::string Holder_;
    Incarnation Incarnation_ = 0;
    Duration Keep_ = Seconds(86400);
    // Longest time from start() to the answer.
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

  // Milliseconds since the epoch at Now; told before the first call and again
  // on ticks.
  void setWallClock(std::int64_t EpochMs, TimePoint Now);

  Actions start(SharedRequest R, TimePoint Now);
  Actions tableAnswer(const ClaimAnswer &A, TimePoint Now);
  Actions settle(const SettleClaim &S, TimePoint Now);
  Actions tick(TimePoint Now);

  // Claims whose last write is not done, revoked ones included.
  std::size_t open() const;
  // Revocations given up or dropped.
  std::uint64_t dropped() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_CLAIMCORE_H
