#include "tests/integration/RequestFixture.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

TEST_CASE(
    "invoice, its connection gone silent for good, is found again and runs "
    "once") {
  // A middlebox loses the state of the connection between entry and agent while
  // the call runs: nothing is delivered any more, not even a reset, and TCP
  // would retransmit for minutes. New connections work.
  auto F = buildPlainFleet(FleetBuilder()
                               .modelVms(0)
                               .plainVms(1)
                               .serviceOptions({"--work-ms", "1500"})
                               .withProxies());
  auto Answer = invoiceLater(F->entry(0), "k", 15000);
  eventually([&] { return runs(*F, "k") == 1; }, "the call runs");
  F->agent(0).PeerProxy_->setFaults(R"({"silent_existing":true})");
  HttpResponse R = Answer.get();
  INFO(R.Body_);
  REQUIRE(outcome(R) == "answered");
  REQUIRE(runs(*F, "k") == 1);
}

TEST_CASE("invoice, given to a connection that had gone silent, did not run "
          "twice and is answered") {
  // The connection stopped delivering before the call, so the call's begin is
  // lost. The agent, queried over a new connection, has never seen it.
  auto F = buildPlainFleet(FleetBuilder()
                               .modelVms(0)
                               .plainVms(1)
                               .serviceOptions({"--work-ms", "1"})
                               .withProxies());
  REQUIRE(outcome(invoice(F->entry(0), "warm")) == "answered");
  F->agent(0).PeerProxy_->setFaults(R"({"silent_existing":true})");
  HttpResponse R = invoice(F->entry(0), "k", 15000);
  INFO(R.Body_);
  REQUIRE(outcome(R) == "answered");
  REQUIRE(runs(*F, "k") == 1);
}

TEST_CASE("invoice, its table's connections gone silent, is refused at once or "
          "answered, and never run twice") {
  auto F =
      buildPlainFleet(FleetBuilder().modelVms(0).plainVms(1).withProxies());
  F->platformOf("zone-a").Proxies_.front()->setFaults(
      R"({"silent_existing":true})");
  HttpResponse R = invoice(F->entry(0), "k");
  INFO(R.Body_);
  REQUIRE(outcome(R) == "answered");
  F->platformOf("zone-a").Proxies_.front()->setFaults(R"({"blackhole":true})");
  HttpResponse Out = invoice(F->entry(0), "other");
  REQUIRE(outcome(Out) == "not-run");
  REQUIRE(runs(*F, "other") == 0);
}
