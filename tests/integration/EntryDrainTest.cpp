#include "tests/integration/RequestFixture.h"

#include <catch2/catch.hpp>
#include <map>
#include <thread>

using namespace hawthornroad;

namespace {
std::unique_ptr<Fleet> slowDesk() {
  return buildPlainFleet(FleetBuilder()
                             .modelVms(0)
                             .plainVms(1)
                             .serviceOptions({"--work-ms", "1500"})
                             .entrySettings({{"drain_grace_ms", 300}}));
}
} // namespace

TEST_CASE(
    "entry, stopped as planned, answers what is in progress and ends with "
    "code 0") {
  // An entry VM is replaced while a call that bills a client is in progress:
  // cut off, the client would not know whether it was billed.
  auto F = slowDesk();
  auto Keyed = invoiceLater(F->entry(0), "k");
  auto Plain = invoiceLater(F->entry(0), "");
  eventually([&] { return runs(*F, "k") == 1; }, "the call runs");
  F->entry(0).Process_->terminate();
  eventually([&] { return get(F->entry(0).admin(), "/readyz").Status_ == 503; },
             "the balancer is told");
  REQUIRE(outcome(Keyed.get()) == "answered");
  REQUIRE(outcome(Plain.get()) == "answered");
  REQUIRE(F->entry(0).Process_->waitExit() == 0);
  REQUIRE(runs(*F, "k") == 1);
}

TEST_CASE("entry, told to stop twice, ends at once") {
  auto F = slowDesk();
  auto Lost = invoiceLater(F->entry(0), "k");
  eventually([&] { return runs(*F, "k") == 1; }, "the call runs");
  F->entry(0).Process_->terminate();
  eventually([&] { return get(F->entry(0).admin(), "/readyz").Status_ == 503; },
             "the first signal is taken");
  F->entry(0).Process_->terminate();
  REQUIRE(F->entry(0).Process_->waitExit() == 143);
  REQUIRE(Lost.get().Status_ == 0);
}

// Guards against calls that are taken late in the grace of a planned stop,
// passed on, and cut at its end.
TEST_CASE(
    "entry, sent calls until it has stopped, answers each that it takes") {
  auto F = slowDesk();
  FleetProcess &Entry = F->entry(0);
  std::map<std::string, std::future<HttpResponse>> Answers;
  auto Send = [&](const std::string &Key) {
    Answers[Key] = invoiceLater(Entry, Key);
  };
  Send("before");
  eventually([&] { return runs(*F, "before") == 1; }, "the call runs");
  Entry.Process_->terminate();
  for (int I = 0; Entry.Process_->running(); ++I) {
    Send("late-" + std::to_string(I));
    std::this_thread::sleep_for(Milliseconds(30));
  }
  REQUIRE(Entry.Process_->waitExit() == 0);
  for (auto &[Key, Each] : Answers) {
    HttpResponse R = Each.get();
    requireConsistentOutcome(*F, Key, R);
    CAPTURE(Key, R.Status_);
    CHECK(runs(*F, Key) == (outcome(R) == "answered" ? 1 : 0));
  }
}
