#include "tests/integration/Fleet.h"
#include "tests/integration/RawEntry.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace hawthornroad;

namespace {

// Callers that send calls one after another, each with a key of its own.
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
  // Calls that did not end with a complete 200.
  int failed() const { return Failed_; }

private:
  void run(int Caller) {
    for (int I = 0; !Stopping_; ++I)
      call(std::to_string(Caller) + "-" + std::to_string(I));
  }
  void call(const std::string &Key) {
    HttpRequest R{
        "POST",
        "/billing-desk/invoices",
        {{"Hawthornroad-Customer", "hp-travel"}, {"Idempotency-Key", Key}},
        "slot"};
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

// An entry and two agents, each with a service whose calls are not repeatable,
// so that no retry can hide an interrupted call.
struct DrainFixture {
  DrainFixture()
      : Fleet_(FleetBuilder().modelVms(0).plainVms(2).build()),
        A_(Fleet_->agent(0)), B_(Fleet_->agent(1)) {
    WeightVersion V1 = Fleet_->publishWeights("v1", 1);
    boost::json::object Text = Fleet_->declaration(V1);
    // The load is limited by the endpoints only.
    Text["customers"].at("hp-travel") = {{"requests_per_second", 100000},
                                         {"burst", 100000}};
    REQUIRE(Fleet_->apply(Text).ExitCode_ == 0);
    Fleet_->awaitReady();
  }

  std::string callers() { return Fleet_->entry(0).callers(); }
  HttpResponse call(const std::string &Key) {
    return fetch(callers(), {"POST",
                             "/billing-desk/invoices",
                             {{"Hawthornroad-Customer", "hp-travel"},
                              {"Idempotency-Key", Key}},
                             "slot"});
  }
  static std::int64_t runs(FleetProcess &P) {
    return numberAt(P.Endpoint_->counters(), "total");
  }
  // Starts calls that take WorkMs until P runs one; returns all of them.
  std::vector<std::future<HttpResponse>> occupy(FleetProcess &P, int WorkMs) {
    setWork(WorkMs);
    std::vector<std::future<HttpResponse>> Calls;
    while (runs(P) == 0) {
      std::string Key = "long-" + std::to_string(Calls.size());
      std::int64_t Before = runs(A_) + runs(B_);
      Calls.push_back(
          std::async(std::launch::async, [this, Key] { return call(Key); }));
      eventually([&] { return runs(A_) + runs(B_) == Before + 1; },
                 "the call runs");
    }
    return Calls;
  }
  void setWork(int Ms) {
    for (FleetProcess *Each : {&A_, &B_})
      Each->Endpoint_->setFaults(R"({"work_ms":)" + std::to_string(Ms) + "}");
  }

  std::unique_ptr<Fleet> Fleet_;
  FleetProcess &A_;
  FleetProcess &B_;
  RawEntry Entry_;
};

} // namespace

// An operator stops the VM of an endpoint under load. Calls are interrupted if
// the agent exits with work in progress, and refused or lost if entries keep
// sending it work: the platform's list still shows the VM as live half a minute
// later.
TEST_CASE_METHOD(DrainFixture,
                 "agent, stopped under load while the list shows it as "
                 "live, interrupts no call and gets no new work",
                 "[agent][drain]") {
  // A long call delays the planned stop. The membership list was published at
  // the start and does not change.
  auto Long = occupy(A_, 6000);
  setWork(20);
  Load Callers(callers(), 6);
  std::int64_t Started = runs(A_);
  eventually([&] { return runs(A_) > Started + 20; }, "the endpoint works");

  A_.Process_->terminate();
  std::this_thread::sleep_for(std::chrono::seconds(2));
  REQUIRE(A_.Process_->running());
  std::int64_t AfterGrace = runs(A_);
  std::int64_t Others = runs(B_);
  REQUIRE(A_.Process_->waitExit() == 0);
  REQUIRE(runs(A_) == AfterGrace);
  eventually([&] { return runs(B_) > Others + 20; }, "the other goes on");
  Callers.stop();
  REQUIRE(Callers.failed() == 0);
  int Whole = 0;
  for (auto &Each : Long)
    Whole += Each.get().Status_ == 200;
  REQUIRE(Whole == static_cast<int>(Long.size()));
  REQUIRE(runs(A_) + runs(B_) == Callers.answered() + Whole);
}

// POST /drain stands for the platform's notice that a VM is leaving.
TEST_CASE_METHOD(DrainFixture,
                 "agent, told to drain, refuses work at once and ends with "
                 "exit code 0",
                 "[agent][drain]") {
  setWork(1500);
  AttemptId Running{1, 1};
  AttemptId Late{1, 2};
  auto Begin = [&](const AttemptId &Attempt) {
    Entry_.send(A_.peers(),
                RawEntry::begin(Attempt, "billing-desk", "/invoices", "slot"));
  };
  Begin(Running);
  Entry_.await(Running, [](const auto &Each) { return Each.Accepted_ == 1; });
  postJson(A_.admin(), "/drain", {});
  Begin(Late);
  REQUIRE(Entry_.awaitOver(Late).Refused_ == wire::RefusalReason::Draining);
  REQUIRE(get(A_.admin(), "/readyz").Status_ == 503);
  REQUIRE(Entry_.awaitOver(Running).isWhole());
  REQUIRE(A_.Process_->waitExit() == 0);
  REQUIRE(runs(A_) == 1);
}
