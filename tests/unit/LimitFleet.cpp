#include "tests/unit/LimitFleet.h"

#include "platform/RequestWire.h"

#include <algorithm>

namespace hawthornroad::traffic_test {

namespace {
constexpr Duration Hop = Milliseconds(1);
constexpr Duration Service = Milliseconds(120);
constexpr Duration TickPeriod = Milliseconds(20);
constexpr Duration ProofPeriod = Milliseconds(500);
constexpr unsigned Slots = 64;
} // namespace

struct LimitFleet::Server {
  std::string Address_;
  // From each time on, the limit that is named.
  std::map<TimePoint, std::optional<double>> Limits_;
  std::vector<Arrival> Arrivals_;
  // When each entry passed on the first answer that names a limit.
  std::map<unsigned, TimePoint> InformedAt_;
  PlaceGrants Places_;

  std::optional<double> limitAt(TimePoint T) const {
    auto After = Limits_.upper_bound(T);
    return After == Limits_.begin() ? std::nullopt : std::prev(After)->second;
  }
};

struct LimitFleet::Entry final : TrafficPort {
  LimitFleet &Fleet_;
  unsigned Index_;
  TrafficCore Core_;
  CallNumber NextCall_ = 1;
  std::vector<TimePoint> Served_;
  std::vector<TimePoint> Refused_;
  std::set<AttemptNumber> Open_;

  Entry(LimitFleet &F, unsigned Index, TrafficCore::Options O, Random R)
      : Fleet_(F), Index_(Index), Core_(O, *this, R) {}

  void beginAttempt(AttemptNumber A, const Call &C,
                    const AttemptParams &O) override {
    Open_.insert(A);
    unsigned Endpoint = Fleet_.indexOf(O.Address_);
    Fleet_.after(Hop, [this, Endpoint, A, Id = C.Id_] {
      Fleet_.arriveAt(Endpoint, *this, A, Id);
    });
  }
  void cancelAttempt(AttemptNumber A) override { Open_.erase(A); }
  AskResult askPlace(AttemptNumber A, const std::string &Address,
                     const PlaceDemand &D) override {
    if (!Fleet_.Options_.IsEngine_)
      return AskResult::NoAgent;
    unsigned Endpoint = Fleet_.indexOf(Address);
    Fleet_.after(2 * Hop, [this, Endpoint, A, D] {
      Server &S = *Fleet_.Servers_[Endpoint];
      S.Places_.onReport(0, 0, Fleet_.Now_);
      PlaceReply R;
      R.IsGranted_ = S.Places_.ask(D.Kind_, {Slots, Milliseconds(1)},
                                   Fleet_.Now_, D.Reading_);
      R.Version_ = 1;
      Core_.onPlaceReply(A, R, Fleet_.Now_);
    });
    return AskResult::Sent;
  }
  void respond(CallNumber, unsigned Status, const HeaderFields &,
               std::string) override {
    Served_.push_back(Fleet_.Now_);
  }
  void refuse(CallNumber, const Call &, unsigned, Cause, Duration) override {
    Refused_.push_back(Fleet_.Now_);
  }
  void beginStream(CallNumber, unsigned, const HeaderFields &) override {}
  void writeStream(CallNumber, std::string_view) override {}
  void finishStream(CallNumber) override { Served_.push_back(Fleet_.Now_); }
  void abortStream(CallNumber) override { Refused_.push_back(Fleet_.Now_); }
  void report(const CallReport &) override {}
  void report(const AttemptReport &) override {}
};

LimitFleet::LimitFleet(Options O) : Options_(O), Random_(O.Seed_) {
  std::vector<Endpoint> Listed;
  for (unsigned I = 0; I < O.Endpoints_; ++I) {
    auto S = std::make_unique<Server>();
    S->Address_ = "10.0.1." + std::to_string(I) + ":80";
    Endpoint E;
    E.Id_ = EndpointId("i-" + std::to_string(I));
    E.Service_ = O.IsEngine_ ? Model : Api;
    E.Address_ = S->Address_;
    E.Zone_ = AvailabilityZone("z");
    E.Slots_ = Slots;
    E.HasModel_ = O.IsEngine_;
    E.Model_ = O.IsEngine_ ? "m" : "";
    E.Version_ = O.IsEngine_ ? 1 : 0;
    Listed.push_back(E);
    Servers_.push_back(std::move(S));
  }
  RoutingConfig::Parts P = parts();
  P.Services_[1].Engine_->Slots_ = Slots;
  SharedConfig Config = RoutingConfig::build(std::move(P));
  for (unsigned I = 0; I < O.Entries_; ++I) {
    Entries_.push_back(std::make_unique<Entry>(*this, I, CoreFixture::options(),
                                               Random(Random_.next())));
    Entry &E = *Entries_.back();
    E.Core_.endpoints().listed(Listed, Now_);
    E.Core_.configure(Config, Now_);
    E.Core_.prove(Now_, Now_);
    after(Random_.jitter(TickPeriod, 0.5), [this, &E] { tick(E); });
    nextRequest(E);
  }
}

LimitFleet::~LimitFleet() = default;

void LimitFleet::limit(unsigned Endpoint, std::optional<double> PerSecond,
                       TimePoint At) {
  Servers_[Endpoint]->Limits_[At] = PerSecond;
}

unsigned LimitFleet::indexOf(const std::string &Address) const {
  std::size_t Dot = Address.rfind('.') + 1;
  return static_cast<unsigned>(
      std::stoul(Address.substr(Dot, Address.rfind(':') - Dot)));
}

void LimitFleet::tick(Entry &E) {
  if (Now_.time_since_epoch() % ProofPeriod < TickPeriod)
    E.Core_.prove(Now_, Now_);
  E.Core_.tick(Now_);
  after(TickPeriod, [this, &E] { tick(E); });
}

void LimitFleet::nextRequest(Entry &E) {
  std::chrono::duration<double> Gap(-std::log(1.0 - Random_.unit()) /
                                    Options_.RequestsPerSecond_);
  after(std::chrono::duration_cast<Duration>(Gap), [this, &E] {
    Call C;
    C.Id_ = std::to_string(E.Index_) + "-" + std::to_string(E.NextCall_);
    C.Method_ = "POST";
    C.Host_ = "h";
    C.Target_ = Options_.IsEngine_ ? "/stream/1" : "/safe/1";
    C.Key_ = "key";
    E.Core_.arrive(E.NextCall_++, std::move(C), Now_);
    nextRequest(E);
  });
}

void LimitFleet::arriveAt(unsigned Endpoint, Entry &From, AttemptNumber A,
                          const std::string &RequestId) {
  Server &S = *Servers_[Endpoint];
  S.Arrivals_.push_back({Now_, From.Index_});
  after(Service, [this, &S, &From, A, RequestId] {
    HeaderFields Fields = {{"X-Hawthornroad-Request-Id", RequestId},
                           {"X-Hawthornroad-Server-Stamp", "s"}};
    if (Options_.IsEngine_)
      Fields.push_back({"Content-Type", "text/event-stream"});
    std::optional<double> Limit = S.limitAt(Now_);
    if (Limit)
      Fields.push_back({"Server-Limit", std::to_string(*Limit)});
    after(Hop, [this, &S, &From, A, Fields, IsLimited = Limit.has_value()] {
      if (From.Open_.erase(A) == 0)
        return;
      if (IsLimited)
        S.InformedAt_.emplace(From.Index_, Now_);
      From.Core_.onHead(A, platform::decodeAnswer(200, Fields), Now_);
      From.Core_.onBody(A, "id: 1\ndata: x\n\n", Now_);
      From.Core_.onEnd(A, Now_);
    });
  });
}

void LimitFleet::run(Duration Length) {
  TimePoint End = Now_ + Length;
  while (!Events_.empty() && Events_.begin()->first <= End) {
    auto Next = Events_.extract(Events_.begin());
    Now_ = Next.key();
    Next.mapped()();
  }
  Now_ = End;
}

double LimitFleet::excess() const {
  double Worst = -Slack;
  for (const auto &S : Servers_) {
    if (S->Limits_.empty())
      continue;
    TimePoint BindsAt = S->Limits_.begin()->first + ContactBound;
    std::deque<TimePoint> Last;
    for (const Arrival &Each : S->Arrivals_) {
      std::optional<double> Limit = S->limitAt(Each.At_);
      auto Informed = S->InformedAt_.find(Each.Entry_);
      if (!Limit || Each.At_ < BindsAt || Informed == S->InformedAt_.end() ||
          Each.At_ < Informed->second + EntryBound)
        continue;
      Last.push_back(Each.At_);
      while (Each.At_ - Last.front() >= Window)
        Last.pop_front();
      // A window that a change falls into is held to the highest limit in it.
      double Highest = *Limit;
      for (const auto &[At, Named] : S->Limits_)
        if (At <= Each.At_ && Named)
          Highest =
              Each.At_ - At < Window ? std::max(Highest, *Named) : Highest;
      if (auto Before = S->limitAt(Each.At_ - Window))
        Highest = std::max(Highest, *Before);
      double Allowed =
          Excess * Highest * std::chrono::duration<double>(Window).count() +
          Slack;
      Worst = std::max(Worst, static_cast<double>(Last.size()) - Allowed);
    }
  }
  return Worst;
}

std::size_t LimitFleet::arrivals(unsigned Endpoint, TimePoint From,
                                 TimePoint To) const {
  const auto &All = Servers_[Endpoint]->Arrivals_;
  return static_cast<std::size_t>(
      std::count_if(All.begin(), All.end(), [&](const Arrival &Each) {
        return Each.At_ >= From && Each.At_ < To;
      }));
}

namespace {
std::size_t countIn(const std::vector<TimePoint> &Times, TimePoint From,
                    TimePoint To) {
  return static_cast<std::size_t>(
      std::count_if(Times.begin(), Times.end(),
                    [&](TimePoint T) { return T >= From && T < To; }));
}
} // namespace

std::size_t LimitFleet::served(TimePoint From, TimePoint To) const {
  std::size_t Sum = 0;
  for (const auto &E : Entries_)
    Sum += countIn(E->Served_, From, To);
  return Sum;
}

std::size_t LimitFleet::refused(TimePoint From, TimePoint To) const {
  std::size_t Sum = 0;
  for (const auto &E : Entries_)
    Sum += countIn(E->Refused_, From, To);
  return Sum;
}

} // namespace hawthornroad::traffic_test
