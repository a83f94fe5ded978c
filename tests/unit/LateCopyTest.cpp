// Answers that arrive in place of an attempt's own, in one entry.

#include "tests/unit/TrafficFixture.h"

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

namespace {
struct CopyCore : CoreFixture {
  AttemptNumber begin(const std::string &Target) {
    Request_ = send(Target);
    REQUIRE(Port_.Begun_.size() == 1);
    return Port_.last().Attempt_;
  }
  // A rejection that names no request.
  static EndpointHead unnamedRejection(bool IsOnUsedConnection) {
    EndpointHead H;
    H.Status_ = 503;
    H.NotRun_ = true;
    H.MayBeCopy_ = IsOnUsedConnection;
    return H;
  }
  EndpointHead own(unsigned Status) {
    EndpointHead H = head(Request_, Status);
    H.RequestId_ = "r" + std::to_string(Request_);
    H.MayBeCopy_ = true;
    return H;
  }
  EndpointHead anothers(unsigned Status) {
    EndpointHead H = own(Status);
    H.RequestId_ = "another";
    H.NotRun_ = true;
    return H;
  }
  CallNumber Request_ = 0;
};
} // namespace

// Guards against the late copy of a rejection, which names no request, that
// ends an attempt which runs: its caller would be told that it has not.
TEST_CASE_METHOD(
    CopyCore,
    "attempt, rejected without an id on a used connection, ends as "
    "one that may have run",
    "[copies]") {
  AttemptNumber A = begin("/once/1");
  Core_.onHead(A, unnamedRejection(true), Start);
  CHECK(Port_.Cancelled_ == std::vector<AttemptNumber>{A});
  CHECK(Port_.Begun_.size() == 1);
  CHECK(answerOf(Request_).Status_ == 502);
}

// Guards against a request that is lost to the late copy of another's answer.
TEST_CASE_METHOD(CopyCore,
                 "attempt, given an answer to another request on a used "
                 "connection, goes on until its own answer",
                 "[copies]") {
  AttemptNumber A = begin("/once/1");
  Core_.onHead(A, anothers(503), Start);
  CHECK(Port_.Skipped_ == std::vector<AttemptNumber>{A});
  CHECK(Port_.Answers_.empty());
  Core_.onHead(A, own(200), Start);
  Core_.onBody(A, "body", Start);
  Core_.onEnd(A, Start);
  CHECK(answerOf(Request_).Status_ == 200);
  CHECK(answerOf(Request_).Body_ == "body");
}

// Guards against rejections of what stands before an endpoint that are never
// believed: they name no request.
TEST_CASE_METHOD(CopyCore,
                 "attempt, rejected without an id on a new connection, is sent "
                 "again",
                 "[copies]") {
  AttemptNumber A = begin("/once/1");
  Core_.onHead(A, unnamedRejection(false), Start);
  Core_.onEnd(A, Start);
  CHECK(Port_.Skipped_.empty());
  CHECK(Port_.Begun_.size() == 2);
}

// Guards against an attempt that waits for as long as its endpoint sends
// answers to others, and against a promise that it has not run.
TEST_CASE_METHOD(CopyCore,
                 "attempt, given many answers to other requests, ends as one "
                 "that may have run",
                 "[copies]") {
  AttemptNumber A = begin("/once/1");
  for (int I = 0; I < 3; ++I)
    Core_.onHead(A, anothers(503), Start);
  CHECK(Port_.Skipped_.size() == 2);
  CHECK(Port_.Cancelled_ == std::vector<AttemptNumber>{A});
  CHECK(Port_.Begun_.size() == 1);
  CHECK(answerOf(Request_).Status_ == 502);
}

// Guards against a copy that shows an endpoint as full, cold or limited.
TEST_CASE_METHOD(CopyCore,
                 "attempt, given a late copy, learns nothing of its endpoint "
                 "from it",
                 "[copies]") {
  AttemptNumber A = begin("/once/1");
  EndpointHead H = anothers(503);
  H.RateLimit_ = 1;
  H.Rest_ = Seconds(5);
  H.IsLeaving_ = true;
  H.ColdLeft_ = Seconds(5);
  Core_.onHead(A, H, Start);
  CHECK(Core_.limits().inForce() == 0);
  Core_.onHead(A, own(200), Start);
  Core_.onEnd(A, Start);
  EndpointId At = Port_.last().Params_.Endpoint_;
  for (int I = 0; I < 2; ++I)
    send("/safe/1");
  auto IsThere = [&](const FakePort::Begun &Each) {
    return Each.Params_.Endpoint_ == At;
  };
  CHECK(std::count_if(Port_.Begun_.begin(), Port_.Begun_.end(), IsThere) == 2);
}
