// Who is paused, ended and refused when a process holds too many bytes for slow
// callers and endpoints.

#include "hawthornroad/http/BufferBudget.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
constexpr std::size_t Limit = 1000;
using Holders = std::vector<BufferBudget::Holder>;
} // namespace

TEST_CASE("buffer budget, given a VM's memory, takes a quarter of it and a "
          "default when it is not known",
          "[buffers]") {
  REQUIRE(BufferBudget::limitFor(160) == 40'000'000);
  REQUIRE(BufferBudget::limitFor(0) == BufferBudget::limitFor(160));
  // Guards against a limit below one whole answer, which would never end.
  REQUIRE(BufferBudget::limitFor(1) >= 2 * 8 * 1024 * 1024);
}

// Guards against a state that changes with each byte around the limit.
TEST_CASE("buffer budget, once above its limit, stays full until well below it",
          "[buffers]") {
  BufferBudget B(Limit);
  REQUIRE_FALSE(B.update(1000));
  REQUIRE_FALSE(B.isFull());
  REQUIRE(B.update(1001));
  REQUIRE(B.isFull());
  REQUIRE_FALSE(B.update(900));
  REQUIRE(B.isFull());
  REQUIRE(B.update(750));
  REQUIRE_FALSE(B.isFull());
  REQUIRE_FALSE(B.update(900));
}

TEST_CASE("buffer budget, not above its limit, pauses and ends nobody",
          "[buffers]") {
  BufferBudget B(Limit);
  B.update(1000);
  BufferBudget::Choice C = B.choose({{1, 500}, {2, 500}});
  REQUIRE(C.Paused_.empty());
  REQUIRE(C.Ended_.empty());
}

// Guards against pausing everybody: then nothing would end and free memory.
TEST_CASE("buffer budget, above its limit, pauses the largest holders and lets "
          "the others go on",
          "[buffers]") {
  BufferBudget B(Limit);
  B.update(1100);
  BufferBudget::Choice C =
      B.choose({{1, 100}, {2, 400}, {3, 50}, {4, 300}, {5, 250}});
  REQUIRE(C.Paused_ == std::set<BufferBudget::HolderId>{2});
  REQUIRE(C.Ended_.empty());
}

TEST_CASE("buffer budget, far above its limit, ends the largest holders until "
          "it is not",
          "[buffers]") {
  BufferBudget B(Limit);
  B.update(2200);
  BufferBudget::Choice C = B.choose({{1, 600}, {2, 500}, {3, 500}, {4, 600}});
  REQUIRE(C.Ended_ == std::vector<BufferBudget::HolderId>{1, 4});
  REQUIRE(C.Paused_ == std::set<BufferBudget::HolderId>{2});
}
