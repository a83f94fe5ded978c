#include "tests/integration/RequestFixture.h"

#include <catch2/catch.hpp>
#include <map>

using namespace hawthornroad;

namespace {
FleetBuilder twoZones(const std::string &WorkMs) {
  return FleetBuilder()
      .zones({"zone-a", "zone-b"})
      .modelVms(0)
      .plainVms(2)
      .serviceOptions({"--work-ms", WorkMs});
}

FleetProcess &agentThatRuns(Fleet &F, const std::string &Key) {
  FleetProcess *Found = nullptr;
  eventually(
      [&] {
        for (FleetProcess &Each : F.agents()) {
          auto Counters = Each.Endpoint_->counters();
          if (numberAt(Counters.at("runs").as_object(), Key) > 0)
            Found = &Each;
        }
        return Found != nullptr;
      },
      "the call with key " + Key + " runs");
  return *Found;
}
} // namespace

TEST_CASE("invoice, sent and repeated at another entry, runs once and is "
          "answered alike") {
  auto F = buildPlainFleet(twoZones("1"));
  HttpResponse First = invoice(F->entry(0), "k");
  INFO(First.Body_);
  REQUIRE(outcome(First) == "answered");
  HttpResponse Again = invoice(F->entry(1), "k");
  REQUIRE(outcome(Again) == "answered");
  REQUIRE(Again.Body_ == First.Body_);
  REQUIRE(runs(*F, "k") == 1);
  HttpResponse Other = fetch(F->entry(1).callers(),
                             invoiceRequest("k", 10000, "{\"amount\":2}"));
  REQUIRE(Other.Status_ == 422);
  REQUIRE(runs(*F, "k") == 1);
}

TEST_CASE("invoice, its agent killed during the run, is unknown at once and "
          "runs once") {
  // The call in progress bills the client; run again elsewhere it would bill
  // twice. The agent dies and the service goes on, so the outcome is unknown.
  auto F = buildPlainFleet(twoZones("3000"));
  auto Answer = invoiceLater(F->entry(0), "k", 20000);
  FleetProcess &Agent = agentThatRuns(*F, "k");
  F->kill(Agent);
  HttpResponse R = Answer.get();
  REQUIRE(outcome(R) == "unknown");
  requireConsistentOutcome(*F, "k", R);
  // Both entries report the same outcome, before and after a replacement.
  eventually([&] { return outcome(invoice(F->entry(1), "k")) == "unknown"; },
             "the claim says unknown");
  F->start(Agent);
  REQUIRE(outcome(invoice(F->entry(1), "k")) == "unknown");
  REQUIRE(runs(*F, "k") == 1);
}

TEST_CASE("invoice, its agent killed before or after the run, gets "
          "the true outcome") {
  auto F = buildPlainFleet(twoZones("1"));
  HttpResponse Before = invoice(F->entry(0), "answered");
  REQUIRE(outcome(Before) == "answered");
  for (FleetProcess &Each : F->agents())
    F->kill(Each);
  // After the run: the stored answer is served without any agent.
  REQUIRE(invoice(F->entry(1), "answered").Body_ == Before.Body_);
  REQUIRE(runs(*F, "answered") == 1);
  // Before the run: nothing can have run, and the refusal has a Retry-After.
  HttpResponse Refused = invoice(F->entry(0), "refused");
  REQUIRE(outcome(Refused) == "not-run");
  REQUIRE(findHeader(Refused.Headers_, "Retry-After").has_value());
  requireConsistentOutcome(*F, "refused", Refused);
}

TEST_CASE("invoice, its entry killed and the key repeated at another, runs "
          "once") {
  // The caller's connection breaks during the call; it repeats the key at
  // another entry, which cannot know what the dead one did.
  auto F = buildPlainFleet(twoZones("1500"));
  auto Lost = invoiceLater(F->entry(0), "k", 3000);
  agentThatRuns(*F, "k");
  F->kill(F->entry(0));
  REQUIRE(Lost.get().Status_ == 0);
  HttpResponse Early = invoice(F->entry(1), "k", 3000);
  REQUIRE(Early.Status_ == 409);
  REQUIRE(findHeader(Early.Headers_, "Retry-After").has_value());
  eventually([&] { return invoice(F->entry(1), "k", 3000).Status_ != 409; },
             "the dead entry's deadline has passed");
  HttpResponse Late = invoice(F->entry(1), "k", 3000);
  REQUIRE(outcome(Late) == "unknown");
  REQUIRE(runs(*F, "k") == 1);
}

TEST_CASE("invoice, its entry frozen before the dispatch and "
          "resumed after the deadline, is not run by it") {
  // Entry 0 is frozen while its claim is being written. Its caller gives up and
  // repeats the key elsewhere. Long past the deadline entry 0 resumes and finds
  // that it holds the claim: a dispatch would bill a call nobody waits for.
  auto F = buildPlainFleet(twoZones("1"));
  F->table().setFaults(R"({"delay_ms":900})");
  std::int64_t Writes = numberAt(F->table().counters(), "writes");
  auto Frozen = invoiceLater(F->entry(0), "k", 2000);
  eventually(
      [&] {
        auto Status = getJson(F->entry(0).admin(), "/status");
        return numberAt(Status, "claims_open") == 1;
      },
      "the claim is under way");
  F->entry(0).Process_->freeze();
  eventually([&] { return numberAt(F->table().counters(), "writes") > Writes; },
             "the claim is written");
  F->table().setFaults("{}");
  eventually(
      [&] {
        return outcome(invoice(F->entry(1), "k", 2000)) == "unknown" &&
               invoice(F->entry(1), "k", 2000).Status_ == 502;
      },
      "the claim is past its deadline");
  F->entry(0).Process_->resume();
  REQUIRE(outcome(Frozen.get()) == "not-run");
  REQUIRE(runs(*F, "k") == 0);
  // The resumed entry releases the key.
  eventually([&] { return outcome(invoice(F->entry(1), "k")) == "answered"; },
             "the key is free again");
  REQUIRE(runs(*F, "k") == 1);
}

TEST_CASE("invoice, the table's answer to its claim lost, is answered and runs "
          "once") {
  auto F = buildPlainFleet(twoZones("1"));
  F->table().setFaults(R"({"lose_answers":2})");
  HttpResponse R = invoice(F->entry(0), "k");
  INFO(R.Body_);
  REQUIRE(outcome(R) == "answered");
  eventually([&] { return outcome(invoice(F->entry(1), "k")) == "answered"; },
             "the answer is kept");
  REQUIRE(runs(*F, "k") == 1);
}

TEST_CASE("invoice, with the table out, is refused at once and runs once "
          "afterwards") {
  auto Fault = GENERATE(R"({"down":true})", R"({"silent":true})");
  auto F = buildPlainFleet(twoZones("1"));
  F->table().setFaults(Fault);
  for (int I = 0; I < 6; ++I) {
    HttpResponse R = invoice(F->entry(0), "k");
    REQUIRE(R.Status_ == 503);
    REQUIRE(outcome(R) == "not-run");
    REQUIRE(findHeader(R.Headers_, "Retry-After").has_value());
  }
  // Calls that need no claim are still served.
  REQUIRE(outcome(invoice(F->entry(0), "")) == "answered");
  F->table().setFaults("{}");
  HttpResponse Last;
  eventually(
      [&] {
        Last = invoice(F->entry(1), "k");
        return outcome(Last) == "answered";
      },
      "the key can be claimed");
  REQUIRE(runs(*F, "k") == 1);
}

TEST_CASE("invoices, of one key at two entries at the same moment, run once") {
  auto F = buildPlainFleet(twoZones("20"));
  for (int I = 0; I < 20; ++I) {
    std::string Key = "k" + std::to_string(I);
    auto One = invoiceLater(F->entry(0), Key);
    auto Two = invoiceLater(F->entry(1), Key);
    HttpResponse A = One.get();
    HttpResponse B = Two.get();
    INFO(Key << ": " << A.Status_ << " and " << B.Status_);
    REQUIRE(runs(*F, Key) == 1);
    REQUIRE((outcome(A) == "answered" || outcome(B) == "answered"));
  }
}

TEST_CASE("invoice, its connection cut at any frame, gets the true "
          "outcome") {
  // The connection breaks between two frames, in either direction; the call may
  // just have run. No answer may contradict the counters of the service.
  auto Direction = GENERATE(as<std::string>{}, "up", "down");
  auto F = buildPlainFleet(twoZones("5").withProxies());
  std::map<std::string, int> Outcomes;
  for (int Frames = 1; Frames <= 6; ++Frames) {
    for (FleetProcess &Each : F->agents())
      Each.PeerProxy_->setFaults(R"({"reset":true,"cut_after_frames":)"
                                 R"({"direction":")" +
                                 Direction + R"(","frames":)" +
                                 std::to_string(Frames) + "}}");
    std::string Key = Direction + std::to_string(Frames);
    HttpResponse R = invoice(F->entry(0), Key, 5000);
    for (FleetProcess &Each : F->agents())
      Each.PeerProxy_->setFaults("{}");
    requireConsistentOutcome(*F, Key, R);
    ++Outcomes[outcome(R)];
    CHECK_FALSE(outcome(R).empty());
  }
  WARN("cut " << Direction << ": answered " << Outcomes["answered"]
              << ", not-run " << Outcomes["not-run"] << ", unknown "
              << Outcomes["unknown"]);
}
