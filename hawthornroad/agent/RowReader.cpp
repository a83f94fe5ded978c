#include "hawthornroad/agent/RowReader.h"

#include "hawthornroad/base/Error.h"
#include "hawthornroad/entry/TableRelay.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// How long an entry may wait for younger knowledge before it answers, and how
// old that may be: what agents read is looked at again when it proves wrong.
constexpr Duration EntryWait = Milliseconds(250);
constexpr Duration MaxAge = Seconds(2);
} // namespace

void RowReader::entryCame(const ProcessName &Entry, ConnectionId Connection) {
  Entries_.remove_if([&](const auto &Each) { return Each.first == Entry; });
  Entries_.emplace_front(Entry, Connection);
}

void RowReader::list(const std::string &Table, TimePoint Now, Done D) {
  Reads_.push_back({Table, std::move(D), 0, Now});
  if (!askConnected(Reads_.back()))
    Ways_.Find_(
        [this](const std::vector<PeerAddress> &Entries) { askFound(Entries); });
}

FrameBuffer RowReader::question(Read &R) {
  wire::RowsAskT Q;
  Q.number = R.Number_ = NextNumber_++;
  Q.wait_ms = static_cast<std::uint32_t>(EntryWait / Milliseconds(1));
  auto Wanted = std::make_unique<wire::TableWantedT>();
  Wanted->table = R.Table_;
  Wanted->max_age_us =
      static_cast<std::uint64_t>(MaxAge / std::chrono::microseconds(1));
  Q.tables.push_back(std::move(Wanted));
  return makeFrame(std::move(Q));
}

bool RowReader::askConnected(Read &R) {
  while (!Entries_.empty()) {
    if (Ways_.Reply_(Entries_.front().second, question(R)))
      return true;
    Entries_.pop_front();
  }
  R.Number_ = 0;
  return false;
}

void RowReader::askFound(const std::vector<PeerAddress> &Entries) {
  for (auto Each = Reads_.begin(); Each != Reads_.end();) {
    if (Each->Number_ != 0) {
      ++Each;
      continue;
    }
    if (Entries.empty()) {
      Read R = std::move(*Each);
      Each = Reads_.erase(Each);
      readStore(std::move(R));
      continue;
    }
    Ways_.Dial_(Entries[Random_.below(Entries.size())], question(*Each));
    ++Each;
  }
}

void RowReader::readStore(Read R) {
  Ways_.ReadStore_(R.Table_, std::move(R.Done_));
}

void RowReader::onAnswer(const wire::RowsAnswerT &A) {
  auto Found = std::find_if(Reads_.begin(), Reads_.end(), [&](const Read &R) {
    return R.Number_ == A.number;
  });
  if (Found == Reads_.end())
    return;
  Read R = std::move(*Found);
  Reads_.erase(Found);
  if (A.tables.size() != 1 || !A.tables[0]->whole)
    return readStore(std::move(R));
  try {
    TableWatch::Update U = decodeRelayed(*A.tables[0]);
    R.Done_(StoreRows{std::move(U.Rows_), U.Version_, false});
  } catch (const Error &) {
    // Spoilt on the way; the store has the same.
    readStore(std::move(R));
  }
}

void RowReader::tick(TimePoint Now) {
  for (auto Each = Reads_.begin(); Each != Reads_.end();) {
    if (Now - Each->Since_ < AnswerPatience) {
      ++Each;
      continue;
    }
    // Silent: the others are asked before it from now on.
    if (!Entries_.empty())
      Entries_.splice(Entries_.end(), Entries_, Entries_.begin());
    Read R = std::move(*Each);
    Each = Reads_.erase(Each);
    readStore(std::move(R));
  }
}

} // namespace hawthornroad
