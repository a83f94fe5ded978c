#include "hawthornroad/store/RowCopy.h"

#include <algorithm>
#include <set>

namespace hawthornroad {

void RowCopy::remove(const std::string &Key, StoreVersion At) {
  if (Rows_.erase(Key) == 0)
    return;
  Removed_[Key] = At;
  LastChange_ = std::max(LastChange_, At);
}

void RowCopy::apply(const TableWatch::Update &U) {
  // An older state from a peer that is behind must not restore removed rows.
  if (IsListed_ && U.Version_ < Version_)
    return;
  if (U.IsWhole_) {
    std::set<std::string> Present;
    for (const StoreRow &Row : U.Rows_)
      Present.insert(Row.Key_);
    std::vector<std::string> Missing;
    for (const auto &[Key, Row] : Rows_)
      if (!Present.contains(Key))
        Missing.push_back(Key);
    for (const std::string &Key : Missing)
      remove(Key, U.Version_);
    if (!IsListed_)
      RemovalsKnownFrom_ = U.Version_;
    IsListed_ = true;
  }
  for (const StoreRow &Row : U.Rows_) {
    if (Row.IsRemoved_) {
      remove(Row.Key_, U.Version_);
      continue;
    }
    Removed_.erase(Row.Key_);
    Rows_[Row.Key_] = Row;
    LastChange_ = std::max(LastChange_, Row.Version_);
  }
  Version_ = std::max(Version_, U.Version_);
  dropOldRemovals();
}

void RowCopy::dropOldRemovals() {
  while (Removed_.size() > MaxRemoved) {
    auto Oldest = std::min_element(
        Removed_.begin(), Removed_.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; });
    RemovalsKnownFrom_ = std::max(RemovalsKnownFrom_, Oldest->second);
    Removed_.erase(Oldest);
  }
}

TableWatch::Update
RowCopy::updateSince(std::optional<StoreVersion> After) const {
  TableWatch::Update U;
  U.Version_ = Version_;
  U.IsWhole_ = !After || *After < RemovalsKnownFrom_;
  for (const auto &[Key, Row] : Rows_)
    if (U.IsWhole_ || Row.Version_ > *After)
      U.Rows_.push_back(Row);
  if (U.IsWhole_)
    return U;
  for (const auto &[Key, At] : Removed_) {
    if (At <= *After)
      continue;
    StoreRow Removal;
    Removal.Key_ = Key;
    Removal.Version_ = At;
    Removal.IsRemoved_ = true;
    U.Rows_.push_back(std::move(Removal));
  }
  return U;
}

} // namespace hawthornroad
