#include "hawthornroad/config/Declaration.h"
#include "hawthornroad/config/JsonText.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
std::shared_ptr<const Declaration> example(const std::string &Name) {
  std::string File = std::string(SOURCE_DIR) + "/examples/" + Name;
  return parseDeclaration(readTextFile(File, Step::Declaration), File);
}

std::size_t replicasOf(const Declaration &D, const std::string &Name) {
  const Service *S = D.findService(ServiceName(Name));
  return S == nullptr ? 0 : S->Replicas_;
}
} // namespace

TEST_CASE("example, of Stajaliste, is valid and has the specified sizes",
          "[examples]") {
  auto D = example("stajaliste.jsonc");
  REQUIRE(D->zones().size() == 3);
  REQUIRE(D->customers().size() == 10);
  REQUIRE(replicasOf(*D, "copywriter-lm") == 16);
  REQUIRE(replicasOf(*D, "panel-api") == 3);
  REQUIRE(replicasOf(*D, "billing-desk") == 1);
  const Service *Billing = D->findService(ServiceName("billing-desk"));
  REQUIRE_FALSE(Billing->isRepeatable("POST", "/invoices"));
  REQUIRE(Billing->isRepeatable("GET", "/invoices/7"));
  REQUIRE(D->findService(ServiceName("copywriter-lm"))->Rollout_.Preference_ ==
          RolloutPreference::Time);
}

TEST_CASE("example, of the Regatta, is valid and has the specified sizes",
          "[examples]") {
  auto D = example("regatta.jsonc");
  REQUIRE(D->zones().size() == 3);
  REQUIRE(D->customers().size() == 10);
  REQUIRE(replicasOf(*D, "entries-llm") == 9);
  REQUIRE(replicasOf(*D, "entries-api") == 3);
  REQUIRE(replicasOf(*D, "officials-portal") == 1);
  const Service *Api = D->findService(ServiceName("entries-api"));
  REQUIRE_FALSE(Api->isRepeatable("POST", "/entries"));
  REQUIRE(Api->isRepeatable("GET", "/entries/9/status"));
  REQUIRE(D->findService(ServiceName("entries-llm"))->Rollout_.Preference_ ==
          RolloutPreference::OriginBytes);
}
