#include "hawthornroad/routing/Chooser.h"

#include <catch2/catch.hpp>
#include <map>

using namespace hawthornroad;

namespace {
const AvailabilityZone Own("zg-borongaj");
const AvailabilityZone Other("st-kampus");
const ServiceName Copywriter("copywriter-lm");
const VersionDigest V1("sha256:1");
const VersionDigest V2("sha256:2");

Vm vm(std::size_t I) { return Vm("vm-" + std::to_string(I)); }

struct ChooserFixture {
  Chooser C_{Random(7), Own};
  TimePoint Now_{Seconds(1000)};
  std::map<Vm, EndpointStatus> Last_;

  EndpointStatus status(std::size_t I) {
    EndpointStatus S;
    S.Vm_ = vm(I);
    S.Incarnation_ = 1;
    S.Zone_ = Own;
    S.Service_ = Copywriter;
    S.Phase_ = EndpointPhase::Ready;
    S.Version_ = V1;
    S.Capacity_ = 4;
    return S;
  }
  // Applies S as the next report of its endpoint.
  void tell(EndpointStatus S) {
    S.Sequence_ = Last_[S.Vm_].Sequence_ + 1;
    Last_[S.Vm_] = S;
    C_.update(S, Now_);
  }
  void addReady(std::size_t Count, AvailabilityZone Zone = Own,
                std::size_t First = 0) {
    for (std::size_t I = First; I < First + Count; ++I) {
      EndpointStatus S = status(I);
      S.Zone_ = Zone;
      tell(S);
    }
  }
  Chooser::Query query() { return {.Service_ = Copywriter}; }
  // Chooses and dispatches.
  std::optional<Vm> send(const Chooser::Query &Q) {
    auto V = C_.choose(Q, Now_);
    if (V)
      C_.dispatched(*V, Now_);
    return V;
  }
  void fail(const Vm &V, std::size_t Times) {
    for (std::size_t I = 0; I < Times; ++I) {
      C_.dispatched(V, Now_);
      C_.finished(V, Chooser::Result::Failed, Now_);
    }
  }
  void answer(const Vm &V) {
    C_.dispatched(V, Now_);
    C_.finished(V, Chooser::Result::Answered, Now_);
  }
};
} // namespace

TEST_CASE_METHOD(ChooserFixture, "choice, with no ready endpoint, is none",
                 "[chooser]") {
  REQUIRE_FALSE(C_.choose(query(), Now_));
  for (EndpointPhase P : {EndpointPhase::Starting, EndpointPhase::Draining,
                          EndpointPhase::Left}) {
    EndpointStatus S = status(0);
    S.Incarnation_ = 1 + static_cast<Incarnation>(P);
    S.Phase_ = P;
    tell(S);
    REQUIRE_FALSE(C_.choose(query(), Now_));
    REQUIRE(C_.readyCount(Copywriter) == 0);
  }
}

TEST_CASE_METHOD(ChooserFixture,
                 "own attempts, while reports lag, fill each place once",
                 "[chooser]") {
  // A report of an idle endpoint that is seconds old must not let one entry
  // send it more than the declared number of attempts.
  addReady(3);
  for (std::size_t I = 0; I < 12; ++I)
    REQUIRE(send(query()));
  REQUIRE_FALSE(C_.hasRoom(query(), Now_));
  REQUIRE_FALSE(send(query()));
  REQUIRE(C_.room(Copywriter, 16).Taken_ == 12);
  C_.finished(vm(1), Chooser::Result::Answered, Now_);
  REQUIRE(C_.hasRoom(query(), Now_));
  REQUIRE(send(query()) == vm(1));
}

TEST_CASE_METHOD(ChooserFixture,
                 "limit, lower than capacity or higher, bounds the places",
                 "[chooser]") {
  addReady(2);
  struct Row {
    std::size_t Limit_, Places_;
  };
  for (Row R : {Row{1, 2}, Row{3, 6}, Row{4, 8}, Row{9, 8}})
    REQUIRE(C_.room(Copywriter, R.Limit_).Places_ == R.Places_);
  Chooser::Query Q = query();
  Q.InFlightLimit_ = 1;
  REQUIRE(send(Q));
  REQUIRE(send(Q));
  REQUIRE_FALSE(send(Q));
}

TEST_CASE_METHOD(
    ChooserFixture,
    "report of an endpoint, repeated or out of order, changes nothing",
    "[chooser]") {
  EndpointStatus First = status(0);
  First.Sequence_ = 5;
  C_.update(First, Now_);
  EndpointStatus Older = First;
  Older.Sequence_ = 4;
  Older.Phase_ = EndpointPhase::Draining;
  C_.update(Older, Now_);
  C_.update(First, Now_);
  REQUIRE(C_.readyCount(Copywriter) == 1);
  EndpointStatus Predecessor = Older;
  Predecessor.Incarnation_ = 0;
  Predecessor.Sequence_ = 99;
  C_.update(Predecessor, Now_);
  C_.remove(vm(0), 0);
  REQUIRE(C_.readyCount(Copywriter) == 1);
  EndpointStatus Left = First;
  Left.Sequence_ = 6;
  Left.Phase_ = EndpointPhase::Left;
  C_.update(Left, Now_);
  EndpointStatus Late = First;
  Late.Sequence_ = 7;
  C_.update(Late, Now_);
  REQUIRE(C_.readyCount(Copywriter) == 0);
  EndpointStatus Restarted = First;
  Restarted.Incarnation_ = 2;
  Restarted.Sequence_ = 0;
  C_.update(Restarted, Now_);
  REQUIRE(C_.readyCount(Copywriter) == 1);
}

TEST_CASE_METHOD(ChooserFixture,
                 "endpoint, leaving with requests in flight, gets no new ones",
                 "[chooser]") {
  // A planned stop: callers would see truncated answers or a second run if the
  // leaving endpoint were chosen again, or if attempts that end after it left
  // were counted against its successor.
  addReady(1);
  REQUIRE(send(query()));
  REQUIRE(send(query()));
  EndpointStatus S = status(0);
  S.Phase_ = EndpointPhase::Draining;
  tell(S);
  REQUIRE_FALSE(send(query()));
  C_.finished(vm(0), Chooser::Result::Answered, Now_);
  C_.remove(vm(0), 1);
  REQUIRE(C_.find(vm(0)) == nullptr);
  S.Phase_ = EndpointPhase::Ready;
  S.Incarnation_ = 2;
  tell(S);
  REQUIRE(C_.room(Copywriter, 4).Taken_ == 1);
  C_.finished(vm(0), Chooser::Result::Answered, Now_);
  C_.finished(vm(0), Chooser::Result::Answered, Now_);
  REQUIRE(C_.room(Copywriter, 4).Taken_ == 0);
}

TEST_CASE_METHOD(ChooserFixture,
                 "other zones, while the own one has a place, are not used",
                 "[chooser]") {
  addReady(1);
  addReady(1, Other, 1);
  for (std::size_t I = 0; I < 4; ++I)
    REQUIRE(send(query()) == vm(0));
  REQUIRE(send(query()) == vm(1));
  C_.finished(vm(0), Chooser::Result::Answered, Now_);
  REQUIRE(send(query()) == vm(0));
  C_.remove(vm(0), 1);
  REQUIRE(send(query()) == vm(1));
}

TEST_CASE_METHOD(ChooserFixture,
                 "version, when asked for, is the only one chosen",
                 "[chooser]") {
  addReady(3);
  EndpointStatus S = status(2);
  S.Version_ = V2;
  tell(S);
  Chooser::Query Q = query();
  Q.Version_ = V2;
  for (std::size_t I = 0; I < 4; ++I)
    REQUIRE(send(Q) == vm(2));
  REQUIRE_FALSE(C_.hasRoom(Q, Now_));
  Q.Version_ = V1;
  for (std::size_t I = 0; I < 8; ++I)
    REQUIRE(send(Q) != vm(2));
}

TEST_CASE_METHOD(ChooserFixture,
                 "excluded endpoints, even the only ones, are not chosen",
                 "[chooser]") {
  addReady(3);
  Chooser::Query Q = query();
  Q.Excluded_ = {vm(0), vm(1)};
  for (std::size_t I = 0; I < 4; ++I)
    REQUIRE(send(Q) == vm(2));
  REQUIRE_FALSE(C_.hasRoom(Q, Now_));
  Q.Excluded_.insert(vm(2));
  REQUIRE_FALSE(send(Q));
}

TEST_CASE_METHOD(ChooserFixture,
                 "prefix, at two entries, goes to one endpoint until it is hot",
                 "[chooser]") {
  addReady(8);
  Chooser Second(Random(99), Own);
  for (const auto &[V, S] : Last_)
    Second.update(S, Now_);
  Chooser::Query Q = query();
  std::map<Vm, std::size_t> Homes;
  for (Q.PrefixHash_ = 1; Q.PrefixHash_ <= 200; ++Q.PrefixHash_) {
    auto V = C_.choose(Q, Now_);
    REQUIRE(V);
    REQUIRE(V == Second.choose(Q, Now_));
    ++Homes[*V];
  }
  REQUIRE(Homes.size() == 8);
  Q.PrefixHash_ = 42;
  std::map<Vm, std::size_t> Sent;
  for (std::size_t I = 0; I < 16; ++I)
    ++Sent[*send(Q)];
  REQUIRE(Sent.size() > 3);
}

TEST_CASE_METHOD(ChooserFixture,
                 "endpoint, failing fast, is ejected and readmitted by probes",
                 "[chooser]") {
  // An endpoint that fails at once always appears idle, so choosing the least
  // loaded sends it every request, and callers see one error after another.
  addReady(4);
  for (std::size_t I = 1; I < 4; ++I)
    answer(vm(I));
  fail(vm(0), 3);
  REQUIRE(C_.isEjected(vm(0), Now_));
  for (std::size_t I = 0; I < 12; ++I)
    REQUIRE(send(query()) != vm(0));
  REQUIRE_FALSE(C_.hasRoom(query(), Now_));
  for (std::size_t Probe = 0; Probe < 2; ++Probe) {
    Now_ += Seconds(3);
    REQUIRE(send(query()) == vm(0));
    REQUIRE_FALSE(send(query()));
    C_.finished(vm(0), Chooser::Result::Answered, Now_);
  }
  REQUIRE_FALSE(C_.isEjected(vm(0), Now_));
  REQUIRE(send(query()) == vm(0));
}

TEST_CASE_METHOD(ChooserFixture,
                 "ejection, when others leave, is lifted to keep its bound",
                 "[chooser]") {
  addReady(6);
  for (std::size_t I = 2; I < 6; ++I)
    for (std::size_t K = 0; K < 9; ++K)
      answer(vm(I));
  fail(vm(0), 3);
  fail(vm(1), 3);
  fail(vm(2), 9);
  REQUIRE(C_.isEjected(vm(0), Now_));
  REQUIRE(C_.isEjected(vm(1), Now_));
  REQUIRE_FALSE(C_.isEjected(vm(2), Now_));
  C_.remove(vm(3), 1);
  REQUIRE_FALSE(C_.isEjected(vm(0), Now_));
  REQUIRE(C_.isEjected(vm(1), Now_));
}

TEST_CASE_METHOD(ChooserFixture,
                 "refusal of an endpoint, for a moment, counts it as full",
                 "[chooser]") {
  addReady(1);
  REQUIRE(send(query()));
  C_.finished(vm(0), Chooser::Result::Refused, Now_);
  Now_ += Milliseconds(900);
  REQUIRE_FALSE(send(query()));
  Now_ += Milliseconds(200);
  REQUIRE(send(query()));
  REQUIRE_FALSE(C_.isEjected(vm(0), Now_));
}

TEST_CASE_METHOD(ChooserFixture,
                 "restarts, ten thousand in number, leave bounded memory",
                 "[chooser]") {
  for (std::size_t I = 0; I < 10000; ++I) {
    addReady(1, Own, I);
    C_.remove(vm(I), 1);
  }
  REQUIRE(C_.all().empty());
  REQUIRE(C_.readyCount(Copywriter) == 0);
  // The oldest endpoint has been evicted, so an old report of it is accepted
  // again; the latest is still known, so a repeated report of it is not.
  C_.update(Last_[vm(0)], Now_);
  C_.update(Last_[vm(9999)], Now_);
  REQUIRE(C_.find(vm(0)));
  REQUIRE_FALSE(C_.find(vm(9999)));
}

TEST_CASE_METHOD(ChooserFixture,
                 "slow endpoint, by its report or its first bytes, is shunned "
                 "while others have places",
                 "[chooser]") {
  // Choosing by load alone sends a slow endpoint as many requests as it can
  // hold: one caller in five would wait four times as long.
  const bool IsReported = GENERATE(true, false);
  addReady(5);
  for (std::size_t I = 0; I < 5; ++I) {
    const int Ms = I == 0 ? 200 : 50;
    if (IsReported) {
      EndpointStatus S = status(I);
      S.StepMs_ = static_cast<float>(Ms);
      tell(S);
    }
    for (int K = 0; K < 4 && !IsReported; ++K) {
      C_.dispatched(vm(I), Now_);
      C_.firstByte(vm(I), Milliseconds(Ms), Now_);
      C_.finished(vm(I), Chooser::Result::Answered, Now_);
    }
  }
  for (std::size_t I = 0; I < 16; ++I)
    REQUIRE(send(query()) != vm(0));
  REQUIRE(send(query()) == vm(0));
}

TEST_CASE_METHOD(
    ChooserFixture,
    "entries, competing for full endpoints, share them about evenly",
    "[chooser]") {
  // One entry holds every place and refills each as soon as it is freed. A
  // second entry never sees a free place, so its callers wait until their
  // deadlines pass while the first one's are served.
  addReady(5);
  Chooser Late(Random(11), Own);
  std::map<Vm, std::size_t> Early, LateHeld;
  auto Held = [](const std::map<Vm, std::size_t> &M) {
    std::size_t Sum = 0;
    for (const auto &[V, N] : M)
      Sum += N;
    return Sum;
  };
  auto Fill = [&](Chooser &C, std::map<Vm, std::size_t> &Mine) {
    while (auto V = C.choose(query(), Now_)) {
      if (Early[*V] + LateHeld[*V] >= 5) { // the limit of the agent
        C.dispatched(*V, Now_);
        C.finished(*V, Chooser::Result::Refused, Now_);
        continue;
      }
      ++Mine[*V];
      C.dispatched(*V, Now_);
    }
  };
  auto EndOne = [&](Chooser &C, std::map<Vm, std::size_t> &Mine,
                    std::size_t I) {
    if (Mine[vm(I)] == 0)
      return;
    --Mine[vm(I)];
    C.finished(vm(I), Chooser::Result::Answered, Now_);
  };
  Fill(C_, Early);
  REQUIRE(Held(Early) == 20);
  for (std::size_t Round = 0; Round < 400; ++Round) {
    Now_ += Milliseconds(100);
    for (std::size_t I = 0; I < 5; ++I) {
      EndpointStatus S = status(I);
      S.Running_ = static_cast<std::uint32_t>(Early[vm(I)] + LateHeld[vm(I)]);
      if (Round % 10 == 0) {
        tell(S);
        Late.update(Last_[vm(I)], Now_);
      }
    }
    EndOne(C_, Early, Round % 5);
    EndOne(Late, LateHeld, Round % 5);
    Fill(C_, Early);
    Fill(Late, LateHeld);
  }
  CAPTURE(Held(Early), Held(LateHeld));
  REQUIRE(Held(Early) + Held(LateHeld) >= 18);
  REQUIRE(Held(LateHeld) >= 7);
  REQUIRE(Held(Early) >= 7);
}

TEST_CASE_METHOD(
    ChooserFixture,
    "endpoints, most of them failing fast, do not attract the requests",
    "[chooser]") {
  // A bad release fails at once on most endpoints. They always have free places
  // and none is an outlier among its peers, so choosing the least loaded sends
  // them every request, although the healthy ones could serve them.
  addReady(6);
  std::size_t Failed = 0;
  std::vector<Vm> Running;
  for (std::size_t I = 0; I < 300; ++I) {
    Now_ += Milliseconds(50);
    auto V = send(query());
    REQUIRE(V);
    if (*V == vm(4) || *V == vm(5)) {
      Running.push_back(*V);
    } else {
      C_.finished(*V, Chooser::Result::Failed, Now_);
      ++Failed;
    }
    if (Running.size() < 6)
      continue;
    C_.finished(Running.front(), Chooser::Result::Answered, Now_);
    Running.erase(Running.begin());
  }
  REQUIRE(Failed < 60);
}
