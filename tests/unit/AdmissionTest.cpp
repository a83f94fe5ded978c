#include "hawthornroad/routing/Admission.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

using namespace hawthornroad;

namespace {
const ServiceName Copywriter("copywriter-lm");
const Customer Large("hp-travel");
const Customer Small("zet-office");
using Verdict = Admission::Verdict;

struct AdmissionFixture {
  Admission A_{Random(3)};
  TimePoint Now_{Seconds(1000)};
  std::uint64_t NextId_ = 1;
  Admission::Load Room_{.HasRoom_ = true, .ReadyEndpoints_ = 4, .Places_ = 8};
  Admission::Load Full_{.HasRoom_ = false, .ReadyEndpoints_ = 4, .Places_ = 8};
  std::size_t QueueLimit_ = 6;
  bool HasDefault_ = false;

  AdmissionFixture() { configure(1); }

  std::shared_ptr<const Declaration> declaration() {
    Service S;
    S.Name_ = Copywriter;
    S.Vms_ = {"copywriter-*"};
    S.Limits_.Queue_ = QueueLimit_;
    DeclarationBuilder B;
    B.add(S);
    B.add(CustomerLimits{Large, 4, 1000, 1000, 60});
    B.add(CustomerLimits{Small, 1, 10, 5, 4});
    if (HasDefault_)
      B.add(CustomerLimits{Customer("default"), 1, 10, 5, 2});
    return B.build();
  }
  void configure(std::size_t Entries) { A_.configure(declaration(), Entries); }
  Admission::Request request(const Customer &C, Duration Budget = Seconds(30),
                             Priority P = Priority::Normal) {
    return {RequestId{1, NextId_++}, C, Copywriter, P, Now_ + Budget};
  }
  Admission::Answer offer(const Customer &C, const Admission::Load &L,
                          Duration Budget = Seconds(30)) {
    return A_.offer(request(C, Budget), L, Now_);
  }
  // Runs Count requests of duration Took each, so that the rate is known.
  void learn(Duration Took, std::size_t Count = 64) {
    for (std::size_t I = 0; I < Count; ++I) {
      auto R = request(Large);
      REQUIRE(A_.offer(R, Room_, Now_).Kind_ == Verdict::Admit);
      A_.finished(R.Id_, Took, Now_);
    }
  }
  // Admits Count requests that stay in progress.
  std::vector<RequestId> occupy(std::size_t Count) {
    std::vector<RequestId> Out;
    for (std::size_t I = 0; I < Count; ++I) {
      auto R = request(Large);
      REQUIRE(A_.offer(R, Room_, Now_).Kind_ == Verdict::Admit);
      Out.push_back(R.Id_);
    }
    return Out;
  }
};
} // namespace

TEST_CASE_METHOD(AdmissionFixture,
                 "request, that can never run, is refused with its cause",
                 "[admission]") {
  struct Row {
    Customer Customer_;
    ServiceName Service_;
    Admission::Load Load_;
    Duration Budget_;
    RefusalCause Cause_;
    unsigned Status_;
  };
  Admission::Load Down = Room_;
  Down.DownDependency_ = ServiceName("panel-api");
  const ServiceName Nowhere("nowhere");
  const Customer Stranger("stranger");
  for (const Row &R :
       {Row{Large, Nowhere, Room_, Seconds(9), RefusalCause::UnknownService,
            404},
        Row{Stranger, Copywriter, Room_, Seconds(9),
            RefusalCause::UnknownCustomer, 403},
        Row{Customer(), Copywriter, Room_, Seconds(9),
            RefusalCause::UnknownCustomer, 403},
        Row{Large, Copywriter, Down, Seconds(9), RefusalCause::DependencyDown,
            503},
        Row{Large, Copywriter, {}, Seconds(9), RefusalCause::NoEndpoint, 503},
        Row{Large, Copywriter, Room_, Seconds(0),
            RefusalCause::DeadlineTooShort, 503}}) {
    auto Request = request(R.Customer_, R.Budget_);
    Request.Service_ = R.Service_;
    auto Answer = A_.offer(Request, R.Load_, Now_);
    REQUIRE(Answer.Kind_ == Verdict::Refuse);
    REQUIRE(Answer.Refusal_.Cause_ == R.Cause_);
    REQUIRE(Answer.Refusal_.Request_ == Request.Id_);
    REQUIRE(httpStatus(R.Cause_) == R.Status_);
    REQUIRE(A_.waiting(R.Service_) == 0);
  }
  REQUIRE(A_.inProgress(Large) == 0);
}

TEST_CASE_METHOD(AdmissionFixture,
                 "unknown customers, with a default declared, share its limits",
                 "[admission]") {
  HasDefault_ = true;
  configure(1);
  REQUIRE(offer(Customer("a"), Room_).Kind_ == Verdict::Admit);
  REQUIRE(offer(Customer("b"), Room_).Kind_ == Verdict::Admit);
  auto Third = offer(Customer("c"), Room_);
  REQUIRE(Third.Refusal_.Cause_ == RefusalCause::CustomerInFlight);
  REQUIRE(A_.inProgress(Customer("c")) == 2);
}

TEST_CASE_METHOD(AdmissionFixture,
                 "limits, shared by entries, allow each twice its even share",
                 "[admission]") {
  struct Row {
    std::size_t Entries_, InFlight_;
  };
  // The limit is 60; with more than 120 entries each still allows one.
  for (Row R : {Row{1, 60}, Row{2, 60}, Row{3, 40}, Row{10, 12}, Row{500, 1}}) {
    configure(R.Entries_);
    std::vector<RequestId> Ids;
    for (;;) {
      auto Request = request(Large);
      if (A_.offer(Request, Room_, Now_).Kind_ != Verdict::Admit)
        break;
      Ids.push_back(Request.Id_);
    }
    CAPTURE(R.Entries_);
    REQUIRE(Ids.size() == R.InFlight_);
    for (RequestId Id : Ids)
      A_.finished(Id, Milliseconds(10), Now_);
    REQUIRE(A_.inProgress(Large) == 0);
    Now_ += Seconds(100);
  }
}

TEST_CASE_METHOD(AdmissionFixture,
                 "customer, over its rate, is told when a token is available",
                 "[admission]") {
  auto Spend = [&] {
    auto R = request(Small);
    auto Answer = A_.offer(R, Room_, Now_);
    A_.finished(R.Id_, Milliseconds(1), Now_);
    return Answer;
  };
  for (int I = 0; I < 5; ++I)
    REQUIRE(Spend().Kind_ == Verdict::Admit);
  auto Refused = Spend();
  REQUIRE(Refused.Refusal_.Cause_ == RefusalCause::CustomerRate);
  REQUIRE(Refused.Refusal_.RetryAfter_ >= Milliseconds(200));
  Now_ += Milliseconds(100);
  REQUIRE(Spend().Kind_ == Verdict::Admit);
  REQUIRE(Spend().Kind_ == Verdict::Refuse);
}

TEST_CASE_METHOD(AdmissionFixture,
                 "deadline, shorter than the backlog, is refused on arrival",
                 "[admission]") {
  // Guards against queueing a request until its deadline passes: its caller
  // learns too late to retry elsewhere, and its place in the queue is lost to a
  // request that could have met its deadline.
  learn(Seconds(1));
  occupy(2); // two places per second
  REQUIRE(offer(Large, Full_).Kind_ == Verdict::Queue);
  REQUIRE(offer(Large, Full_).Kind_ == Verdict::Queue);
  REQUIRE(offer(Large, Full_).Kind_ == Verdict::Queue);
  // Three ahead of the same customer: 2 s, and at least most of 1 s to run.
  auto Short = offer(Large, Full_, Milliseconds(2500));
  REQUIRE(Short.Kind_ == Verdict::Refuse);
  REQUIRE(Short.Refusal_.Cause_ == RefusalCause::DeadlineTooShort);
  REQUIRE(Short.Refusal_.RetryAfter_ >= Milliseconds(1500));
  REQUIRE(offer(Large, Full_, Seconds(4)).Kind_ == Verdict::Queue);
  // Another customer's request is served sooner.
  REQUIRE(offer(Small, Full_, Milliseconds(2500)).Kind_ == Verdict::Queue);
}

TEST_CASE_METHOD(
    AdmissionFixture,
    "full queue, when a small customer comes, evicts the large one",
    "[admission]") {
  std::vector<RequestId> Waiting;
  for (int I = 0; I < 6; ++I) {
    auto R = request(Large);
    REQUIRE(A_.offer(R, Full_, Now_).Kind_ == Verdict::Queue);
    Waiting.push_back(R.Id_);
  }
  auto More = offer(Large, Full_);
  REQUIRE(More.Refusal_.Cause_ == RefusalCause::QueueFull);
  auto First = offer(Small, Full_);
  REQUIRE(First.Kind_ == Verdict::Queue);
  REQUIRE(First.Evicted_);
  REQUIRE(First.Evicted_->Request_ == Waiting.back());
  REQUIRE(First.Evicted_->Cause_ == RefusalCause::QueueFull);
  REQUIRE(A_.waiting(Copywriter) == 6);
  // Weighted backlog: 2 for two requests of the small customer, 1.25 for five
  // of the large one.
  REQUIRE(offer(Small, Full_).Refusal_.Cause_ == RefusalCause::QueueFull);
  REQUIRE(A_.inProgress(Large) == 5);
  REQUIRE(A_.inProgress(Small) == 1);
}

TEST_CASE_METHOD(AdmissionFixture,
                 "waiting requests, as places come free, get them in turn",
                 "[admission]") {
  auto First = request(Large);
  auto Second = request(Large);
  A_.offer(First, Full_, Now_);
  A_.offer(Second, Full_, Now_);
  // While others wait, a new request is queued even with a free place.
  REQUIRE(offer(Small, Room_).Kind_ == Verdict::Queue);
  std::set<RequestId> Got;
  while (auto Id = A_.next(Copywriter, Now_))
    Got.insert(*Id);
  REQUIRE(Got.size() == 3);
  REQUIRE(A_.waiting(Copywriter) == 0);
  REQUIRE(A_.inProgress(Large) == 2);
}

TEST_CASE_METHOD(
    AdmissionFixture,
    "waiting request, past its deadline or about to be, is refused "
    "once",
    "[admission]") {
  learn(Milliseconds(500));
  auto Soon = request(Large, Milliseconds(1200));
  auto Later = request(Large, Seconds(3));
  REQUIRE(A_.offer(Soon, Full_, Now_).Kind_ == Verdict::Queue);
  REQUIRE(A_.offer(Later, Full_, Now_).Kind_ == Verdict::Queue);
  REQUIRE(A_.expire(Now_).empty());
  Now_ += Milliseconds(800);
  // Dequeued too late to meet its deadline: not returned by next(), and
  // refused.
  REQUIRE(A_.next(Copywriter, Now_) == Later.Id_);
  auto Refused = A_.expire(Now_);
  REQUIRE(Refused.size() == 1);
  REQUIRE(Refused[0].Request_ == Soon.Id_);
  REQUIRE(Refused[0].Cause_ == RefusalCause::DeadlineTooShort);
  REQUIRE(A_.expire(Now_).empty());
  auto Last = request(Large, Seconds(2));
  A_.offer(Last, Full_, Now_);
  Now_ += Seconds(5);
  Refused = A_.expire(Now_);
  REQUIRE(Refused.size() == 1);
  REQUIRE(Refused[0].Cause_ == RefusalCause::DeadlinePassed);
  REQUIRE(A_.inProgress(Large) == 1);
}

TEST_CASE_METHOD(AdmissionFixture,
                 "ends, doubled, unknown or of waiting requests, count once",
                 "[admission]") {
  auto Running = request(Small);
  auto Waiting = request(Small);
  A_.offer(Running, Room_, Now_);
  A_.offer(Waiting, Full_, Now_);
  A_.offer(Waiting, Full_, Now_);
  REQUIRE(A_.inProgress(Small) == 2);
  A_.finished(RequestId{9, 9}, Seconds(1), Now_);
  A_.finished(Waiting.Id_, Seconds(0), Now_);
  A_.finished(Waiting.Id_, Seconds(0), Now_);
  REQUIRE(A_.waiting(Copywriter) == 0);
  A_.finished(Running.Id_, Seconds(1), Now_);
  A_.finished(Running.Id_, Seconds(1), Now_);
  REQUIRE(A_.inProgress(Small) == 0);
  REQUIRE_FALSE(A_.next(Copywriter, Now_));
}

TEST_CASE_METHOD(
    AdmissionFixture,
    "service, removed from the declaration, refuses queued requests",
    "[admission]") {
  auto R = request(Large);
  A_.offer(R, Full_, Now_);
  A_.configure(DeclarationBuilder().build(), 1);
  REQUIRE_FALSE(A_.next(Copywriter, Now_));
  auto Refused = A_.expire(Now_);
  REQUIRE(Refused.size() == 1);
  REQUIRE(Refused[0].Cause_ == RefusalCause::UnknownService);
  REQUIRE(offer(Large, Room_).Refusal_.Cause_ == RefusalCause::UnknownService);
}

TEST_CASE_METHOD(AdmissionFixture,
                 "callers, refused together, get spread retry delays",
                 "[admission]") {
  // A thousand callers are refused within one second. With equal retry delays
  // they would return together and be refused together, indefinitely.
  learn(Seconds(1));
  occupy(50); // 50 places per second
  std::vector<Duration> Times;
  for (int I = 0; I < 500; ++I)
    Times.push_back(A_.retryAfter(Copywriter, Now_));
  std::vector<int> PerSecond(40);
  for (Duration D : Times) {
    REQUIRE(D >= Milliseconds(200));
    REQUIRE(D <= Seconds(30));
    ++PerSecond[static_cast<std::size_t>(D / Seconds(1))];
  }
  REQUIRE(*std::max_element(PerSecond.begin(), PerSecond.end()) <= 75);
}

TEST_CASE_METHOD(
    AdmissionFixture,
    "request, refused by its endpoint, is queued again as the first",
    "[admission]") {
  // Under overload endpoints refuse some attempts for which the entry expected
  // a free place. Retried outside the queue, at random, these requests of a
  // small customer would lose to the many of a large one.
  auto First = request(Small);
  REQUIRE(A_.offer(First, Room_, Now_).Kind_ == Verdict::Admit);
  auto Second = request(Small);
  REQUIRE(A_.offer(Second, Full_, Now_).Kind_ == Verdict::Queue);
  REQUIRE_FALSE(A_.requeue(Second.Id_));
  REQUIRE(A_.requeue(First.Id_));
  REQUIRE_FALSE(A_.requeue(First.Id_));
  REQUIRE(A_.waiting(Copywriter) == 2);
  REQUIRE(A_.inProgress(Small) == 2);
  REQUIRE(A_.next(Copywriter, Now_) == First.Id_);
  A_.finished(First.Id_, Milliseconds(10), Now_);
  REQUIRE_FALSE(A_.requeue(First.Id_));
  REQUIRE(A_.next(Copywriter, Now_) == Second.Id_);
  REQUIRE_FALSE(A_.next(Copywriter, Now_));
}
