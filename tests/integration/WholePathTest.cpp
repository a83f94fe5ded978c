#include "tests/integration/Fleet.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <stdexcept>

using namespace hawthornroad;

namespace {
constexpr const char *CompletionPath = "/copywriter-lm/v1/completions";
constexpr int Tokens = 12;

HttpRequest asCustomer(HttpRequest R) {
  R.Headers_.push_back({"Hawthornroad-Customer", "hp-travel"});
  return R;
}

// Returns true for a 200 and throws the refusal otherwise, so that the message
// of a timed-out wait contains it.
bool isAnswered(const HttpResponse &R) {
  if (R.Status_ == 200)
    return true;
  throw std::runtime_error(std::to_string(R.Status_) + " " + R.Body_);
}

// A small fleet that serves one applied version of the weights.
struct WholePathFixture {
  std::unique_ptr<Fleet> Fleet_ =
      FleetBuilder().modelVms(2).plainVms(1).build();
  WeightVersion Version_ = Fleet_->publishWeights("v1", 1);

  WholePathFixture() {
    ToolResult Applied = Fleet_->apply(Fleet_->declaration(Version_));
    INFO(Applied.Output_ + Applied.Errors_);
    REQUIRE(Applied.ExitCode_ == 0);
    Fleet_->awaitServing(Version_);
  }

  std::string callers() { return Fleet_->entry(0).callers(); }

  // The answer of the first engine when it is called directly.
  StreamResult expectedStream(const std::string &Prompt) {
    return fetchStream(
        Fleet_->agent(0).Endpoint_->address(),
        completionRequest("/v1/completions", Prompt, Tokens, true));
  }

  // Repeats the call until the entry knows an endpoint, which happens shortly
  // after the endpoint is ready.
  HttpResponse callUntilAnswered(const HttpRequest &R) {
    HttpResponse Answer;
    eventually(
        [&] {
          Answer = fetch(callers(), R);
          return isAnswered(Answer);
        },
        "the entry answers");
    return Answer;
  }
};
} // namespace

TEST_CASE_METHOD(WholePathFixture,
                 "fleet, configuration applied, engines load exactly the "
                 "weights of the origin",
                 "[path]") {
  for (FleetProcess *Each : Fleet_->modelAgents()) {
    auto Record = getJson(Each->Endpoint_->address(), "/admin/record");
    const auto &Loads = Record.at("loads").as_array();
    REQUIRE(Loads.size() == 1);
    const auto &Load = Loads.at(0).as_object();
    CHECK(textAt(Load, "version") == Version_.Digest_.str());
    CHECK(textAt(Load, "bytes_sha256") == Version_.BlobDigest_);
    CHECK(numberAt(Load, "size") == static_cast<std::int64_t>(Version_.Size_));
  }
}

TEST_CASE_METHOD(WholePathFixture,
                 "entry, completion of a customer, answers it completely "
                 "with its version",
                 "[path]") {
  HttpRequest R =
      asCustomer(completionRequest(CompletionPath, "slogan", Tokens, false));
  HttpResponse Answer = callUntilAnswered(R);
  CHECK(findHeader(Answer.Headers_, "Hawthornroad-Outcome") == "answered");
  CHECK(findHeader(Answer.Headers_, "Hawthornroad-Version") ==
        Version_.Digest_.str());
  CHECK(findHeader(Answer.Headers_, "Hawthornroad-Revision") == "1");
  CHECK(findHeader(Answer.Headers_, "Hawthornroad-Request"));
  HttpResponse Direct =
      fetch(Fleet_->agent(0).Endpoint_->address(),
            completionRequest("/v1/completions", "slogan", Tokens, false));
  CHECK(Answer.Body_ == Direct.Body_);
}

// A customer reports a problem with an answer and its request id; the operator
// traces the id from the log of the entry to the VM that ran the request.
TEST_CASE_METHOD(WholePathFixture,
                 "request, answered, appears with one id in the logs of "
                 "its entry and its agent",
                 "[path]") {
  HttpResponse Answer = callUntilAnswered(
      asCustomer(completionRequest(CompletionPath, "slogan", Tokens, false)));
  auto Id = findHeader(Answer.Headers_, "Hawthornroad-Request");
  REQUIRE(Id);
  std::string Field = "\"request\":\"" + *Id + "\"";
  eventually(
      [&] {
        return logLines(*Fleet_, {"request done", Field}) == 1 &&
               logLines(*Fleet_, {"attempt ended", Field}) == 1;
      },
      "both logs hold the request");
}

TEST_CASE_METHOD(WholePathFixture,
                 "entry, streamed completion, passes every event of the "
                 "engine and ends complete",
                 "[path]") {
  callUntilAnswered(
      asCustomer(completionRequest(CompletionPath, "warm", 1, false)));
  StreamResult Stream = fetchStream(
      callers(),
      asCustomer(completionRequest(CompletionPath, "notice", Tokens, true)));
  CHECK(Stream.Error_.empty());
  REQUIRE(Stream.Status_ == 200);
  CHECK(Stream.Whole_);
  CHECK(Stream.Body_ == expectedStream("notice").Body_);
  CHECK(findHeader(Stream.Headers_, "Content-Type") == "text/event-stream");
  CHECK(findHeader(Stream.Headers_, "Hawthornroad-Version") ==
        Version_.Digest_.str());
}

TEST_CASE_METHOD(WholePathFixture,
                 "entry, non-repeatable call of a plain service, runs it once "
                 "and passes the answer",
                 "[path]") {
  HttpRequest R = asCustomer({.Method_ = "POST",
                              .Target_ = "/billing-desk/invoices?month=5",
                              .Headers_ = {{"Idempotency-Key", "inv-1"}},
                              .Body_ = R"({"amount":7})"});
  HttpResponse Answer = callUntilAnswered(R);
  CHECK(findHeader(Answer.Headers_, "Hawthornroad-Outcome") == "answered");
  auto Body = boost::json::parse(Answer.Body_).as_object();
  CHECK(textAt(Body, "path") == "/invoices");
  CHECK(textAt(Body, "echo") == R"({"amount":7})");
  HttpResponse Again = fetch(callers(), R);
  CHECK(Again.Status_ == 200);
  CHECK(Again.Body_ == Answer.Body_);
  const Fake &Service = *Fleet_->agent(2).Endpoint_;
  CHECK(numberAt(Service.counters().at("runs").as_object(), "inv-1") == 1);
}

TEST_CASE_METHOD(WholePathFixture,
                 "entry, service that is not declared, refuses and says that "
                 "nothing ran",
                 "[path]") {
  HttpResponse Answer = fetch(callers(), asCustomer({.Target_ = "/nobody/x"}));
  CHECK(Answer.Status_ == 404);
  CHECK(findHeader(Answer.Headers_, "Hawthornroad-Outcome") == "not-run");
}

TEST_CASE("fleet in two zones, one cut off with its platform and healed, "
          "serves in both and ends on one revision",
          "[path]") {
  // While the uplink of a zone is down, the zone keeps serving with the last
  // accepted configuration; after the repair it gets the change made meanwhile.
  // Order: both zones serve; zone-b loses the other zone and the platform;
  // operators change the configuration; the uplink returns.
  auto F = FleetBuilder()
               .zones({"zone-a", "zone-b"})
               .modelVms(2)
               .withProxies()
               .build();
  WeightVersion Version = F->publishWeights("v1", 1);
  REQUIRE(F->apply(F->declaration(Version)).ExitCode_ == 0);
  F->awaitServing(Version);
  HttpRequest R =
      asCustomer(completionRequest(CompletionPath, "slogan", Tokens, false));
  auto Answers = [&](std::size_t Entry) {
    return isAnswered(fetch(F->entry(Entry).callers(), R));
  };
  auto RevisionAt = [&](std::size_t Entry) {
    HttpResponse Answer = fetch(F->entry(Entry).callers(), R);
    return findHeader(Answer.Headers_, "Hawthornroad-Revision").value_or("");
  };
  for (std::size_t Entry : {0, 1})
    eventually([&] { return Answers(Entry); }, "each zone's entry answers");

  F->cutOff("zone-b", true);
  boost::json::object Text = F->declaration(Version);
  Text["customers"].as_object()["zet"] = {{"weight", 2}};
  REQUIRE(F->apply(Text).ExitCode_ == 0);
  eventually([&] { return RevisionAt(0) == "2"; }, "zone-a has the change");
  // Long enough for gossip to deliver the change, if a path existed.
  eventually(
      [&] {
        return memberState(F->entry(0), "zone-b-entry-0") == "dead" &&
               memberState(F->entry(1), "zone-a-entry-0") == "dead";
      },
      "each side takes the other for dead");
  CHECK(Answers(0));
  CHECK(Answers(1));
  CHECK(RevisionAt(1) == "1");

  F->heal();
  eventually([&] { return RevisionAt(1) == "2"; }, "zone-b caught up");
  CHECK(Answers(1));
  eventually(
      [&] { return memberState(F->entry(0), "zone-b-entry-0") == "alive"; },
      "zone-a knows zone-b again");
}
