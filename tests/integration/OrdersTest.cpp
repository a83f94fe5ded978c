#include "hawthornroad/config/JsonText.h"
#include "tests/integration/Fleet.h"

#include <boost/json/array.hpp>
#include <catch2/catch.hpp>
#include <filesystem>

using namespace hawthornroad;
namespace json = boost::json;

namespace {
// One VM whose engine checks fencing numbers or ignores them.
struct OrdersFixture {
  std::unique_ptr<Fleet> build(bool Checks, json::object AgentSettings,
                               const std::string &LoadMs) {
    AgentSettings["report_period_ms"] = 100;
    AgentSettings["probe_period_ms"] = 200;
    std::vector<std::string> Options = {"--token-ms", "2", "--load-ms", LoadMs};
    if (Checks)
      Options.push_back("--checks-fencing");
    return FleetBuilder()
        .modelVms(1)
        .engineOptions(std::move(Options))
        .agentSettings(std::move(AgentSettings))
        .build();
  }
  void apply(Fleet &F, const WeightVersion &V, bool Checks) {
    json::object Text = F.declaration(V);
    Text["services"]
        .as_object()["copywriter-lm"]
        .as_object()["checks_fencing"] = Checks;
    ToolResult R = F.apply(Text);
    INFO(R.Output_ << R.Errors_);
    REQUIRE(R.ExitCode_ == 0);
  }
};

json::object engineStatus(Process &Agent) {
  return getJson(Agent.readyText("admin"), "/status").at("engine").as_object();
}
json::array loads(Fleet &F) {
  return getJson(F.agent(0).Endpoint_->address(), "/admin/record")
      .at("loads")
      .as_array();
}
bool serves(Fleet &F, const WeightVersion &V) {
  auto Model = getJson(F.agent(0).Endpoint_->address(), "/admin/model");
  return textAt(Model, "state") == "ready" &&
         textAt(Model, "version") == V.Digest_.str();
}
void awaitServes(Fleet &F, const WeightVersion &V, const std::string &What) {
  eventually([&] { return serves(F, V); }, What, 2 * AwaitTimeout);
}
// Requires that the engine never got an older order after a newer one.
void requireRisingOrders(Fleet &F) {
  std::int64_t Last = 0;
  for (const json::value &Each : loads(F)) {
    std::int64_t Fencing = numberAt(Each.as_object(), "fencing");
    REQUIRE(Fencing >= Last);
    Last = Fencing;
  }
}
// A port that was free just before, for the lock that the agents of a VM share.
std::string freeAddress() {
  IoThread Io("free-port", 16);
  HttpServer Server(Io, {}, [](HttpRequest, auto) {});
  return "127.0.0.1:" + std::to_string(Server.listen("127.0.0.1", 0));
}
// The log of the process Name.
std::string logOf(Fleet &F, const std::string &Name) {
  std::string Text;
  for (const auto &Each :
       std::filesystem::directory_iterator(F.folder().path())) {
    std::string File = Each.path().filename().string();
    if (File.starts_with(Name) && Each.is_regular_file())
      Text += readTextFile(Each.path().string(), Step::Settings);
  }
  return Text;
}
} // namespace

// An agent is frozen, a newer version is declared, and a replacement agent is
// started on the same VM. If both sent orders, those of the frozen one would
// come last, when it resumes, and callers would get the old version again. The
// kernel keeps the lock port for the frozen agent, so the replacement sends no
// order until the frozen one has ended.
TEST_CASE_METHOD(OrdersFixture,
                 "replacement of a frozen agent sends no order before the "
                 "frozen one has ended",
                 "[orders]") {
  bool Checks = GENERATE(true, false);
  bool Dies = GENERATE(true, false);
  CAPTURE(Checks, Dies);
  auto F = build(Checks, {{"lock_listen", freeAddress()}}, "200");
  WeightVersion V1 = F->publishWeights("v1", 1);
  WeightVersion V2 = F->publishWeights("v2", 2);
  apply(*F, V1, Checks);
  F->awaitServing(V1);
  FleetProcess &First = F->agent(0);
  First.Process_->freeze();
  apply(*F, V2, Checks);
  Process Replacement({.Name_ = "replacement",
                       .Program_ = First.Program_,
                       .Arguments_ = {"--settings", First.SettingsFile_}},
                      F->folder());
  eventually(
      [&] {
        return logOf(*F, "replacement").find("waiting for its lock") !=
               std::string::npos;
      },
      "the replacement waits for the lock");
  REQUIRE(serves(*F, V1));
  REQUIRE(loads(*F).size() == 1);
  if (Dies)
    F->kill(First);
  else
    First.Process_->resume();
  awaitServes(*F, V2, "the newer version is served");
  requireRisingOrders(*F);
  REQUIRE(loads(*F).size() == 2);
}

// Two agents of one VM without a common lock. The first is frozen while the
// second version is wanted; its replacement orders the third; the first resumes
// while the engine loads. An engine that serves nothing is loaded without a
// turn, so the first would order the second version at once, and callers would
// get it after the third was ordered.
TEST_CASE_METHOD(OrdersFixture,
                 "agent that resumes after its replacement has started, "
                 "without a lock, sends no older order",
                 "[orders]") {
  bool Checks = GENERATE(true, false);
  CAPTURE(Checks);
  auto F = build(Checks, {}, "3000");
  WeightVersion V1 = F->publishWeights("v1", 1);
  WeightVersion V2 = F->publishWeights("v2", 2);
  WeightVersion V3 = F->publishWeights("v3", 3);
  apply(*F, V1, Checks);
  F->awaitServing(V1);
  FleetProcess &First = F->agent(0);
  apply(*F, V2, Checks);
  eventually(
      [&] {
        return textAt(engineStatus(*First.Process_), "rollout") ==
               "waiting_turn";
      },
      "the first agent is about to order the second version");
  First.Process_->freeze();
  REQUIRE(serves(*F, V1));
  apply(*F, V3, Checks);
  Process Replacement({.Name_ = "replacement",
                       .Program_ = First.Program_,
                       .Arguments_ = {"--settings", First.SettingsFile_}},
                      F->folder());
  eventually(
      [&] {
        auto Model = getJson(First.Endpoint_->address(), "/admin/model");
        return textAt(Model, "version") == V3.Digest_.str();
      },
      "the replacement orders the third version", 2 * AwaitTimeout);
  First.Process_->resume();
  awaitServes(*F, V3, "the third version is served");
  // The first agent may send orders again, and has none to send or waits for
  // its turn. If it were to send an older order, it would have done so by now.
  eventually(
      [&] {
        json::object Status = engineStatus(*First.Process_);
        std::string State = textAt(Status, "rollout");
        return Status.at("may_order").as_bool() &&
               (State == "serving" || State == "waiting_turn");
      },
      "the first agent has settled", 2 * AwaitTimeout);
  requireRisingOrders(*F);
  REQUIRE(serves(*F, V3));
  REQUIRE(textAt(loads(*F).back().as_object(), "version") == V3.Digest_.str());
}
