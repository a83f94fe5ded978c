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

  // Whether each node that is up holds each other one that is up for live.
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
  bool neverLower() {
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

// A member's VM dies. Requests go on being routed to it until each entry has
// noticed; nobody may wait for the platform's list to say so.
TEST_CASE("member that dies is dead to everybody within seconds, and its "
          "successor comes in",
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

// A VM is frozen just after it has sent a probe, for longer than a suspicion
// lasts; its connections are lost meanwhile, the answer with them. The others
// rightly held it dead; it must come back without anybody's help, and must not
// itself suspect others for the answers it slept through.
TEST_CASE("frozen member, once thawed, refutes and accuses nobody",
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
  Frozen.Held_.clear();
  Frozen.Changes_.clear();
  F.Loop_.thaw(Frozen);
  CHECK(F.Loop_.runUntil([&] { return F.allKnowAll(); }, Seconds(10)));
  for (const auto &[Change, At] : Frozen.Changes_) {
    CHECK(Change.Kind_ != Kind::Suspected);
    CHECK(Change.Kind_ != Kind::Died);
  }
}

// A zone is cut off from the others and from the platform for a minute. Each
// side holds the other dead. When the cut heals, word of those deaths meets
// members that are alive; it must not empty either side's view of itself, and
// both sides find each other and the highest revision.
TEST_CASE("cut zone keeps its own view, and a healed cut converges",
          "[controlcore]") {
  auto Seed = GENERATE(range<std::uint64_t>(1, 6));
  Fleet F({.Nodes_ = 24, .Zones_ = 3, .Seed_ = Seed});
  F.Loop_.accept();
  F.join();
  F.Loop_.run(Seconds(2));
  F.Loop_.cut({0}, true);
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
  F.Loop_.cut({}, false);
  CHECK(F.Loop_.runUntil([&] { return F.allKnowAll() && F.allHold(2); },
                         Seconds(60)));
  CHECK(F.count(Kind::Died) == 0);
  CHECK(F.neverLower());
}

// An operator's change is accepted and the platform goes down at once, then
// comes back answering from an old copy. Whoever has the revision keeps it, and
// everybody gets it from there.
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
  F.Loop_.TableShows_ = 1;
  F.Loop_.run(Seconds(20));
  CHECK(F.allHold(Next));
  CHECK(F.neverLower());
}

// All processes of a zone are replaced while the platform is down. Each new
// one is ready only when it holds what its peers in the other zones hold.
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

// The platform is down for ten minutes. Readers must not pile up reads, nor
// return all at once.
TEST_CASE("platform down for long is read ever less, and again when it is back",
          "[controlcore]") {
  Fleet F({.Nodes_ = 24, .Zones_ = 3, .Seed_ = 8});
  F.join();
  F.Loop_.run(Seconds(5));
  F.Loop_.TableUp_ = false;
  F.Loop_.run(Seconds(60));
  std::uint64_t Before = F.Loop_.TableReads_;
  F.Loop_.run(Seconds(540));
  // 9 readers, at least every 5 s when the wait of 10 s is drawn shortest.
  CHECK(F.Loop_.TableReads_ - Before <= 9 * 540 / 5);
  F.Loop_.accept();
  F.Loop_.TableUp_ = true;
  CHECK(F.Loop_.runUntil([&] { return F.allHold(1); }, Seconds(16)));
}

TEST_CASE("fleet under a fifth of messages lost and late keeps its members",
          "[controlcore]") {
  Fleet F({.Nodes_ = 24,
           .Zones_ = 3,
           .Seed_ = 9,
           .Loss_ = 0.2,
           .Late_ = 0.2,
           .LateBy_ = Milliseconds(400)});
  F.Loop_.accept();
  F.join();
  F.Loop_.run(Seconds(120));
  CHECK(F.allHold(1));
  CHECK(F.Loop_.runUntil([&] { return F.allKnowAll(); }, Seconds(30)));
}

// An endpoint becomes ready while its zone is cut off for a moment. News is
// sent a few times only, all of them lost, and an entry of another zone would
// hold the endpoint for starting, and send no request there, until chance mends
// it.
TEST_CASE("endpoint's news, lost on its way, reaches an entry of another zone "
          "soon after",
          "[control]") {
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    CAPTURE(Seed);
    Fleet F({.Nodes_ = 4,
             .Zones_ = 2,
             .EntryEvery_ = 2,
             .Seed_ = Seed,
             .LoadPeriod_ = std::chrono::hours(1)});
    F.join();
    F.Loop_.cut({0}, false);
    F.Loop_.EndpointsReport_ = true;
    F.Loop_.run(Milliseconds(1200));
    F.Loop_.cut({}, false);
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
