#include "tests/unit/ControlLoop.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {

using Kind = MemberChange::Kind;

Chart memberChart() {
  return Chart::load(CHARTS_DIR, "member", memberChartNames());
}

struct Fleet {
  explicit Fleet(ControlLoop::Options O) : Loop_(O, memberChart()) {}

  // Whether every running node holds every other running node live.
  bool allKnowAll() {
    std::size_t Up = 0;
    for (std::size_t I = 0; I < Loop_.size(); ++I)
      Up += Loop_.node(I).Up_ ? 1 : 0;
    return each([&](ControlLoop::Node &N) {
      return N.Core_->table().live().size() == Up - 1;
    });
  }
  bool allHold(Revision R) {
    return each([&](ControlLoop::Node &N) {
      return N.Core_->config().log().revision() == R;
    });
  }
  bool allReady() {
    return each([](ControlLoop::Node &N) { return N.Core_->ready(); });
  }
  bool each(const std::function<bool(ControlLoop::Node &)> &Holds) {
    for (std::size_t I = 0; I < Loop_.size(); ++I)
      if (Loop_.node(I).Up_ && !Holds(Loop_.node(I)))
        return false;
    return true;
  }
  MemberState stateAt(std::size_t Viewer, std::size_t About) {
    const Member *M =
        Loop_.node(Viewer).Core_->table().find(Loop_.node(About).Name_);
    return M == nullptr ? MemberState::Left : M->State_;
  }
  std::size_t count(Kind K) {
    std::size_t Count = 0;
    for (std::size_t I = 0; I < Loop_.size(); ++I)
      for (const auto &[Change, At] : Loop_.node(I).Changes_)
        Count += Change.Kind_ == K ? 1 : 0;
    return Count;
  }
  bool revisionsNeverDecrease() {
    return each([](ControlLoop::Node &N) {
      return std::is_sorted(N.InForce_.begin(), N.InForce_.end());
    });
  }
  void join() {
    REQUIRE(Loop_.runUntil([&] { return allKnowAll(); }, Seconds(60)));
  }

  ControlLoop Loop_;
};

} // namespace

TEST_CASE("fleet, started empty, knows all members and the revision, and is "
          "ready",
          "[controlcore]") {
  auto Seed = GENERATE(range<std::uint64_t>(1, 5));
  Fleet F({.Nodes_ = 24, .Zones_ = 3, .Seed_ = Seed});
  F.Loop_.accept();
  F.join();
  CHECK(F.Loop_.runUntil([&] { return F.allHold(1) && F.allReady(); },
                         Seconds(10)));
  F.Loop_.run(Seconds(30));
  CHECK(F.count(Kind::Died) == 0);
}

// A member's VM dies. Requests are routed to it until each entry has detected
// the death, so detection must not depend on the platform's membership list.
TEST_CASE("member that dies is dead to everybody within seconds, and "
          "its successor joins",
          "[controlcore]") {
  Fleet F({.Nodes_ = 24, .Zones_ = 3, .Seed_ = 3});
  F.join();
  F.Loop_.node(7).Up_ = false;
  auto DeadToAll = [&] {
    return F.each([&](ControlLoop::Node &N) {
      const Member *M = N.Core_->table().find(F.Loop_.node(7).Name_);
      return M != nullptr && M->State_ == MemberState::Dead;
    });
  };
  CHECK(F.Loop_.runUntil(DeadToAll, Seconds(8)));
  F.Loop_.boot(F.Loop_.node(7), 2'000'000'000);
  CHECK(F.Loop_.runUntil([&] { return F.allKnowAll(); }, Seconds(10)));
}

// A VM is frozen just after sending a probe, for longer than the suspicion
// timeout. Its connections are lost meanwhile, and the answer with them. The
// others rightly hold it dead; it must come back by itself, and must not
// suspect others because of the answers it missed.
TEST_CASE("frozen member, once thawed, refutes and suspects nobody",
          "[controlcore]") {
  Fleet F({.Nodes_ = 12, .Zones_ = 2, .Seed_ = 4});
  F.join();
  F.Loop_.run(Seconds(2));
  ControlLoop::Node &Frozen = F.Loop_.node(5);
  F.Loop_.Observer_ = [&](const ControlLoop::Node &From, const ControlSend &S) {
    if (&From == &Frozen && std::holds_alternative<ProbeMessage>(S.Message_))
      Frozen.Frozen_ = true;
  };
  F.Loop_.run(Seconds(12));
  CHECK(F.stateAt(0, 5) == MemberState::Dead);
  F.Loop_.Observer_ = nullptr;
  Frozen.Pending_.clear();
  Frozen.Changes_.clear();
  F.Loop_.thaw(Frozen);
  CHECK(F.Loop_.runUntil([&] { return F.allKnowAll(); }, Seconds(10)));
  for (const auto &[Change, At] : Frozen.Changes_) {
    CHECK(Change.Kind_ != Kind::Suspected);
    CHECK(Change.Kind_ != Kind::Died);
  }
}

// A zone is partitioned from the other zones and from the platform for a
// minute, and each side holds the other dead. When the partition heals, updates
// about those deaths reach members that are alive. They must not empty the view
// of either side, and both sides must find each other and the highest revision.
TEST_CASE("partitioned zone keeps its own view, and all zones "
          "converge once it heals",
          "[controlcore]") {
  auto Seed = GENERATE(range<std::uint64_t>(1, 6));
  Fleet F({.Nodes_ = 24, .Zones_ = 3, .Seed_ = Seed});
  F.Loop_.accept();
  F.join();
  F.Loop_.run(Seconds(2));
  F.Loop_.partition({0}, true);
  F.Loop_.accept();
  F.Loop_.run(Seconds(60));
  for (std::size_t I = 0; I < 24; ++I)
    for (std::size_t J = 0; J < 24; ++J)
      if (I != J) {
        bool SameSide = (I % 3 == 0) == (J % 3 == 0);
        CHECK((F.stateAt(I, J) == MemberState::Alive) == SameSide);
      }
  CHECK(F.Loop_.node(0).Core_->config().log().revision() == 1);
  CHECK(F.Loop_.node(1).Core_->config().log().revision() == 2);
  for (std::size_t I = 0; I < 24; ++I)
    F.Loop_.node(I).Changes_.clear();
  F.Loop_.partition({}, false);
  CHECK(F.Loop_.runUntil([&] { return F.allKnowAll() && F.allHold(2); },
                         Seconds(60)));
  CHECK(F.count(Kind::Died) == 0);
  CHECK(F.revisionsNeverDecrease());
}

// A change is accepted and the platform fails at once, then comes back with a
// stale copy. Processes that have the revision keep it, and all others get it
// from them.
TEST_CASE("revision read by one process spreads while the platform is down, "
          "and a stale copy reverts nothing",
          "[controlcore]") {
  Fleet F({.Nodes_ = 24, .Zones_ = 3, .Seed_ = 6});
  F.Loop_.accept();
  F.join();
  REQUIRE(F.Loop_.runUntil([&] { return F.allHold(1); }, Seconds(10)));
  Revision Next = F.Loop_.accept();
  REQUIRE(F.Loop_.runUntil(
      [&] {
        return !F.each([&](ControlLoop::Node &N) {
          return N.Core_->config().log().revision() < Next;
        });
      },
      Seconds(5)));
  F.Loop_.TableUp_ = false;
  CHECK(F.Loop_.runUntil([&] { return F.allHold(Next); }, Seconds(5)));
  F.Loop_.TableUp_ = true;
  F.Loop_.VisibleRecords_ = 1;
  F.Loop_.run(Seconds(20));
  CHECK(F.allHold(Next));
  CHECK(F.revisionsNeverDecrease());
}

// All processes of a zone are replaced while the platform is down. A new
// process is ready only when it holds the revision that its peers in the other
// zones hold.
TEST_CASE("zone replaced while the platform is down is ready with the highest "
          "revision only",
          "[controlcore]") {
  Fleet F({.Nodes_ = 24, .Zones_ = 3, .Seed_ = 7});
  F.Loop_.accept();
  F.Loop_.accept();
  F.join();
  REQUIRE(F.Loop_.runUntil([&] { return F.allHold(2); }, Seconds(10)));
  F.Loop_.TableUp_ = false;
  for (std::size_t I = 2; I < 24; I += 3)
    F.Loop_.boot(F.Loop_.node(I), 2'000'000'000);
  bool ReadyTooEarly = false;
  CHECK(F.Loop_.runUntil(
      [&] {
        F.each([&](ControlLoop::Node &N) {
          bool Lacks = N.Core_->config().log().revision() < 2;
          ReadyTooEarly = ReadyTooEarly || (N.Core_->ready() && Lacks);
          return true;
        });
        return F.allReady() && F.allHold(2);
      },
      Seconds(20)));
  CHECK_FALSE(ReadyTooEarly);
}

// The platform is down for ten minutes. Readers must not accumulate reads, nor
// resume all at once.
TEST_CASE("platform down for long is read less often, and again when "
          "it is back",
          "[controlcore]") {
  Fleet F({.Nodes_ = 24, .Zones_ = 3, .Seed_ = 8});
  F.join();
  F.Loop_.run(Seconds(5));
  F.Loop_.TableUp_ = false;
  F.Loop_.run(Seconds(60));
  std::uint64_t Before = F.Loop_.TableReads_;
  F.Loop_.run(Seconds(540));
  // 9 readers, each with an interval of at least 5 s: the wait of 10 s at its
  // shortest jitter.
  CHECK(F.Loop_.TableReads_ - Before <= 9 * 540 / 5);
  F.Loop_.accept();
  F.Loop_.TableUp_ = true;
  CHECK(F.Loop_.runUntil([&] { return F.allHold(1); }, Seconds(16)));
}

TEST_CASE("fleet with a fifth of messages lost and a fifth late keeps "
          "its members",
          "[controlcore]") {
  Fleet F({.Nodes_ = 24,
           .Zones_ = 3,
           .Seed_ = 9,
           .Loss_ = 0.2,
           .LateShare_ = 0.2,
           .ExtraDelay_ = Milliseconds(400)});
  F.Loop_.accept();
  F.join();
  F.Loop_.run(Seconds(120));
  CHECK(F.allHold(1));
  CHECK(F.Loop_.runUntil([&] { return F.allKnowAll(); }, Seconds(30)));
}

// An endpoint becomes ready while its zone is partitioned for a short time. Its
// update is gossiped only a few times, and all of these messages are lost. An
// entry of another zone would then take the endpoint for a starting one and
// send it no requests until a randomly drawn record corrects that.
TEST_CASE("endpoint report, lost on its way, reaches an entry of "
          "another zone soon after",
          "[control]") {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    CAPTURE(Seed);
    Fleet F({.Nodes_ = 4,
             .Zones_ = 2,
             .EntryEvery_ = 2,
             .Seed_ = Seed,
             .LoadPeriod_ = std::chrono::hours(1)});
    F.join();
    F.Loop_.partition({0}, false);
    F.Loop_.EndpointsReport_ = true;
    F.Loop_.run(Milliseconds(1200));
    F.Loop_.partition({}, false);
    ControlLoop::Node &Entry = F.Loop_.node(1);
    ControlLoop::Node &Agent = F.Loop_.node(2);
    auto Knows = [&] {
      const Member *M = Entry.Core_->table().find(Agent.Name_);
      return M != nullptr && M->Report_ != nullptr;
    };
    REQUIRE_FALSE(Knows());
    CHECK(F.Loop_.runUntil(Knows, Seconds(5)));
  }
}
