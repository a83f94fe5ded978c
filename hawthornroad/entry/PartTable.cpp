#include "hawthornroad/entry/PartTable.h"

#include "hawthornroad/base/Error.h"
#include "hawthornroad/peers/PartCodec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace hawthornroad {

namespace {
// The table, which only this system uses.
constexpr std::string_view Table = "prompt_parts";
constexpr int KeyBase = 16;
// Writers that learn of a change together do not meet at its row.
constexpr double WriteSpread = 0.9;

std::string keyOf(PromptPart Part) {
  std::array<char, 2 * sizeof(PromptPart)> Text{};
  auto Result =
      std::to_chars(Text.data(), Text.data() + Text.size(), Part, KeyBase);
  return {Text.data(), Result.ptr};
}
} // namespace

PartTable::PartTable(Transport T, Owner O, Random R)
    : Transport_(std::move(T)), Owner_(std::move(O)), Random_(R) {}

PartTable::~PartTable() { *Alive_ = false; }

void PartTable::read(TimePoint Now) {
  if (IsRead_ || IsBusy_ || ListAt_)
    return;
  ListAt_ = Now;
  tick(Now);
}

void PartTable::changed(const std::vector<PartEvidence> &Parts, TimePoint Now) {
  for (const PartEvidence &Each : Parts)
    if (Each.Crashes_.size() >= MinCrashes || Each.Blocks_ > 0 ||
        Rows_.contains(Each.Part_))
      Changed_.insert(Each.Part_);
  if (!Changed_.empty() && !ListAt_ && !IsBusy_)
    ListAt_ = Now + Random_.jitter(WriteDelay, WriteSpread);
}

void PartTable::tick(TimePoint Now) {
  if (IsBusy_ || !ListAt_ || Now < *ListAt_)
    return;
  ListAt_.reset();
  IsFirstPage_ = true;
  list("");
}

void PartTable::retryLater(TimePoint Now) {
  ListAt_ = Now + Random_.jitter(RetryDelay_, WriteSpread);
  RetryDelay_ = std::min<Duration>(2 * RetryDelay_, MaxRetryDelay);
}

void PartTable::list(const std::string &FromKey) {
  IsBusy_ = true;
  Transport_.List_(std::string(Table), FromKey,
                   [this, Alive = Alive_](const StoreReply &R) {
                     if (*Alive)
                       onList(R);
                   });
}

void PartTable::onList(const StoreReply &R) {
  IsBusy_ = false;
  TimePoint Now = Transport_.Clock_();
  const auto *Rows = std::get_if<StoreRows>(&R);
  if (Rows == nullptr)
    return retryLater(Now);
  take(*Rows, Now);
  bool HasMore = Rows->HasMore_ && !Rows->Rows_.empty() &&
                 Rows_.size() < CrashingParts::MaxParts;
  // The first key after the last one.
  if (HasMore)
    return list(Rows->Rows_.back().Key_ + '\0');
  IsRead_ = true;
  RetryDelay_ = RetryDelay;
  write(Now);
}

void PartTable::take(const StoreRows &Rows, TimePoint Now) {
  if (std::exchange(IsFirstPage_, false))
    Rows_.clear();
  StoreClock_ = Rows.Clock_;
  ListedAt_ = Now;
  std::vector<PartEvidence> Read = decode(Rows, Now);
  if (Read.empty())
    return;
  Owner_.Merge_(Read);
  for (const PartEvidence &Each : Read)
    if (const PartEvidence *Known = Owner_.Find_(Each.Part_);
        Known != nullptr && !isUpToDate(*Known))
      Changed_.insert(Each.Part_);
}

std::vector<PartEvidence> PartTable::decode(const StoreRows &Rows,
                                            TimePoint Now) {
  std::vector<PartEvidence> Out;
  for (const StoreRow &Each : Rows.Rows_) {
    try {
      PartEvidence E = decodePartRow(
          Each.Value_, Rows.Clock_.value_or(Milliseconds(0)), Now);
      // Its key says where it is written to.
      if (keyOf(E.Part_) != Each.Key_)
        throw Error(Step::Table, Each.Key_, "the row is of another part");
      Rows_[E.Part_] = {Each.Version_, E};
      Out.push_back(std::move(E));
    } catch (const Error &E) {
      if (Owner_.OnUnreadable_)
        Owner_.OnUnreadable_(Each.Key_, E.message());
    }
  }
  return Out;
}

// What the row has is known here, too, unless a whole answer came after it.
bool PartTable::isUpToDate(const PartEvidence &Known) const {
  auto Found = Rows_.find(Known.Part_);
  if (Found == Rows_.end())
    return false;
  const PartEvidence &Row = Found->second.Evidence_;
  return Row.Crashes_.size() == Known.Crashes_.size() &&
         Row.Blocks_ == Known.Blocks_ &&
         Row.Block_.has_value() == Known.Block_.has_value();
}

void PartTable::write(TimePoint Now) {
  StoreTransaction T;
  std::set<PromptPart> Parts;
  Milliseconds WrittenAt =
      StoreClock_.value_or(Milliseconds(0)) +
      std::chrono::duration_cast<Milliseconds>(Now - ListedAt_);
  while (!Changed_.empty() && Parts.size() < MaxRows) {
    PromptPart Part = *Changed_.begin();
    Changed_.erase(Changed_.begin());
    const PartEvidence *Known = Owner_.Find_(Part);
    if (Known == nullptr || isUpToDate(*Known))
      continue;
    auto Found = Rows_.find(Part);
    T.Conditions_.push_back(
        {std::string(Table), keyOf(Part),
         Found == Rows_.end() ? 0 : Found->second.Version_});
    T.Puts_.push_back({std::string(Table), keyOf(Part),
                       encodePartRow(*Known, WrittenAt, Now)});
    Parts.insert(Part);
  }
  if (!Changed_.empty())
    ListAt_ = Now + WriteDelay;
  if (Parts.empty())
    return;
  IsBusy_ = true;
  Transport_.Write_(
      T, [this, Alive = Alive_, Parts = std::move(Parts)](const StoreReply &R) {
        if (*Alive)
          onWritten(R, Parts);
      });
}

void PartTable::onWritten(const StoreReply &R,
                          const std::set<PromptPart> &Parts) {
  IsBusy_ = false;
  TimePoint Now = Transport_.Clock_();
  if (std::holds_alternative<StoreRows>(R)) {
    RetryDelay_ = RetryDelay;
    for (PromptPart Each : Parts)
      Rows_.try_emplace(Each);
    if (!Changed_.empty())
      ListAt_ = Now + WriteDelay;
    return;
  }
  // It may have been written all the same; the next listing shows it.
  Changed_.insert(Parts.begin(), Parts.end());
  retryLater(Now);
}

std::function<void(const std::string &Key, const std::string &Why)>
logUnreadableParts(EventLog &Log, RowFaults &Faults) {
  return [&Log, &Faults](const std::string &Key, const std::string &Why) {
    if (Faults.note(Key, Why))
      Log.write(LogLine("prompt_part_unreadable")
                    .text("key", RowFaults::shortened(Key))
                    .text("detail", RowFaults::shortened(Why)),
                true);
  };
}

PartTable::Transport partTransport(StoreClient &Store,
                                   std::function<TimePoint()> Clock) {
  PartTable::Transport T;
  T.List_ = [&Store](const std::string &Table, const std::string &FromKey,
                     PartTable::Transport::Done D) {
    Store.list(Table, FromKey, "", std::move(D));
  };
  T.Write_ = [&Store](const StoreTransaction &W, PartTable::Transport::Done D) {
    Store.write(W, std::move(D));
  };
  T.Clock_ = std::move(Clock);
  return T;
}

} // namespace hawthornroad
