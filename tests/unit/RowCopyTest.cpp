// Serving updates from a local copy of a table.

#include "hawthornroad/store/RowCopy.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
StoreRow row(const std::string &Key, StoreVersion V,
             const std::string &Value = "v") {
  return {"t", Key, Value, V, false};
}
StoreRow removed(const std::string &Key, StoreVersion V) {
  return {"t", Key, "", V, true};
}
TableWatch::Update whole(std::vector<StoreRow> Rows, StoreVersion V) {
  return {true, std::move(Rows), V};
}
TableWatch::Update changes(std::vector<StoreRow> Rows, StoreVersion V) {
  return {false, std::move(Rows), V};
}
std::vector<std::string> keys(const TableWatch::Update &U, bool Removed) {
  std::vector<std::string> Out;
  for (const StoreRow &Row : U.Rows_)
    if (Row.IsRemoved_ == Removed)
      Out.push_back(Row.Key_);
  return Out;
}
using Keys = std::vector<std::string>;
} // namespace

TEST_CASE("row copy, for a reader without data, returns the whole table",
          "[relay]") {
  RowCopy C;
  REQUIRE_FALSE(C.isListed());
  C.apply(whole({row("a", 1), row("b", 2)}, 10));
  REQUIRE(C.isListed());
  TableWatch::Update U = C.updateSince(std::nullopt);
  REQUIRE(U.IsWhole_);
  REQUIRE(U.Version_ == 10);
  REQUIRE(keys(U, false) == Keys{"a", "b"});
}

TEST_CASE(
    "row copy, for a reader with an earlier version, returns what changed",
    "[relay]") {
  RowCopy C;
  C.apply(whole({row("a", 1), row("b", 2)}, 10));
  C.apply(changes({row("a", 11, "new"), row("c", 12), removed("b", 13)}, 13));
  struct Case {
    StoreVersion After_;
    Keys Changed_, Removed_;
  };
  Case Each = GENERATE(Case{10, {"a", "c"}, {"b"}}, Case{11, {"c"}, {"b"}},
                       Case{13, {}, {}}, Case{20, {}, {}});
  TableWatch::Update U = C.updateSince(Each.After_);
  REQUIRE_FALSE(U.IsWhole_);
  REQUIRE(C.hasChangesSince(Each.After_) == !U.Rows_.empty());
  REQUIRE(keys(U, false) == Each.Changed_);
  REQUIRE(keys(U, true) == Each.Removed_);
}

TEST_CASE(
    "row copy, after many changes of one row, returns only its last version",
    "[relay]") {
  RowCopy C;
  C.apply(whole({row("config", 1)}, 1));
  for (StoreVersion V = 2; V < 30; ++V)
    C.apply(changes({row("config", V, std::to_string(V))}, V));
  TableWatch::Update U = C.updateSince(1);
  REQUIRE(U.Rows_.size() == 1);
  REQUIRE(U.Rows_[0].Value_ == "29");
}

TEST_CASE("row copy, when a listing lacks rows, returns them as removed",
          "[relay]") {
  RowCopy C;
  C.apply(whole({row("a", 1), row("b", 2)}, 10));
  C.apply(whole({row("a", 1)}, 20));
  REQUIRE(keys(C.updateSince(10), true) == Keys{"b"});
  C.apply(changes({row("b", 21)}, 21));
  REQUIRE(keys(C.updateSince(10), true).empty());
  REQUIRE(keys(C.updateSince(10), false) == Keys{"b"});
}

// A source that was cut off answers with an old state after this process has
// read the store itself. Rows that were removed in between must not come back.
TEST_CASE("row copy, given an older state, keeps its own", "[relay]") {
  RowCopy C;
  C.apply(whole({row("a", 1)}, 20));
  C.apply(whole({row("a", 1), row("b", 2)}, 10));
  REQUIRE(C.version() == 20);
  REQUIRE(keys(C.updateSince(std::nullopt), false) == Keys{"a"});
}

TEST_CASE("row copy, after more removals than it keeps, returns the whole "
          "table to a reader from before them",
          "[relay]") {
  RowCopy C;
  C.apply(whole({row("a", 1)}, 1));
  StoreVersion V = 1;
  for (std::size_t I = 0; I <= RowCopy::MaxRemoved; ++I) {
    std::string Key = "r" + std::to_string(I);
    ++V;
    C.apply(changes({row(Key, V)}, V));
    ++V;
    C.apply(changes({removed(Key, V)}, V));
  }
  REQUIRE(C.updateSince(2).IsWhole_);
  REQUIRE_FALSE(C.updateSince(V - 10).IsWhole_);
  REQUIRE_FALSE(C.updateSince(3).IsWhole_);
}
