// Follows one table of the store: lists it, then reads its changes. Decides
// what to request next and when; does no I/O.
//
//   TableWatch W({.Table_ = "servers"});
//   TableWatch::Request A = W.next(Now);     // send it at A.At_
//   W.sent(A, Now);                          // then report the result:
//   if (auto U = W.onRows(Rows, Now)) apply(*U);
//   W.onFailure(StoreFailure::Silent, Now);
//
// States: Listing (collects the pages of a listing; following starts at the
// version of the first page, so no change between pages is lost) and Following.
// When the requested history is no longer kept, the table is listed again; the
// previous rows stay in use until that listing is complete.
//
// Calls are billed, and a busy table would answer every call at once. After an
// answer with rows, or to a call with a Wait of zero, the next call is sent no
// sooner than Pace after the previous one. A failed call is repeated after
// RetryMin, doubling up to RetryMax, with jitter, so that a store that recovers
// is not hit by all readers at the same moment. The repeated call has a Wait of
// zero, so that its answer shows at once that the store is back.
//
// Falling behind. A feed delivers a row once for each change, a listing
// delivers it once. Where rows are long and change often, a reader that was
// disconnected is sent every version it missed, is behind again when it has
// read them, and stays behind. With ListsWhenBehind it lists the table instead:
// after RelistAfterFailures failed calls, and after an answer with
// RelistAfterCopies copies of one row.
//
// Proofs. provenAt() is a time as of which all changes of the table are known
// here. An answer reflects the state no earlier than its call was sent; an
// answer without rows reflects it no earlier than the end of its waiting time,
// since the store answers at once when there are changes. So the last proof is
// up to Pace + Wait old before the next one arrives. A reader that needs recent
// proofs at few calls uses a Wait of zero, and sees changes up to Pace late.

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
    // How long the store may hold a call while nothing changes.
    Duration Wait_ = Milliseconds(2500);
    // Least time between a call that is answered with rows and the next call.
    Duration Pace_ = Milliseconds(0);
    Duration RetryMin_ = Milliseconds(50);
    Duration RetryMax_ = Milliseconds(800);
    // For tables with few, long rows that change often.
    bool ListsWhenBehind_ = false;
    std::uint64_t Seed_ = 1;
  };
  // The next call: a page of the listing from a key on, or the changes after a
  // version. To be sent no sooner than At_.
  struct Request {
    bool IsListing_ = true;
    std::string FromKey_;
    StoreVersion After_ = 0;
    Duration Wait_ = Duration::zero();
    TimePoint At_;
  };
  struct Update {
    // Whether Rows_ is the whole table; otherwise the changes in order.
    bool IsWhole_ = false;
    std::vector<StoreRow> Rows_;
    StoreVersion Version_ = 0;
  };

  explicit TableWatch(Options O)
      : Options_(std::move(O)), Random_(Options_.Seed_) {}

  Request next(TimePoint Now) const;
  // Records that the call was sent at Now; proofs depend on it.
  void sent(const Request &A, TimePoint Now);
  std::optional<Update> onRows(StoreRows Answer, TimePoint Now);
  void onFailure(StoreFailure F, TimePoint Now);

  // Makes the next call due at once, without the pause after a failure.
  void retry(TimePoint Now) { NotBefore_ = Now; }
  // Follows from version V on, whose rows are known from another process.
  void resume(StoreVersion V, TimePoint Now);
  // Lists the table again; the known rows stay in use until then.
  void list(TimePoint Now);
  void setTiming(Duration Wait, Duration Pace) {
    Options_.Wait_ = Wait;
    Options_.Pace_ = Pace;
  }

  // Whether a listing has completed.
  bool isListed() const { return IsListed_; }
  // Failures since the last answer.
  unsigned failures() const { return Failures_; }
  std::optional<TimePoint> provenAt() const { return ProvenAt_; }
  StoreVersion version() const { return After_; }
  // The last call and when it was sent.
  const Request &current() const { return Current_; }
  TimePoint sentAt() const { return SentAt_; }

private:
  void relist();

  Options Options_;
  Random Random_;
  bool Listing_ = true;
  bool IsListed_ = false;
  StoreVersion After_ = 0;
  // The rows of the listing in progress.
  std::vector<StoreRow> ListedRows_;
  StoreVersion ListedAt_ = 0;
  TimePoint ListingSentAt_;
  std::string FromKey_;
  Request Current_;
  TimePoint SentAt_;
  TimePoint NotBefore_;
  unsigned Failures_ = 0;
  // Whether the store may hold the next call. False for the first call after
  // resume(), so that it confirms the state from the other process at once.
  bool MayHold_ = true;
  std::optional<TimePoint> ProvenAt_;
};

// The earliest time at which a change that is first seen at Now may have been
// made: the last proof before it. Time bounds on changes count from when a
// change is made, and with one reader in a zone it is seen up to half a second
// later; a request begun in that half second would be too late. MaxAge limits
// what an outage adds, since the bounds do not apply while the store is
// unreachable.
inline TimePoint earliestChange(std::optional<TimePoint> LastProof,
                                TimePoint Now, Duration MaxAge) {
  TimePoint Earliest = Now - MaxAge;
  return LastProof ? std::max(*LastProof, Earliest) : Earliest;
}

} // namespace hawthornroad

#endif // HAWTHORNROAD_STORE_TABLEWATCH_H
