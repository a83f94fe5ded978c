// At how many endpoints a request may run while the list of endpoints changes.

#include "tests/unit/TrafficFixture.h"

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

namespace {
// Four sound endpoints of each service, and routes with two attempts.
struct RunsFixture : CoreFixture {
  TimePoint Now_ = Start;

  RunsFixture() {
    for (int I = 2; I < 4; ++I) {
      add(Api, "a" + std::to_string(I), "10.0.0." + std::to_string(I) + ":80");
      add(Model, "m" + std::to_string(I),
          "10.0.1." + std::to_string(I) + ":80");
    }
  }
  void add(const ServiceName &Service, const std::string &Id,
           const std::string &Address, std::uint64_t Born = 0) {
    Endpoint E;
    E.Id_ = EndpointId(Id);
    E.Service_ = Service;
    E.Address_ = Address;
    E.Zone_ = AvailabilityZone("z");
    E.Slots_ = 2;
    E.Born_ = Born;
    E.HasModel_ = Service == Model;
    if (E.HasModel_) {
      E.Model_ = "m";
      E.Version_ = 1;
    }
    Core_.endpoints().changed(E, Now_);
    Core_.endpointsChanged(Now_);
  }
  void remove(const EndpointId &Id) {
    Core_.endpoints().removed({Id}, Now_);
    Core_.endpointsChanged(Now_);
  }
  void drainAndRemove(const EndpointId &Id) {
    Endpoint E = *Core_.endpoints().find(Id);
    E.IsDraining_ = true;
    Core_.endpoints().changed(E, Now_);
    Core_.endpointsChanged(Now_);
    remove(Id);
  }
  std::size_t begun() const { return Port_.Begun_.size(); }
  FakePort::Begun attempt(std::size_t I) const { return Port_.Begun_.at(I); }
  void tick(Duration Later) {
    Now_ += Later;
    Core_.tick(Now_);
  }
  void breakOff(std::size_t I) {
    Now_ += Milliseconds(1);
    Core_.onFail(attempt(I).Attempt_, false, "receive: reset", Now_);
  }
};
} // namespace

// Guards against one more run of a request for each endpoint that leaves the
// list: what left still works on what it was sent.
TEST_CASE_METHOD(RunsFixture,
                 "traffic core, whose endpoints leave the list while answers "
                 "are lost, runs a request no more often than its route allows",
                 "[traffic]") {
  auto Leave = GENERATE(&RunsFixture::remove, &RunsFixture::drainAndRemove);
  CallNumber N = send("/safe/1");
  for (std::size_t I = 0; I < begun(); ++I) {
    (this->*Leave)(attempt(I).Params_.Endpoint_);
    breakOff(I);
  }
  CHECK(begun() == 2);
  CHECK(answerOf(N).Status_ == 502);
}

// Guards against the same for entries that lapse while the store is away, and
// whose owners are not heard from in time after it.
TEST_CASE_METHOD(RunsFixture,
                 "traffic core, whose endpoints' entries lapse while answers "
                 "are lost, runs a request no more often than its route allows",
                 "[traffic]") {
  CallNumber N = send("/stream/1");
  breakOff(0);
  REQUIRE(begun() == 2);
  EndpointSet &Set = Core_.endpoints();
  Set.storeLost(Now_);
  Set.removed({attempt(0).Params_.Endpoint_, attempt(1).Params_.Endpoint_},
              Now_);
  Set.storeRestored(Now_);
  Now_ += EndpointSet::RestoreGrace / 2;
  Core_.onHead(attempt(1).Attempt_, head(N, 200, true), Now_);
  Core_.onBody(attempt(1).Attempt_, "id: 1\ndata: x\n\n", Now_);
  Now_ += EndpointSet::RestoreGrace / 2;
  REQUIRE(Set.tick(Now_));
  Core_.endpointsChanged(Now_);
  breakOff(1);
  CHECK(begun() == 2);
  CHECK(answerOf(N).Aborted_);
}

// Guards against a third run beside a replacement: the first attempt was
// silent, and is counted when its endpoint has left as well.
TEST_CASE_METHOD(RunsFixture,
                 "traffic core, whose silent endpoints leave the list, begins "
                 "no attempt beyond those that its route allows",
                 "[traffic]") {
  send("/safe/1");
  while (Now_ < Start + Milliseconds(550))
    tick(Milliseconds(50));
  REQUIRE(begun() == 2);
  for (std::size_t I = 0; I < 2; ++I)
    remove(attempt(I).Params_.Endpoint_);
  breakOff(0);
  while (Now_ < Start + Milliseconds(1450))
    tick(Milliseconds(50));
  CHECK(begun() == 2);
}

// Guards against requests that are given up though the endpoint at which they
// ran has ended: its run does not count.
TEST_CASE_METHOD(
    RunsFixture,
    "traffic core, once an endpoint is known to have ended, allows "
    "a request another run in place of the one there",
    "[traffic]") {
  send("/safe/1");
  EndpointId First = attempt(0).Params_.Endpoint_;
  std::string Address = attempt(0).Params_.Address_;
  breakOff(0);
  REQUIRE(begun() == 2);
  SECTION("it has started again under its id") {
    add(Api, First.str(), Address, 1700000000000ULL);
    breakOff(1);
    CHECK(begun() == 3);
  }
  SECTION("another endpoint has been listed at its address since") {
    remove(First);
    add(Api, "a-new", Address);
    breakOff(1);
    CHECK(begun() == 3);
  }
  SECTION("it was listed again at its address") {
    remove(First);
    add(Api, First.str(), Address);
    breakOff(1);
    CHECK(begun() == 2);
  }
}

// Guards against taking an outdated entry for the end of the endpoint that has
// its address now.
TEST_CASE_METHOD(RunsFixture,
                 "traffic core, with outdated entries at the addresses of "
                 "endpoints that leave, counts the runs there",
                 "[traffic]") {
  for (int I = 0; I < 4; ++I)
    add(Model, "outdated" + std::to_string(I),
        "10.0.0." + std::to_string(I) + ":80");
  Now_ += Milliseconds(1);
  send("/safe/1", Now_);
  for (std::size_t I = 0; I < begun(); ++I) {
    remove(attempt(I).Params_.Endpoint_);
    breakOff(I);
  }
  CHECK(begun() == 2);
}
