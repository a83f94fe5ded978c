#include "tests/integration/AgentFixture.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <thread>

using namespace hawthornroad;

namespace {

// Callers that send one call after another, each with a key of its own.
class Load {
public:
  Load(std::string Entry, int Callers) : Entry_(std::move(Entry)) {
    for (int C = 0; C < Callers; ++C)
      Threads_.emplace_back([this, C] { run(C); });
  }
  ~Load() { stop(); }

  void stop() {
    Stopping_ = true;
    for (std::thread &Each : Threads_)
      if (Each.joinable())
        Each.join();
  }
  int answered() const { return Answered_; }
  // Calls that ended in anything but a whole 200.
  int failed() const { return Failed_; }

private:
  void run(int Caller) {
    for (int I = 0; !Stopping_; ++I)
      call(std::to_string(Caller) + "-" + std::to_string(I));
  }
  void call(const std::string &Key) {
    HttpRequest R{
        "POST",
        "/desk/entries",
        {{"Hawthornroad-Customer", "test-customer"}, {"Idempotency-Key", Key}},
        "crew"};
    try {
      fetch(Entry_, R).Status_ == 200 ? ++Answered_ : ++Failed_;
    } catch (const Error &) {
      ++Failed_;
    }
  }

  std::string Entry_;
  std::atomic<bool> Stopping_{false};
  std::atomic<int> Answered_{0};
  std::atomic<int> Failed_{0};
  std::vector<std::thread> Threads_;
};

// An entry, and two agents with a service each whose calls may not be
// repeated, so that no retry can hide a call that was cut.
struct DrainFleetFixture : AgentFixture {
  DrainFleetFixture() {
    declare(R"({"desk":{"kind":"plain","vms":["desk-*"],"replicas":2,
        "non_repeatable":[{"method":"POST","path":"/entries"}]}})");
  }

  Process &startEntry() {
    std::string Settings = folder().write(
        "entry.jsonc",
        boost::json::serialize(boost::json::object{
            {"process", "entry-1"},
            {"zone", "z"},
            {"charts", SOURCE_DIR "/charts"},
            {"platform",
             {{"table", Table_.address()}, {"members", Members_.address()}}}}));
    return EntryProcess_.emplace(
        Launch{"entry-1", "hawthornroad-entry", {"--settings", Settings}},
        folder());
  }
  Process &startAgent(const std::string &Name, Fake &Service) {
    Process &Made = agent(
        Name, Service.address(),
        {{"seeds", {EntryProcess_->readyText("peers")}},
         {"platform",
          {{"table", Table_.address()}, {"members", Members_.address()}}}});
    awaitReady(Made);
    return Made;
  }
  // What the platform's list says from now on, whatever happens to the VMs.
  void
  listAsLive(std::initializer_list<std::pair<std::string, Process *>> Vms) {
    boost::json::array List;
    for (const auto &[Name, Agent] : Vms)
      List.push_back({{"vm", Name},
                      {"zone", "z"},
                      {"role", "agent"},
                      {"peer", Agent->readyText("peers")},
                      {"state", "live"}});
    putJson(Members_.address(), "/members", {{"vms", List}});
  }
  HttpResponse call(const std::string &Key) {
    return fetch(
        EntryProcess_->readyText("callers"),
        {"POST",
         "/desk/entries",
         {{"Hawthornroad-Customer", "test-customer"}, {"Idempotency-Key", Key}},
         "crew"});
  }
  static std::int64_t runs(Fake &Service) {
    return numberAt(Service.counters(), "total");
  }

  Fake &Members_ = fake("members");
  Fake &ServiceA_ = fake("service");
  Fake &ServiceB_ = fake("service");
  std::optional<Process> EntryProcess_;
};

} // namespace

// An operator stops one endpoint's VM in the middle of the morning. Callers see
// cut calls when the agent ends with work in progress, and refusals or lost
// calls when entries go on sending it work: the platform's list still calls
// the VM live half a minute later.
TEST_CASE_METHOD(DrainFleetFixture,
                 "agent, stopped under load while the list calls it live, cuts "
                 "nothing and gets no new work",
                 "[agent][drain]") {
  startEntry();
  Process &A = startAgent("desk-1", ServiceA_);
  eventually([&] { return call("first").Status_ == 200; }, "desk-1 serves");
  // A long call holds desk-1's planned stop open.
  ServiceA_.setFaults(R"({"work_ms":6000})");
  std::int64_t Before = runs(ServiceA_);
  HttpResponse Long;
  std::thread Waiting([&] { Long = call("long"); });
  eventually([&] { return runs(ServiceA_) == Before + 1; }, "the call runs");
  ServiceA_.setFaults(R"({"work_ms":20})");
  ServiceB_.setFaults(R"({"work_ms":20})");
  Process &B = startAgent("desk-2", ServiceB_);
  listAsLive({{"desk-1", &A}, {"desk-2", &B}});
  Load Callers(EntryProcess_->readyText("callers"), 6);
  eventually([&] { return runs(ServiceA_) > 20 && runs(ServiceB_) > 20; },
             "both endpoints work");

  A.terminate();
  std::this_thread::sleep_for(std::chrono::seconds(2));
  REQUIRE(A.running());
  std::int64_t AfterGrace = runs(ServiceA_);
  std::int64_t Others = runs(ServiceB_);
  REQUIRE(A.waitExit() == 0);
  Waiting.join();
  REQUIRE(Long.Status_ == 200);
  REQUIRE(runs(ServiceA_) == AfterGrace);
  eventually([&] { return runs(ServiceB_) > Others + 20; },
             "desk-2 goes on working");
  Callers.stop();
  REQUIRE(Callers.failed() == 0);
  // Each call ran once: "first" may have been tried until desk-1 was known.
  REQUIRE(runs(ServiceA_) + runs(ServiceB_) == Callers.answered() + 2);
}

// POST /drain stands for the platform's own way to say that a VM leaves.
TEST_CASE_METHOD(DrainFleetFixture,
                 "agent, told to drain, refuses work at once and ends with "
                 "exit code 0",
                 "[agent][drain]") {
  startEntry();
  Process &A = startAgent("desk-1", ServiceA_);
  ServiceA_.setFaults(R"({"work_ms":1500})");
  AttemptId Running = newAttempt();
  std::string To = A.readyText("peers");
  Entry_.send(To, RawEntry::begin(Running, "desk", "/entries", "crew"));
  Entry_.await(Running, [](const auto &Each) { return Each.Accepted_ == 1; });
  postJson(A.readyText("admin"), "/drain", {});
  AttemptId Late = newAttempt();
  Entry_.send(To, RawEntry::begin(Late, "desk", "/entries", "crew"));
  REQUIRE(Entry_.awaitOver(Late).Refused_ == wire::RefusalReason::Draining);
  REQUIRE_FALSE(isReady(A));
  REQUIRE(Entry_.awaitOver(Running).isWhole());
  REQUIRE(A.waitExit() == 0);
  REQUIRE(runs(ServiceA_) == 1);
}
