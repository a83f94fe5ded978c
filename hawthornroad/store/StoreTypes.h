// What is said to and heard from the platform's store, in our own terms.
//
// The store keeps rows in tables; each row has a key, a value and the version
// of the transaction that wrote it. Versions come from one counter, so they
// order all changes of all tables.

#ifndef HAWTHORNROAD_STORE_STORETYPES_H
#define HAWTHORNROAD_STORE_STORETYPES_H

#include "hawthornroad/base/Types.h"

#include <cstdint>
#include <string>
#include <vector>

namespace hawthornroad {

using StoreVersion = std::uint64_t;

struct StoreRow {
  std::string Table_;
  std::string Key_;
  std::string Value_;
  StoreVersion Version_ = 0;
  bool IsRemoved_ = false;
  bool operator==(const StoreRow &) const = default;
};

// An answer about rows: as of Version_, everything asked for.
struct StoreRows {
  std::vector<StoreRow> Rows_;
  StoreVersion Version_ = 0;
  // More rows follow the last one.
  bool HasMore_ = false;
};

// Rows as they must be for a transaction to be done; 0: must not exist.
struct StoreCondition {
  std::string Table_;
  std::string Key_;
  StoreVersion Version_ = 0;
};

struct StoreTransaction {
  std::vector<StoreCondition> Conditions_;
  std::vector<StoreRow> Puts_;
};

// How a call ended without an answer about rows.
enum class StoreFailure {
  Refused,     // said that nothing was done (overload, away)
  Silent,      // no answer: a write may have been done, or be done later
  HistoryGone, // changes since the version asked for are no longer kept
  Conflict,    // a condition did not hold
  Malformed    // an answer that makes no sense
};
std::string_view toString(StoreFailure F);

} // namespace hawthornroad

#endif // HAWTHORNROAD_STORE_STORETYPES_H
