// Compression of texts sent between processes.

#include "hawthornroad/runtime/Deflate.h"
#include "hawthornroad/base/Error.h"
#include "hawthornroad/base/Random.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
// Routes as operators write them: the same fields with different values.
std::string routes(int N) {
  Random R(7);
  std::string Out = "{\"routes\":[";
  for (int I = 0; I < N; ++I)
    Out += "{\"host\":\"h" + std::to_string(R.below(1000)) +
           ".example\",\"prefix\":\"/p" + std::to_string(R.below(100000)) +
           "/\",\"service\":\"copywriter-lm\",\"kind\":\"idempotent\","
           "\"timeout_ms\":6000,\"max_attempts\":2,\"priority\":1},";
  return Out + "]}";
}
} // namespace

TEST_CASE("deflate, given any text, is undone by inflate", "[deflate]") {
  std::string Noise;
  Random R(3);
  for (int I = 0; I < 70000; ++I)
    Noise += static_cast<char>(R.below(256));
  std::string Text =
      GENERATE_COPY(std::string(), std::string("a"), std::string(100000, 'x'),
                    routes(1300), Noise);
  REQUIRE(inflate(deflate(Text), Text.size()) == Text);
}

// Guards against a valid stream being reported as truncated. The compressed
// configuration of 1,450 routes ended with the last bit of its last byte, which
// the library did not accept as the end. Every entry treated its source as
// broken, and all read the store at once.
TEST_CASE("inflate, given streams that end anywhere in their last byte, finds "
          "the end",
          "[deflate]") {
  Random R(1);
  for (int I = 0; I < 3000; ++I) {
    std::string Text = "{\"routes\":[";
    std::uint64_t Routes = 10 + R.below(40);
    for (std::uint64_t N = 0; N < Routes; ++N)
      Text += "{\"name\":\"r-" + std::to_string(R.next()) +
              "\",\"service\":\"copywriter-lm\",\"public\":false},";
    CAPTURE(I, Text.size());
    REQUIRE(inflate(deflate(Text), Text.size()) == Text);
  }
}

TEST_CASE("deflate, given a configuration of many routes, compresses it to a "
          "fifth or less",
          "[deflate]") {
  std::string Text = routes(1300);
  std::string Compressed = deflate(Text);
  INFO(Text.size() << " bytes became " << Compressed.size());
  REQUIRE(Compressed.size() * 5 <= Text.size());
}

TEST_CASE("inflate, given corrupt or truncated bytes or a wrong length, throws",
          "[deflate]") {
  std::string Text = routes(50);
  std::string Compressed = deflate(Text);
  REQUIRE_THROWS_AS(inflate(Compressed, Text.size() - 1), Error);
  REQUIRE_THROWS_AS(inflate(Compressed, Text.size() + 1), Error);
  REQUIRE_THROWS_AS(inflate(Compressed, MaxInflated + 1), Error);
  REQUIRE_THROWS_AS(
      inflate(std::string_view(Compressed).substr(0, Compressed.size() / 2),
              Text.size()),
      Error);
  REQUIRE_THROWS_AS(inflate("no such stream", 100), Error);
}
