#include "tests/integration/Fleet.h"
#include "tests/integration/RawEntry.h"

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {

// One agent whose engine serves a version, a proxy between agent and engine,
// and an entry that sends raw frames.
struct EngineFixture {
  EngineFixture() {
    EngineProxy_.setTarget(engine().address());
    Version_ = Fleet_->publishWeights("v1", 1);
    REQUIRE(Fleet_->apply(Fleet_->declaration(Version_)).ExitCode_ == 0);
    Fleet_->awaitServing(Version_);
  }

  Fake &engine() { return *Fleet_->agent(0).Endpoint_; }
  std::string to() { return Fleet_->agent(0).peers(); }
  wire::AttemptBeginT completion(const AttemptId &Attempt, int MaxTokens) {
    boost::json::object Body{
        {"prompt", "hello"}, {"max_tokens", MaxTokens}, {"stream", true}};
    auto Begin = RawEntry::begin(Attempt, "copywriter-lm", "/v1/completions",
                                 boost::json::serialize(Body));
    Begin.repeatable = true;
    Begin.version = Version_.Digest_.str();
    return Begin;
  }

  TemporaryFolder Folder_;
  Proxy EngineProxy_{Folder_, ""};
  std::unique_ptr<Fleet> Fleet_ =
      FleetBuilder()
          .modelVms(1)
          .agentSettings({{"endpoint_address", EngineProxy_.address()}})
          .build();
  WeightVersion Version_;
  RawEntry Entry_;
};

} // namespace

// Guards against an engine that keeps generating for a cancelled attempt. The
// entry cancels and the agent closes its connection to the engine, but the
// network path drops packets silently and the engine never sees the close: it
// would generate a million tokens that nobody reads while others wait.
TEST_CASE_METHOD(EngineFixture,
                 "attempt, cancelled over a silent path, stops the engine's "
                 "work",
                 "[agent]") {
  AttemptId Attempt{1, 1};
  Entry_.send(to(), completion(Attempt, 1000000));
  Entry_.await(Attempt, [](const auto &A) { return !A.Body_.empty(); });
  EngineProxy_.setFaults(R"({"silent_existing":true})");
  Entry_.send(to(), RawEntry::about<wire::AttemptCancelT>(Attempt));
  eventually(
      [&] {
        return numberAt(getJson(engine().address(), "/load"), "running") == 0;
      },
      "the engine is idle");
  REQUIRE(numberAt(engine().counters(), "cancelled") == 1);
}

// Guards against answers from the wrong version. Weights are loaded into the
// engine without the agent's knowledge; until the agent reads this back it
// still offers the old version, and a caller pinned to it would get output of
// the other version.
TEST_CASE_METHOD(EngineFixture,
                 "engine, reloaded without the agent, has no answer of the "
                 "other version passed on",
                 "[agent]") {
  WeightVersion OtherVersion = Fleet_->publishWeights("v2", 2);
  std::string File =
      Fleet_->folder().path() / "origin/copywriter/v2/weights.bin";
  postJson(engine().address(), "/admin/load",
           {{"version", OtherVersion.Digest_.str()},
            {"path", File},
            {"fencing", 1u << 30}});
  int Failed = 0;
  int WrongVersion = 0;
  std::uint64_t Number = 1;
  eventually(
      [&] {
        AttemptId Attempt{2, Number++};
        Entry_.send(to(), completion(Attempt, 3));
        auto A = Entry_.awaitOver(Attempt);
        if (!A.isWhole())
          ++Failed;
        if (A.Head_ && A.Head_->version != Version_.Digest_.str())
          ++WrongVersion;
        return WrongVersion > 0 || (Failed > 0 && A.isWhole());
      },
      "the agent detected the reload and restored the version");
  REQUIRE(WrongVersion == 0);
}
