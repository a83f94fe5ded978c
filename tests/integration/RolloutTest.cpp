#include "tests/integration/Fleet.h"

#include <algorithm>
#include <atomic>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <future>
#include <map>
#include <set>
#include <thread>

using namespace hawthornroad;
namespace json = boost::json;

namespace {
constexpr std::int64_t LoadMs = 1200;

// The time during which an engine was out of service to load, in milliseconds
// since the epoch.
struct LoadSpan {
  std::int64_t From_ = 0;
  std::int64_t To_ = 0;
};

struct RolloutFixture {
  std::unique_ptr<Fleet> build(std::size_t ModelVms) {
    return FleetBuilder()
        .modelVms(ModelVms)
        .engineOptions({"--token-ms", "2", "--load-ms", std::to_string(LoadMs)})
        // Turns settle within these periods.
        .agentSettings({{"report_period_ms", 100}, {"probe_period_ms", 200}})
        .build();
  }
  json::object declaration(const Fleet &F, const WeightVersion &V,
                           std::size_t MaxUnavailable) {
    json::object Text = F.declaration(V);
    Text["services"].as_object()["copywriter-lm"].as_object()["rollout"] = {
        {"max_unavailable", MaxUnavailable}, {"halt_after_failures", 2}};
    return Text;
  }
  void apply(Fleet &F, const json::object &Text) {
    ToolResult R = F.apply(Text);
    INFO(R.Output_ << R.Errors_);
    REQUIRE(R.ExitCode_ == 0);
  }
};

json::array loads(const FleetProcess &P) {
  return getJson(P.Endpoint_->address(), "/admin/record")
      .at("loads")
      .as_array();
}
std::size_t loadsOf(const FleetProcess &P, const WeightVersion &V) {
  json::array All = loads(P);
  return static_cast<std::size_t>(
      std::count_if(All.begin(), All.end(), [&](const json::value &Each) {
        return textAt(Each.as_object(), "version") == V.Digest_.str();
      }));
}
bool serves(const FleetProcess &P, const WeightVersion &V) {
  auto Model = getJson(P.Endpoint_->address(), "/admin/model");
  return textAt(Model, "state") == "ready" &&
         textAt(Model, "version") == V.Digest_.str();
}
json::object engineStatus(FleetProcess &P) {
  return getJson(P.admin(), "/status").at("engine").as_object();
}

std::vector<LoadSpan> spansOf(Fleet &F, const WeightVersion &V) {
  std::vector<LoadSpan> Spans;
  for (FleetProcess *Each : F.modelAgents())
    for (const json::value &Load : loads(*Each)) {
      if (textAt(Load.as_object(), "version") != V.Digest_.str())
        continue;
      std::int64_t At = numberAt(Load.as_object(), "at_ms");
      Spans.push_back({At, At + LoadMs});
    }
  return Spans;
}
// The largest number of overlapping spans; it is reached at the start of a
// span.
std::size_t mostAtOnce(const std::vector<LoadSpan> &Spans) {
  std::size_t Most = 0;
  for (const LoadSpan &Moment : Spans) {
    auto Holds =
        std::count_if(Spans.begin(), Spans.end(), [&](const LoadSpan &Each) {
          return Each.From_ <= Moment.From_ && Moment.From_ < Each.To_;
        });
    Most = std::max(Most, static_cast<std::size_t>(Holds));
  }
  return Most;
}

// Callers that send requests without pause, and the answers they got.
class Callers {
public:
  Callers(const std::string &Address, std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      Threads_.emplace_back([this, Address, I] { run(Address, I); });
  }
  ~Callers() { stop(); }
  void stop() {
    Stopped_ = true;
    for (std::thread &Each : Threads_)
      if (Each.joinable())
        Each.join();
  }
  std::size_t asked() const { return Asked_; }
  // Calls without a complete answer, as text for the test output.
  std::vector<std::string> unanswered() const { return Unanswered_; }
  const std::map<std::string, std::size_t> &versions() const {
    return Versions_;
  }

private:
  void run(const std::string &Address, std::size_t Number) {
    for (std::size_t I = 0; !Stopped_; ++I) {
      HttpRequest R = completionRequest("/copywriter-lm/v1/completions",
                                        "caller " + std::to_string(Number) +
                                            " call " + std::to_string(I),
                                        20, true);
      R.Headers_.push_back({"Hawthornroad-Customer", "hp-travel"});
      StreamResult Got = fetchStream(Address, std::move(R));
      note(Got);
    }
  }
  void note(const StreamResult &Got) {
    std::lock_guard Lock(Mutex_);
    ++Asked_;
    bool Answered = Got.Status_ == 200 && Got.Whole_ && !Got.Events_.empty() &&
                    Got.Events_.back() == "[DONE]";
    if (!Answered)
      Unanswered_.push_back(std::to_string(Got.Status_) + " " + Got.Error_ +
                            Got.Body_.substr(0, 300));
    else
      ++Versions_[findHeader(Got.Headers_, "Hawthornroad-Version")
                      .value_or("none")];
  }

  std::mutex Mutex_;
  std::atomic<bool> Stopped_{false};
  std::atomic<std::size_t> Asked_{0};
  std::vector<std::string> Unanswered_;
  std::map<std::string, std::size_t> Versions_;
  std::vector<std::thread> Threads_;
};
} // namespace

// Callers send requests all the time while a new version is rolled out. If two
// endpoints of the zone left service together, capacity would fall below the
// declared share; if one left with requests in progress, callers would be cut
// off.
TEST_CASE_METHOD(RolloutFixture,
                 "rollout under load takes one endpoint at a time and cuts no "
                 "request",
                 "[rollout]") {
  auto F = build(4);
  WeightVersion V1 = F->publishWeights("v1", 1);
  WeightVersion V2 = F->publishWeights("v2", 2);
  apply(*F, declaration(*F, V1, 1));
  F->awaitServing(V1);
  Callers Asking(F->entry(0).callers(), 3);
  apply(*F, declaration(*F, V2, 1));
  F->awaitServing(V2);
  std::size_t AskedBefore = Asking.asked();
  eventually([&] { return Asking.asked() > AskedBefore + 20; },
             "callers are answered by the new version");
  Asking.stop();
  for (const std::string &Each : Asking.unanswered())
    UNSCOPED_INFO(Each);
  REQUIRE(Asking.unanswered().empty());
  REQUIRE(spansOf(*F, V2).size() == 4);
  REQUIRE(mostAtOnce(spansOf(*F, V2)) == 1);
  // Every answer names one of the two versions, and both have served.
  REQUIRE(Asking.versions().size() == 2);
  REQUIRE(Asking.versions().contains(V1.Digest_.str()));
  REQUIRE(Asking.versions().contains(V2.Digest_.str()));
}

// The engines cannot load the new version. Without a halt each endpoint would,
// in its turn, drop the old version for one that it cannot load. The old
// version keeps serving, operators see which endpoints failed and why, and a
// rollback needs no transfer.
TEST_CASE_METHOD(
    RolloutFixture,
    "rollout of a version that fails to load halts, and a rollback "
    "and a later version go through",
    "[rollout]") {
  auto F = build(4);
  WeightVersion V1 = F->publishWeights("v1", 1);
  WeightVersion V2 = F->publishWeights("v2", 2);
  WeightVersion V3 = F->publishWeights("v3", 3);
  apply(*F, declaration(*F, V1, 2));
  F->awaitServing(V1);
  auto Agents = F->modelAgents();
  for (FleetProcess *Each : Agents)
    Each->Endpoint_->setFaults(R"({"fail_loads":true})");
  apply(*F, declaration(*F, V2, 2));

  std::vector<FleetProcess *> Halted;
  eventually(
      [&] {
        Halted.clear();
        for (FleetProcess *Each : Agents)
          if (textAt(engineStatus(*Each), "rollout") == "halted")
            Halted.push_back(Each);
        return Halted.size() == 2;
      },
      "the endpoints that have not tried are halted", 2 * AwaitTimeout);
  std::set<std::string> Failed;
  for (FleetProcess *Each : Agents)
    if (textAt(engineStatus(*Each), "failed_version") == V2.Digest_.str())
      Failed.insert(Each->Vm_.str());
  REQUIRE(Failed.size() == 2);
  for (FleetProcess *Each : Halted) {
    REQUIRE(serves(*Each, V1));
    json::object Status = engineStatus(*Each);
    for (const std::string &Name : Failed)
      REQUIRE_THAT(json::serialize(Status.at("load_failures").at(Name)),
                   Catch::Contains("load failed by a fault"));
  }
  for (FleetProcess *Each : Agents)
    Each->Endpoint_->setFaults("{}");
  for (FleetProcess *Each : Agents)
    eventually([&] { return serves(*Each, V1); },
               Each->Name_ + " serves the old version again", 2 * AwaitTimeout);

  std::int64_t OriginBytes = numberAt(F->origin().counters(), "bytes");
  ToolResult Rollback = F->ctl({"rollback", "1", "--reason", "v2 fails"});
  INFO(Rollback.Output_ << Rollback.Errors_);
  REQUIRE(Rollback.ExitCode_ == 0);
  for (FleetProcess *Each : Agents)
    eventually(
        [&] { return textAt(engineStatus(*Each), "rollout") == "serving"; },
        Each->Name_ + " is halted no more");
  F->awaitServing(V1);
  REQUIRE(numberAt(F->origin().counters(), "bytes") == OriginBytes);
  for (FleetProcess *Each : Agents)
    REQUIRE(loadsOf(*Each, V2) == 0);

  apply(*F, declaration(*F, V3, 2));
  F->awaitServing(V3);
}

TEST_CASE_METHOD(
    RolloutFixture,
    "engine that serves a version when its agent starts keeps serving it",
    "[rollout]") {
  auto F = build(2);
  WeightVersion V1 = F->publishWeights("v1", 1);
  apply(*F, declaration(*F, V1, 1));
  F->awaitServing(V1);
  FleetProcess &First = F->agent(0);
  F->kill(First);
  F->start(First);
  F->awaitReady();
  REQUIRE(textAt(engineStatus(First), "version") == V1.Digest_.str());
  REQUIRE(loads(First).size() == 1);
}
