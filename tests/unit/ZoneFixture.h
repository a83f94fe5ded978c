// TrafficCore with endpoints in several zones: two of each service in each of
// za, zb, zc and zu. The entry is in za; the region of zu is not known.
//
//   ZoneFixture F;
//   F.configure([](auto &P) { P.Routes_[0].AllowedRegions_ = {West}; });
//   CallNumber N = F.send("/safe/1");
//   F.zoneOf(0);                            // of the first attempt

#ifndef HAWTHORNROAD_TESTS_UNIT_ZONEFIXTURE_H
#define HAWTHORNROAD_TESTS_UNIT_ZONEFIXTURE_H

#include "tests/unit/TrafficFixture.h"

#include <set>
#include <string>
#include <vector>

namespace hawthornroad::traffic_test {

inline const Region East("east");
inline const Region West("west");
inline const Region South("south");
inline const Region Nowhere("nowhere");
inline const AvailabilityZone ZoneA("za");
inline const AvailabilityZone ZoneB("zb");
inline const AvailabilityZone ZoneC("zc");
inline const AvailabilityZone ZoneU("zu");

struct ZoneFixture {
  FakePort Port_;
  TrafficCore Core_;
  TimePoint Now_ = Start;
  CallNumber Next_ = 1;
  std::uint64_t Version_ = 0;

  static TrafficCore::Options options(bool KnowsRegions) {
    TrafficCore::Options O;
    O.Placement_.Zone_ = ZoneA;
    if (KnowsRegions)
      O.Placement_.Regions_ = {{ZoneA, East}, {ZoneB, West}, {ZoneC, South}};
    O.Budget_.AlwaysAllowed_ = 3;
    return O;
  }
  explicit ZoneFixture(bool KnowsRegions = true)
      : Core_(options(KnowsRegions), Port_, Random(3)) {
    std::vector<Endpoint> All;
    for (const char *Zone : {"za", "zb", "zc", "zu"})
      for (int I = 0; I < 2; ++I) {
        Endpoint E;
        E.Zone_ = AvailabilityZone(Zone);
        E.Slots_ = 2;
        E.Id_ = EndpointId(Zone + std::string("-api-") + std::to_string(I));
        E.Address_ = E.Id_.str() + ":80";
        E.Service_ = Api;
        All.push_back(E);
        E.Id_ = EndpointId(Zone + std::string("-lm-") + std::to_string(I));
        E.Address_ = E.Id_.str() + ":80";
        E.Service_ = Model;
        E.HasModel_ = true;
        E.Model_ = "m";
        E.Version_ = 1;
        All.push_back(E);
      }
    Core_.endpoints().listed(All, Now_);
    configure([](RoutingConfig::Parts &) {});
    Core_.prove(Now_, Now_);
  }

  template <class Change> void configure(Change Edit) {
    RoutingConfig::Parts P = parts(++Version_);
    Edit(P);
    Core_.configure(RoutingConfig::build(std::move(P)), Now_);
  }
  void limitAllRoutes(const std::vector<Region> &Allowed) {
    configure([&](RoutingConfig::Parts &P) {
      for (Route &Each : P.Routes_)
        Each.AllowedRegions_ = Allowed;
    });
  }
  CallNumber send(const std::string &Target, const std::string &Key = "key") {
    Call C;
    C.Id_ = "r" + std::to_string(Next_);
    C.Method_ = "POST";
    C.Host_ = "h";
    C.Target_ = Target;
    C.Key_ = Key;
    CallNumber N = Next_++;
    Core_.arrive(N, std::move(C), Now_);
    return N;
  }
  EndpointHead head(CallNumber N, bool Events = false) const {
    EndpointHead H;
    H.Status_ = 200;
    H.IsSigned_ = true;
    H.RequestId_ = "r" + std::to_string(N);
    if (Events)
      H.Headers_ = {{"Content-Type", "text/event-stream"}};
    return H;
  }
  void answer(std::size_t Begun, CallNumber N) {
    AttemptNumber A = Port_.Begun_.at(Begun).Attempt_;
    Core_.onHead(A, head(N), Now_);
    Core_.onBody(A, "ok", Now_);
    Core_.onEnd(A, Now_);
  }
  // A stream of which one event has been forwarded.
  CallNumber startStream() {
    CallNumber N = send("/stream/1");
    AttemptNumber A = Port_.last().Attempt_;
    Core_.onHead(A, head(N, true), Now_);
    Core_.onBody(A, "id: 1\ndata: a\n\n", Now_);
    return N;
  }
  void passTime(Duration D) {
    for (TimePoint End = Now_ + D; Now_ < End;) {
      Now_ += Milliseconds(20);
      Core_.prove(Now_, Now_);
      Core_.tick(Now_);
    }
  }
  void grant(std::size_t Asked) {
    PlaceReply W;
    W.IsGranted_ = true;
    W.Version_ = 1;
    Core_.onPlaceReply(Port_.Asked_.at(Asked).Attempt_, W, Now_);
  }
  std::string zoneOf(std::size_t Begun) const {
    return Port_.Begun_.at(Begun).Params_.Endpoint_.str().substr(0, 2);
  }
  std::string zoneAsked(std::size_t Asked) const {
    return Port_.Asked_.at(Asked).Address_.substr(0, 2);
  }
  std::set<std::string> zonesUsed() const {
    std::set<std::string> Out;
    for (std::size_t I = 0; I < Port_.Begun_.size(); ++I)
      Out.insert(zoneOf(I));
    return Out;
  }
  std::size_t begun() const { return Port_.Begun_.size(); }
  bool isOpen(CallNumber N) const { return Port_.Answers_.count(N) == 0; }
};

} // namespace hawthornroad::traffic_test

#endif // HAWTHORNROAD_TESTS_UNIT_ZONEFIXTURE_H
