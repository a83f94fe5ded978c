// Many entries before endpoints of which some are slow for a time; no network.

#include "hawthornroad/staging/PlaceGrants.h"
#include "tests/unit/SimulatedFleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <vector>

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

namespace {
constexpr unsigned Entries = 43;

// Plain endpoints without agents: each entry decides alone, and hears of an
// endpoint only in answers to its own requests.
class PlainFleet : public SimulatedFleet {
public:
  static constexpr unsigned Endpoints = 7;
  static constexpr unsigned Places = 24;
  static constexpr Duration Usual = Milliseconds(40);
  // A third of what the endpoints can do.
  static constexpr double PerSecond = 1400;
  static constexpr Duration Hop = Milliseconds(2);
  static constexpr double Slow = 2.5;

  explicit PlainFleet(std::uint64_t Seed) : Random_(Seed) {
    RoutingConfig::Parts P;
    P.Version_ = 1;
    P.Services_.push_back({.Name_ = Api, .MaxConnections_ = 1000});
    SharedConfig Config = RoutingConfig::build(std::move(P));
    EndpointSet Set;
    std::vector<Endpoint> Listed;
    for (unsigned I = 0; I < Endpoints; ++I)
      Listed.push_back(
          listedEndpoint(id(I), Api, "10.0.0." + std::to_string(I), Places));
    Set.listed(Listed, Now_);
    Placement::Options O;
    O.Zone_ = Listed[0].Zone_;
    for (unsigned I = 0; I < Entries; ++I) {
      Entries_.emplace_back(O, Random(Random_.next()));
      Entries_.back().setEndpoints(Set, *Config);
      nextRequest(I);
    }
  }

  void setSlowdown(unsigned Endpoint, double Slowdown) {
    Servers_.at(Endpoint).Slowdown_ = Slowdown;
  }
  // What the endpoint states, where that is not its slowdown.
  void setStated(unsigned Endpoint, std::optional<double> Stated) {
    Servers_.at(Endpoint).Stated_ = Stated;
  }
  // Requests that arrived since the last call.
  unsigned takeArrivals(unsigned Endpoint) {
    return std::exchange(Servers_.at(Endpoint).Arrivals_, 0);
  }
  // The most requests at it at once since the last call.
  unsigned takeMost(unsigned Endpoint) {
    Server &S = Servers_.at(Endpoint);
    return std::exchange(S.Most_, S.Running_);
  }
  unsigned refused() const { return Refused_; }

private:
  struct Server {
    double Slowdown_ = 1;
    std::optional<double> Stated_;
    unsigned Running_ = 0;
    unsigned Arrivals_ = 0;
    unsigned Most_ = 0;
    std::deque<std::function<void()>> Queue_;
  };
  static EndpointId id(unsigned I) { return EndpointId(std::to_string(I)); }

  void nextRequest(unsigned Entry) {
    after(nextGap(Random_, PerSecond / Entries), [this, Entry] {
      send(Entry);
      nextRequest(Entry);
    });
  }
  void send(unsigned Entry) {
    Placement &P = Entries_[Entry];
    Placement::Query Q;
    Q.Service_ = Api;
    auto Chosen = P.choose(Q, Now_);
    if (!Chosen) {
      ++Refused_;
      return;
    }
    P.attemptBegun(*Chosen, Now_);
    auto At = static_cast<unsigned>(std::stoul(Chosen->str()));
    after(Hop, [this, Entry, At, Begun = Now_] {
      Server &S = Servers_[At];
      ++S.Arrivals_;
      auto Run = [this, Entry, At, Begun] { serve(Entry, At, Begun); };
      if (S.Running_ < Places)
        Run();
      else
        S.Queue_.push_back(Run);
      S.Most_ = std::max(S.Most_, S.Running_ + waiting(S));
    });
  }
  static unsigned waiting(const Server &S) {
    return static_cast<unsigned>(S.Queue_.size());
  }
  void serve(unsigned Entry, unsigned At, TimePoint Begun) {
    ++Servers_[At].Running_;
    Duration Took = std::chrono::duration_cast<Duration>(
        Random_.jitter(Usual, 0.5) * Servers_[At].Slowdown_);
    after(Took, [this, Entry, At, Begun] {
      Server &S = Servers_[At];
      --S.Running_;
      if (!S.Queue_.empty()) {
        auto Next = std::move(S.Queue_.front());
        S.Queue_.pop_front();
        Next();
      }
      double Stated = S.Stated_.value_or(S.Slowdown_);
      after(Hop, [this, Entry, At, Begun, Stated, Running = S.Running_,
                  Waiting = waiting(S)] {
        Placement &P = Entries_[Entry];
        P.updateLoad(id(At), Running, Waiting, Now_);
        P.noteSlowdown(id(At), Stated, Now_);
        P.firstByte(id(At), Now_ - Begun, Stated);
        P.attemptEnded(id(At), Placement::End::Good, true, Now_);
      });
    });
  }

  Random Random_;
  std::deque<Placement> Entries_;
  std::vector<Server> Servers_{Endpoints};
  unsigned Refused_ = 0;
};

// An engine with its agent, asked by entries at random times.
class GrantingEngine : public SimulatedFleet {
public:
  static constexpr unsigned Places = 12;
  static constexpr double MeanReadingMs = 38;
  static constexpr double MeanAnswerMs = 800;
  struct Asked {
    double ReadingMs_ = 0;
    bool IsGranted_ = false;
  };

  GrantingEngine(std::uint64_t Seed, double Spread, double PerSecond)
      : Random_(Seed), Spread_(Spread), PerSecond_(PerSecond) {
    for (unsigned I = 0; I < Entries; ++I)
      nextAsk();
  }
  void setSlowdown(double Slowdown) { Slowdown_ = Slowdown; }
  const std::vector<Asked> &asked() const { return Asked_; }

private:
  // Log-normal, with this mean and at most four times the mean.
  double drawn(double Mean) {
    double Normal = std::sqrt(-2 * std::log(1 - Random_.unit())) *
                    std::cos(2 * 3.14159265358979 * Random_.unit());
    double Value = Mean * std::exp(Spread_ * Normal - Spread_ * Spread_ / 2);
    return std::min(Value, 4 * Mean);
  }
  static Duration millis(double Ms) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(Ms));
  }
  void nextAsk() {
    after(nextGap(Random_, PerSecond_ / Entries), [this] {
      ask();
      nextAsk();
    });
  }
  void ask() {
    auto Waiting = static_cast<unsigned>(Queue_.size());
    if (!Grants_.isFresh(Now_))
      Grants_.onReport(Running_, Waiting, Now_, Slowdown_);
    double Ms = drawn(MeanReadingMs);
    PlaceGrants::Pace P{.Places_ = Places, .Reading_ = millis(MeanReadingMs)};
    bool IsGranted = Grants_.ask(PlaceKind::First, P, Now_, millis(Ms));
    Asked_.push_back({Ms, IsGranted});
    if (IsGranted)
      after(Milliseconds(5), [this, Ms] {
        Queue_.push_back(Ms);
        if (!IsReading_)
          read();
      });
  }
  // Prompts are read one after another; a request runs from the begin of its
  // reading to its last token.
  void read() {
    IsReading_ = true;
    double Ms = Queue_.front() * Slowdown_;
    Queue_.pop_front();
    ++Running_;
    after(millis(Ms), [this] {
      IsReading_ = false;
      after(millis(drawn(MeanAnswerMs) * Slowdown_), [this] { --Running_; });
      if (!Queue_.empty())
        read();
    });
  }

  Random Random_;
  double Spread_;
  double PerSecond_;
  double Slowdown_ = 1;
  PlaceGrants Grants_;
  unsigned Running_ = 0;
  bool IsReading_ = false;
  std::deque<double> Queue_;
  std::vector<Asked> Asked_;
};

// Share of granted places among the requests from the First to the Last part
// of all, ordered by their prompts' length.
double grantedShare(std::vector<GrantingEngine::Asked> All, double First,
                    double Last) {
  std::stable_sort(All.begin(), All.end(), [](const auto &A, const auto &B) {
    return A.ReadingMs_ < B.ReadingMs_;
  });
  auto At = [&](double Part) {
    return All.begin() +
           static_cast<std::ptrdiff_t>(Part * static_cast<double>(All.size()));
  };
  auto Granted = std::count_if(At(First), At(Last),
                               [](const auto &A) { return A.IsGranted_; });
  return static_cast<double>(Granted) /
         static_cast<double>(At(Last) - At(First));
}
} // namespace

// Guards against entries that go on sending to an endpoint that takes 2.5 times
// as long, against all of them moving to the same fast one, and against an
// endpoint that stays without work after its slow period.
TEST_CASE("uneven plain endpoints, with one slow at a time, get work in "
          "proportion to their speed",
          "[speed]") {
  constexpr Duration Spell = Milliseconds(600);
  // Until the first answers of the slow period have arrived.
  constexpr Duration Noticed = Milliseconds(200);
  constexpr unsigned Spells = 14;
  for (std::uint64_t Seed = 1; Seed <= 3; ++Seed) {
    CAPTURE(Seed);
    PlainFleet F(Seed);
    F.run(Seconds(1));
    unsigned AtSlow = 0, AtFast = 0, Back = 0, BackOthers = 0, Most = 0;
    std::vector<unsigned> MostEach;
    for (unsigned I = 0; I < Spells; ++I) {
      unsigned Slow = I % PlainFleet::Endpoints;
      auto Take = [&](unsigned &One, unsigned &Others) {
        for (unsigned E = 0; E < PlainFleet::Endpoints; ++E)
          (E == Slow ? One : Others) += F.takeArrivals(E);
      };
      unsigned Ignored = 0;
      F.setSlowdown(Slow, PlainFleet::Slow);
      F.run(Noticed);
      Take(Ignored, Ignored);
      for (unsigned E = 0; E < PlainFleet::Endpoints; ++E)
        F.takeMost(E);
      F.run(Spell - Noticed);
      Take(AtSlow, AtFast);
      for (unsigned E = 0; E < PlainFleet::Endpoints; ++E)
        if (unsigned M = F.takeMost(E); E != Slow)
          MostEach.push_back(M);
      F.setSlowdown(Slow, 1);
      F.run(Milliseconds(250));
      Take(Ignored, Ignored);
      F.run(Milliseconds(250));
      Take(Back, BackOthers);
      F.run(Milliseconds(500));
    }
    Most = *std::max_element(MostEach.begin(), MostEach.end());
    constexpr double Others = PlainFleet::Endpoints - 1;
    double SlowShare = AtSlow / (AtFast / Others);
    double BackShare = Back / (BackOthers / Others);
    CAPTURE(AtSlow, AtFast, SlowShare, Back, BackOthers, BackShare, Most,
            F.refused());
    REQUIRE(SlowShare < 0.5);
    REQUIRE(Most <= PlainFleet::Places);
    REQUIRE(BackShare > 0.8);
    REQUIRE(F.refused() == 0);
  }
}

// Guards against an endpoint that is kept out by a wrong figure, repeated in
// all of its answers.
TEST_CASE("uneven plain endpoints, with a figure that stays high for seconds, "
          "still send work there",
          "[speed]") {
  for (double Stated : {PlainFleet::Slow, 100.0}) {
    PlainFleet F(1);
    F.setStated(0, Stated);
    F.run(Seconds(1));
    for (unsigned E = 0; E < PlainFleet::Endpoints; ++E)
      F.takeArrivals(E);
    F.run(Seconds(5));
    unsigned AtIt = F.takeArrivals(0);
    unsigned Others = 0;
    for (unsigned E = 1; E < PlainFleet::Endpoints; ++E)
      Others += F.takeArrivals(E);
    CAPTURE(Stated, AtIt, Others);
    REQUIRE(AtIt > 0.3 * Others / (PlainFleet::Endpoints - 1));
    REQUIRE(F.refused() == 0);
  }
}

// Guards against long prompts that find a place less often than short ones at
// the same load.
TEST_CASE("place grants, asked by 43 entries for prompts of very different "
          "lengths, serve the largest tenth like the others",
          "[speed]") {
  struct Row {
    double Spread_;
    double PerSecond_;
    double Slowdown_;
  };
  for (const Row &R : std::vector<Row>{{1.2, 12, 1},
                                       {1.2, 20, 1},
                                       {1.4, 20, 1},
                                       {1.6, 12, 1},
                                       {1.6, 20, 1},
                                       {1.6, 40, 1},
                                       {1.6, 12, 2.5}}) {
    GrantingEngine E(7, R.Spread_, R.PerSecond_);
    E.setSlowdown(R.Slowdown_);
    E.run(Seconds(600));
    double All = grantedShare(E.asked(), 0, 1);
    double Fifth = grantedShare(E.asked(), 0.7, 0.9);
    double Tenth = grantedShare(E.asked(), 0.9, 1);
    CAPTURE(R.Spread_, R.PerSecond_, R.Slowdown_, E.asked().size(), All, Fifth,
            Tenth);
    // Otherwise the case shows nothing.
    CHECK(All < 0.95);
    CHECK(Fifth >= 0.8 * All);
    CHECK(Tenth >= 0.8 * All);
  }
}
