#include "hawthornroad/entry/TableRelay.h"

#include "hawthornroad/runtime/Deflate.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// Shorter values gain less than the work costs.
constexpr std::size_t DeflateFrom = 2048;
// Followers need a new proof about as often as the first reader has one (two a
// second); sooner would only cost frames.
constexpr Duration ProofStep = Milliseconds(350);

std::uint64_t microseconds(Duration D) {
  auto Count = std::chrono::duration_cast<std::chrono::microseconds>(D).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, Count));
}

std::optional<StoreVersion> knownTo(const wire::TableWantedT &Asker) {
  if (!Asker.listed)
    return std::nullopt;
  return Asker.after;
}
} // namespace

TableRelay::TableRelay(const std::vector<std::string> &Tables) {
  for (const std::string &Each : Tables)
    Tables_[Each];
}

TableRelay::Table *TableRelay::find(const std::string &Name) {
  auto Found = Tables_.find(Name);
  return Found == Tables_.end() ? nullptr : &Found->second;
}

void TableRelay::apply(const std::string &Name, const TableWatch::Update &U) {
  Tables_.at(Name).Copy_.apply(U);
}

void TableRelay::prove(const std::string &Name, TimePoint AsOf) {
  std::optional<TimePoint> &Proof = Tables_.at(Name).ProvenAt_;
  Proof = Proof ? std::max(*Proof, AsOf) : AsOf;
}

const RowCopy &TableRelay::copy(const std::string &Name) const {
  return Tables_.at(Name).Copy_;
}

std::optional<TimePoint> TableRelay::provenAt(const std::string &Name) const {
  return Tables_.at(Name).ProvenAt_;
}

void TableRelay::ask(wire::RowsAskT Question, Reply R, TimePoint Now) {
  LastAsked_ = Now;
  if (Held_.size() >= MaxHeld) {
    answer(Held_.front(), Now);
    Held_.pop_front();
  }
  Held_.push_back({std::move(Question), std::move(R), Now});
}

void TableRelay::settle(TimePoint Now) {
  for (auto Each = Held_.begin(); Each != Held_.end();) {
    if (!isDue(*Each, Now)) {
      ++Each;
      continue;
    }
    answer(*Each, Now);
    Each = Held_.erase(Each);
  }
}

bool TableRelay::isDue(const Held &H, TimePoint Now) {
  Duration Wait =
      std::min(MaxWait, Duration(Milliseconds(H.Question_.wait_ms)));
  bool IsUnreached = IsAway_ && !IsReceiving_;
  if (IsUnreached || Now - H.CameAt_ >= Wait)
    return true;
  bool HasNews = false;
  for (const auto &Wanted : H.Question_.tables) {
    Table *T = find(Wanted->table);
    if (T == nullptr)
      return true;
    Duration MaxAge = std::chrono::microseconds(Wanted->max_age_us);
    if (!T->Copy_.isListed() || !T->ProvenAt_ || Now - *T->ProvenAt_ > MaxAge)
      return false;
    TimePoint Known = H.CameAt_ - std::chrono::microseconds(Wanted->age_us);
    HasNews |= T->Copy_.hasNews(knownTo(*Wanted));
    HasNews |= !Wanted->listed || *T->ProvenAt_ - Known >= ProofStep;
  }
  return HasNews;
}

void TableRelay::answer(const Held &H, TimePoint Now) {
  ++Answered_;
  wire::RowsAnswerT A;
  A.number = H.Question_.number;
  A.held_us = microseconds(Now - H.CameAt_);
  A.reached_age_us = microseconds(Now - ReachedAt_);
  A.away = IsAway_;
  A.receiving = IsReceiving_;
  for (const auto &Wanted : H.Question_.tables) {
    Table *T = find(Wanted->table);
    if (T == nullptr || !T->Copy_.isListed() || !T->ProvenAt_)
      A.away = true;
    else
      A.tables.push_back(tell(*Wanted, *T, Now));
  }
  H.Reply_(makeFrame(std::move(A)));
}

std::unique_ptr<wire::RelayedTableT>
TableRelay::tell(const wire::TableWantedT &Wanted, Table &T, TimePoint Now) {
  auto Out = std::make_unique<wire::RelayedTableT>();
  Out->table = Wanted.table;
  Out->age_us = microseconds(Now - *T.ProvenAt_);
  std::optional<StoreVersion> After = knownTo(Wanted);
  Out->version = T.Copy_.version();
  if (!T.Copy_.hasNews(After))
    return Out;
  TableWatch::Update U = T.Copy_.since(After);
  Out->whole = U.IsWhole_;
  for (const StoreRow &Row : U.Rows_)
    Out->rows.push_back(tell(Row, T));
  return Out;
}

std::unique_ptr<wire::RelayedRowT> TableRelay::tell(const StoreRow &Row,
                                                    Table &T) {
  auto Out = std::make_unique<wire::RelayedRowT>();
  Out->key = Row.Key_;
  Out->version = Row.Version_;
  Out->removed = Row.IsRemoved_;
  Out->length = static_cast<std::uint32_t>(Row.Value_.size());
  if (Row.Value_.size() < DeflateFrom) {
    Out->value.assign(Row.Value_.begin(), Row.Value_.end());
    return Out;
  }
  auto &[Version, Short] = T.Short_[Row.Key_];
  if (Version != Row.Version_) {
    Short = deflate(Row.Value_);
    Version = Row.Version_;
  }
  // As long as it was, it would be taken for plain.
  const std::string &Sent =
      Short.size() == Row.Value_.size() ? Row.Value_ : Short;
  Out->value.assign(Sent.begin(), Sent.end());
  return Out;
}

TableWatch::Update decodeRelayed(const wire::RelayedTableT &T) {
  TableWatch::Update U;
  U.IsWhole_ = T.whole;
  U.Version_ = T.version;
  for (const auto &Each : T.rows) {
    StoreRow Row;
    Row.Table_ = T.table;
    Row.Key_ = Each->key;
    Row.Version_ = Each->version;
    Row.IsRemoved_ = Each->removed;
    std::string_view Bytes(reinterpret_cast<const char *>(Each->value.data()),
                           Each->value.size());
    Row.Value_ = Bytes.size() == Each->length ? std::string(Bytes)
                                              : inflate(Bytes, Each->length);
    U.Rows_.push_back(std::move(Row));
  }
  return U;
}

} // namespace hawthornroad
