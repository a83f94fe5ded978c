#include "hawthornroad/routing/PrefixAffinity.h"

#include "hawthornroad/base/Hash.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>

using namespace hawthornroad;

namespace {
PrefixAffinity::Member member(std::size_t I) {
  return {rendezvousScore("vm-" + std::to_string(I), ""), I};
}
PrefixAffinity circle(std::size_t Count) {
  PrefixAffinity A;
  for (std::size_t I = 0; I < Count; ++I)
    A.add(member(I));
  return A;
}
std::size_t firstOf(const PrefixAffinity &A, std::uint64_t Prefix) {
  return A.candidates(Prefix).Handles_[0];
}
} // namespace

TEST_CASE("prefixes, over many endpoints, spread and move little",
          "[affinity]") {
  constexpr std::uint64_t Prefixes = 20000;
  PrefixAffinity Before = circle(100);
  PrefixAffinity After = circle(100);
  After.remove(member(17));
  After.remove(member(17));
  REQUIRE(After.size() == 99);
  std::map<std::size_t, std::size_t> Counts;
  std::size_t Moved = 0;
  for (std::uint64_t P = 1; P <= Prefixes; ++P) {
    ++Counts[firstOf(Before, P)];
    Moved += firstOf(Before, P) != firstOf(After, P) ? 1 : 0;
  }
  REQUIRE(Counts.size() == 100);
  for (const auto &[Handle, Count] : Counts)
    REQUIRE(Count < 4 * Prefixes / 100);
  REQUIRE(Moved >= Counts[17]);
  REQUIRE(Moved < 4 * Prefixes / 100);
}

TEST_CASE("candidates, of few endpoints, are each of them once", "[affinity]") {
  REQUIRE(circle(0).candidates(1).Count_ == 0);
  for (std::size_t Count : {1, 2, 3, 9}) {
    auto C = circle(Count).candidates(5);
    REQUIRE(C.Count_ == std::min<std::size_t>(Count, 3));
    for (std::size_t I = 1; I < C.Count_; ++I)
      REQUIRE(C.Handles_[I] != C.Handles_[0]);
  }
}
