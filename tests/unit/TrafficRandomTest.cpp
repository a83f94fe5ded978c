// Random runs of TrafficCore: callers, endpoints, agents and operators act in
// any order, with pauses of the process. TrafficChecks checks each action.

#include "tests/unit/TrafficChecks.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

namespace {
constexpr std::uint64_t DefaultSeeds = 1500;
constexpr unsigned Steps = 300;
constexpr unsigned EndpointsPerService = 3;

const std::map<AvailabilityZone, Region> Regions = {
    {AvailabilityZone("z"), Region("east")},
    {AvailabilityZone("y"), Region("west")}};
const std::vector<std::vector<Region>> Limits = {
    {}, {Region("east")}, {Region("west")}, {Region("east"), Region("west")}};

class World final : public TrafficChecks {
public:
  // HasZones: endpoints are in three zones, one of them of unknown region;
  // zones are evacuated, and regions are limited.
  explicit World(std::uint64_t Seed, bool HasZones = false)
      : TrafficChecks(Seed, HasZones ? Regions
                                     : std::map<AvailabilityZone, Region>{}),
        HasZones_(HasZones) {
    for (unsigned I = 0; I < EndpointsPerService; ++I) {
      addEndpoint(Api, I);
      addEndpoint(Model, I);
    }
    configure();
    listEndpoints();
  }

  void run() {
    for (unsigned I = 0; I < Steps; ++I) {
      Now_ += Milliseconds(Random_.below(4));
      Core_.prove(Now_, Now_);
      step();
      checkAll();
    }
    finish();
  }

  void beginAttempt(AttemptNumber A, const Call &C,
                    const AttemptParams &O) override {
    const AvailabilityZone &Zone = Endpoints_.at(O.Endpoint_).Zone_;
    check(!Evacuated_.contains(Zone), "none begins in an evacuated zone");
    auto Found = Regions.find(Zone);
    auto IsAllowed = [&](const std::vector<Region> &Limit) {
      return Limit.empty() || (Found != Regions.end() &&
                               std::find(Limit.begin(), Limit.end(),
                                         Found->second) != Limit.end());
    };
    const Route *Matched = Config_->match(C.Host_, C.path());
    check(IsAllowed(Matched->AllowedRegions_) &&
              IsAllowed(Config_->customerOf(C.Key_)->AllowedRegions_),
          "attempts begin in regions that the current configuration allows");
    TrafficChecks::beginAttempt(A, C, O);
  }

private:
  void step() {
    if (HasZones_ && chance(4))
      return changeZones();
    std::uint64_t Draw = Random_.below(200);
    if (Draw < 16)
      arrive();
    else if (Draw < 120)
      deliver();
    else if (Draw < 145)
      reply();
    else if (Draw < 185)
      tick();
    else if (Draw < 187)
      leave();
    else if (Draw < 194)
      changeEndpoint();
    else if (Draw < 198)
      updateEngine();
    else
      configure();
  }

  void arrive() {
    Request R;
    Call C;
    CallNumber N = ++NextCall_;
    constexpr const char *Targets[] = {"/safe/1", "/once/1", "/stream/1",
                                       "/stream/1", "/whole/1"};
    C.Target_ = Targets[Random_.below(std::size(Targets))];
    C.Id_ = "r" + std::to_string(N);
    C.Method_ = "POST";
    C.Host_ = "h";
    C.Key_ = "key";
    const Route *Found = Core_.config()->match(C.Host_, C.path());
    R.Service_ = Found->Services_.front().Service_;
    R.Repeat_ = Found->Repeat_;
    R.IsStream_ = Found->IsStream_;
    R.MaxAttempts_ = Found->MaxAttempts_;
    if (R.Repeat_ == Repeat::FromLastEvent && chance(20)) {
      R.LastEvent_ = 1 + Random_.below(4);
      C.LastEvent_ = std::to_string(R.LastEvent_);
    }
    if (chance(70))
      C.TimeLeft_ = Milliseconds(500 + Random_.below(8000));
    R.Deadline_ =
        Now_ + std::min(Found->Timeout_, C.TimeLeft_.value_or(Found->Timeout_));
    R.ArrivedAt_ = R.LastByteAt_ = Now_;
    Requests_[N] = R;
    Core_.arrive(N, std::move(C), Now_);
  }

  void deliver() {
    if (Running_.empty())
      return;
    AttemptNumber A = Running_[Random_.below(Running_.size())];
    Run &T = Runs_.at(A);
    bool IsStalled = Now_ < T.StalledUntil_;
    if (!IsStalled && chance(8))
      T.StalledUntil_ = Now_ + Milliseconds(Random_.below(5000));
    if (IsStalled ? Random_.below(1000) < 3 : chance(1))
      fail(A, false);
    else if (IsStalled)
      return;
    else if (!T.HasHead_)
      deliverHead(A, T);
    else if (T.Sent_ < T.Body_.size())
      deliverBody(A, T);
    else
      deliverEnd(A, T);
    Sender_ = 0;
  }

  void deliverEnd(AttemptNumber A, Run &T) {
    T.HasEnded_ = true;
    bool IsFailure = T.Status_ >= 500 || T.NotRun_;
    Sender_ = IsFailure ? 0 : A;
    end(A);
    Core_.onEnd(A, Now_);
  }

  void deliverHead(AttemptNumber A, Run &T) {
    EndpointHead H;
    H.Status_ = T.Status_;
    H.IsSigned_ = true;
    H.RequestId_ = "r" + std::to_string(T.Call_);
    if (T.Body_.starts_with("id:"))
      H.Headers_ = {{"Content-Type", "text/event-stream"}};
    if (chance(20)) {
      H.HasLoad_ = true;
      H.Running_ = static_cast<unsigned>(Random_.below(4));
    }
    if (chance(3))
      H.RateLimit_ = 1.0 + static_cast<double>(Random_.below(50));
    std::uint64_t Draw = Random_.below(100);
    if (Draw < 5)
      return fail(A, true);
    T.HasHead_ = true;
    if (Draw < 15)
      return turnAway(A, T, H);
    if (Draw < 20) {
      T.HasBadHead_ = true;
      Sender_ = A;
      (Draw < 17 ? H.IsEncoded_ : H.IsSigned_) = Draw < 17;
    }
    Core_.onHead(A, H, Now_);
  }

  void turnAway(AttemptNumber A, Run &T, EndpointHead H) {
    T.NotRun_ = true;
    T.Status_ = H.Status_ = chance(70) ? 503 : 421;
    H.IsOtherEndpoint_ = H.Status_ == 421;
    if (H.IsOtherEndpoint_ && chance(50))
      H.EndpointId_ = "other";
    H.NotRun_ = true;
    if (chance(20))
      H.Rest_ = Milliseconds(Random_.below(2000));
    Core_.onHead(A, H, Now_);
    if (chance(30))
      return fail(A, false);
    deliverEnd(A, T);
  }

  void deliverBody(AttemptNumber A, Run &T) {
    Sender_ = A;
    std::size_t Size = 1 + Random_.below(60);
    // A faulty endpoint ends within an event.
    bool Breaks = T.Body_.starts_with("id:") && chance(3);
    std::string Part = T.Body_.substr(T.Sent_, Size);
    T.Sent_ += Part.size();
    bool IsWithin = T.Sent_ < T.Body_.size() &&
                    !T.Body_.substr(0, T.Sent_).ends_with("\n\n");
    Core_.onBody(A, Part, Now_);
    if (!Breaks || !IsWithin || Runs_.at(A).IsOver_)
      return;
    Sender_ = 0;
    end(A);
    Core_.onEnd(A, Now_);
  }

  void reply() {
    if (Asks_.empty())
      return;
    std::size_t At = Random_.below(Asks_.size());
    AttemptNumber A = Asks_[At];
    Asks_.erase(Asks_.begin() + static_cast<std::ptrdiff_t>(At));
    if (chance(10))
      return;
    PlaceReply W;
    W.IsGranted_ = chance(60);
    W.IsAway_ = !W.IsGranted_ && chance(10);
    W.Version_ = chance(90) ? Version_ : 1;
    W.Load_ = {static_cast<unsigned>(Random_.below(4)), 0};
    if (!W.IsGranted_ && chance(10))
      W.LimitWait_ = Milliseconds(Random_.below(300));
    Core_.onPlaceReply(A, W, Now_);
  }

  void tick() {
    constexpr Duration Usual = Milliseconds(20);
    if (chance(3))
      Now_ += Milliseconds(100 + Random_.below(3000));
    // What arrived in a pause may be read before or after the first tick.
    if (chance(50))
      deliver();
    Now_ += Usual;
    Core_.tick(Now_);
    for (unsigned I = 0; I < 6 && chance(80); ++I)
      Core_.tick(Now_ += Usual);
  }

  void leave() {
    std::vector<CallNumber> Open;
    for (const auto &[N, R] : Requests_)
      if (R.Answers_ == 0 && !R.HasLeft_)
        Open.push_back(N);
    if (Open.empty())
      return;
    CallNumber N = Open[Random_.below(Open.size())];
    Requests_.at(N).HasLeft_ = true;
    Core_.callerGone(N, Now_);
  }

  void addEndpoint(const ServiceName &S, unsigned I) {
    Endpoint E;
    bool HasModel = S == Model;
    E.Id_ = EndpointId((HasModel ? "m" : "a") + std::to_string(I));
    E.Service_ = S;
    E.Address_ = (HasModel ? "10.0.1." : "10.0.0.") + std::to_string(I) + ":80";
    constexpr const char *Zones[] = {"z", "y", "x"};
    E.Zone_ = AvailabilityZone(Zones[HasZones_ ? I : 0]);
    E.Slots_ = 4;
    E.Born_ = 1;
    E.HasModel_ = HasModel;
    E.Model_ = HasModel ? "m" : "";
    E.Version_ = HasModel ? Version_ : 0;
    Endpoints_[E.Id_] = E;
    Listed_.insert(E.Id_);
  }

  void changeEndpoint() {
    auto Each = Endpoints_.begin();
    std::advance(Each, Random_.below(Endpoints_.size()));
    Endpoint &E = Each->second;
    switch (Random_.below(6)) {
    case 0:
      ++E.Born_;
      E.IsDraining_ = false;
      Listed_.insert(E.Id_);
      break;
    case 1:
      Listed_.erase(E.Id_);
      break;
    case 2:
      E.IsDraining_ = chance(50);
      break;
    case 3:
      Core_.endpoints().storeLost(Now_);
      break;
    default:
      E.IsDraining_ = false;
      Listed_.insert(E.Id_);
      Core_.endpoints().storeRestored(Now_);
    }
    listEndpoints();
  }

  void listEndpoints() {
    std::vector<Endpoint> All;
    for (const EndpointId &Id : Listed_)
      All.push_back(Endpoints_.at(Id));
    Core_.endpoints().listed(All, Now_);
    for (auto &[A, T] : Runs_) {
      const Endpoint *E = Core_.endpoints().find(T.Endpoint_);
      T.HasRestarted_ |= E != nullptr && E->Born_ > T.Born_;
    }
    Core_.endpointsChanged(Now_);
  }

  void updateEngine() {
    if (chance(30)) {
      ++Version_;
      TimePoint Hard = Now_ + Milliseconds(400 + Random_.below(1500));
      HardVersionAt_ = HardVersionAt_ ? std::min(*HardVersionAt_, Hard) : Hard;
      Core_.requireVersion("m", Version_, Now_ + Milliseconds(300), Hard);
    }
    Core_.engineUpdated(
        "10.0.1." + std::to_string(Random_.below(3)) + ":80", chance(20),
        chance(80) ? Version_ : 0,
        EndpointLoad{static_cast<unsigned>(Random_.below(3)), 0}, Now_);
  }

  void configure() {
    RoutingConfig::Parts P = parts(++ConfigVersion_);
    P.Routes_.push_back(route("/whole/", Model, Repeat::Never, true));
    P.Services_.back().Engine_->Slots_ = 4;
    for (Route &R : P.Routes_) {
      R.MaxAttempts_ = 1 + static_cast<unsigned>(Random_.below(4));
      if (chance(15))
        R.Timeout_ = Milliseconds(500 + Random_.below(6000));
    }
    if (HasZones_) {
      for (Route &R : P.Routes_)
        if (chance(30))
          R.AllowedRegions_ = Limits[Random_.below(Limits.size())];
      if (chance(30))
        P.Customers_[0].AllowedRegions_ = Limits[Random_.below(Limits.size())];
    }
    Config_ = RoutingConfig::build(P);
    Core_.configure(Config_, Now_);
  }

  void changeZones() {
    constexpr const char *Zones[] = {"z", "y", "x"};
    AvailabilityZone Zone(Zones[Random_.below(std::size(Zones))]);
    if (Evacuated_.erase(Zone) != 0)
      return Core_.restoreZones({Zone}, Now_);
    Evacuated_.insert(Zone);
    Core_.evacuateZones({Zone}, Now_);
  }

  // All that is open ends by itself within the longest deadline.
  void finish() {
    Core_.stop({Now_, TimePoint::max()});
    for (TimePoint End = Now_ + Seconds(7); Now_ < End;) {
      Core_.tick(Now_ += Milliseconds(20));
      deliver();
      checkAll();
    }
    checkEnd();
    for (const auto &[Id, E] : Endpoints_) {
      auto View = Core_.placement().view(Id, Now_);
      check(!View || View->Own_ == 0, "no place stays taken");
    }
  }

  bool HasZones_;
  std::set<AvailabilityZone> Evacuated_;
  // Set before the core takes it.
  SharedConfig Config_;
  std::map<EndpointId, Endpoint> Endpoints_;
  std::set<EndpointId> Listed_;
  WeightVersion Version_ = 1;
  std::uint64_t ConfigVersion_ = 0;
  CallNumber NextCall_ = 0;
};

std::string failureOf(std::uint64_t Seed, bool HasZones = false) {
  try {
    World(Seed, HasZones).run();
  } catch (const std::exception &E) {
    return E.what();
  }
  return {};
}
} // namespace

// Guards against answers lost, doubled, mixed or left open by events in an
// unexpected order. HAWTHORNROAD_TRAFFIC_SEEDS sets the number of runs.
TEST_CASE("traffic core, with random events, keeps what must hold",
          "[traffic]") {
  const char *Text = std::getenv("HAWTHORNROAD_TRAFFIC_SEEDS");
  std::uint64_t Seeds = Text != nullptr ? std::stoull(Text) : DefaultSeeds;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    std::string Failure = failureOf(Seed);
    if (Failure.empty())
      continue;
    CAPTURE(Seed, Failure);
    FAIL_CHECK("a random run broke what must hold");
  }
}

// Guards against attempts that begin in an evacuated zone or a region that is
// no longer allowed, whatever arrives between a choice and its attempt.
TEST_CASE("traffic core, with random events, limits and evacuations, begins no "
          "attempt where none may begin",
          "[traffic][regions][evacuation]") {
  for (std::uint64_t Seed = 1; Seed <= DefaultSeeds; ++Seed) {
    std::string Failure = failureOf(Seed, true);
    if (Failure.empty())
      continue;
    CAPTURE(Seed, Failure);
    FAIL_CHECK("a random run broke what must hold");
  }
}
