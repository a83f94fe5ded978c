// Operators and the platform's table: races, lost answers, outages and invalid
// declarations.

#include "hawthornroad/config/RevisionRecord.h"
#include "tests/integration/Fleet.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <catch2/catch.hpp>
#include <deque>

using namespace hawthornroad;
using Catch::Matchers::Contains;

namespace json = boost::json;

namespace {
// A table and operators only; runs no entry or agent.
class OperatorsFixture : public FakesFixture {
protected:
  Fake &Table_ = fake("table");

  // Writes a declaration whose only service has Replicas replicas.
  std::string text(int Replicas) {
    std::string Name = "fleet-" + std::to_string(Replicas) + ".jsonc";
    return folder().write(
        Name, "{\"format\": 1, \"services\": {\"desk\": {\"kind\": \"plain\", "
              "\"vms\": [\"desk-*\"], \"replicas\": " +
                  std::to_string(Replicas) + "}}}");
  }

  std::vector<std::string> arguments(std::vector<std::string> Given) {
    Given.insert(Given.end(),
                 {"--table", Table_.address(), "--charts",
                  std::string(SOURCE_DIR) + "/charts", "--timeout", "1"});
    return Given;
  }
  ToolResult ctl(std::vector<std::string> Given) {
    return runTool("hawthornroadctl", arguments(std::move(Given)), folder());
  }
  ToolResult apply(int Replicas, std::vector<std::string> More = {}) {
    std::vector<std::string> All = {"apply", text(Replicas)};
    All.insert(All.end(), More.begin(), More.end());
    return ctl(All);
  }

  // The accepted records, in order.
  std::vector<RevisionRecord> records() {
    std::vector<RevisionRecord> Out;
    json::object List =
        getJson(Table_.address(), "/table?prefix=" + RevisionKeyPrefix);
    for (const json::value &Each : List.at("items").as_array())
      Out.push_back(parseRevisionRecord(Each.at("value").as_string().c_str()));
    return Out;
  }
  std::int64_t writes() { return numberAt(Table_.counters(), "writes"); }
};

json::value replicasPatch(int Replicas) {
  return json::parse("{\"services\":{\"desk\":{\"replicas\":" +
                     std::to_string(Replicas) + "}}}");
}
} // namespace

// Lost update: two operators edit revision 1 and both apply. Without a
// precondition on the successor the later write would silently undo the earlier
// one. The loser must be shown the conflicting change.
TEST_CASE_METHOD(OperatorsFixture,
                 "two applies on one base, one after the other, the second "
                 "gets a conflict that shows both changes",
                 "[operators]") {
  REQUIRE(apply(1).ExitCode_ == 0);
  REQUIRE(apply(2, {"--base", "1", "--author", "ana", "--reason", "more"})
              .ExitCode_ == 0);
  ToolResult Loser = apply(3, {"--base", "1"});
  CHECK(Loser.ExitCode_ == 3);
  CHECK_THAT(Loser.Output_, Contains("revision 2 by ana") && Contains("more") &&
                                Contains("services.desk.replicas = 2") &&
                                Contains("services.desk.replicas = 3"));
  CHECK(records().size() == 2);

  json::value Told = json::parse(apply(3, {"--base", "1", "--json"}).Output_);
  CHECK(Told.at("outcome") == "conflict");
  CHECK(Told.at("ours") == replicasPatch(3));
  CHECK(Told.at("theirs").at(0).at("patch") == replicasPatch(2));
}

// As above, but concurrently: each operator reads revision 1 as the latest
// before any of them writes. A slow table makes that likely; stale reads make
// it certain, and then the losers cannot see which change won.
TEST_CASE_METHOD(OperatorsFixture,
                 "many applies on one base, at once, exactly one wins",
                 "[operators]") {
  struct Case {
    std::string Faults_;
    int LosersExit_;
  };
  Case C = GENERATE(Case{R"({"delay_ms": 200})", 3},
                    Case{R"({"stale_reads": true})", 6});
  REQUIRE(apply(1).ExitCode_ == 0);
  Table_.setFaults(C.Faults_);
  constexpr int Operators = 6;
  std::deque<Process> Running;
  for (int I = 0; I < Operators; ++I)
    Running.emplace_back(
        Launch{.Name_ = "operator-" + std::to_string(I),
               .Program_ = "hawthornroadctl",
               .Arguments_ = arguments({"apply", text(10 + I), "--base", "1"})},
        folder());
  int Winner = -1;
  int Losers = 0;
  for (int I = 0; I < Operators; ++I) {
    int Code = Running[I].waitExit();
    if (Code == 0)
      Winner = I;
    Losers += Code == C.LosersExit_ ? 1 : 0;
  }
  CHECK(Losers == Operators - 1);
  REQUIRE(Winner >= 0);
  Table_.setFaults("{}");
  REQUIRE(records().size() == 2);
  CHECK(records().back().Patch_ == replicasPatch(10 + Winner));
}

// The table creates the record, but the connection is cut before the answer,
// and the change is applied again. A second record of it would undo what
// another operator has changed in between.
TEST_CASE_METHOD(OperatorsFixture,
                 "apply, answer lost after the write took effect, is accepted "
                 "once",
                 "[operators]") {
  REQUIRE(apply(1).ExitCode_ == 0);
  Table_.setFaults(R"({"lose_answers": 1})");
  ToolResult First = apply(2, {"--base", "1", "--change", "c2"});
  CHECK(First.ExitCode_ == 0);
  CHECK(records().size() == 2);

  REQUIRE(apply(7).ExitCode_ == 0);
  ToolResult Again = apply(2, {"--base", "1", "--change", "c2"});
  CHECK(Again.ExitCode_ == 0);
  CHECK_THAT(Again.Output_, Contains("already accepted as revision 2"));
  CHECK(records().size() == 3);
  CHECK(records().back().Patch_ == replicasPatch(7));
}

// The answer is lost and reads are stale, so the tool cannot find out whose
// record the key holds. Reporting "accepted" or "failed" would be a guess; the
// operator retries later with the same change id.
TEST_CASE_METHOD(
    OperatorsFixture,
    "apply, answer lost and reads stale, claims nothing and can be tried again",
    "[operators]") {
  REQUIRE(apply(1).ExitCode_ == 0);
  Table_.setFaults(R"({"lose_answers": 1, "stale_reads": true})");
  ToolResult First = apply(2, {"--base", "1", "--change", "c2"});
  CHECK(First.ExitCode_ == 6);
  CHECK_THAT(First.Output_, Contains("not known whether change c2"));

  Table_.setFaults("{}");
  ToolResult Again = apply(2, {"--base", "1", "--change", "c2"});
  CHECK(Again.ExitCode_ == 0);
  CHECK(records().size() == 2);
}

// An operator applies a change during a platform outage. The tool must report
// it, and no partial write may appear when the platform returns.
TEST_CASE_METHOD(OperatorsFixture,
                 "apply, during an outage, says that nothing was written",
                 "[operators]") {
  REQUIRE(apply(1).ExitCode_ == 0);
  std::string Fault = GENERATE(R"({"down": true})", R"({"silent": true})");
  std::int64_t Before = writes();
  Table_.setFaults(Fault);
  ToolResult Result = apply(2);
  CHECK(Result.ExitCode_ == 4);
  CHECK_THAT(Result.Output_,
             Contains("wrote nothing") && Contains(Table_.address()));
  CHECK(ctl({"history"}).ExitCode_ == 4);
  Table_.setFaults("{}");
  CHECK(writes() == Before);
  CHECK(records().size() == 1);
  CHECK(apply(2).ExitCode_ == 0);
}

// An invalid declaration must reach neither the table nor any process.
TEST_CASE_METHOD(OperatorsFixture,
                 "invalid declarations, applied, write nothing",
                 "[operators]") {
  const std::vector<std::string> Bad = {
      "",
      "{",
      "[]",
      "{\"format\": 2}",
      "{\"format\": 1, \"servces\": {}}",
      "{\"format\": 1, \"services\": {\"a\": {\"kind\": \"plain\", \"vms\": "
      "[\"a\"], \"depends_on\": [\"a\"]}}}",
      std::string(5 * 1024 * 1024, ' ')};
  for (const std::string &Each : Bad) {
    std::string File = folder().write("bad.jsonc", Each);
    ToolResult Result = ctl({"apply", File});
    CAPTURE(Each.substr(0, 60), Result.Errors_);
    CHECK(Result.ExitCode_ == 2);
    CHECK_THAT(Result.Errors_, Contains("bad.jsonc:1: "));
  }
  CHECK(numberAt(Table_.counters(), "reads") == 0);
  CHECK(writes() == 0);
}

// If a rollback lowered the revision, a process that had seen the higher one
// could not tell which of the two is in force.
TEST_CASE_METHOD(OperatorsFixture,
                 "rollback, to an older revision, is a new higher revision",
                 "[operators]") {
  REQUIRE(apply(1).ExitCode_ == 0);
  REQUIRE(apply(2).ExitCode_ == 0);
  REQUIRE(apply(3).ExitCode_ == 0);
  CHECK(ctl({"rollback", "1", "--author", "ivo"}).ExitCode_ == 0);
  std::vector<RevisionRecord> All = records();
  REQUIRE(All.size() == 4);
  CHECK(All[3].Digest_ == All[0].Digest_);
  CHECK(All[3].Reason_ == "rollback to revision 1");
  CHECK(ctl({"rollback", "9"}).ExitCode_ == 1);
  CHECK(records().size() == 4);
}

TEST_CASE_METHOD(OperatorsFixture,
                 "history, after changes, tells who changed what and why",
                 "[operators]") {
  REQUIRE(apply(1, {"--author", "ana", "--reason", "first"}).ExitCode_ == 0);
  REQUIRE(apply(2, {"--author", "ivo", "--reason", "more"}).ExitCode_ == 0);
  REQUIRE(apply(3, {"--author", "eva", "--reason", "still"}).ExitCode_ == 0);
  json::value Told =
      json::parse(ctl({"history", "--limit", "2", "--json"}).Output_);
  REQUIRE(Told.at("history").as_array().size() == 2);
  const json::value &Second = Told.at("history").at(0);
  CHECK(Second.at("revision").to_number<int>() == 2);
  CHECK(Second.at("author") == "ivo");
  CHECK(Second.at("reason") == "more");
  CHECK(Second.at("patch") == replicasPatch(2));
  CHECK_THAT(ctl({"history"}).Output_,
             Contains("by ana") && Contains("by eva") && Contains(": more"));
}

namespace {
// A small fleet of plain services with one accepted declaration.
class WaitFixture {
protected:
  std::unique_ptr<Fleet> fleet(json::object Settings) {
    auto F = FleetBuilder()
                 .modelVms(0)
                 .plainVms(2)
                 .entrySettings(Settings)
                 .agentSettings(Settings)
                 .build();
    Text_ = F->declaration({});
    Text_["services"].as_object().erase("copywriter-lm");
    REQUIRE(F->apply(Text_).ExitCode_ == 0);
    F->awaitReady();
    return F;
  }

  // Changes the declaration and applies it with --wait.
  ToolResult applyAndWait(Fleet &F, const std::string &SecondsToWait) {
    Text_["customers"].as_object()["new-customer"] = {{"weight", 2}};
    std::string File = F.folder().write("next.jsonc", json::serialize(Text_));
    return F.ctl({"apply", File, "--wait", SecondsToWait, "--admin",
                  F.entry(0).admin(), "--json"});
  }

  json::object Text_;
};

json::array namesAt(const ToolResult &R, const char *Key) {
  return json::parse(R.Output_).at(Key).as_array();
}
} // namespace

TEST_CASE_METHOD(WaitFixture,
                 "apply --wait, all processes well, ends when all have it",
                 "[operators]") {
  auto F = fleet({});
  ToolResult Result = applyAndWait(*F, "20");
  CAPTURE(Result.Output_, Result.Errors_);
  CHECK(Result.ExitCode_ == 0);
  CHECK(namesAt(Result, "behind").empty());
  for (FleetProcess &Each : F->agents())
    CHECK(numberAt(getJson(Each.admin(), "/status")["control"].as_object(),
                   "revision") == 2);
}

// One agent hangs (its VM is paused) while a change is accepted and reaches all
// others. The operator must be told which process lacks it, and that process
// must get the change soon after it resumes.
TEST_CASE_METHOD(WaitFixture,
                 "apply --wait, one process frozen, names exactly that one",
                 "[operators]") {
  auto F = fleet({{"suspicion_timeout_ms", 600000}});
  FleetProcess &Frozen = F->agent(1);
  Frozen.Process_->freeze();
  ToolResult Result = applyAndWait(*F, "3");
  CAPTURE(Result.Output_, Result.Errors_);
  CHECK(Result.ExitCode_ == 5);
  CHECK(namesAt(Result, "behind") == json::array{Frozen.Name_});
  ToolResult Status =
      F->ctl({"status", "--admin", F->entry(0).admin(), "--json"});
  CHECK(namesAt(Status, "behind") == json::array{Frozen.Name_});

  Frozen.Process_->resume();
  eventually(
      [&] {
        ToolResult Later =
            F->ctl({"status", "--admin", F->entry(0).admin(), "--json"});
        return namesAt(Later, "behind").empty();
      },
      "nobody is behind");
}

// As above, but the paused VM counts as dead by the time the wait ends. It must
// not block the operator, but must be reported.
TEST_CASE_METHOD(
    WaitFixture,
    "apply --wait, one process counted dead, lists it as unreachable",
    "[operators]") {
  auto F = fleet({{"suspicion_timeout_ms", 1000}});
  FleetProcess &Frozen = F->agent(1);
  Frozen.Process_->freeze();
  ToolResult Result = applyAndWait(*F, "20");
  CAPTURE(Result.Output_, Result.Errors_);
  CHECK(Result.ExitCode_ == 0);
  CHECK(namesAt(Result, "unreachable") == json::array{Frozen.Name_});
  Frozen.Process_->resume();
}

// An operator drains a VM that is to be replaced. Exactly the agent on that VM
// must leave: draining another one would remove healthy capacity.
TEST_CASE_METHOD(WaitFixture,
                 "drain, one VM named, only that one's agent leaves",
                 "[operators]") {
  auto F = fleet({});
  FleetProcess &Leaving = F->agent(1);
  ToolResult Result = F->ctl({"drain", Leaving.Vm_.str(), "--admin",
                              F->agent(0).admin(), "--admin", Leaving.admin()});
  CAPTURE(Result.Output_, Result.Errors_);
  CHECK(Result.ExitCode_ == 0);
  eventually(
      [&] {
        json::value Status = json::parse(
            F->ctl({"status", "--admin", F->entry(0).admin(), "--json"})
                .Output_);
        std::string Left;
        for (const json::value &Each : Status.at("members").as_array())
          if (Each.at("state") == "left")
            Left += Each.at("process").as_string().c_str();
        return Left == Leaving.Name_;
      },
      "the named VM's agent has left");
  CHECK(F->ctl({"drain", "nowhere-1", "--admin", F->agent(0).admin()})
            .ExitCode_ == 4);
}

TEST_CASE_METHOD(WaitFixture,
                 "explain, a VM, tells what is declared and what is reported",
                 "[operators]") {
  auto F = fleet({});
  FleetProcess &Agent = F->agent(0);
  eventually(
      [&] {
        ToolResult R = F->ctl(
            {"explain", Agent.Vm_.str(), "--admin", F->entry(0).admin()});
        return R.ExitCode_ == 0 &&
               R.Output_.find("service billing-desk") != std::string::npos &&
               R.Output_.find("non_repeatable: ") != std::string::npos &&
               R.Output_.find(Agent.Name_) != std::string::npos &&
               R.Output_.find(F->agent(1).Name_) == std::string::npos;
      },
      "the VM is explained");
  F->table().setFaults(R"({"down": true})");
  ToolResult Cut =
      F->ctl({"explain", Agent.Vm_.str(), "--admin", F->entry(0).admin()});
  CHECK(Cut.ExitCode_ == 4);
  CHECK_THAT(Cut.Output_, Contains("cannot be read") && Contains(Agent.Name_));
}
