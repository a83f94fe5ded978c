#include "hawthornroad/entry/EvacuationRows.h"
#include "platform/Names.h"
#include "platform/StoreWire.h"

namespace hawthornroad {

EvacuationRows readEvacuationRows(const TableWatch::Update &U) {
  EvacuationRows Out;
  Out.Update_.IsWhole_ = U.IsWhole_;
  for (const StoreRow &Row : U.Rows_) {
    if (!Row.Key_.starts_with(platform::EvacuationKey))
      continue;
    if (auto Zone = platform::decodeEvacuationKey(Row.Key_))
      Out.Update_.Rows_.push_back({*Zone, Row.IsRemoved_});
    else if (!Row.IsRemoved_)
      Out.Unreadable_.push_back(Row.Key_);
  }
  return Out;
}

} // namespace hawthornroad
