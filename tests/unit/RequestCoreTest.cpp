#include "hawthornroad/routing/RequestCore.h"

#include "hawthornroad/base/Hash.h"

#include <catch2/catch.hpp>
#include <map>

using namespace hawthornroad;

namespace {
constexpr Incarnation AgentIncarnation = 7;
constexpr Incarnation NextIncarnation = 8;
const VersionDigest VersionOne("sha256:one");
const VersionDigest VersionTwo("sha256:two");

std::shared_ptr<const Declaration> declaration() {
  Service Plain;
  Plain.Name_ = ServiceName("billing-desk");
  Plain.Vms_ = {"desk-*"};
  Plain.NonRepeatable_ = {{"POST", "/invoices"}};
  CustomerLimits Limits;
  Limits.Name_ = Customer("hp-travel");
  Limits.RequestsPerSecond_ = 10000;
  Limits.Burst_ = 10000;
  ZoneDeclaration Zone;
  Zone.Name_ = AvailabilityZone("zg-borongaj");
  return DeclarationBuilder().add(Zone).add(Plain).add(Limits).build();
}

// A core with two ready endpoints, and the actions it returned.
struct CoreFixture {
  TimePoint Now_{Seconds(1000)};
  Admission Admission_{Random(1)};
  Chooser Chooser_{Random(2), AvailabilityZone("zg-borongaj")};
  RetryBudget Budget_;
  RequestCore Core_{{},        loadRequestChart(CHARTS_DIR),
                    Random(3), Admission_,
                    Chooser_,  Budget_};
  std::vector<RequestAction> Seen_;
  std::uint64_t NextRequest_ = 1;

  CoreFixture() {
    Admission_.configure(declaration(), 1);
    Core_.configure(declaration());
    addEndpoint("desk-1", VersionOne);
    addEndpoint("desk-2", VersionOne);
  }

  void addEndpoint(const std::string &Name, const VersionDigest &Version) {
    EndpointStatus S;
    S.Vm_ = Vm(Name);
    S.Incarnation_ = AgentIncarnation;
    S.Sequence_ = 1;
    S.Address_ = PeerAddress(Name + ":1");
    S.Zone_ = AvailabilityZone("zg-borongaj");
    S.Service_ = ServiceName("billing-desk");
    S.Phase_ = EndpointPhase::Ready;
    S.Version_ = Version;
    S.Capacity_ = 8;
    Chooser_.update(S, Now_);
  }

  SharedRequest request(bool Repeatable, const std::string &Key = "") {
    CallerRequest R;
    R.Id_ = {1, NextRequest_++};
    R.Customer_ = Customer("hp-travel");
    R.Service_ = ServiceName("billing-desk");
    R.Method_ = "POST";
    R.Target_ = "/invoices";
    R.ArrivedAt_ = Now_;
    R.Deadline_ = Now_ + Seconds(10);
    R.Repeatable_ = Repeatable;
    R.IdempotencyKey_ = Key;
    return std::make_shared<const CallerRequest>(R);
  }

  void note(RequestCore::Actions Actions) {
    for (RequestAction &Each : Actions)
      Seen_.push_back(std::move(Each));
  }
  template <class T> std::vector<T> all() const {
    std::vector<T> Out;
    for (const RequestAction &Each : Seen_)
      if (const T *Found = std::get_if<T>(&Each))
        Out.push_back(*Found);
    return Out;
  }
  template <class T> T last() const {
    std::vector<T> Found = all<T>();
    REQUIRE_FALSE(Found.empty());
    return Found.back();
  }

  BeginAttempt begin(SharedRequest R) {
    note(Core_.arrived(std::move(R), Now_));
    return last<BeginAttempt>();
  }
  void receive(const AttemptUpdate &W) { note(Core_.attemptUpdated(W, Now_)); }
  void pass(Duration D) {
    Now_ += D;
    note(Core_.tick(Now_));
  }

  static AttemptSource from(const BeginAttempt &B,
                            Incarnation I = AgentIncarnation) {
    return {B.Attempt_, I};
  }
  static AttemptHead head(const BeginAttempt &B, bool Events = false) {
    AttemptHead H{from(B), 200, {}, B.Version_};
    if (Events)
      H.Headers_ = {{"Content-Type", "text/event-stream"}};
    return H;
  }
  static AttemptEnd end(const BeginAttempt &B, const std::string &Body) {
    Fnv1a Hash;
    Hash.update(Body);
    return {from(B), Body.size(), Hash.value()};
  }
  void answer(const BeginAttempt &B, const std::string &Body) {
    receive(head(B));
    receive(AttemptData{from(B), 0, Body});
    receive(end(B, Body));
  }
  // Loses the connection of B after its begin or, when Never, before it.
  void lose(const BeginAttempt &B, bool Never, std::uint64_t UpTo) {
    note(Core_.connectionLost({B.Address_, Never, UpTo, "lost"}, Now_));
  }
};
} // namespace

TEST_CASE_METHOD(CoreFixture,
                 "request, answered completely, passes the complete "
                 "answer once and is erased") {
  BeginAttempt B = begin(request(true));
  answer(B, "hello");
  REQUIRE(last<RespondWhole>().Body_ == "hello");
  REQUIRE(last<RequestDone>().Outcome_ == Outcome::Answered);
  answer(B, "hello");
  REQUIRE(all<RespondWhole>().size() == 1);
  REQUIRE(Core_.open() == 0);
}

TEST_CASE_METHOD(CoreFixture,
                 "answer, with frames duplicated and out of order, is "
                 "passed complete and in order") {
  // Frames sent again after a query overlap those still in flight on the old
  // connection; without ordering the caller would get a mixed body.
  BeginAttempt B = begin(request(true));
  receive(head(B));
  receive(AttemptData{from(B), 3, "def"});
  receive(end(B, "abcdef"));
  receive(AttemptData{from(B), 0, "ab"});
  receive(AttemptData{from(B), 1, "bc"});
  REQUIRE(last<RespondWhole>().Body_ == "abcdef");
}

TEST_CASE_METHOD(CoreFixture, "answer, with a wrong hash, is never passed") {
  BeginAttempt B = begin(request(false));
  receive(head(B));
  receive(AttemptData{from(B), 0, "abc"});
  receive(end(B, "abd"));
  REQUIRE(all<RespondWhole>().empty());
  REQUIRE(last<RespondProblem>().Problem_.Outcome_ == Outcome::Unknown);
}

TEST_CASE_METHOD(CoreFixture, "late frame, of an attempt given up, is dropped "
                              "and its engine told to stop") {
  // Endpoint 1 fails, endpoint 2 answers, then frames of endpoint 1 arrive:
  // they must not reach the caller.
  BeginAttempt First = begin(request(true));
  receive(AttemptFailed{from(First), false, "run", "engine", "cut"});
  BeginAttempt Second = last<BeginAttempt>();
  REQUIRE(Second.Attempt_ != First.Attempt_);
  REQUIRE(Second.Address_ != First.Address_);
  receive(AttemptData{from(First), 0, "old"});
  REQUIRE(last<CancelAttempt>().Attempt_ == First.Attempt_);
  answer(Second, "new");
  REQUIRE(last<RespondWhole>().Body_ == "new");
}

TEST_CASE_METHOD(CoreFixture, "non-repeatable request, its attempt failed, is "
                              "never sent again and is unknown") {
  BeginAttempt B = begin(request(false));
  receive(AttemptFailed{from(B), false, "run", "service", "cut"});
  REQUIRE(all<BeginAttempt>().size() == 1);
  REQUIRE(last<RespondProblem>().Problem_.Outcome_ == Outcome::Unknown);
}

TEST_CASE_METHOD(CoreFixture, "non-repeatable request, refused by the agent, "
                              "goes to another endpoint") {
  BeginAttempt B = begin(request(false));
  receive(AttemptRefused{from(B), "draining", {}});
  REQUIRE(all<BeginAttempt>().size() == 2);
  REQUIRE(last<BeginAttempt>().Address_ != B.Address_);
}

TEST_CASE_METHOD(CoreFixture, "request, refused everywhere, is not-run with a "
                              "time to come back") {
  receive(AttemptRefused{from(begin(request(false))), "draining", {}});
  receive(AttemptRefused{from(last<BeginAttempt>()), "draining", {}});
  Problem P = last<RespondProblem>().Problem_;
  REQUIRE(P.Outcome_ == Outcome::NotRun);
  REQUIRE(P.RetryAfter_ > Duration::zero());
  REQUIRE(P.Status_ == 503);
}

// Every endpoint is full for a moment. Retried outside the queue, the request
// would take the slot of one that has waited longer; refused, it would return
// as more load.
TEST_CASE_METHOD(CoreFixture,
                 "request, its endpoints full, waits and is dispatched "
                 "when they accept work again") {
  Chooser_.remove(Vm("desk-2"), AgentIncarnation);
  BeginAttempt B = begin(request(true));
  receive(AttemptRefused{from(B), "overloaded", {}});
  REQUIRE(all<BeginAttempt>().size() == 1);
  REQUIRE(all<RespondProblem>().empty());
  REQUIRE(Admission_.waiting(ServiceName("billing-desk")) == 1);
  for (int I = 0; I < 30 && all<BeginAttempt>().size() < 2; ++I)
    pass(Milliseconds(100));
  answer(last<BeginAttempt>(), "late but whole");
  REQUIRE(last<RespondWhole>().Body_ == "late but whole");
}

// An endpoint refuses repeatedly: each dispatch after the first takes from the
// retry budget; when that is used up, the caller is answered at once.
TEST_CASE_METHOD(CoreFixture,
                 "request, refused by its endpoint with the retry budget "
                 "used up, is answered not-run") {
  Chooser_.remove(Vm("desk-2"), AgentIncarnation);
  BeginAttempt B = begin(request(true));
  while (Budget_.take(ServiceName("billing-desk"), Now_))
    ;
  receive(AttemptRefused{from(B), "overloaded", {}});
  for (int I = 0; I < 40 && all<RespondProblem>().empty(); ++I) {
    while (Budget_.take(ServiceName("billing-desk"), Now_))
      ;
    pass(Milliseconds(100));
  }
  Problem P = last<RespondProblem>().Problem_;
  REQUIRE(P.Outcome_ == Outcome::NotRun);
  REQUIRE(P.RetryAfter_ > Duration::zero());
  REQUIRE(all<BeginAttempt>().size() == 1);
}

TEST_CASE_METHOD(CoreFixture,
                 "begin, on a connection that was never established, did "
                 "not run") {
  BeginAttempt B = begin(request(false));
  lose(B, true, B.Number_);
  REQUIRE(all<BeginAttempt>().size() == 2);
}

TEST_CASE_METHOD(CoreFixture,
                 "begin, sent on a connection after one that was never "
                 "established, stays where it is") {
  // Two threads: opening a connection fails and, before that is reported, a
  // second begin is sent on a new connection and runs. Counting the failure as
  // its own would run the call twice.
  BeginAttempt B = begin(request(false));
  lose(B, true, B.Number_ - 1);
  REQUIRE(all<BeginAttempt>().size() == 1);
  answer(B, "x");
  REQUIRE(last<RespondWhole>().Body_ == "x");
}

TEST_CASE_METHOD(CoreFixture,
                 "lost connection, of a non-repeatable request, leads to "
                 "a query and the answer continues") {
  BeginAttempt B = begin(request(false));
  receive(head(B));
  receive(AttemptData{from(B), 0, "ab"});
  lose(B, false, B.Number_);
  REQUIRE(last<QueryAttempt>().Offset_ == 2);
  receive(AttemptState{from(B), AttemptState::Phase::Finished});
  receive(AttemptData{from(B), 2, "cd"});
  receive(end(B, "abcd"));
  REQUIRE(last<RespondWhole>().Body_ == "abcd");
  REQUIRE(all<BeginAttempt>().size() == 1);
}

TEST_CASE_METHOD(CoreFixture,
                 "never seen, reported by the addressed process, confirms "
                 "that the attempt did not run") {
  BeginAttempt B = begin(request(false));
  lose(B, false, B.Number_);
  receive(AttemptState{from(B), AttemptState::Phase::NeverSeen});
  REQUIRE(all<BeginAttempt>().size() == 2);
}

TEST_CASE_METHOD(CoreFixture,
                 "never seen, reported by the successor process, leaves "
                 "the outcome unknown") {
  // The agent accepted the call, died and was replaced. The new process has no
  // record of the call; sending it again would run it twice.
  BeginAttempt B = begin(request(false));
  lose(B, false, B.Number_);
  receive(
      AttemptState{from(B, NextIncarnation), AttemptState::Phase::NeverSeen});
  REQUIRE(all<BeginAttempt>().size() == 1);
  REQUIRE(last<RespondProblem>().Problem_.Outcome_ == Outcome::Unknown);
}

TEST_CASE_METHOD(CoreFixture,
                 "never seen, reported after the attempt was accepted, "
                 "leaves the outcome unknown") {
  BeginAttempt B = begin(request(false));
  receive(AttemptAccepted{from(B)});
  lose(B, false, B.Number_);
  receive(AttemptState{from(B), AttemptState::Phase::NeverSeen});
  REQUIRE(all<BeginAttempt>().size() == 1);
  REQUIRE(last<RespondProblem>().Problem_.Outcome_ == Outcome::Unknown);
}

TEST_CASE_METHOD(CoreFixture,
                 "endpoint gone, with a non-repeatable request, is "
                 "answered unknown at once") {
  BeginAttempt B = begin(request(false));
  note(Core_.endpointGone(B.Address_ == PeerAddress("desk-1:1") ? Vm("desk-1")
                                                                : Vm("desk-2"),
                          AgentIncarnation, Now_));
  REQUIRE(last<RespondProblem>().Problem_.Outcome_ == Outcome::Unknown);
}

TEST_CASE_METHOD(CoreFixture,
                 "silent attempt is queried twice, the second time over a "
                 "new connection") {
  // A middlebox dropped the connection: TCP would retransmit for minutes.
  BeginAttempt B = begin(request(true));
  pass(Milliseconds(1000));
  REQUIRE_FALSE(last<QueryAttempt>().NewConnection_);
  pass(Milliseconds(500));
  REQUIRE(last<QueryAttempt>().NewConnection_);
  receive(AttemptState{from(B), AttemptState::Phase::Running});
  answer(B, "x");
  REQUIRE(last<RespondWhole>().Body_ == "x");
}

TEST_CASE_METHOD(CoreFixture,
                 "two silent attempts at one endpoint open one new "
                 "connection per idle limit") {
  // Each new connection replaces that of the other attempt: without the limit
  // they would interrupt each other's queries for ever.
  Chooser_.remove(Vm("desk-2"), AgentIncarnation);
  begin(request(true));
  begin(request(true));
  pass(Milliseconds(1000));
  pass(Milliseconds(500));
  std::size_t NewConnections = 0;
  for (const QueryAttempt &Each : all<QueryAttempt>())
    NewConnections += Each.NewConnection_ ? 1 : 0;
  REQUIRE(NewConnections == 1);
}

TEST_CASE_METHOD(CoreFixture,
                 "event stream, interrupted half-way, resumes at another "
                 "endpoint of its version") {
  BeginAttempt B = begin(request(true));
  receive(head(B, true));
  receive(AttemptData{from(B), 0, "data: 1\n\ndata: 2\n\ndata: 3"});
  receive(AttemptFailed{from(B), false, "run", "engine", "cut"});
  BeginAttempt Next = last<BeginAttempt>();
  REQUIRE(Next.ResumeEvents_ == 2);
  receive(head(Next, true));
  std::string Rest = "data: 3\n\ndata: [DONE]\n\n";
  receive(AttemptData{from(Next), 0, Rest});
  receive(end(Next, Rest));
  std::string Body;
  for (const StreamBytes &Each : all<StreamBytes>())
    Body += Each.Bytes_;
  REQUIRE(Body == "data: 1\n\ndata: 2\n\ndata: 3\n\ndata: [DONE]\n\n");
  REQUIRE(all<StreamFinish>().size() == 1);
  REQUIRE(all<StreamAbort>().empty());
}

TEST_CASE_METHOD(CoreFixture,
                 "event stream, with no endpoint of its version left, "
                 "ends in an error and is not truncated") {
  // During a rollout the only other endpoint serves the next version; mixing
  // them would put the output of two models into one answer.
  addEndpoint("desk-3", VersionTwo);
  BeginAttempt B = begin(request(true));
  if (B.Version_ == VersionTwo)
    return;
  receive(head(B, true));
  receive(AttemptData{from(B), 0, "data: 1\n\n"});
  for (const char *Name : {"desk-1", "desk-2"})
    note(Core_.endpointGone(Vm(Name), AgentIncarnation, Now_));
  Chooser_.remove(Vm("desk-1"), AgentIncarnation);
  Chooser_.remove(Vm("desk-2"), AgentIncarnation);
  while (all<StreamAbort>().empty())
    receive(AttemptFailed{from(last<BeginAttempt>()), false, "run", "", "cut"});
  REQUIRE(last<StreamAbort>().IsEvents_);
  REQUIRE(all<StreamFinish>().empty());
  for (const BeginAttempt &Each : all<BeginAttempt>())
    REQUIRE(Each.Version_ == VersionOne);
}

TEST_CASE_METHOD(CoreFixture,
                 "deadline, of a claimed request, is reported at once and "
                 "the late answer is stored with the claim") {
  SharedRequest R = request(false, "key-1");
  note(Core_.arrived(R, Now_));
  REQUIRE(all<StartClaim>().size() == 1);
  REQUIRE(all<BeginAttempt>().empty());
  note(Core_.claimDecided(ClaimWon{R->Id_}, Now_));
  BeginAttempt B = last<BeginAttempt>();
  pass(Seconds(10));
  REQUIRE(last<RespondProblem>().Problem_.Outcome_ == Outcome::Unknown);
  REQUIRE(last<RespondProblem>().Problem_.Status_ == 504);
  answer(B, "late");
  REQUIRE(last<SettleClaim>().Outcome_ == Outcome::Answered);
  REQUIRE(last<SettleClaim>().Answer_->Body_ == "late");
  REQUIRE(all<RespondWhole>().empty());
}

TEST_CASE_METHOD(CoreFixture,
                 "claim, won after the deadline, is not acted on") {
  // The entry was frozen between the write of the claim and its reply; its
  // caller has left long ago.
  SharedRequest R = request(false, "key-1");
  note(Core_.arrived(R, Now_));
  Now_ += Seconds(60);
  note(Core_.claimDecided(ClaimWon{R->Id_}, Now_));
  REQUIRE(all<BeginAttempt>().empty());
  REQUIRE(last<RespondProblem>().Problem_.Outcome_ == Outcome::NotRun);
  REQUIRE(last<SettleClaim>().Outcome_ == Outcome::NotRun);
}

TEST_CASE_METHOD(CoreFixture, "unknown service and stopping entry are refused "
                              "as not run") {
  auto Other = std::make_shared<CallerRequest>(*request(true));
  Other->Service_ = ServiceName("no-such");
  note(Core_.arrived(Other, Now_));
  REQUIRE(last<RespondProblem>().Problem_.Status_ == 404);
  Core_.drain();
  note(Core_.arrived(request(true), Now_));
  REQUIRE(last<RespondProblem>().Problem_.Cause_ ==
          toString(RefusalCause::Draining));
  REQUIRE(Core_.open() == 0);
}

TEST_CASE_METHOD(CoreFixture, "caller that does not read holds back the "
                              "acknowledgements") {
  SharedRequest R = request(true);
  BeginAttempt B = begin(R);
  receive(head(B));
  std::string LargeBody(2 * 1024 * 1024, 'x');
  note(Core_.callerBacklog(R->Id_, 8 * 1024 * 1024, Now_));
  receive(AttemptData{from(B), 0, LargeBody});
  REQUIRE(all<AckAttempt>().empty());
  REQUIRE(Core_.heldBack() == std::vector<RequestId>{R->Id_});
  note(Core_.callerBacklog(R->Id_, 0, Now_));
  REQUIRE(last<AckAttempt>().Offset_ == LargeBody.size());
}

// For events in any order, late, duplicate or missing: a request that is not
// repeatable begins again only after confirmation that it did not run; not-run
// is reported only when all attempts were so confirmed; and each request gets
// exactly one final answer by its deadline.
TEST_CASE("requests, under random events, run at most once and are answered "
          "exactly once") {
  for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
    CoreFixture F;
    Random Rng(Seed);
    SharedRequest R = F.request(Rng.below(2) == 0, Rng.below(2) ? "k" : "");
    F.note(F.Core_.arrived(R, F.Now_));
    std::map<AttemptId, bool> StatedNotRun;
    for (int Step = 0; Step < 60; ++Step) {
      std::vector<BeginAttempt> Begun = F.all<BeginAttempt>();
      if (!F.all<StartClaim>().empty() && Rng.below(3) == 0)
        F.note(F.Core_.claimDecided(ClaimWon{R->Id_}, F.Now_));
      if (Rng.below(40) == 0)
        F.note(F.Core_.callerGone(R->Id_, F.Now_));
      F.pass(Milliseconds(Rng.below(400)));
      if (Begun.empty())
        continue;
      const BeginAttempt &B = Begun[Rng.below(Begun.size())];
      bool IsCurrent = F.Core_.requestOf(B.Attempt_).isSet();
      switch (Rng.below(9)) {
      case 0:
        F.receive(F.head(B));
        break;
      case 1:
        F.receive(AttemptData{F.from(B), Rng.below(4), "abcd"});
        break;
      case 2:
        F.receive(F.end(B, "abcd"));
        break;
      case 3:
        F.receive(AttemptFailed{F.from(B), false, "run", "", ""});
        break;
      case 4:
        StatedNotRun[B.Attempt_] |= IsCurrent;
        F.receive(AttemptRefused{F.from(B), "draining", {}});
        break;
      case 5:
        F.lose(B, false, B.Number_);
        break;
      case 6:
        F.receive(AttemptState{F.from(B, NextIncarnation),
                               AttemptState::Phase::NeverSeen});
        break;
      case 7:
        F.receive(AttemptAccepted{F.from(B)});
        break;
      default:
        F.receive(AttemptState{F.from(B), AttemptState::Phase::Running});
      }
    }
    F.pass(Seconds(60));
    F.pass(Seconds(60));
    INFO("seed " << Seed);
    std::vector<BeginAttempt> Begun = F.all<BeginAttempt>();
    std::size_t MayHaveRun = 0;
    for (const BeginAttempt &Each : Begun)
      MayHaveRun += StatedNotRun[Each.Attempt_] ? 0 : 1;
    if (!R->Repeatable_)
      REQUIRE(MayHaveRun <= 1);
    std::size_t FinalAnswers =
        F.all<RespondWhole>().size() + F.all<RespondProblem>().size() +
        F.all<StreamFinish>().size() + F.all<StreamAbort>().size();
    RequestDone Done = F.last<RequestDone>();
    REQUIRE(F.all<RequestDone>().size() == 1);
    REQUIRE(FinalAnswers <= 1);
    REQUIRE(FinalAnswers + (Done.CallerGone_ ? 1 : 0) >= 1);
    for (const RespondProblem &Each : F.all<RespondProblem>())
      if (Each.Problem_.Outcome_ == Outcome::NotRun)
        REQUIRE(MayHaveRun == 0);
    REQUIRE(F.Core_.open() == 0);
  }
}
