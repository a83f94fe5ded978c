// Load on the remaining zones while one of three is evacuated.

#include "tests/unit/SimulatedFleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <vector>

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

namespace {
constexpr Duration Hop = Milliseconds(1);
constexpr Duration Service = Milliseconds(120);
constexpr unsigned Places = 12;
constexpr unsigned EndpointsPerZone = 4;
constexpr unsigned EntriesPerZone = 3;
constexpr unsigned ZoneCount = 3;

// Entries of three zones before one service, without agents: each knows the
// endpoints' loads from the answers that it receives itself.
class ZonedFleet : public SimulatedFleet {
public:
  ZonedFleet(double PerSecond, std::uint64_t Seed)
      : PerEntry_(PerSecond / (ZoneCount * EntriesPerZone)), Random_(Seed) {
    std::vector<Endpoint> All;
    for (unsigned I = 0; I < ZoneCount * EndpointsPerZone; ++I) {
      std::string Name = "e" + std::to_string(I);
      Endpoint E = listedEndpoint(EndpointId(Name), Api, Name, Places);
      E.Zone_ = zone(I / EndpointsPerZone);
      All.push_back(E);
      Servers_[Name].Zone_ = E.Zone_;
    }
    SharedConfig Config = RoutingConfig::build(parts());
    for (unsigned I = 0; I < ZoneCount * EntriesPerZone; ++I) {
      TrafficCore::Options O;
      O.Placement_.Zone_ = zone(I / EntriesPerZone);
      O.AsksForPlaces_ = false;
      Entries_.push_back(std::make_unique<Entry>(*this, O, Random_.next()));
      TrafficCore &Core = Entries_.back()->Core_;
      Core.endpoints().listed(All, Now_);
      Core.configure(Config, Now_);
      Core.prove(Now_, Now_);
      arriveNext(*Entries_.back());
      tick(*Entries_.back());
    }
  }
  static AvailabilityZone zone(unsigned I) {
    return AvailabilityZone("z" + std::to_string(I));
  }
  void evacuate(const AvailabilityZone &Zone) {
    Evacuated_ = Zone;
    for (auto &Each : Entries_)
      Each->Core_.evacuateZones({Zone}, Now_);
  }

  // Requests that reached an endpoint of the evacuated zone, apart from those
  // that were on their way.
  unsigned InZone_ = 0;
  // Requests that reached an endpoint without a free place while another one
  // of a remaining zone was idle.
  unsigned Overfilled_ = 0;
  unsigned Arrived_ = 0;
  unsigned Served_ = 0;
  unsigned Refused_ = 0;

private:
  struct Server {
    AvailabilityZone Zone_;
    unsigned Running_ = 0;
  };
  struct Entry final : NullPort {
    ZonedFleet &Fleet_;
    TrafficCore Core_;
    CallNumber Next_ = 1;
    Entry(ZonedFleet &F, TrafficCore::Options O, std::uint64_t Seed)
        : Fleet_(F), Core_(O, *this, Random(Seed)) {}
    void beginAttempt(AttemptNumber A, const Call &C,
                      const AttemptParams &O) override {
      Fleet_.begin(*this, A, C.Id_, O.Address_);
    }
    void respond(CallNumber, unsigned, const HeaderFields &,
                 std::string) override {
      ++Fleet_.Served_;
    }
    void refuse(CallNumber, const Call &, unsigned, Cause, Duration) override {
      ++Fleet_.Refused_;
    }
  };

  void arriveNext(Entry &E) {
    after(nextGap(Random_, PerEntry_), [this, &E] {
      Call C;
      CallNumber N = E.Next_++;
      C.Id_ = std::to_string(N);
      C.Host_ = "h";
      C.Target_ = "/safe/1";
      C.Key_ = "key";
      ++Arrived_;
      E.Core_.arrive(N, std::move(C), Now_);
      arriveNext(E);
    });
  }
  void tick(Entry &E) {
    after(Milliseconds(20), [this, &E] {
      E.Core_.prove(Now_, Now_);
      E.Core_.tick(Now_);
      tick(E);
    });
  }
  void begin(Entry &E, AttemptNumber A, const std::string &Id,
             const std::string &At) {
    bool IsForbidden = Servers_[At].Zone_ == Evacuated_;
    after(Hop, [this, &E, A, Id, At, IsForbidden] {
      Server &S = Servers_[At];
      InZone_ += IsForbidden ? 1 : 0;
      if (!Evacuated_.empty() && S.Running_ >= Places && hasIdle())
        ++Overfilled_;
      ++S.Running_;
      EndpointHead H;
      H.Status_ = 200;
      H.IsSigned_ = true;
      H.RequestId_ = Id;
      H.HasLoad_ = true;
      H.Running_ = S.Running_;
      after(Hop, [this, &E, A, H] { E.Core_.onHead(A, H, Now_); });
      after(Service, [this, &E, A, &S] {
        --S.Running_;
        after(Hop, [this, &E, A] { E.Core_.onEnd(A, Now_); });
      });
    });
  }
  bool hasIdle() const {
    return std::any_of(Servers_.begin(), Servers_.end(), [&](const auto &Each) {
      return Each.second.Zone_ != Evacuated_ && Each.second.Running_ == 0;
    });
  }

  double PerEntry_;
  Random Random_;
  AvailabilityZone Evacuated_;
  std::map<std::string, Server> Servers_;
  std::vector<std::unique_ptr<Entry>> Entries_;
};
} // namespace

// Guards against three zones' worth of requests that fill a few endpoints of
// the two remaining zones: entries see only their own requests and reports that
// arrive with their answers.
TEST_CASE("three zones' requests, when one zone is evacuated, fill no endpoint "
          "beyond its places while another is idle",
          "[evacuation]") {
  constexpr double Capacity = 1000.0 / 120 * Places * EndpointsPerZone * 2;
  for (double Use : {0.3, 0.6, 0.7})
    for (std::uint64_t Seed : {1, 2, 3}) {
      INFO("share of the remaining places " << Use << ", seed " << Seed);
      ZonedFleet F(Capacity * Use, Seed);
      F.run(Seconds(3));
      CHECK(F.Refused_ == 0);
      F.evacuate(ZonedFleet::zone(0));
      F.run(Seconds(5));
      INFO("arrived " << F.Arrived_ << ", served " << F.Served_ << ", refused "
                      << F.Refused_);
      CHECK(F.InZone_ == 0);
      CHECK(F.Overfilled_ == 0);
      CHECK(F.Refused_ * 100 <= F.Served_);
      // The rest is still running in the remaining places.
      CHECK(F.Arrived_ - F.Served_ - F.Refused_ <=
            2 * EndpointsPerZone * Places);
    }
}
