#include "hawthornroad/agent/RowReader.h"

#include "hawthornroad/base/Error.h"
#include "hawthornroad/entry/TableRelay.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// How long an entry may wait for newer rows before it answers, and how old its
// rows may be: agents read again when the rows prove wrong.
constexpr Duration MaxHoldTime = Milliseconds(250);
constexpr Duration MaxAge = Seconds(2);

constexpr std::uint64_t microseconds(Duration D) {
  return static_cast<std::uint64_t>(D / std::chrono::microseconds(1));
}
} // namespace

void RowReader::onEntryConnected(const ProcessName &Entry,
                                 ConnectionId Connection, TimePoint Now) {
  Entries_.remove_if([&](const auto &Each) { return Each.first == Entry; });
  auto At = std::next(
      Entries_.begin(),
      static_cast<std::ptrdiff_t>(Random_.below(Entries_.size() + 1)));
  Entries_.emplace(At, Entry, Connection);
  askWaiting(Now);
}

void RowReader::list(const std::string &Table, TimePoint Now, Done D) {
  Reads_.push_back({Table, std::move(D), 0, Now, false, Now});
  Read &R = Reads_.back();
  if (!askConnected(R))
    askKnown(R);
}

void RowReader::askKnown(Read &R) {
  if (Found_.empty())
    return;
  R.IsSearching_ = true;
  Transport_.Dial_(Found_[Random_.below(Found_.size())], question(R));
}

void RowReader::askWaiting(TimePoint Now) {
  for (Read &Each : Reads_) {
    bool IsWaiting =
        Each.Number_ == 0 && !Each.IsSearching_ && !Each.AwaitsData_;
    if (!IsWaiting || !askConnected(Each))
      continue;
    Each.Since_ = Now;
  }
}

void RowReader::searchOverdue(TimePoint Now) {
  bool IsAny = false;
  for (Read &Each : Reads_) {
    bool IsOverdue = Each.Number_ == 0 && !Each.IsSearching_ &&
                     !Each.AwaitsData_ && Now - Each.Since_ >= EntryWait_;
    Each.IsSearching_ |= IsOverdue;
    IsAny |= IsOverdue;
  }
  if (IsAny)
    Transport_.FindEntries_(
        [this](const std::vector<PeerAddress> &Entries) { askFound(Entries); });
}

FrameBuffer RowReader::question(Read &R) {
  wire::RowsAskT Q;
  Q.number = R.Number_ = NextNumber_++;
  Q.wait_ms = static_cast<std::uint32_t>(MaxHoldTime / Milliseconds(1));
  auto Wanted = std::make_unique<wire::TableWantedT>();
  Wanted->table = R.Table_;
  Wanted->max_age_us = microseconds(MaxAge);
  const RowCopy &Copy = Copies_[R.Table_];
  Wanted->listed = Copy.isListed();
  Wanted->after = Copy.version();
  Wanted->accepts_packed = true;
  // At the age limit, so that an entry with newer rows answers at once.
  Wanted->age_us = microseconds(MaxAge);
  Q.tables.push_back(std::move(Wanted));
  return makeFrame(std::move(Q));
}

bool RowReader::askConnected(Read &R) {
  while (!Entries_.empty()) {
    if (Transport_.Reply_(Entries_.front().second, question(R)))
      return true;
    Entries_.pop_front();
  }
  R.Number_ = 0;
  return false;
}

void RowReader::askFound(const std::vector<PeerAddress> &Entries) {
  Found_ = Entries;
  for (auto Each = Reads_.begin(); Each != Reads_.end();) {
    if (Each->Number_ != 0 || !Each->IsSearching_) {
      ++Each;
      continue;
    }
    if (Entries.empty()) {
      Read R = std::move(*Each);
      Each = Reads_.erase(Each);
      readStore(std::move(R));
      continue;
    }
    Transport_.Dial_(Entries[Random_.below(Entries.size())], question(*Each));
    ++Each;
  }
}

void RowReader::askAgain(Read &R, TimePoint Now) {
  R.AwaitsData_ = false;
  R.Since_ = Now;
  if (!askConnected(R))
    askKnown(R);
}

void RowReader::readStore(Read R) {
  Transport_.ReadStore_(R.Table_, [this, R](const StoreReply &Reply) {
    onStore(R.Table_, R.Done_, Reply);
  });
}

void RowReader::onStore(const std::string &Table, const Done &D,
                        const StoreReply &R) {
  if (const auto *Rows = std::get_if<StoreRows>(&R))
    Copies_[Table].apply({true, Rows->Rows_, Rows->Version_});
  D(R);
}

void RowReader::onAnswer(const wire::RowsAnswerT &A) {
  auto Found = std::find_if(Reads_.begin(), Reads_.end(), [&](const Read &R) {
    return R.Number_ == A.number;
  });
  if (Found == Reads_.end())
    return;
  RowCopy &Copy = Copies_[Found->Table_];
  bool IsUsable =
      A.tables.size() == 1 && (A.tables[0]->whole || Copy.isListed());
  if (!IsUsable && !Copy.isListed() && A.receiving) {
    Found->AwaitsData_ = true;
    Found->Number_ = 0;
    return;
  }
  Read R = std::move(*Found);
  Reads_.erase(Found);
  if (!IsUsable) {
    rotateEntries();
    if (Copy.isListed())
      return complete(R);
    return readStore(std::move(R));
  }
  try {
    Copy.apply(decodeRelayed(*A.tables[0]));
  } catch (const Error &) {
    // Corrupted in transit; the store has the same rows.
    return readStore(std::move(R));
  }
  complete(R);
}

void RowReader::complete(const Read &R) {
  const RowCopy &Copy = Copies_[R.Table_];
  R.Done_(
      StoreRows{Copy.updateSince(std::nullopt).Rows_, Copy.version(), false});
}

void RowReader::rotateEntries() {
  if (!Entries_.empty())
    Entries_.splice(Entries_.end(), Entries_, Entries_.begin());
}

void RowReader::tick(TimePoint Now) {
  searchOverdue(Now);
  for (auto Each = Reads_.begin(); Each != Reads_.end();) {
    if (Each->AwaitsData_ && Now - Each->StartedAt_ < DataTimeout) {
      if (Now - Each->Since_ >= DataRetryDelay)
        askAgain(*Each, Now);
      ++Each;
      continue;
    }
    bool IsAsked = Each->Number_ != 0;
    Duration Limit = IsAsked && !Each->IsSearching_
                         ? AnswerTimeout
                         : EntryWait_ + AnswerTimeout;
    if (Each->AwaitsData_)
      Limit = Duration::zero();
    if (Now - Each->Since_ < Limit) {
      ++Each;
      continue;
    }
    rotateEntries();
    // An entry found in the store may have ended; the next read looks again.
    if (Each->IsSearching_)
      Found_.clear();
    Read R = std::move(*Each);
    Each = Reads_.erase(Each);
    readStore(std::move(R));
  }
}

} // namespace hawthornroad
