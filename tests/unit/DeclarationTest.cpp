#include "hawthornroad/config/Declaration.h"
#include "hawthornroad/config/DeclarationCheck.h"
#include "hawthornroad/config/JsonText.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;
using Catch::Matchers::Contains;

namespace {
const std::string Digest = "sha256:" + std::string(64, 'a');

// A valid declaration with one part per line, so that tests can check the lines
// of faults.
struct DeclarationFixture {
  std::string Valid_ =
      "{\"format\": 1,\n"                                           // 1
      "\"zones\": {\"za\": {\"region\": \"north\"}},\n"             // 2
      "\"services\": {\n"                                           // 3
      " \"lm\": {\"kind\": \"model\", \"vms\": [\"lm-*\"],\n"       // 4
      "   \"replicas\": 16,\n"                                      // 5
      "   \"model\": {\"manifest\": \"/m.json\", \"version\": \"" + // 6
      Digest +
      "\"},\n"
      "   \"rollout\": {\"prefer\": \"origin_bytes\"},\n"             // 7
      "   \"depends_on\": [\"api\"]},\n"                              // 8
      " \"api\": {\"kind\": \"plain\", \"vms\": [\"api-1\"],\n"       // 9
      "   \"depends_on\": [\"desk\"]},\n"                             // 10
      " \"desk\": {\"kind\": \"plain\", \"vms\": [\"desk-1\"],\n"     // 11
      "   \"non_repeatable\": [{\"method\": \"POST\",\n"              // 12
      "                       \"path\": \"/invoices\"}]}},\n"         // 13
      "\"customers\": {\"hp\": {\"weight\": 4, \"in_flight\": 64}}}"; // 14

  std::shared_ptr<const Declaration> parse(const std::string &Text) {
    return parseDeclaration(Text, "fleet.jsonc");
  }
  std::string replaced(const std::string &From, const std::string &To) {
    std::string Text = Valid_;
    REQUIRE(Text.find(From) != std::string::npos);
    return Text.replace(Text.find(From), From.size(), To);
  }
  std::vector<Fault> faultsOf(const std::string &Text) {
    try {
      parse(Text);
    } catch (const TextError &E) {
      REQUIRE(E.step() == Step::Declaration);
      return E.faults();
    }
    return {};
  }
};

std::string describe(const std::vector<Fault> &Faults) {
  return describeFaults("fleet.jsonc", Faults);
}
} // namespace

TEST_CASE_METHOD(DeclarationFixture,
                 "declaration, valid text, holds the parsed values",
                 "[declaration]") {
  auto D = parse(Valid_);
  const Service *Lm = D->findService(ServiceName("lm"));
  REQUIRE(Lm != nullptr);
  REQUIRE(Lm->Kind_ == ServiceKind::Model);
  REQUIRE(Lm->Replicas_ == 16);
  REQUIRE(Lm->Model_ == ModelDeclaration{"/m.json", VersionDigest(Digest)});
  REQUIRE(Lm->Rollout_.Preference_ == RolloutPreference::OriginBytes);
  REQUIRE(Lm->Rollout_.MaxUnavailable_ == 1);
  REQUIRE(D->findCustomer(Customer("hp"))->InFlight_ == 64);
  REQUIRE(D->zones().at(AvailabilityZone("za")).Region_ == "north");
  REQUIRE(D->findService(ServiceName("none")) == nullptr);
  REQUIRE(D->findCustomer(Customer("none")) == nullptr);
  REQUIRE(D->serviceOf(Vm("lm-07")) == Lm);
  REQUIRE(D->serviceOf(Vm("other")) == nullptr);
  REQUIRE(*D == *parse(Valid_));
}

TEST_CASE_METHOD(DeclarationFixture,
                 "declaration, dependency order, puts dependencies first",
                 "[declaration]") {
  REQUIRE(parse(Valid_)->dependencyOrder() ==
          std::vector<ServiceName>{ServiceName("desk"), ServiceName("api"),
                                   ServiceName("lm")});
}

TEST_CASE_METHOD(DeclarationFixture,
                 "declaration, invalid text, is rejected with line and path",
                 "[declaration]") {
  struct Case {
    std::string From_;
    std::string To_;
    std::string Expected_;
  };
  const std::vector<Case> Cases = {
      {"\"format\": 1", "\"format\": 2",
       ":1: format: expected a whole number from 1 to 1"},
      {"\"format\": 1,", "", "format: is required"},
      {"\"region\": \"north\"", "", "zones.za.region: is required"},
      {"\"za\"", "\"z/a\"", ":2: zones.z/a: expected a name"},
      {"\"customers\"", "\"clients\"", ":14: clients: unknown key"},
      {"\"replicas\"", "\"replica\"", ":5: services.lm.replica: unknown key"},
      {"16", "0", ":5: services.lm.replicas: expected a whole number from 1"},
      {"16", "16.5", "services.lm.replicas: expected a whole number"},
      {"16", "\"16\"", "services.lm.replicas: expected a whole number"},
      {"16", "99999999999999999999", "services.lm.replicas: expected"},
      {"\"model\", \"vms\"", "\"modell\", \"vms\"",
       ":4: services.lm.kind: expected one of \"model\", \"plain\""},
      {"[\"lm-*\"]", "\"lm-*\"", ":4: services.lm.vms: expected a list"},
      {"[\"lm-*\"]", "[]", "services.lm.vms: expected at least one"},
      {"[\"lm-*\"]", "[\"lm *\"]", "services.lm.vms: \"lm *\": expected"},
      {"[\"lm-*\"]", "[\"*-1\"]",
       "services.lm.vms: \"*-1\" and \"api-1\" of service api can cover"},
      {"aaa\"}", "aa\"}", ":6: services.lm.model.version: expected \"sha256:"},
      {"aaa\"}", "aaA\"}", ":6: services.lm.model.version: expected"},
      {"/m.json", "m.json", ":6: services.lm.model.manifest: expected a path"},
      {"\"model\": {", "\"mode\": {", "services.lm.model: is required"},
      {"\"plain\", \"vms\": [\"api-1\"]",
       "\"plain\", \"model\": {}, \"vms\": [\"api-1\"]",
       ":9: services.api.model: is only for a service of kind"},
      {"origin_bytes", "bytes", ":7: services.lm.rollout.prefer: expected one"},
      {"\"prefer\": \"origin_bytes\"", "\"origin_copies\": 0.5",
       ":7: services.lm.rollout.origin_copies: expected a number from 1"},
      {"[\"desk\"]", "[\"dusk\"]",
       ":10: services.api.depends_on: no service \"dusk\""},
      {"[\"desk\"]", "[\"desk\", \"desk\"]", "\"desk\" stands twice"},
      {"[\"desk\"]", "[\"lm\"]", "depends_on: cycle: api -> lm -> api"},
      {"[\"desk\"]", "[\"api\"]",
       ":10: services.api.depends_on: cycle: "
       "api -> api"},
      {"\"POST\"", "\"post\"",
       ":12: services.desk.non_repeatable[0].method: expected capital"},
      {"\"/invoices\"", "\"invoices\"",
       ":13: services.desk.non_repeatable[0].path: expected a path"},
      {"\"weight\": 4", "\"weight\": 0", ":14: customers.hp.weight: expected"},
      {"\"hp\": {", "\"hp\": 7, \"hq\": {", "customers.hp: expected an object"},
      {"\"weight\": 4", "\"weight\": 4, \"weight\": 5", "stands twice"},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.From_, Each.To_);
    REQUIRE_THAT(describe(faultsOf(replaced(Each.From_, Each.To_))),
                 Contains(Each.Expected_));
  }
}

TEST_CASE_METHOD(DeclarationFixture,
                 "declaration, several faults, are reported together by line",
                 "[declaration]") {
  std::string Text = replaced("[\"desk\"]", "[\"lm\"]");
  Text.replace(Text.find("\"in_flight\""), 11, "\"inflight\"");
  Text.replace(Text.find("16"), 2, "-1");
  std::vector<Fault> Faults = faultsOf(Text);
  REQUIRE(Faults.size() == 3);
  REQUIRE(Faults[0].Line_ == 5);
  REQUIRE(Faults[1].Path_.ends_with("depends_on"));
  REQUIRE(Faults[2].Path_ == "customers.hp.inflight");
}

TEST_CASE_METHOD(DeclarationFixture, "declaration, too many VM patterns, fails",
                 "[declaration]") {
  std::string Many;
  for (int I = 0; I < 5000; ++I)
    Many += (I == 0 ? "\"lm-" : ",\"lm-") + std::to_string(I) + "\"";
  REQUIRE_THAT(describe(faultsOf(replaced("\"lm-*\"", Many))),
               Contains("5002 VM patterns are above the limit of 4096"));
}

TEST_CASE("declaration builder, cycle or shared pattern, throws",
          "[declaration]") {
  Service A{.Name_ = ServiceName("a"), .Vms_ = {"vm-*"}};
  Service B{.Name_ = ServiceName("b"), .Vms_ = {"*-1"}};
  A.DependsOn_ = {ServiceName("b")};
  REQUIRE_THROWS_WITH(DeclarationBuilder().add(A).add(B).build(),
                      Contains("can cover the same VM"));
  B.Vms_ = {"other"};
  REQUIRE(DeclarationBuilder().add(A).add(B).build()->services().size() == 2);
  B.DependsOn_ = {ServiceName("a")};
  REQUIRE_THROWS_WITH(DeclarationBuilder().add(A).add(B).build(),
                      Contains("cycle: a -> b -> a"));
}

TEST_CASE("patterns, of two services, overlap when a name fits both",
          "[declaration]") {
  struct Case {
    std::string A_;
    std::string B_;
    bool Overlap_;
  };
  const std::vector<Case> Cases = {
      {"a", "a", true},         {"a", "b", false},
      {"a*", "ab", true},       {"a*", "*b", true},
      {"a*c", "ab*", true},     {"*", "anything", true},
      {"a*b", "a*c", false},    {"lm-*", "lm2-*", false},
      {"*x*", "aya", false},    {"*x*", "a*a", true},
      {"a", "a*a", false},      {"**", "", true},
      {"ab*ba", "aba", false},  {"ab*ba", "a*ba", true},
      {"lm-1", "lm-10", false},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.A_, Each.B_);
    REQUIRE(patternsOverlap(Each.A_, Each.B_) == Each.Overlap_);
    REQUIRE(patternsOverlap(Each.B_, Each.A_) == Each.Overlap_);
  }
}

TEST_CASE("pattern, with stars, matches any substring", "[declaration]") {
  REQUIRE(matchesPattern("lm-*", "lm-"));
  REQUIRE(matchesPattern("lm-*-a", "lm-1-a-2-a"));
  REQUIRE(matchesPattern("*", ""));
  REQUIRE_FALSE(matchesPattern("lm-*-a", "lm-1-b"));
  REQUIRE_FALSE(matchesPattern("lm-1", "lm-10"));
  REQUIRE_FALSE(matchesPattern("", "x"));
}

// Guards against billing a client twice: a caller uses another spelling of the
// invoice path that billing-desk treats as equal. If the entry compared only
// the literal path, it would consider the request repeatable and send it again
// after a lost response.
TEST_CASE("non-repeatable rule, path spelled in another way, still applies",
          "[declaration]") {
  Service S;
  S.NonRepeatable_ = {{"POST", "/invoices"}, {"", "/entries/"}};
  for (std::string Path : {"/invoices", "/invoices/7", "/invoices?draft=1",
                           "//invoices", "/./invoices", "/%69nvoices",
                           "/x/../invoices", "/entries", "/entries/5"}) {
    CAPTURE(Path);
    REQUIRE_FALSE(S.isRepeatable("POST", Path));
  }
  REQUIRE(S.isRepeatable("GET", "/invoices"));
  REQUIRE_FALSE(S.isRepeatable("GET", "/entries/5"));
  REQUIRE(S.isRepeatable("POST", "/lookups/invoices"));
  REQUIRE(S.isRepeatable("POST", "/%"));
}
