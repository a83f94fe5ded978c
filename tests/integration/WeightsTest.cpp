// Weight transfer under failures, with real agents. The checks use what each
// engine stand-in recorded of the bytes it was given (it rejects none itself)
// and what the origin counted as sent.

#include "tests/integration/Fleet.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using namespace hawthornroad;
namespace json = boost::json;

namespace {
constexpr const char *Service = "copywriter-lm";
constexpr std::size_t LargeSize = 2'000'000;
constexpr double Budget = 2;

struct WeightsFixture {
  std::unique_ptr<Fleet> Fleet_ = FleetBuilder()
                                      .zones({"zone-a", "zone-b"})
                                      .modelVms(4)
                                      .withProxies()
                                      .build();

  void declare(const WeightVersion &V) {
    json::object Text = Fleet_->declaration(V);
    Text["services"].as_object()[Service].as_object()["rollout"] = {
        {"prefer", "origin_bytes"},
        {"max_unavailable", 2},
        {"origin_copies", Budget}};
    ToolResult R = Fleet_->apply(Text);
    INFO(R.Errors_);
    REQUIRE(R.ExitCode_ == 0);
  }

  std::int64_t originBytes(const WeightVersion &V) {
    std::string Folder = V.ManifestPath_.substr(0, V.ManifestPath_.rfind('/'));
    json::object Counters = Fleet_->origin().counters();
    const json::object &ByPath = Counters.at("bytes_by_path").as_object();
    const json::value *Found = ByPath.if_contains(Folder + "/weights.bin");
    return Found == nullptr ? 0 : Found->to_number<std::int64_t>();
  }
  void checkBudget(const WeightVersion &V) {
    REQUIRE(static_cast<double>(originBytes(V)) <=
            Budget * static_cast<double>(V.Size_));
  }

  // Checks that each load that any engine received is exactly one of Whole.
  void checkLoads(const std::vector<WeightVersion> &Whole) {
    for (FleetProcess *Each : Fleet_->modelAgents()) {
      auto Record = getJson(Each->Endpoint_->address(), "/admin/record");
      for (const json::value &Load : Record.at("loads").as_array()) {
        const json::object &L = Load.as_object();
        bool Known = false;
        for (const WeightVersion &V : Whole)
          Known = Known || (textAt(L, "version") == V.Digest_.str() &&
                            textAt(L, "bytes_sha256") == V.BlobDigest_);
        INFO(json::serialize(L));
        REQUIRE(Known);
      }
    }
  }

  json::object weights(FleetProcess &P) {
    return getJson(P.admin(), "/status").at("weights").as_object();
  }
  bool isMidway(FleetProcess &P) {
    json::object W = weights(P);
    auto Held = W.at("held").to_number<std::int64_t>();
    return Held > 0 && Held < W.at("chunks").to_number<std::int64_t>();
  }
  bool serves(FleetProcess &P, const WeightVersion &V) {
    auto Model = getJson(P.Endpoint_->address(), "/admin/model");
    return textAt(Model, "state") == "ready" &&
           textAt(Model, "version") == V.Digest_.str();
  }
  void requireAllServe(const WeightVersion &V) {
    for (FleetProcess *Each : Fleet_->modelAgents())
      REQUIRE(serves(*Each, V));
  }
};
} // namespace

TEST_CASE_METHOD(
    WeightsFixture,
    "weights, when the origin corrupts and truncates chunks, reach "
    "each engine whole and within the budget",
    "[weights]") {
  // An engine with corrupted chunks would serve a model that nobody trained.
  // The origin flips a byte in each seventh answer and truncates each ninth.
  Fleet_->origin().setFaults(R"({"corrupt_every":7,"truncate_every":9})");
  WeightVersion V1 = Fleet_->publishWeights("v1", 1, LargeSize);
  declare(V1);
  Fleet_->awaitServing(V1);
  checkLoads({V1});
  checkBudget(V1);
}

TEST_CASE_METHOD(
    WeightsFixture,
    "weights, when an agent is killed and replaced in mid-transfer, "
    "reach each engine whole and within the budget",
    "[weights]") {
  // The agent dies with part of the chunks on disk, one perhaps partly written.
  // Its replacement counts only chunks that it has verified, and must not use
  // its grants a second time.
  Fleet_->origin().setFaults(R"({"rate":400000})");
  WeightVersion V1 = Fleet_->publishWeights("v1", 1, LargeSize);
  declare(V1);
  FleetProcess &Victim = *Fleet_->modelAgents().front();
  eventually([&] { return isMidway(Victim); }, "the transfer is midway");
  Fleet_->kill(Victim);
  Fleet_->start(Victim);
  Fleet_->awaitServing(V1);
  checkLoads({V1});
  checkBudget(V1);
}

TEST_CASE_METHOD(WeightsFixture,
                 "weights, when the manifest is replaced at the origin, fail "
                 "clearly while the old version serves, and go on later",
                 "[weights]") {
  // The operators declared V2 but its path now serves another manifest: staging
  // that under V2's name would mix versions.
  WeightVersion V1 = Fleet_->publishWeights("v1", 1);
  declare(V1);
  Fleet_->awaitServing(V1);
  WeightVersion V2 = Fleet_->publishWeights("v2", 2);
  std::string Right =
      fetch(Fleet_->origin().address(), {.Target_ = V2.ManifestPath_}).Body_;
  Fleet_->folder().write("origin" + V2.ManifestPath_, Right + " ");
  declare(V2);
  eventually(
      [&] {
        for (FleetProcess *Each : Fleet_->modelAgents())
          if (textAt(weights(*Each), "failure").find("manifest is sha256:") !=
              std::string::npos)
            return true;
        return false;
      },
      "an agent reports the reason");
  requireAllServe(V1);
  Fleet_->folder().write("origin" + V2.ManifestPath_, Right);
  Fleet_->awaitServing(V2);
  checkLoads({V1, V2});
}

TEST_CASE_METHOD(WeightsFixture,
                 "weights, when a newer version is declared in mid-transfer, "
                 "never mix",
                 "[weights]") {
  Fleet_->origin().setFaults(R"({"rate":400000})");
  WeightVersion V1 = Fleet_->publishWeights("v1", 1, LargeSize);
  WeightVersion V2 = Fleet_->publishWeights("v2", 2, LargeSize);
  declare(V1);
  eventually([&] { return isMidway(*Fleet_->modelAgents().front()); },
             "the transfer is midway");
  declare(V2);
  Fleet_->origin().setFaults("{}");
  Fleet_->awaitServing(V2);
  checkLoads({V1, V2});
  checkBudget(V1);
  checkBudget(V2);
}

TEST_CASE_METHOD(WeightsFixture,
                 "weights, when the origin is down for a while, wait with the "
                 "old version serving and then go on",
                 "[weights]") {
  WeightVersion V1 = Fleet_->publishWeights("v1", 1);
  declare(V1);
  Fleet_->awaitServing(V1);
  Fleet_->origin().setFaults(R"({"down":true})");
  WeightVersion V2 = Fleet_->publishWeights("v2", 2);
  declare(V2);
  eventually(
      [&] {
        return !textAt(weights(*Fleet_->modelAgents().front()), "failure")
                    .empty();
      },
      "the agent reports that it cannot proceed");
  requireAllServe(V1);
  Fleet_->origin().setFaults("{}");
  Fleet_->awaitServing(V2);
  checkLoads({V1, V2});
  checkBudget(V2);
}

TEST_CASE_METHOD(WeightsFixture,
                 "weights, when a zone is cut off from the origin and the "
                 "table, reach it through the other zone",
                 "[weights]") {
  WeightVersion V1 = Fleet_->publishWeights("v1", 1);
  declare(V1);
  Fleet_->awaitServing(V1);
  for (Proxy *Each : Fleet_->platformOf("zone-b").Proxies_)
    Each->setFaults(R"({"blackhole":true})");
  WeightVersion V2 = Fleet_->publishWeights("v2", 2);
  declare(V2);
  Fleet_->awaitServing(V2);
  checkLoads({V1, V2});
  checkBudget(V2);
}
