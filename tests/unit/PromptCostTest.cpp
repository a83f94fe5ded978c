// The reading time of prompts, with counts that callers may state.

#include "hawthornroad/traffic/PromptCost.h"

#include <catch2/catch.hpp>
#include <limits>

using namespace hawthornroad;

namespace {
const EngineProfile Engine{.StepMs_ = 8,
                           .PrefillTokensPerMs_ = 32,
                           .KvCapacity_ = 685'000,
                           .MeanPromptTokens_ = 960};
} // namespace

TEST_CASE("prompt cost, given a stated prompt, grows with its length",
          "[traffic]") {
  REQUIRE(promptCost({320, 100}, Engine).Reading_ == Milliseconds(18));
  REQUIRE(promptCost({3840, 100}, Engine).Reading_ == Milliseconds(128));
}

// Guards against requests that are refused, or hold back others, for a count
// that makes no sense.
TEST_CASE("prompt cost, given an unusable count, is that of a typical prompt",
          "[traffic]") {
  for (std::uint32_t Tokens :
       {0U, 685'001U, std::numeric_limits<std::uint32_t>::max()}) {
    CAPTURE(Tokens);
    PromptCost C = promptCost({Tokens, 0}, Engine);
    CHECK(C.Reading_ == Milliseconds(38));
    CHECK_FALSE(C.IsStated_);
  }
}
