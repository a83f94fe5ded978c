#include "hawthornroad/routing/AnswerBuffer.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
struct BufferFixture {
  AnswerBuffer Buffer_;
  BufferFixture() {
    Buffer_.append("abc");
    Buffer_.append("defg");
  }
};

std::uint64_t hashOf(std::string_view Text) {
  Fnv1a Hash;
  Hash.update(Text);
  return Hash.value();
}
} // namespace

TEST_CASE_METHOD(BufferFixture,
                 "answer buffer, asked from any offset, gives the rest in "
                 "order",
                 "[answer]") {
  using Pieces = std::vector<AnswerPiece>;
  REQUIRE(Buffer_.from(0) == Pieces{{0, "abc"}, {3, "defg"}});
  REQUIRE(Buffer_.from(2) == Pieces{{2, "c"}, {3, "defg"}});
  REQUIRE(Buffer_.from(3) == Pieces{{3, "defg"}});
  REQUIRE(Buffer_.from(7).empty());
  REQUIRE(Buffer_.from(99).empty());
}

TEST_CASE_METHOD(BufferFixture,
                 "answer buffer, acknowledged late, twice and too far, frees "
                 "no byte that is still owed",
                 "[answer]") {
  Buffer_.acknowledge(5);
  Buffer_.acknowledge(2);
  REQUIRE(Buffer_.held() == 2);
  REQUIRE_FALSE(Buffer_.holds(4));
  REQUIRE(Buffer_.from(0) == std::vector<AnswerPiece>{{5, "fg"}});
  Buffer_.acknowledge(1000);
  REQUIRE(Buffer_.append("hi") == 7);
  REQUIRE(Buffer_.from(0) == std::vector<AnswerPiece>{{7, "hi"}});
}

TEST_CASE_METHOD(BufferFixture,
                 "answer buffer, partly acknowledged, hashes the whole answer",
                 "[answer]") {
  Buffer_.acknowledge(4);
  Buffer_.append("h");
  Buffer_.drop();
  REQUIRE(Buffer_.held() == 0);
  REQUIRE(Buffer_.length() == 8);
  REQUIRE(Buffer_.hash() == hashOf("abcdefgh"));
}
