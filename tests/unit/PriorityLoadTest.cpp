// Entries and agents under a load beyond the fleet's capacity, without network:
// the least urgent requests fill all engines, then the most urgent increase.
// Every entry is a TrafficCore, every agent grants by PlaceGrants and
// PriorityGate, and refused callers return as they were told.

#include "hawthornroad/staging/PriorityGate.h"
#include "tests/unit/SimulatedFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace hawthornroad;
using namespace hawthornroad::traffic_test;

namespace {
constexpr Duration Hop = Milliseconds(1);
constexpr Duration TickPeriod = Milliseconds(40);
constexpr Duration NoticePeriod = Milliseconds(120);
constexpr Duration ProofPeriod = Milliseconds(500);
constexpr Duration FirstEvent = Milliseconds(60);
constexpr Duration SecondEvent = Milliseconds(500);
constexpr unsigned Places = 12;
constexpr unsigned Customers = 24;
constexpr std::size_t Kinds = 3;
constexpr Duration CallerTime = Seconds(6);
// The least urgent requests increase first, then the most urgent ones.
constexpr TimePoint FirstJump = Start + Seconds(3);
constexpr TimePoint Jump = Start + Seconds(12);
constexpr TimePoint End = Start + Seconds(30);

class PriorityFleet : public SimulatedFleet {
public:
  struct Options {
    unsigned Entries_ = 6;
    unsigned Engines_ = 6;
    // Requests a second relative to the usual load of six engines.
    double LoadFactor_ = 1;
    bool UsesGate_ = true;
    bool PrioritiesDiffer_ = true;
    // Entries of an older release state no priority.
    unsigned SilentEntries_ = 0;
    std::uint64_t Seed_ = 1;
  };
  // A caller's request, with all its returns.
  struct Request {
    std::size_t Kind_ = 0;
    unsigned Customer_ = 0;
    TimePoint SentAt_;
    std::optional<TimePoint> PlacedAt_;
  };

  explicit PriorityFleet(Options O) : Options_(O), Random_(O.Seed_) { setUp(); }

  void restartAgent(unsigned Engine, TimePoint At) {
    after(At - Now_, [this, Engine] {
      Servers_[Engine]->Places_ = PlaceGrants();
      Servers_[Engine]->Gate_ = PriorityGate();
    });
  }

  // The share of requests of a kind, or of all, sent in a span that got a place
  // within this time.
  double share(std::optional<std::size_t> Kind, TimePoint From, TimePoint To,
               Duration Within = CallerTime,
               std::optional<unsigned> Customer = std::nullopt) const {
    std::size_t Sent = 0;
    std::size_t Placed = 0;
    for (const Request &R : Requests_) {
      if (R.SentAt_ < From || R.SentAt_ >= To || (Kind && R.Kind_ != *Kind) ||
          (Customer && R.Customer_ != *Customer))
        continue;
      ++Sent;
      Placed += R.PlacedAt_ && *R.PlacedAt_ - R.SentAt_ <= Within ? 1 : 0;
    }
    return Sent == 0 ? 1.0 : static_cast<double>(Placed) / Sent;
  }
  unsigned mostRunning() const { return MostRunning_; }
  std::size_t cancelled() const { return Cancelled_; }
  std::size_t withheld() const { return Withheld_; }
  bool anyPriorityStated() const { return AnyPriorityStated_; }
  // Of all actions of all entries, with their times.
  std::uint64_t digest() const { return Digest_; }

private:
  struct Server {
    std::string Address_;
    unsigned Running_ = 0;
    PlaceGrants Places_;
    PriorityGate Gate_;
  };
  struct Entry;

  void setUp();
  void record(std::uint64_t A, std::uint64_t B) {
    constexpr std::uint64_t Prime = 1099511628211U;
    for (std::uint64_t Each :
         {static_cast<std::uint64_t>(Now_.time_since_epoch().count()), A, B})
      Digest_ = (Digest_ ^ Each) * Prime;
  }
  double perSecond(std::size_t Kind) const {
    constexpr std::array<double, Kinds> Usual = {15, 18, 16};
    if (Kind == 0 && Now_ >= Jump)
      return 40;
    if (Kind == 2 && Now_ >= FirstJump)
      return 64;
    return Usual.at(Kind);
  }
  void nextRequest(std::size_t Kind) {
    after(nextGap(Random_, Options_.LoadFactor_ * perSecond(Kind)),
          [this, Kind] {
            Requests_.push_back({Kind, drawCustomer(), Now_, std::nullopt});
            arrive(Requests_.size() - 1);
            nextRequest(Kind);
          });
  }
  // The first customer sends 24 times as much as the last one.
  unsigned drawCustomer() {
    double Sum = 0;
    for (unsigned I = 1; I <= Customers; ++I)
      Sum += 1.0 / I;
    double Draw = Random_.unit() * Sum;
    for (unsigned I = 0; I + 1 < Customers; ++I) {
      Draw -= 1.0 / (I + 1);
      if (Draw < 0)
        return I;
    }
    return Customers - 1;
  }
  void arrive(std::size_t Index);
  void tick(Entry &E);
  void notify();
  PlaceReply decide(Server &S, const PlaceDemand &D);
  void serve(Server &S, Entry &From, AttemptNumber A, const std::string &Id);
  unsigned indexOf(const std::string &Address) const {
    std::size_t Dot = Address.rfind('.') + 1;
    return static_cast<unsigned>(
        std::stoul(Address.substr(Dot, Address.rfind(':') - Dot)));
  }

  Options Options_;
  Random Random_;
  std::vector<std::unique_ptr<Server>> Servers_;
  std::vector<std::unique_ptr<Entry>> Entries_;
  std::vector<Request> Requests_;
  unsigned MostRunning_ = 0;
  std::size_t Cancelled_ = 0;
  std::size_t Withheld_ = 0;
  bool AnyPriorityStated_ = false;
  std::uint64_t Digest_ = 14695981039346656037U;

public:
  ~PriorityFleet();
};

struct PriorityFleet::Entry final : NullPort {
  PriorityFleet &Fleet_;
  unsigned Index_;
  bool IsSilent_;
  std::unique_ptr<TrafficCore> Core_;
  CallNumber NextCall_ = 1;
  // The caller's request of each call.
  std::map<CallNumber, std::size_t> RequestOf_;
  std::set<AttemptNumber> Open_;

  Entry(PriorityFleet &F, unsigned Index)
      : Fleet_(F), Index_(Index), IsSilent_(Index < F.Options_.SilentEntries_) {
  }
  void beginAttempt(AttemptNumber A, const Call &C,
                    const AttemptParams &O) override {
    Fleet_.record(Index_, A);
    Open_.insert(A);
    Request &R = Fleet_.Requests_[RequestOf_[O.Call_]];
    if (!R.PlacedAt_)
      R.PlacedAt_ = Fleet_.Now_;
    Server &S = *Fleet_.Servers_[Fleet_.indexOf(O.Address_)];
    Fleet_.after(Hop,
                 [this, &S, A, Id = C.Id_] { Fleet_.serve(S, *this, A, Id); });
  }
  void cancelAttempt(AttemptNumber A) override {
    Fleet_.Cancelled_ += Open_.erase(A);
  }
  AskResult askPlace(AttemptNumber A, const std::string &Address,
                     const PlaceDemand &Demand) override {
    PlaceDemand D = Demand;
    Fleet_.AnyPriorityStated_ |= D.Rank_.has_value() || D.IsOwed_;
    if (IsSilent_) {
      D.Rank_.reset();
      D.IsOwed_ = false;
    }
    Fleet_.record(Fleet_.indexOf(Address), A);
    Server &S = *Fleet_.Servers_[Fleet_.indexOf(Address)];
    Fleet_.after(Hop, [this, &S, A, D] {
      PlaceReply W = Fleet_.decide(S, D);
      Fleet_.after(Hop,
                   [this, A, W] { Core_->onPlaceReply(A, W, Fleet_.Now_); });
    });
    return AskResult::Sent;
  }
  // Callers honour a time of up to a third of what they have left.
  void refuse(CallNumber N, const Call &, unsigned, Cause,
              Duration RetryAfter) override {
    Fleet_.record(N, static_cast<std::uint64_t>(RetryAfter.count()));
    std::size_t Index = RequestOf_[N];
    Duration Left = Fleet_.Requests_[Index].SentAt_ + CallerTime - Fleet_.Now_;
    if (3 * RetryAfter <= Left)
      Fleet_.after(RetryAfter, [this, Index] { Fleet_.arrive(Index); });
  }
};

PriorityFleet::~PriorityFleet() = default;

void PriorityFleet::setUp() {
  std::vector<Endpoint> Listed;
  for (unsigned I = 0; I < Options_.Engines_; ++I) {
    auto S = std::make_unique<Server>();
    S->Address_ = "10.0.1." + std::to_string(I) + ":80";
    Listed.push_back(listedEndpoint(EndpointId("i-" + std::to_string(I)), Model,
                                    S->Address_, Places));
    Servers_.push_back(std::move(S));
  }
  RoutingConfig::Parts P = parts();
  P.Services_[1].Engine_->Slots_ = Places;
  P.Routes_.clear();
  for (std::size_t Kind = 0; Kind < Kinds; ++Kind) {
    Route R = route("/" + std::to_string(Kind) + "/", Model,
                    Repeat::FromLastEvent, true);
    R.Timeout_ = CallerTime;
    R.FirstByteGoal_ = Milliseconds(Kind == 2 ? 800 : 400);
    R.Rank_ = Options_.PrioritiesDiffer_ ? static_cast<int>(Kind) : 1;
    P.Routes_.push_back(R);
  }
  P.Customers_.clear();
  for (unsigned I = 0; I < Customers; ++I)
    P.Customers_.push_back({Customer("c" + std::to_string(I)),
                            {"key-" + std::to_string(I)},
                            std::nullopt});
  SharedConfig Config = RoutingConfig::build(std::move(P));
  for (unsigned I = 0; I < Options_.Entries_; ++I) {
    Entries_.push_back(std::make_unique<Entry>(*this, I));
    Entry &E = *Entries_.back();
    E.Core_ = std::make_unique<TrafficCore>(CoreFixture::options(), E,
                                            Random(Random_.next()));
    E.Core_->endpoints().listed(Listed, Now_);
    E.Core_->configure(Config, Now_);
    E.Core_->prove(Now_, Now_);
    after(Random_.jitter(TickPeriod, 0.5), [this, &E] { tick(E); });
  }
  for (std::size_t Kind = 0; Kind < Kinds; ++Kind)
    nextRequest(Kind);
  after(NoticePeriod, [this] { notify(); });
}

void PriorityFleet::arrive(std::size_t Index) {
  const Request &R = Requests_[Index];
  Entry &E = *Entries_[Random_.below(Entries_.size())];
  Call C;
  C.Id_ = std::to_string(E.Index_) + "-" + std::to_string(E.NextCall_);
  C.Method_ = "POST";
  C.Host_ = "h";
  C.Target_ = "/" + std::to_string(R.Kind_) + "/1";
  C.Key_ = "key-" + std::to_string(R.Customer_);
  C.TimeLeft_ = R.SentAt_ + CallerTime - Now_;
  E.RequestOf_[E.NextCall_] = Index;
  E.Core_->arrive(E.NextCall_++, std::move(C), Now_);
}

void PriorityFleet::tick(Entry &E) {
  if (Now_.time_since_epoch() % ProofPeriod < TickPeriod)
    E.Core_->prove(Now_, Now_);
  E.Core_->tick(Now_);
  after(TickPeriod, [this, &E] { tick(E); });
}

void PriorityFleet::notify() {
  for (const auto &S : Servers_)
    for (const auto &E : Entries_)
      E->Core_->engineUpdated(S->Address_, false, 1,
                              EndpointLoad{S->Running_, 0}, Now_);
  after(NoticePeriod, [this] { notify(); });
}

// As the agent beside an engine decides, with a report of this moment.
PlaceReply PriorityFleet::decide(Server &S, const PlaceDemand &D) {
  S.Places_.onReport(S.Running_, 0, Now_);
  PriorityGate::Query Q{D.Kind_, D.Rank_, D.IsOwed_};
  bool IsPermitted = !Options_.UsesGate_ || S.Gate_.permits(Q, Now_);
  PlaceReply W;
  W.IsGranted_ =
      IsPermitted &&
      S.Places_.ask(D.Kind_, {Places, Milliseconds(1)}, Now_, D.Reading_);
  if (!W.IsGranted_ && Options_.UsesGate_)
    S.Gate_.refused(Q, Now_);
  Withheld_ += IsPermitted ? 0 : 1;
  W.Load_ = {S.Places_.running(), S.Places_.waiting()};
  W.Version_ = 1;
  return W;
}

// Answers take a second on average, so a place becomes free at an engine every
// 83 ms.
void PriorityFleet::serve(Server &S, Entry &From, AttemptNumber A,
                          const std::string &Id) {
  if (!From.Open_.contains(A))
    return;
  ++S.Running_;
  MostRunning_ = std::max(MostRunning_, S.Running_);
  after(FirstEvent, [this, &From, A, Id] {
    if (!From.Open_.contains(A))
      return;
    EndpointHead H;
    H.Status_ = 200;
    H.IsSigned_ = true;
    H.RequestId_ = Id;
    H.Headers_ = {{"Content-Type", "text/event-stream"}};
    From.Core_->onHead(A, H, Now_);
    From.Core_->onBody(A, "id: 1\ndata: x\n\n", Now_);
  });
  after(SecondEvent, [this, &From, A] {
    if (From.Open_.contains(A))
      From.Core_->onBody(A, "id: 2\ndata: x\n\n", Now_);
  });
  after(Random_.jitter(Seconds(1), 0.3), [this, &S, &From, A] {
    --S.Running_;
    if (From.Open_.erase(A) != 0)
      From.Core_->onEnd(A, Now_);
  });
}

constexpr Duration Settled = Milliseconds(1200);
// A place within this time leaves the engine's usual time within the goal.
constexpr Duration InTime = Milliseconds(300);

double urgentShare(const PriorityFleet &F) {
  return F.share(0, Jump + Settled, End - CallerTime, InTime);
}
} // namespace

// Guards against urgent requests that are refused while the least urgent ones
// hold all places: entries ask independently, and the kind that may wait longer
// got most places that became free.
TEST_CASE("priorities under load, when urgent requests increase beyond the "
          "free capacity, give them places within one turnover",
          "[priority][priority-load]") {
  for (std::uint64_t Seed : {1, 2, 3}) {
    PriorityFleet F({.Seed_ = Seed});
    F.run(End - Start);
    CAPTURE(Seed, F.share(0, Jump, Jump + Settled, InTime), urgentShare(F),
            F.share(1, Jump, End - CallerTime),
            F.share(2, Jump, End - CallerTime),
            F.share(std::nullopt, Jump, End - CallerTime));
    // The least urgent kind filled the fleet before.
    REQUIRE(F.share(2, FirstJump + Seconds(3), Jump, InTime) < 0.9);
    REQUIRE(urgentShare(F) >= 0.9);
    REQUIRE(F.withheld() > 0);
    REQUIRE(F.cancelled() == 0);
    REQUIRE(F.mostRunning() <= Places);
  }
}

// The fleet without the gate, which shows that the load needs it.
TEST_CASE("priorities under load, without the gate, leave urgent requests "
          "without places in time",
          "[priority][priority-load]") {
  for (std::uint64_t Seed : {1, 2, 3}) {
    PriorityFleet F({.UsesGate_ = false, .Seed_ = Seed});
    F.run(End - Start);
    CAPTURE(Seed, F.share(0, Jump, Jump + Settled, InTime), urgentShare(F));
    REQUIRE(urgentShare(F) < 0.9);
  }
}

// Guards against starving what yields: no kind and no customer is served at
// less than a quarter of the rate at which all requests together are.
TEST_CASE("priorities under load, while urgent requests take the places, serve "
          "every kind and customer above a quarter of the share of all",
          "[priority][priority-load]") {
  for (std::uint64_t Seed : {1, 2, 3}) {
    PriorityFleet F({.Seed_ = Seed});
    F.run(End - Start);
    double All = F.share(std::nullopt, Jump, End - CallerTime);
    for (std::size_t Kind = 0; Kind < Kinds; ++Kind) {
      CAPTURE(Seed, Kind, All);
      REQUIRE(F.share(Kind, Jump, End - CallerTime) >= All / 4);
    }
    for (unsigned C = 0; C < Customers; ++C) {
      CAPTURE(Seed, C, All);
      REQUIRE(F.share(std::nullopt, Jump, End - CallerTime, CallerTime, C) >=
              All / 4);
    }
  }
}

// Guards against decisions that change where priorities do not differ: the gate
// must not be noticed, and no message states a priority.
TEST_CASE("priorities under load, where they do not differ, change no action",
          "[priority][priority-load]") {
  PriorityFleet With({.PrioritiesDiffer_ = false, .Seed_ = 4});
  PriorityFleet Without(
      {.UsesGate_ = false, .PrioritiesDiffer_ = false, .Seed_ = 4});
  With.run(End - Start);
  Without.run(End - Start);
  REQUIRE(With.digest() == Without.digest());
  REQUIRE_FALSE(With.anyPriorityStated());
  REQUIRE(With.withheld() == 0);
}

TEST_CASE("priorities under load, when agents restart without their state, "
          "still give urgent requests places",
          "[priority][priority-load]") {
  PriorityFleet F({.Seed_ = 5});
  for (unsigned I = 0; I < 6; ++I)
    F.restartAgent(I, Jump + Seconds(2) + Milliseconds(300) * I);
  F.run(End - Start);
  CAPTURE(urgentShare(F));
  REQUIRE(urgentShare(F) >= 0.9);
  REQUIRE(F.cancelled() == 0);
}

// During a change of releases, entries that state no priority are served as
// before, and the others' urgent requests still come before their own less
// urgent ones.
TEST_CASE("priorities under load, with an entry that states none, serve its "
          "requests and still prefer urgent ones elsewhere",
          "[priority][priority-load]") {
  PriorityFleet F({.SilentEntries_ = 1, .Seed_ = 6});
  F.run(End - Start);
  CAPTURE(urgentShare(F));
  REQUIRE(urgentShare(F) >= 0.8);
  REQUIRE(F.share(2, Jump, End - CallerTime) >=
          F.share(std::nullopt, Jump, End - CallerTime) / 4);
}

// Prints the figures of docs/design/priorities.md.
TEST_CASE("priorities under load, compared with and without the gate",
          "[.][priority-table]") {
  for (unsigned Size : {6U, 45U})
    for (int Mode = 0; Mode < 3; ++Mode) {
      PriorityFleet F({.Entries_ = Size,
                       .Engines_ = Size,
                       .LoadFactor_ = Size / 6.0,
                       .UsesGate_ = Mode == 2,
                       .PrioritiesDiffer_ = Mode > 0});
      F.run(End - Start);
      std::printf(
          "%u entries and engines, %s:", Size,
          std::array{"no priorities", "entries only", "with the gate"}.at(
              static_cast<std::size_t>(Mode)));
      for (std::size_t Kind = 0; Kind < Kinds; ++Kind)
        std::printf(" %.2f",
                    F.share(Kind, Jump + Settled, End - CallerTime, InTime));
      std::printf(", all %.2f\n",
                  F.share(std::nullopt, Jump, End - CallerTime));
      REQUIRE(F.cancelled() == 0);
    }
}
