// Requests to and answers from the platform's store, independent of its wire
// format.
//
// The store keeps rows in tables; each row has a key, a value and the version
// of the transaction that wrote it. Versions come from one counter, so they
// order all changes of all tables.

#ifndef HAWTHORNROAD_STORE_STORETYPES_H
#define HAWTHORNROAD_STORE_STORETYPES_H

#include "hawthornroad/base/Types.h"

#include <cstdint>
#include <optional>
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

// An answer with rows: all requested rows as of Version_.
struct StoreRows {
  std::vector<StoreRow> Rows_;
  StoreVersion Version_ = 0;
  // More rows follow after the last one.
  bool HasMore_ = false;
  // Of the store, which steps never set back; unset when not stated.
  std::optional<Milliseconds> Clock_;
};

// The version a row must have for a transaction to be applied; 0: the row must
// not exist.
struct StoreCondition {
  std::string Table_;
  std::string Key_;
  StoreVersion Version_ = 0;
};

struct StoreTransaction {
  std::vector<StoreCondition> Conditions_;
  std::vector<StoreRow> Puts_;
};

// Why a call ended without an answer with rows.
enum class StoreFailure {
  Refused,     // the store reports that nothing was done (overload, outage)
  Silent,      // no answer: a write may have been applied, or may be later
  HistoryGone, // changes since the requested version are no longer kept
  Conflict,    // a condition did not hold
  Malformed    // the answer could not be decoded
};
std::string_view toString(StoreFailure F);

} // namespace hawthornroad

#endif // HAWTHORNROAD_STORE_STORETYPES_H
