#include "hawthornroad/config/JsonText.h"
#include "hawthornroad/runtime/Address.h"
#include "tests/integration/Fleet.h"
#include "tests/integration/RawEntry.h"

#include <catch2/catch.hpp>
#include <thread>

using namespace hawthornroad;

namespace {

using Answer = RawEntry::Answer;

bool hasState(const Answer &A) { return A.State_.has_value(); }

// One agent with a plain service, and a raw entry that exchanges single frames
// with it.
struct PlainServiceFixture {
  explicit PlainServiceFixture(boost::json::object Agent = {})
      : Fleet_(FleetBuilder()
                   .modelVms(0)
                   .plainVms(1)
                   .agentSettings(std::move(Agent))
                   .build()) {
    WeightVersion V1 = Fleet_->publishWeights("v1", 1);
    REQUIRE(Fleet_->apply(Fleet_->declaration(V1)).ExitCode_ == 0);
    Fleet_->awaitReady();
  }

  FleetProcess &agent() { return Fleet_->agent(0); }
  Fake &service() { return *agent().Endpoint_; }
  std::string to() { return agent().Process_->readyText("peers"); }
  wire::AttemptBeginT begin(const AttemptId &Attempt,
                            const std::string &Body = "crew") {
    return RawEntry::begin(Attempt, "billing-desk", "/invoices", Body);
  }
  std::int64_t runs() { return numberAt(service().counters(), "total"); }
  AttemptId newAttempt() { return {1, ++LastAttempt_}; }

  // An address without a listener.
  static std::string freeAddress() {
    boost::asio::io_context Context;
    return formatAddress(
        openAcceptor(Context, "127.0.0.1", 0).local_endpoint());
  }
  // The number of processes of this test whose log contains Text.
  int logsContaining(const std::string &Text) {
    int Found = 0;
    for (const auto &Each :
         std::filesystem::directory_iterator(Fleet_->folder().path()))
      if (Each.path().extension() == ".log")
        Found += readTextFile(Each.path(), Step::Receive).find(Text) !=
                 std::string::npos;
    return Found;
  }
  std::unique_ptr<Fleet> Fleet_;
  RawEntry Entry_;
  std::uint64_t LastAttempt_ = 0;
};

struct ShortIdleTimeoutFixture : PlainServiceFixture {
  ShortIdleTimeoutFixture()
      : PlainServiceFixture({{"endpoint_idle_ms", 300}}) {}
};

struct SmallBufferFixture : PlainServiceFixture {
  static constexpr std::size_t Buffer = 64 * 1024;
  SmallBufferFixture() : PlainServiceFixture({{"attempt_buffer", Buffer}}) {}
};

struct LockFixture : PlainServiceFixture {
  LockFixture() : PlainServiceFixture({{"lock_listen", freeAddress()}}) {}
  Process replacement() {
    return Process({.Name_ = "replacement",
                    .Program_ = "hawthornroad-agent",
                    .Arguments_ = {"--settings", agent().SettingsFile_}},
                   Fleet_->folder());
  }
};

} // namespace

TEST_CASE_METHOD(PlainServiceFixture,
                 "attempt, begun at a ready agent, brings the whole answer",
                 "[agent]") {
  AttemptId Attempt = newAttempt();
  Entry_.send(to(), begin(Attempt));
  Answer A = Entry_.awaitOver(Attempt);
  REQUIRE(A.isWhole());
  REQUIRE(A.Head_->status == 200);
  REQUIRE(A.Body_.find("\"echo\":\"crew\"") != std::string::npos);
}

// Guards against running a duplicated request: the network delivers the Begin
// frame twice (here every frame of the entry), the agent takes the copy for new
// work, and a crew is entered twice.
TEST_CASE_METHOD(PlainServiceFixture, "begin, delivered twice, runs once",
                 "[agent]") {
  Proxy Path(Fleet_->folder(), to());
  Path.setFaults(R"({"duplicate_frames":{"share":1.0,"seed":7}})");
  for (int I = 0; I < 20; ++I) {
    AttemptId Attempt = newAttempt();
    Entry_.send(Path.address(), begin(Attempt));
    // Another copy after the first has run.
    Entry_.awaitOver(Attempt);
    Entry_.send(to(), begin(Attempt));
  }
  AttemptId Last = newAttempt();
  Entry_.send(to(), begin(Last));
  REQUIRE(Entry_.awaitOver(Last).isWhole());
  REQUIRE(runs() == 21);
}

// The entry's connection goes silent. It queries over a new one, learns that
// the agent never saw the attempt, and answers its caller "not run". Then the
// silent connection recovers and delivers the Begin after all.
TEST_CASE_METHOD(PlainServiceFixture,
                 "begin, late after its attempt was denied, does not run",
                 "[agent]") {
  AttemptId Attempt = newAttempt();
  auto Query = RawEntry::about<wire::AttemptQueryT>(Attempt);
  Entry_.send(to(), Query);
  Answer Asked = Entry_.await(Attempt, hasState);
  REQUIRE(Asked.State_ == wire::AttemptPhase::NeverSeen);
  Entry_.sendOnNewConnection(to(), begin(Attempt));
  REQUIRE(Entry_.awaitOver(Attempt).Refused_.has_value());
  REQUIRE(runs() == 0);
  RequestId Request = idFromWire<RequestId>(begin(Attempt).request.get());
  eventually(
      [&] {
        return logLines(*Fleet_,
                        {"attempt refused", Request.str(), Attempt.str()}) == 1;
      },
      "the refusal is logged with its request");
}

// A connection fails with half of the answer sent. The entry queries over a new
// one and gets the rest; the call has run once.
TEST_CASE_METHOD(PlainServiceFixture,
                 "attempt that may not be repeated, its connection lost, is "
                 "found again over a fresh one",
                 "[agent]") {
  service().setFaults(R"({"work_ms":1000})");
  Proxy Path(Fleet_->folder(), to());
  AttemptId Attempt = newAttempt();
  Entry_.send(Path.address(), begin(Attempt));
  Entry_.await(Attempt, [](const Answer &A) { return A.Accepted_ == 1; });
  Path.setFaults(R"({"silent_existing":true})");
  Entry_.sendOnNewConnection(Path.address(),
                             RawEntry::about<wire::AttemptQueryT>(Attempt));
  Answer A = Entry_.awaitOver(Attempt);
  REQUIRE(A.isWhole());
  REQUIRE(A.State_ == wire::AttemptPhase::Running);
  REQUIRE(runs() == 1);
}

// The endpoint accepts a call and never answers. The attempt must end, and must
// not be reported as "not run": the service may have done the work.
TEST_CASE_METHOD(ShortIdleTimeoutFixture,
                 "attempt, at a silent endpoint, fails and is not called not "
                 "run",
                 "[agent]") {
  service().setFaults(R"({"silent":true})");
  AttemptId Attempt = newAttempt();
  Entry_.send(to(), begin(Attempt));
  Answer A = Entry_.awaitOver(Attempt);
  REQUIRE(A.Failed_);
  REQUIRE_FALSE(A.Failed_->not_run);
  REQUIRE(A.Failed_->peer == service().address());
}

// The service fails after the work is done and before it has answered: the
// bytes received, if any, are not a complete answer.
TEST_CASE_METHOD(PlainServiceFixture,
                 "attempt, cut off by its endpoint, fails without an end",
                 "[agent]") {
  service().setFaults(R"({"die_during":true})");
  AttemptId Attempt = newAttempt();
  Entry_.send(to(), begin(Attempt));
  Answer A = Entry_.awaitOver(Attempt);
  REQUIRE(A.Failed_);
  REQUIRE_FALSE(A.Failed_->not_run);
  REQUIRE_FALSE(A.End_);
  REQUIRE(runs() == 1);
}

// Guards against unbounded memory: a caller reads slowly, its entry
// acknowledges nothing, and the agent would hold a whole large answer in its
// 256 MB.
TEST_CASE_METHOD(SmallBufferFixture,
                 "answer, not acknowledged, stops at the buffer and goes on "
                 "whole afterwards",
                 "[agent]") {
  constexpr std::size_t Large = 4 * 1024 * 1024;
  std::string To = to();
  AttemptId Attempt = newAttempt();
  Entry_.send(To, begin(Attempt, std::string(Large, 'x')));
  Entry_.await(Attempt,
               [](const Answer &A) { return A.Body_.size() >= Buffer; });
  // Other calls run on the same threads, one after another. This is long enough
  // to read the whole large answer, if reading were not paused.
  for (int I = 0; I < 100; ++I) {
    AttemptId Small = newAttempt();
    Entry_.send(To, begin(Small));
    REQUIRE(Entry_.awaitOver(Small).isWhole());
  }
  Answer Held = Entry_.now(Attempt);
  REQUIRE_FALSE(Held.End_);
  // One read from the endpoint may be in progress when the buffer fills.
  REQUIRE(Held.Body_.size() <= 3 * Buffer);
  auto Acknowledge = [&] {
    auto Ack = RawEntry::about<wire::AttemptAckT>(Attempt);
    Ack.offset = Entry_.now(Attempt).Body_.size();
    Entry_.send(To, Ack);
    return Entry_.now(Attempt).End_.has_value();
  };
  eventually(Acknowledge, "the rest of the answer comes");
  REQUIRE(Entry_.now(Attempt).isWhole());
  REQUIRE(Entry_.now(Attempt).Body_.size() > Large);
}

// The agent's process is killed with a call in progress, and a replacement
// starts on the VM. The outcome of the old call is unknown. The replacement
// must accept new work, and must not run the old call when its Begin is sent
// again after a query for it was answered NeverSeen.
TEST_CASE_METHOD(PlainServiceFixture,
                 "agent, killed with an attempt running, is replaced and runs "
                 "it no second time",
                 "[agent]") {
  service().setFaults(R"({"work_ms":60000})");
  AttemptId Attempt = newAttempt();
  Entry_.send(to(), begin(Attempt));
  eventually([&] { return runs() == 1; }, "the call runs");
  Fleet_->kill(agent());
  service().setFaults("{}");
  Fleet_->start(agent());
  Fleet_->awaitReady();
  std::string To = to();
  Entry_.send(To, RawEntry::about<wire::AttemptQueryT>(Attempt));
  Entry_.await(Attempt, hasState);
  Entry_.send(To, begin(Attempt));
  REQUIRE(Entry_.awaitOver(Attempt).Refused_);
  AttemptId New = newAttempt();
  Entry_.send(To, begin(New));
  REQUIRE(Entry_.awaitOver(New).isWhole());
  REQUIRE(runs() == 2);
}

// A replacement agent starts while its predecessor is alive, suspended or being
// debugged: two agents would send conflicting commands to one engine.
TEST_CASE_METHOD(LockFixture,
                 "second agent on a VM, with the first alive or frozen, waits "
                 "and takes over at its death",
                 "[agent]") {
  Process Second = replacement();
  Process Third = replacement();
  eventually([&] { return logsContaining("waiting for its lock") == 2; },
             "both replacements wait");
  Third.terminate();
  REQUIRE(Third.waitExit() == 3);
  agent().Process_->freeze();
  // The second agent retries several times during this pause.
  std::this_thread::sleep_for(std::chrono::seconds(1));
  REQUIRE(Second.running());
  REQUIRE(logsContaining("endpoint changed") == 1);
  Fleet_->kill(agent());
  eventually(
      [&] { return get(Second.readyText("admin"), "/readyz").Status_ == 200; },
      "the replacement is ready");
}
