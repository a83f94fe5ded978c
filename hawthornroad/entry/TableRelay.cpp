#include "hawthornroad/entry/TableRelay.h"

#include "hawthornroad/base/Error.h"
#include "hawthornroad/runtime/Deflate.h"

#include <algorithm>
#include <utility>

namespace hawthornroad {

namespace {
// For shorter values the saving is not worth the processor time.
constexpr std::size_t MinDeflateSize = 2048;
// Followers need a new proof about as often as the reader of the store gets one
// (two a second); answering more often would only cost frames.
constexpr Duration MinProofAdvance = Milliseconds(350);
// Fewer rows are sent one by one: their names take little space.
constexpr std::size_t MinPackedRows = 8;
// Clients at more different versions than this are rare: those of one source
// follow its changes together.
constexpr std::size_t MaxPackedVersions = 4;

std::uint64_t microseconds(Duration D) {
  auto Count = std::chrono::duration_cast<std::chrono::microseconds>(D).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, Count));
}

std::optional<StoreVersion> knownVersion(const wire::TableWantedT &Asker) {
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
  Table &T = Tables_.at(Name);
  T.Copy_.apply(U);
  T.Packed_.clear();
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

void TableRelay::ask(wire::RowsAskT Query, Reply R, TimePoint Now) {
  LastQueryAt_ = Now;
  if (Pending_.size() >= MaxPending) {
    answer(Pending_.front(), Now);
    Pending_.pop_front();
  }
  Pending_.push_back({std::move(Query), std::move(R), Now});
}

void TableRelay::answerDue(TimePoint Now) {
  for (auto Each = Pending_.begin(); Each != Pending_.end();) {
    if (!isDue(*Each, Now)) {
      ++Each;
      continue;
    }
    answer(*Each, Now);
    Each = Pending_.erase(Each);
  }
}

bool TableRelay::isDue(const PendingQuery &H, TimePoint Now) {
  Duration Wait = std::min(MaxWait, Duration(Milliseconds(H.Query_.wait_ms)));
  bool IsCutOff = IsStoreUnavailable_ && !IsReceiving_;
  if (IsCutOff || Now - H.ReceivedAt_ >= Wait)
    return true;
  bool HasNews = false;
  for (const auto &Wanted : H.Query_.tables) {
    Table *T = find(Wanted->table);
    if (T == nullptr)
      return true;
    Duration MaxAge = std::chrono::microseconds(Wanted->max_age_us);
    if (!T->Copy_.isListed() || !T->ProvenAt_ || Now - *T->ProvenAt_ > MaxAge)
      return false;
    TimePoint Known = H.ReceivedAt_ - std::chrono::microseconds(Wanted->age_us);
    HasNews |= T->Copy_.hasChangesSince(knownVersion(*Wanted));
    HasNews |= !Wanted->listed || *T->ProvenAt_ - Known >= MinProofAdvance;
  }
  return HasNews;
}

void TableRelay::answer(const PendingQuery &H, TimePoint Now) {
  ++Answered_;
  wire::RowsAnswerT A;
  A.number = H.Query_.number;
  A.held_us = microseconds(Now - H.ReceivedAt_);
  A.reached_age_us = microseconds(Now - ReachedAt_);
  A.away = IsStoreUnavailable_;
  A.receiving = IsReceiving_;
  for (const auto &Wanted : H.Query_.tables) {
    Table *T = find(Wanted->table);
    if (T == nullptr || !T->Copy_.isListed() || !T->ProvenAt_)
      A.away = true;
    else
      A.tables.push_back(encodeTable(*Wanted, *T, Now));
  }
  H.Reply_(makeFrame(std::move(A)));
}

std::unique_ptr<wire::RelayedTableT>
TableRelay::encodeTable(const wire::TableWantedT &Wanted, Table &T,
                        TimePoint Now) {
  auto Out = std::make_unique<wire::RelayedTableT>();
  Out->table = Wanted.table;
  Out->age_us = microseconds(Now - *T.ProvenAt_);
  std::optional<StoreVersion> After = knownVersion(Wanted);
  Out->version = T.Copy_.version();
  if (T.Copy_.hasChangesSince(After))
    encodeRows(*Out, After, Wanted.accepts_packed, T);
  return Out;
}

void TableRelay::encodeRows(wire::RelayedTableT &Out,
                            std::optional<StoreVersion> After, bool MayPack,
                            Table &T) {
  if (auto Known = T.Packed_.find(After); MayPack && Known != T.Packed_.end()) {
    const PackedRows &P = Known->second;
    Out.whole = P.IsWhole_;
    Out.packed.assign(P.Bytes_.begin(), P.Bytes_.end());
    Out.unpacked_size = P.Length_;
    return;
  }
  TableWatch::Update U = T.Copy_.updateSince(After);
  Out.whole = U.IsWhole_;
  for (const StoreRow &Row : U.Rows_)
    Out.rows.push_back(encodeRow(Row, T));
  if (!MayPack || Out.rows.size() < MinPackedRows)
    return;
  wire::RelayedRowsT Rows;
  Rows.rows = std::exchange(Out.rows, {});
  flatbuffers::FlatBufferBuilder Builder(MinDeflateSize);
  Builder.Finish(wire::RelayedRows::Pack(Builder, &Rows));
  std::string_view Text(
      reinterpret_cast<const char *>(Builder.GetBufferPointer()),
      Builder.GetSize());
  if (T.Packed_.size() >= MaxPackedVersions)
    T.Packed_.clear();
  T.Packed_[After] = {deflate(Text), static_cast<std::uint32_t>(Text.size()),
                      U.IsWhole_};
  encodeRows(Out, After, MayPack, T);
}

std::unique_ptr<wire::RelayedRowT> TableRelay::encodeRow(const StoreRow &Row,
                                                         Table &T) {
  auto Out = std::make_unique<wire::RelayedRowT>();
  Out->key = Row.Key_;
  Out->version = Row.Version_;
  Out->removed = Row.IsRemoved_;
  Out->length = static_cast<std::uint32_t>(Row.Value_.size());
  if (Row.Value_.size() < MinDeflateSize) {
    Out->value.assign(Row.Value_.begin(), Row.Value_.end());
    return Out;
  }
  auto &[Version, Deflated] = T.Deflated_[Row.Key_];
  if (Version != Row.Version_) {
    Deflated = deflate(Row.Value_);
    Version = Row.Version_;
  }
  // The receiver takes a value of the original length for uncompressed, so a
  // deflated value of just that length is sent uncompressed.
  const std::string &Sent =
      Deflated.size() == Row.Value_.size() ? Row.Value_ : Deflated;
  Out->value.assign(Sent.begin(), Sent.end());
  return Out;
}

namespace {
wire::RelayedRowsT unpackRows(const wire::RelayedTableT &T) {
  std::string_view Packed(reinterpret_cast<const char *>(T.packed.data()),
                          T.packed.size());
  std::string Text = inflate(Packed, T.unpacked_size);
  flatbuffers::Verifier Verifier(
      reinterpret_cast<const std::uint8_t *>(Text.data()), Text.size());
  if (!Verifier.VerifyBuffer<wire::RelayedRows>(nullptr))
    throw Error(Step::Receive, "", "packed rows are malformed");
  wire::RelayedRowsT Rows;
  flatbuffers::GetRoot<wire::RelayedRows>(Text.data())->UnPackTo(&Rows);
  return Rows;
}
} // namespace

TableWatch::Update decodeRelayed(const wire::RelayedTableT &T) {
  if (!T.packed.empty()) {
    wire::RelayedTableT Unpacked;
    Unpacked.table = T.table;
    Unpacked.whole = T.whole;
    Unpacked.version = T.version;
    Unpacked.rows = unpackRows(T).rows;
    return decodeRelayed(Unpacked);
  }
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
