#include "hawthornroad/membership/Prober.h"
#include "hawthornroad/membership/GossipQueue.h"
#include "hawthornroad/membership/JoinProgress.h"
#include "hawthornroad/membership/ReportPlan.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {

Member member(const std::string &Name, const std::string &Zone,
              const std::string &Role = "agent") {
  Member M;
  M.Process_ = ProcessName(Name);
  M.Zone_ = AvailabilityZone(Zone);
  M.Address_ = PeerAddress(Name);
  M.Role_ = Role;
  M.Incarnation_ = 1;
  return M;
}

struct ProberFixture {
  TimePoint Now_ = TimePoint{} + Seconds(100);
  MemberTable Table_{Chart::load(CHARTS_DIR, "member", memberChartNames()),
                     member("self", "a"),
                     {}};
  Prober Prober_{Random(1), AvailabilityZone("a"), {}};

  void add(std::size_t Count, const std::string &Zone,
           const std::string &Role = "agent") {
    for (std::size_t I = 0; I < Count; ++I)
      Table_.applyUpdate(member(Zone + Role + std::to_string(I), Zone, Role),
                         Now_);
  }
  // Ticks for the duration For; answers all probes if Answer is set.
  std::vector<Prober::ProbeRequest> run(Duration For, bool Answer,
                                        std::vector<ProcessName> *Unanswered) {
    std::vector<Prober::ProbeRequest> Out;
    for (TimePoint Until = Now_ + For; Now_ < Until; Now_ += Milliseconds(20)) {
      Prober::ProbeActions O = Prober_.tick(Table_, Now_);
      for (const Prober::ProbeRequest &Each : O.Probes_) {
        Out.push_back(Each);
        if (Answer)
          Prober_.answered(Each.Sequence_);
      }
      if (Unanswered != nullptr)
        Unanswered->insert(Unanswered->end(), O.Unanswered_.begin(),
                           O.Unanswered_.end());
    }
    return Out;
  }
};

} // namespace

TEST_CASE_METHOD(ProberFixture,
                 "prober sends as many probes in a fleet of 500 as in one of 5",
                 "[prober]") {
  auto Count = GENERATE(std::size_t{5}, std::size_t{500});
  add(Count, "a");
  add(Count, "b");
  auto Probes = run(Seconds(30), true, nullptr);
  CHECK(Probes.size() >= 85);
  CHECK(Probes.size() <= 115);
  auto Other =
      std::count_if(Probes.begin(), Probes.end(), [](const auto &Each) {
        return Each.To_.str().front() == 'b';
      });
  CHECK(Other >= 15);
  CHECK(Other <= 25);
}

TEST_CASE_METHOD(ProberFixture,
                 "prober, in as many periods as the zone has members, probes "
                 "each of them",
                 "[prober]") {
  add(20, "a");
  std::set<ProcessName> Seen;
  for (const Prober::ProbeRequest &Each : run(Seconds(12), true, nullptr))
    Seen.insert(Each.To_);
  CHECK(Seen.size() == 20);
}

TEST_CASE_METHOD(ProberFixture,
                 "unanswered probe is sent again over a new connection and "
                 "through other members, and in the end reports its target",
                 "[prober]") {
  add(5, "a");
  std::vector<ProcessName> Unanswered;
  auto Probes = run(Milliseconds(260), false, &Unanswered);
  REQUIRE(Probes.size() == 5);
  CHECK_FALSE(Probes[0].NewConnection_);
  CHECK(Probes[1].NewConnection_);
  CHECK(Probes[1].To_ == Probes[0].To_);
  for (std::size_t I = 2; I < 5; ++I) {
    CHECK(Probes[I].Target_ == Probes[0].To_);
    CHECK(Probes[I].To_ != Probes[0].To_);
    CHECK(Probes[I].Sequence_ == Probes[0].Sequence_);
  }
  CHECK(Unanswered.empty());
  SECTION("answered late, it reports nobody") {
    CHECK(Prober_.answered(Probes[0].Sequence_));
    CHECK_FALSE(Prober_.answered(Probes[0].Sequence_));
    run(Seconds(2), true, &Unanswered);
    CHECK(Unanswered.empty());
  }
  SECTION("not answered, it reports its target once") {
    run(Milliseconds(780), false, &Unanswered);
    CHECK(Unanswered.empty());
    run(Milliseconds(100), false, &Unanswered);
    CHECK(Unanswered == std::vector<ProcessName>{Probes[0].To_});
  }
  SECTION("after a pause of this process it reports nobody") {
    Now_ += Seconds(20);
    Prober_.dropOutstanding();
    run(Seconds(1), true, &Unanswered);
    CHECK(Unanswered.empty());
  }
}

TEST_CASE_METHOD(ProberFixture,
                 "dead member is probed at a low rate and never reported as "
                 "unanswered",
                 "[prober]") {
  add(3, "a");
  Member Dead = member("x", "b");
  Dead.State_ = MemberState::Dead;
  Table_.applyUpdate(Dead, Now_);
  std::vector<ProcessName> Unanswered;
  std::size_t Probes = 0;
  for (const Prober::ProbeRequest &Each : run(Seconds(30), true, &Unanswered))
    Probes += Each.To_ == Dead.Process_ ? 1 : 0;
  CHECK(Probes >= 15);
  CHECK(Probes <= 25);
  CHECK(Unanswered.empty());
}

TEST_CASE("gossip queue sends the least transmitted first, within budget, a "
          "bounded number of times",
          "[gossip]") {
  GossipQueue Queue({.Capacity_ = 3});
  auto Size = [](const GossipQueue::Pick &) { return std::size_t{100}; };
  auto Names = [&] {
    std::string Out;
    for (const auto &Each : Queue.pick(200, 2, Size))
      Out += Each.Process_.str();
    return Out;
  };
  Queue.add(ProcessName("a"), UpdateRank::Endpoint, false);
  Queue.add(ProcessName("b"), UpdateRank::Endpoint, false);
  Queue.add(ProcessName("c"), UpdateRank::State, false);
  CHECK(Queue.hasUnsent(UpdateRank::State));
  CHECK(Names() == "cb");
  CHECK_FALSE(Queue.hasUnsent(UpdateRank::State));
  CHECK(Queue.hasUnsent(UpdateRank::Endpoint));
  CHECK(Names() == "ca");
  CHECK(Names() == "ba");
  CHECK(Names().empty());
  for (const char *Each : {"d", "e", "f", "g"})
    Queue.add(ProcessName(Each), UpdateRank::State, false);
  CHECK(Queue.size() == 3);
  // An item larger than the budget is sent alone; an unknown one is dropped.
  CHECK(Queue.pick(10, 2, Size).size() == 1);
  CHECK(Queue.pick(10, 2, [](const auto &) { return std::size_t{0}; }).empty());
  CHECK(Queue.size() == 0);
}

TEST_CASE_METHOD(ProberFixture,
                 "load reports go to a few entries, urgent changes to all of "
                 "the zone",
                 "[reportplan]") {
  add(12, "a", "entry");
  add(3, "b", "entry");
  add(59, "a");
  EndpointStatus S;
  S.Vm_ = Vm("vm");
  S.Zone_ = AvailabilityZone("a");
  S.Phase_ = EndpointPhase::Ready;
  ReportPlan Plan({});
  CHECK(Plan.publish(S, Table_, Now_).size() == 12);
  // 60 agents that each report to 4 of 12 entries, at 10 reports a second per
  // entry: one report every 2 s.
  CHECK(Plan.period() == Seconds(2));
  S.Running_ = 3;
  CHECK(Plan.publish(S, Table_, Now_ + Milliseconds(1999)).empty());
  CHECK(Plan.publish(S, Table_, Now_ + Seconds(2)).size() == 4);
  S.Phase_ = EndpointPhase::Draining;
  CHECK(Plan.publish(S, Table_, Now_ + Seconds(2)).size() == 12);
}

namespace {
struct ReadyCase {
  const char *Name_;
  JoinProgress::View View_;
  std::size_t Answers_;
  int AfterMs_;
  bool Ready_;
};
} // namespace

TEST_CASE("new process is ready once it holds the highest revision it "
          "can reach",
          "[join]") {
  using V = JoinProgress::View;
  auto C = GENERATE(values<ReadyCase>({
      {"alone, table read", V{.TableRead_ = true, .MayHavePeers_ = false}, 0, 0,
       true},
      {"alone, table down", V{.TableFailed_ = true, .MayHavePeers_ = false}, 0,
       9000, false},
      {"table read, peers not yet asked",
       V{.TableRead_ = true, .LivePeers_ = 5}, 2, 0, false},
      {"table read, peers asked", V{.TableRead_ = true, .LivePeers_ = 5}, 3, 0,
       true},
      {"table read, peers silent for long",
       V{.TableRead_ = true, .LivePeers_ = 5}, 0, 3000, true},
      {"table not yet answered", V{.LivePeers_ = 5}, 3, 9000, false},
      {"table down, peers asked", V{.TableFailed_ = true, .LivePeers_ = 5}, 3,
       0, true},
      {"lower than the highest revision advertised",
       V{.TableRead_ = true, .LivePeers_ = 5, .Held_ = 4, .HighestSeen_ = 5}, 3,
       9000, false},
  }));
  INFO(C.Name_);
  TimePoint Start = TimePoint{} + Seconds(100);
  JoinProgress Join({}, Start);
  std::vector<PeerAddress> Live;
  for (int I = 0; I < 5; ++I)
    Live.emplace_back(std::to_string(I));
  auto Asked = Join.peersToAsk(Live, Start);
  REQUIRE(Asked.size() == 3);
  for (std::size_t I = 0; I < C.Answers_; ++I) {
    Join.answered(Asked[I]);
    Join.answered(Asked[I]);
  }
  Join.answered(PeerAddress("never asked"));
  CHECK(Join.isComplete(C.View_, Start + Milliseconds(C.AfterMs_)) == C.Ready_);
}

TEST_CASE("new process asks others in place of peers that do not answer",
          "[join]") {
  TimePoint Start = TimePoint{} + Seconds(100);
  JoinProgress Join({}, Start);
  std::vector<PeerAddress> Live;
  for (int I = 0; I < 4; ++I)
    Live.emplace_back(std::to_string(I));
  CHECK(Join.peersToAsk(Live, Start).size() == 3);
  CHECK(Join.peersToAsk(Live, Start).empty());
  CHECK(Join.peersToAsk(Live, Start + Milliseconds(500)) ==
        std::vector<PeerAddress>{PeerAddress("3")});
  CHECK(Join.peersToAsk(Live, Start + Milliseconds(1000)).empty());
  CHECK(Join.peersToAsk(Live, Start + Milliseconds(1500)).size() == 3);
}
