#include "hawthornroad/runtime/CallerApi.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
const TimePoint Now{Seconds(50)};

HttpRequest call(HttpHeaders More = {}) {
  HttpRequest R;
  R.Method_ = "POST";
  R.Target_ = "/copywriter-lm/v1/completions?x=1";
  R.Headers_ = {{"Hawthornroad-Customer", "hp-travel"}, {"Accept", "*/*"}};
  R.Headers_.insert(R.Headers_.end(), More.begin(), More.end());
  return R;
}
} // namespace

TEST_CASE("caller's request, well formed, is parsed completely and keeps only "
          "its own headers") {
  ParsedCall P = parseCall(call({{"Hawthornroad-Deadline-Ms", "250"},
                                 {"hawthornroad-priority", "batch"},
                                 {"Hawthornroad-Repeatable", "no"},
                                 {"Connection", "close"},
                                 {"Engine-Resume-Events", "4"},
                                 {"Idempotency-Key", "k-1"}}),
                           {1, 2}, {}, Now);
  const auto &R = std::get<CallerRequest>(P);
  REQUIRE(R.Service_.str() == "copywriter-lm");
  REQUIRE(R.Target_ == "/v1/completions?x=1");
  REQUIRE(R.Deadline_ == Now + Milliseconds(250));
  REQUIRE(R.Priority_ == Priority::Batch);
  REQUIRE(R.needsClaim());
  REQUIRE(R.Headers_ ==
          HeaderFields{{"Accept", "*/*"}, {"Idempotency-Key", "k-1"}});
}

TEST_CASE("caller's request, malformed, is a clear problem") {
  struct Row {
    HttpHeader Header_;
    std::string Cause_;
  };
  const std::vector<Row> Rows = {
      {{"Hawthornroad-Deadline-Ms", "0"}, "bad_deadline"},
      {{"Hawthornroad-Deadline-Ms", "-5"}, "bad_deadline"},
      {{"Hawthornroad-Deadline-Ms", "9e9"}, "bad_deadline"},
      {{"Hawthornroad-Deadline-Ms", "99999999999999999999"}, "bad_deadline"},
      {{"Hawthornroad-Deadline-Ms", "600001"}, "bad_deadline"},
      {{"Hawthornroad-Priority", "now"}, "bad_priority"},
      {{"Hawthornroad-Repeatable", "maybe"}, "bad_repeatable"},
      {{"Idempotency-Key", "a b"}, "bad_key"},
      {{"Idempotency-Key", std::string(201, 'k')}, "bad_key"},
  };
  for (const Row &Each : Rows) {
    INFO(Each.Header_.Name_ << ": " << Each.Header_.Value_);
    ParsedCall P = parseCall(call({Each.Header_}), {1, 2}, {}, Now);
    REQUIRE(std::get<Problem>(P).Cause_ == Each.Cause_);
    REQUIRE(std::get<Problem>(P).Status_ == 400);
    REQUIRE(std::get<Problem>(P).Outcome_ == Outcome::NotRun);
  }
  for (const char *Target : {"", "/", "//x", "/a%2f/x", "*"}) {
    INFO(Target);
    HttpRequest R = call();
    R.Target_ = Target;
    REQUIRE(std::get<Problem>(parseCall(R, {1, 2}, {}, Now)).Cause_ ==
            "bad_path");
  }
  HttpRequest NoCustomer = call();
  NoCustomer.Headers_.clear();
  REQUIRE(std::get<Problem>(parseCall(NoCustomer, {1, 2}, {}, Now)).Cause_ ==
          "missing_customer");
}

TEST_CASE("problem response states step, outcome and retry time") {
  Problem P;
  P.Status_ = 503;
  P.Cause_ = "queue_full";
  P.RetryAfter_ = Milliseconds(1250);
  HttpResponse R = problemResponse(P, {{1, 2}, 7, VersionDigest("sha256:v")});
  REQUIRE(findHeader(R.Headers_, "Retry-After") == "2");
  REQUIRE(findHeader(R.Headers_, "Hawthornroad-Retry-After-Ms") == "1250");
  REQUIRE(findHeader(R.Headers_, "Hawthornroad-Outcome") == "not-run");
  REQUIRE(findHeader(R.Headers_, "Hawthornroad-Revision") == "7");
  REQUIRE(findHeader(R.Headers_, "Hawthornroad-Version") == "sha256:v");
  REQUIRE(R.Body_.find("\"step\":\"admission\"") != std::string::npos);
}
