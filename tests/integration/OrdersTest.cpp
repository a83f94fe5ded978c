#include "tests/integration/Fleet.h"

#include <boost/json/array.hpp>
#include <catch2/catch.hpp>

using namespace hawthornroad;
namespace json = boost::json;

namespace {
// One VM whose engine checks fencing numbers or ignores them.
struct OrdersFixture {
  std::unique_ptr<Fleet> build(bool Checks, json::object AgentSettings) {
    AgentSettings["report_period_ms"] = 100;
    AgentSettings["probe_period_ms"] = 200;
    std::vector<std::string> Options = {"--token-ms", "2", "--load-ms", "200"};
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
  eventually([&] { return serves(F, V); }, What, 2 * Patience);
}
// The engine was never given an older order after a newer one.
void requireRisingOrders(Fleet &F) {
  std::int64_t Last = 0;
  for (const json::value &Each : loads(F)) {
    std::int64_t Fencing = numberAt(Each.as_object(), "fencing");
    REQUIRE(Fencing >= Last);
    Last = Fencing;
  }
}
// A port that was free a moment ago, for the lock that agents of a VM share.
std::string freeAddress() {
  IoThread Io("free-port", 16);
  HttpServer Server(Io, {}, [](HttpRequest, auto) {});
  return "127.0.0.1:" + std::to_string(Server.listen("127.0.0.1", 0));
}
} // namespace

// An agent is frozen, a newer version is declared, and a replacement is started
// beside it. If both gave orders, the frozen one's would come last, at the
// thaw: callers would be answered by the old version again. The kernel keeps
// the lock port for the frozen agent, so the replacement gives none until the
// other is gone.
TEST_CASE_METHOD(OrdersFixture,
                 "replacement beside a frozen agent gives no order before the "
                 "frozen one has ended",
                 "[orders]") {
  bool Checks = GENERATE(true, false);
  bool Dies = GENERATE(true, false);
  CAPTURE(Checks, Dies);
  auto F = build(Checks, {{"lock_listen", freeAddress()}});
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
  // The entry knows the new revision, so a replacement that could act would.
  eventually(
      [&] {
        auto Status = getJson(F->entry(0).admin(), "/status");
        return numberAt(Status, "revision") == 2;
      },
      "the entry applies the second revision");
  REQUIRE(Replacement.running());
  REQUIRE(serves(*F, V1));
  REQUIRE(loads(*F).size() == 1);
  if (Dies)
    F->kill(First);
  else
    First.Process_->resume();
  awaitServes(*F, V2, "the newer version is served");
  requireRisingOrders(*F);
  REQUIRE(loads(*F).size() == 2);
  REQUIRE(Replacement.running());
}

// The worse case: two agents of one VM without a common lock. The first is
// frozen with an order for the second version at hand; its replacement brings
// the third into force; the first thaws. Its own order is older than the one in
// force, so callers would get the second version after the third.
TEST_CASE_METHOD(OrdersFixture,
                 "agent that thaws beside its replacement, without a lock, "
                 "gives no older order",
                 "[orders]") {
  bool Checks = GENERATE(true, false);
  CAPTURE(Checks);
  auto F = build(Checks, {});
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
  awaitServes(*F, V3, "the replacement brings the third version into force");
  First.Process_->resume();
  eventually(
      [&] {
        json::object Status = engineStatus(*First.Process_);
        return numberAt(Status, "pauses") > 0 &&
               Status.at("may_order").as_bool();
      },
      "the first agent has noticed its pause and may give orders again",
      2 * Patience);
  // What it wants by now is read from its own status; it has had its chance.
  eventually(
      [&] {
        std::string State = textAt(engineStatus(*First.Process_), "rollout");
        return State == "serving" || State == "waiting_turn";
      },
      "the first agent has settled");
  REQUIRE(serves(*F, V3));
  REQUIRE(textAt(loads(*F).back().as_object(), "version") == V3.Digest_.str());
  requireRisingOrders(*F);
}
