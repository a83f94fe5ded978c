// Follows one table of the store: lists it, then hears what changes; decides
// what to ask next and when.
//
//   TableWatch W({.Table_ = "servers"});
//   TableWatch::Ask A = W.next(Now);         // do it, then tell one of:
//   if (auto U = W.onRows(Rows, Now)) apply(*U);
//   W.onFailure(StoreFailure::Silent, Now);
//
// States: Listing (pages of a listing are gathered; the first page's version is
// where following begins, so nothing between pages is lost) and Following. When
// the history asked for is gone the table is listed again; until that listing
// is whole, what was known stays in use.
//
// Calls are priced, and a busy table would answer every call at once: after an
// answer with rows, or to a call that was not to be held (Wait zero), the next
// call is sent no sooner than Pace after that one was. A failed call is
// repeated after RetryMin, doubling to RetryMax, with a random part, so that a
// store that returns does not meet all readers at the same moment; and it is
// not held, so that the return is known with the first answer.
//
// Falling behind. Followed rows come once for each change, listed ones once.
// Where rows are long and change often, a reader that was away is sent every
// version it missed, is behind again when it has read them, and stays so. With
// ListsWhenBehind it lists instead: after failures that took BehindFailures
// calls, and after an answer with BehindCopies of one row.
//
// Proofs. provenAt() is a moment as of which everything in the table is known
// here: an answer tells the state no earlier than its call was sent, and one
// without rows no earlier than the end of its waiting time, for the store
// answers at once when there is something to tell. So the last proof is up to
// Pace + Wait old before the next one is had: who needs young proofs for few
// calls asks with a Wait of zero, at the price of hearing Pace late.

#ifndef HAWTHORNROAD_STORE_TABLEWATCH_H
#define HAWTHORNROAD_STORE_TABLEWATCH_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/store/StoreTypes.h"

#include <algorithm>
#include <optional>

namespace hawthornroad {

class TableWatch {
public:
  struct Options {
    std::string Table_;
    // How long the store may hold a call when nothing changes.
    Duration Wait_ = Milliseconds(2500);
    // Between a call that is answered with rows and the next one.
    Duration Pace_ = Milliseconds(0);
    Duration RetryMin_ = Milliseconds(50);
    Duration RetryMax_ = Milliseconds(800);
    // For tables of few, long rows that change often.
    bool ListsWhenBehind_ = false;
    std::uint64_t Seed_ = 1;
  };
  // The next call: a page of the listing after a key, or changes after a
  // version. Not before At_.
  struct Ask {
    bool IsListing_ = true;
    std::string FromKey_;
    StoreVersion After_ = 0;
    Duration Wait_ = Duration::zero();
    TimePoint At_;
  };
  struct Update {
    // Rows_ are the whole table; else changes in order.
    bool IsWhole_ = false;
    std::vector<StoreRow> Rows_;
    StoreVersion Version_ = 0;
  };

  explicit TableWatch(Options O)
      : Options_(std::move(O)), Random_(Options_.Seed_) {}

  Ask next(TimePoint Now) const;
  // The call was sent; Now is when. Needed for proofs.
  void sent(const Ask &A, TimePoint Now);
  std::optional<Update> onRows(StoreRows Answer, TimePoint Now);
  void onFailure(StoreFailure F, TimePoint Now);

  // The next call is due at once, whatever the pause after a failure.
  void retry(TimePoint Now) { NotBefore_ = Now; }
  // The table as of V is known from elsewhere: follows from there.
  void resume(StoreVersion V, TimePoint Now);
  // The table is listed anew; what was known stays in use until then.
  void list(TimePoint Now);
  void setRhythm(Duration Wait, Duration Pace) {
    Options_.Wait_ = Wait;
    Options_.Pace_ = Pace;
  }

  // Whether a whole listing has been had.
  bool isListed() const { return IsListed_; }
  // Failures since the last answer.
  unsigned failures() const { return Failures_; }
  std::optional<TimePoint> provenAt() const { return ProvenAt_; }
  StoreVersion version() const { return After_; }
  // The last call and when it was sent.
  const Ask &current() const { return Current_; }
  TimePoint sentAt() const { return SentAt_; }

private:
  void relist();

  Options Options_;
  Random Random_;
  bool Listing_ = true;
  bool IsListed_ = false;
  StoreVersion After_ = 0;
  // Of the listing in progress.
  std::vector<StoreRow> Gathered_;
  StoreVersion ListedAt_ = 0;
  TimePoint ListingSentAt_;
  std::string FromKey_;
  Ask Current_;
  TimePoint SentAt_;
  TimePoint NotBefore_;
  unsigned Failures_ = 0;
  // Unset for the first call after resume(), which proves at once what another
  // process has told.
  bool IsHeld_ = true;
  std::optional<TimePoint> ProvenAt_;
};

// The earliest moment at which a change that is seen Now may have been made:
// after the last proof without it. Bounds count from the making, and with one
// reader for a zone a change is seen up to half a second later; a request begun
// in that half second would be begun too late. Most bounds what an outage adds,
// for bounds do not run while the store is away.
inline TimePoint earliestChange(std::optional<TimePoint> LastProof,
                                TimePoint Now, Duration Most) {
  TimePoint Earliest = Now - Most;
  return LastProof ? std::max(*LastProof, Earliest) : Earliest;
}

} // namespace hawthornroad

#endif // HAWTHORNROAD_STORE_TABLEWATCH_H
