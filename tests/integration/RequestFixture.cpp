#include "tests/integration/RequestFixture.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

namespace hawthornroad {

namespace {
// Throws with the entry's status until it lists Desks ready billing-desks.
bool knowsDesks(FleetProcess &Entry, std::size_t Desks) {
  HttpResponse Status = get(Entry.admin(), "/status");
  auto Known = boost::json::parse(Status.Body_);
  std::size_t Ready = 0;
  for (const auto &E : Known.at("endpoints").as_array())
    if (E.at("phase") == "ready" && E.at("service") == "billing-desk")
      ++Ready;
  if (Ready != Desks)
    throw std::runtime_error("status is " + Status.Body_);
  return true;
}
} // namespace

std::unique_ptr<Fleet> buildPlainFleet(const FleetBuilder &Builder) {
  auto F = Builder.build();
  WeightVersion V = F->publishWeights("v1", 1);
  ToolResult Applied = F->apply(F->declaration(V));
  INFO(Applied.Output_ << Applied.Errors_);
  REQUIRE(Applied.ExitCode_ == 0);
  F->awaitReady();
  std::size_t Desks = 0;
  for (FleetProcess &Each : F->agents())
    Desks += Each.Vm_.str().rfind("billing-desk", 0) == 0 ? 1 : 0;
  for (FleetProcess &Each : F->entries())
    eventually([&] { return knowsDesks(Each, Desks); },
               Each.Name_ + " knows every desk");
  return F;
}

HttpRequest invoiceRequest(const std::string &Key, int DeadlineMs,
                           const std::string &Body) {
  HttpRequest R;
  R.Method_ = "POST";
  R.Target_ = "/billing-desk/invoices";
  R.Headers_ = {{"Hawthornroad-Customer", "hp-travel"},
                {"Hawthornroad-Deadline-Ms", std::to_string(DeadlineMs)},
                {"Content-Type", "application/json"}};
  if (!Key.empty())
    R.Headers_.push_back({"Idempotency-Key", Key});
  R.Body_ = Body;
  return R;
}

HttpResponse invoice(FleetProcess &Entry, const std::string &Key,
                     int DeadlineMs) {
  return fetch(Entry.callers(), invoiceRequest(Key, DeadlineMs));
}

std::future<HttpResponse> invoiceLater(FleetProcess &Entry,
                                       const std::string &Key, int DeadlineMs) {
  std::string Address = Entry.callers();
  return std::async(std::launch::async, [=] {
    try {
      return fetch(Address, invoiceRequest(Key, DeadlineMs));
    } catch (const Error &) {
      return HttpResponse{.Status_ = 0};
    }
  });
}

std::string outcome(const HttpResponse &R) {
  return findHeader(R.Headers_, "Hawthornroad-Outcome").value_or("");
}

std::int64_t runs(Fleet &F, const std::string &Key) {
  std::int64_t Sum = 0;
  for (FleetProcess &Each : F.agents()) {
    auto Counters = Each.Endpoint_->counters();
    if (const auto *Runs = Counters.if_contains("runs"))
      Sum += numberAt(Runs->as_object(), Key);
  }
  return Sum;
}

void requireConsistentOutcome(Fleet &F, const std::string &Key,
                              const HttpResponse &R) {
  std::int64_t Ran = runs(F, Key);
  INFO("key " << Key << " ran " << Ran << " times; answered " << R.Status_
              << " " << outcome(R) << " " << R.Body_);
  REQUIRE(Ran <= 1);
  if (outcome(R) == "answered")
    REQUIRE(Ran == 1);
  if (outcome(R) == "not-run")
    REQUIRE(Ran == 0);
}

} // namespace hawthornroad
