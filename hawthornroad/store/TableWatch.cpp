#include "hawthornroad/store/TableWatch.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace hawthornroad {

namespace {
// The random share of a pause between retries.
constexpr double RetrySpread = 0.4;
// Enough doublings to reach the longest pause with any options.
constexpr unsigned MaxDoublings = 8;
// A single failed call may be a lost answer; two take about as long as four
// changes of a row that changes every half second.
constexpr unsigned RelistAfterFailures = 2;
// A reader that keeps up gets one or two versions of a row at a time.
constexpr std::size_t RelistAfterCopies = 3;

// Whether one row occurs so often that only its latest version is worth
// reading.
bool hasManyCopies(const std::vector<StoreRow> &Rows) {
  std::map<std::string_view, std::size_t> Copies;
  for (const StoreRow &Each : Rows)
    if (++Copies[Each.Key_] >= RelistAfterCopies)
      return true;
  return false;
}
} // namespace

std::string_view toString(StoreFailure F) {
  switch (F) {
  case StoreFailure::Refused:
    return "refused";
  case StoreFailure::Silent:
    return "silent";
  case StoreFailure::HistoryGone:
    return "history_gone";
  case StoreFailure::Conflict:
    return "conflict";
  case StoreFailure::Malformed:
    return "malformed";
  }
  return "unknown";
}

TableWatch::Request TableWatch::next(TimePoint Now) const {
  Request A;
  A.IsListing_ = Listing_;
  A.FromKey_ = FromKey_;
  A.After_ = After_;
  bool MayHold = !Listing_ && Failures_ == 0 && MayHold_;
  A.Wait_ = MayHold ? Options_.Wait_ : Duration::zero();
  A.At_ = std::max(Now, NotBefore_);
  return A;
}

void TableWatch::sent(const Request &A, TimePoint Now) {
  Current_ = A;
  SentAt_ = Now;
  if (A.IsListing_ && A.FromKey_.empty())
    ListingSentAt_ = Now;
}

std::optional<TableWatch::Update> TableWatch::onRows(StoreRows Answer,
                                                     TimePoint Now) {
  Failures_ = 0;
  MayHold_ = true;
  NotBefore_ = Now;
  if (!Current_.IsListing_) {
    bool IsEmpty = Answer.Rows_.empty();
    TimePoint Proof =
        IsEmpty ? std::min(Now, SentAt_ + Current_.Wait_) : SentAt_;
    // An empty answer before the end of the waiting time proves no more than
    // the state when its call was sent.
    if (IsEmpty && Now < SentAt_ + Current_.Wait_)
      Proof = SentAt_;
    ProvenAt_ = Proof;
    After_ = std::max(After_, Answer.Version_);
    if (!IsEmpty || Current_.Wait_ == Duration::zero())
      NotBefore_ = std::max(Now, SentAt_ + Options_.Pace_);
    if (IsEmpty)
      return std::nullopt;
    if (Options_.ListsWhenBehind_ && hasManyCopies(Answer.Rows_))
      relist();
    return Update{false, std::move(Answer.Rows_), After_};
  }
  if (FromKey_.empty())
    ListedAt_ = Answer.Version_;
  for (StoreRow &Each : Answer.Rows_)
    ListedRows_.push_back(std::move(Each));
  if (Answer.HasMore_ && !ListedRows_.empty()) {
    // The smallest key after the last one.
    FromKey_ = ListedRows_.back().Key_ + '\0';
    return std::nullopt;
  }
  Listing_ = false;
  IsListed_ = true;
  After_ = ListedAt_;
  ProvenAt_ = ListingSentAt_;
  FromKey_.clear();
  NotBefore_ = std::max(Now, SentAt_ + Options_.Pace_);
  return Update{true, std::exchange(ListedRows_, {}), After_};
}

void TableWatch::relist() {
  Listing_ = true;
  FromKey_.clear();
  ListedRows_.clear();
}

void TableWatch::resume(StoreVersion V, TimePoint Now) {
  Listing_ = false;
  IsListed_ = true;
  FromKey_.clear();
  ListedRows_.clear();
  After_ = V;
  Failures_ = 0;
  NotBefore_ = Now;
  MayHold_ = false;
}

void TableWatch::list(TimePoint Now) {
  relist();
  Failures_ = 0;
  NotBefore_ = Now;
}

void TableWatch::onFailure(StoreFailure F, TimePoint Now) {
  if (F == StoreFailure::HistoryGone) {
    relist();
    NotBefore_ = Now;
    return;
  }
  // A listing restarts from its first page when a page fails, as earlier pages
  // may be outdated.
  bool IsBehind =
      Options_.ListsWhenBehind_ && Failures_ + 1 >= RelistAfterFailures;
  if (Listing_ || IsBehind)
    relist();
  Duration Pause =
      Options_.RetryMin_ * (1 << std::min(Failures_, MaxDoublings));
  Pause = std::min(Pause, Options_.RetryMax_);
  ++Failures_;
  NotBefore_ = Now + Random_.jitter(Pause, RetrySpread);
}

} // namespace hawthornroad
