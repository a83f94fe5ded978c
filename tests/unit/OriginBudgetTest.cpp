#include "hawthornroad/weights/OriginBudget.h"

#include "hawthornroad/base/Error.h"

#include <catch2/catch.hpp>
#include <map>

using namespace hawthornroad;

namespace {
constexpr ChunkIndex Chunks = 200;
constexpr std::uint64_t ChunkSize = 10;
// The last chunk is short.
constexpr std::uint64_t Size = Chunks * ChunkSize - 7;

OriginBudget budget(double Copies) {
  return OriginBudget(Chunks, Size, ChunkSize, Copies);
}

// Stand-in for the table: each key belongs to whoever claims it first.
struct Ledger {
  ClaimResult claim(const Grant &G, int Who) {
    return Holder_.try_emplace(G, Who).first->second == Who ? ClaimResult::Won
                                                            : ClaimResult::Lost;
  }
  std::map<Grant, int> Holder_;
};
} // namespace

TEST_CASE("origin budget below one copy is refused", "[budget]") {
  auto Copies = GENERATE(0.0, -1.0, 0.99, std::nan(""));
  REQUIRE_THROWS_AS(budget(Copies), Error);
}

TEST_CASE("origin budget, when many VMs read all they can, is never exceeded",
          "[budget]") {
  // Views of the fleet differ, so every VM takes itself for the owner of every
  // chunk, and every read fails and is retried. Without the shared budget each
  // VM would read copies without limit and saturate the origin's link.
  auto Copies = GENERATE(1.0, 1.1, 2.5, 3.3);
  constexpr int Vms = 12;
  Ledger Table;
  std::vector<OriginBudget> All(Vms, budget(Copies));
  Random R(3);
  std::uint64_t Bytes = 0;
  for (int Step = 0; Step < 200000; ++Step) {
    OriginBudget &B = All[R.below(Vms)];
    auto Who = static_cast<int>(&B - All.data());
    auto Index = static_cast<ChunkIndex>(R.below(Chunks));
    if (B.mayRead(Index)) {
      B.spend(Index);
      if (R.below(10) == 0)
        B.refund(Index);
      else
        Bytes += Index + 1 == Chunks ? Size % ChunkSize : ChunkSize;
      continue;
    }
    auto G = B.nextClaim(Index, true, R);
    if (!G)
      continue;
    // One claim in five is stored although its answer is lost; answers are
    // delivered twice.
    ClaimResult Result = Table.claim(*G, Who);
    B.onClaim(*G, R.below(5) == 0 ? ClaimResult::Unknown : Result);
    B.onClaim(*G, Result);
  }
  REQUIRE(static_cast<double>(Bytes) <= Copies * Size);
  // The budget is also used up, not just kept.
  REQUIRE(static_cast<double>(Bytes) >= (Copies - 0.1) * Size);
}

TEST_CASE("origin budget, when an agent is restarted, charges nothing twice",
          "[budget]") {
  // The agent is killed after some reads; its successor finds the note. Without
  // it, each restart would read the slice again.
  OriginBudget First = budget(2);
  Random R(1);
  auto G = First.nextClaim(5, false, R);
  First.onClaim(*G, ClaimResult::Won);
  First.spend(5);
  auto Spare = First.nextClaim(5, true, R);
  First.onClaim(*Spare, ClaimResult::Won);
  REQUIRE(First.mayRead(5));
  First.spend(5);

  OriginBudget Second = budget(2);
  Second.restore(First.note());
  REQUIRE_FALSE(Second.mayRead(5));
  REQUIRE(Second.mayRead(5 + Second.sliceCount()));
  REQUIRE(Second.nextClaim(5, true, R) != Spare);

  OriginBudget Third = budget(2);
  Third.restore("slice 9999\nread 9999\nspare 9999\ngarbage");
  REQUIRE_FALSE(Third.mayRead(5));
}

TEST_CASE("origin budget, when a claim's outcome is unknown, asks for the same "
          "grant again",
          "[budget]") {
  OriginBudget B = budget(2);
  Random R(1);
  auto Slice = B.nextClaim(5, true, R);
  REQUIRE(Slice == Grant{Grant::Kind::Slice, 5});
  REQUIRE_FALSE(B.nextClaim(5, true, R));
  B.onClaim(*Slice, ClaimResult::Unknown);
  REQUIRE(B.nextClaim(5, true, R) == Slice);
  B.onClaim(*Slice, ClaimResult::Lost);
  REQUIRE_FALSE(B.nextClaim(5, false, R));
  auto Spare = B.nextClaim(5, true, R);
  B.onClaim(*Spare, ClaimResult::Unknown);
  REQUIRE(B.nextClaim(7 + B.sliceCount(), true, R)->Kind_ ==
          Grant::Kind::Slice);
}

TEST_CASE("origin budget, when every spare grant is taken, says it is spent",
          "[budget]") {
  OriginBudget B = budget(1.05);
  Random R(1);
  B.onClaim(*B.nextClaim(5, false, R), ClaimResult::Lost);
  while (auto G = B.nextClaim(5, true, R))
    B.onClaim(*G, ClaimResult::Lost);
  REQUIRE(B.isSpent());
  // The operators declare a larger budget.
  B.setCopies(2);
  REQUIRE_FALSE(B.isSpent());
  REQUIRE(B.nextClaim(5, true, R));
}
