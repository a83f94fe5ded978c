#include "tests/integration/RequestFixture.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
constexpr int Tokens = 60;

HttpRequest stream(const std::string &Prompt) {
  HttpRequest R =
      completionRequest("/copywriter-lm/v1/completions", Prompt, Tokens, true);
  R.Headers_.push_back({"Hawthornroad-Customer", "hp-travel"});
  return R;
}

// Two model endpoints behind one entry, both serving one version.
struct StreamFixture {
  std::unique_ptr<Fleet> F_;

  explicit StreamFixture(const std::string &TokenMs = "5")
      : F_(FleetBuilder()
               .modelVms(2)
               .engineOptions({"--token-ms", TokenMs})
               .build()) {
    WeightVersion V = F_->publishWeights("v1", 1);
    REQUIRE(F_->apply(F_->declaration(V)).ExitCode_ == 0);
    F_->awaitServing(V);
    eventually(
        [&] {
          auto Status = getJson(F_->entry(0).admin(), "/status");
          std::size_t Ready = 0;
          for (const auto &E : Status.at("endpoints").as_array())
            Ready += E.at("phase") == "ready" ? 1 : 0;
          return Ready == 2;
        },
        "the entry knows both endpoints");
  }

  // The answer of an engine that is called directly; it depends only on the
  // version and the prompt.
  std::vector<std::string> expected(const std::string &Prompt) {
    HttpRequest R = completionRequest("/v1/completions", Prompt, Tokens, true);
    StreamResult Direct = fetchStream(F_->agent(0).Endpoint_->address(), R);
    REQUIRE(Direct.Whole_);
    return Direct.Events_;
  }
  StreamResult ask(const std::string &Prompt) {
    return fetchStream(F_->entry(0).callers(), stream(Prompt));
  }
  std::int64_t resumed() {
    std::int64_t Sum = 0;
    for (FleetProcess &Each : F_->agents())
      Sum += numberAt(Each.Endpoint_->counters(), "resumed");
    return Sum;
  }
};
} // namespace

TEST_CASE("stream, its engine stopped half-way, resumes elsewhere "
          "with no token lost or duplicated") {
  // The engine's process dies in the middle of a stream; the other endpoint of
  // the version resumes at the next token.
  StreamFixture S;
  std::vector<std::vector<std::string>> Expected;
  for (int I = 0; I < 6; ++I)
    Expected.push_back(S.expected("prompt " + std::to_string(I)));
  for (FleetProcess &Broken : S.F_->agents()) {
    Broken.Endpoint_->setFaults(R"({"die_after_tokens":7})");
    for (int I = 0; I < 6; ++I) {
      StreamResult R = S.ask("prompt " + std::to_string(I));
      INFO(Broken.Name_ << ", prompt " << I << ": " << R.Status_ << " "
                        << R.Error_ << " " << R.Body_);
      REQUIRE(R.Whole_);
      REQUIRE(R.Events_ == Expected[I]);
      REQUIRE(findHeader(R.Headers_, "Hawthornroad-Outcome") == "answered");
    }
    Broken.Endpoint_->setFaults("{}");
  }
  REQUIRE(S.resumed() > 0);
}

TEST_CASE("stream, its agent killed half-way, resumes elsewhere "
          "with no token lost or duplicated") {
  StreamFixture S("25");
  std::vector<std::string> Expected = S.expected("the long way home");
  StreamCall Call(S.F_->entry(0).callers(), stream("the long way home"));
  eventually([&] { return Call.resultSoFar().Events_.size() > 4; },
             "the stream has begun");
  for (FleetProcess &Each : S.F_->agents()) {
    auto Load = getJson(Each.Endpoint_->address(), "/load");
    if (numberAt(Load, "running") == 0)
      continue;
    S.F_->kill(Each);
    break;
  }
  StreamResult R = Call.wait();
  INFO(R.Error_ << " " << R.Body_);
  REQUIRE(R.Whole_);
  REQUIRE(R.Events_ == Expected);
  REQUIRE(S.resumed() == 1);
}

TEST_CASE("stream, with no endpoint to resume at, ends in an "
          "explicit error and never as a truncated body") {
  StreamFixture S;
  for (FleetProcess &Each : S.F_->agents())
    Each.Endpoint_->setFaults(R"({"die_after_tokens":3})");
  StreamResult R = S.ask("nobody finishes this");
  INFO(R.Body_);
  REQUIRE_FALSE(R.Whole_);
  REQUIRE(R.Body_.find("event: error") != std::string::npos);
  REQUIRE(R.Body_.find("[DONE]") == std::string::npos);
}

TEST_CASE("streams, many at once, each get their own answer") {
  StreamFixture S("2");
  std::vector<std::unique_ptr<StreamCall>> Calls;
  for (int I = 0; I < 24; ++I)
    Calls.push_back(std::make_unique<StreamCall>(
        S.F_->entry(0).callers(), stream("own " + std::to_string(I))));
  for (int I = 0; I < 24; ++I) {
    StreamResult R = Calls[I]->wait();
    INFO(I << ": " << R.Status_ << " " << R.Error_ << " " << R.Body_);
    REQUIRE(R.Whole_);
    REQUIRE(R.Events_ == S.expected("own " + std::to_string(I)));
  }
}

TEST_CASE("caller that leaves a stream has its engine's work cancelled") {
  StreamFixture S("50");
  {
    StreamCall Call(S.F_->entry(0).callers(), stream("never mind"));
    eventually([&] { return !Call.resultSoFar().Events_.empty(); },
               "the stream has begun");
    Call.disconnect();
  }
  std::int64_t Made = 0;
  eventually(
      [&] {
        std::int64_t Running = 0;
        Made = 0;
        for (FleetProcess &Each : S.F_->agents()) {
          auto Load = getJson(Each.Endpoint_->address(), "/load");
          Running += numberAt(Load, "running");
          Made += numberAt(Each.Endpoint_->counters(), "tokens");
        }
        return Running == 0;
      },
      "the engine has stopped");
  REQUIRE(Made < Tokens);
}
