#include "tests/integration/Fleet.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
constexpr const char *CompletionPath = "/copywriter-lm/v1/completions";
constexpr int Tokens = 12;

// A small fleet with one version of weights applied and served.
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

  static HttpRequest asCustomer(HttpRequest R) {
    R.Headers_.push_back({"Hawthornroad-Customer", "hp-travel"});
    return R;
  }

  // What the first engine says when it is asked directly.
  StreamResult expectedStream(const std::string &Prompt) {
    return fetchStream(
        Fleet_->agent(0).Endpoint_->address(),
        completionRequest("/v1/completions", Prompt, Tokens, true));
  }

  // Calls until an endpoint is known to the entry: it learns of them a little
  // after they are ready.
  HttpResponse callUntilAnswered(const HttpRequest &R) {
    HttpResponse Answer;
    eventually(
        [&] {
          Answer = fetch(callers(), R);
          if (Answer.Status_ == 200)
            return true;
          throw std::runtime_error(std::to_string(Answer.Status_) + " " +
                                   Answer.Body_);
        },
        "the entry answers");
    return Answer;
  }
};
} // namespace

TEST_CASE_METHOD(WholePathFixture,
                 "fleet, text applied, engines load exactly the weights of the "
                 "origin",
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
                 "entry, completion of a customer, answers it whole with its "
                 "version",
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

TEST_CASE_METHOD(WholePathFixture,
                 "entry, streamed completion, passes every event of the engine "
                 "and ends whole",
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
