#include "tests/unit/LimitFleet.h"

#include "platform/RequestWire.h"

#include <algorithm>
#include <limits>

namespace hawthornroad::traffic_test {

namespace {
constexpr Duration Hop = Milliseconds(1);
constexpr Duration Service = Milliseconds(120);
constexpr Duration TickPeriod = Milliseconds(40);
constexpr Duration ProofPeriod = Milliseconds(500);
constexpr unsigned Slots = 64;

// Statements are exchanged with their ages, which leave out the time on the
// way: the receiver takes them for younger than they are.
LimitStatement received(LimitStatement S, Duration OnTheWay) {
  S.Begun_ += OnTheWay;
  S.At_ += OnTheWay;
  return S;
}
} // namespace

struct LimitFleet::Server {
  std::string Address_;
  // From each time on, the limit that is named.
  std::map<TimePoint, std::optional<double>> Limits_;
  std::vector<Arrival> Arrivals_;
  // When each start of an entry passed on the first answer that names a limit.
  std::map<std::pair<unsigned, unsigned>, TimePoint> InformedAt_;
  struct Refusal {
    TimePoint From_;
    TimePoint To_;
    Duration Rest_;
  };
  std::vector<Refusal> Refusals_;
  // By entry and its start: when it was asked for rest, and the rest's end.
  std::map<std::pair<unsigned, unsigned>,
           std::vector<std::pair<TimePoint, TimePoint>>>
      Rests_;
  TimePoint LeavesAt_ = TimePoint::max();
  // When each start of an entry passed on the first answer that says so.
  std::map<std::pair<unsigned, unsigned>, TimePoint> LeavingKnownAt_;
  // The agent beside it.
  PlaceGrants Places_;
  LimitGrants Grants_{Start};

  std::optional<double> limitAt(TimePoint T) const {
    auto After = Limits_.upper_bound(T);
    return After == Limits_.begin() ? std::nullopt : std::prev(After)->second;
  }
};

struct LimitFleet::Entry final : TrafficPort {
  LimitFleet &Fleet_;
  unsigned Index_;
  unsigned Starts_ = 0;
  ProcessName Name_;
  LimitGrants Own_{Start};
  std::unique_ptr<TrafficCore> Core_;
  CallNumber NextCall_ = 1;
  std::vector<TimePoint> Served_;
  std::vector<TimePoint> Refused_;
  std::vector<Duration> RefusedAfter_;
  std::map<CallNumber, TimePoint> ArrivedAt_;
  std::set<AttemptNumber> Open_;
  // When queries stay unanswered.
  TimePoint CutFrom_ = TimePoint::max();
  TimePoint CutTo_ = TimePoint::max();

  Entry(LimitFleet &F, unsigned Index)
      : Fleet_(F), Index_(Index), Name_("entry-" + std::to_string(Index)) {}

  bool isCut() const { return Fleet_.Now_ >= CutFrom_ && Fleet_.Now_ < CutTo_; }
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
    if (!Fleet_.Options_.IsEngine_ || !Fleet_.Options_.HasAgents_)
      return AskResult::NoAgent;
    return Fleet_.send(*this, A, Fleet_.indexOf(Address), D, false);
  }
  AskResult askLimit(AttemptNumber A, const std::string &Address,
                     const PlaceDemand &D) override {
    if (!Fleet_.Options_.HasAgents_)
      return AskResult::NoAgent;
    // Any agent but its own.
    unsigned Granter = (Fleet_.indexOf(Address) + 1) %
                       static_cast<unsigned>(Fleet_.Servers_.size());
    return Fleet_.send(*this, A, Granter, D, true);
  }
  void shareLimit(const std::string &Address, const EndpointStart &E,
                  const LimitStatement &S) override {
    if (!Fleet_.Options_.HasAgents_ || isCut())
      return;
    unsigned Granter = Fleet_.indexOf(Address);
    if (!Fleet_.Options_.IsEngine_)
      Granter = (Granter + 1) % static_cast<unsigned>(Fleet_.Servers_.size());
    Fleet_.after(Hop, [this, Granter, E, S] {
      Fleet_.Servers_[Granter]->Grants_.note(E, received(S, Hop));
    });
  }
  void respond(CallNumber, unsigned Status, const HeaderFields &,
               std::string) override {
    Served_.push_back(Fleet_.Now_);
  }
  void refuse(CallNumber N, const Call &, unsigned, Cause, Duration) override {
    Refused_.push_back(Fleet_.Now_);
    RefusedAfter_.push_back(Fleet_.Now_ - ArrivedAt_[N]);
  }
  void beginStream(CallNumber, unsigned, const HeaderFields &) override {}
  void writeStream(CallNumber, std::string_view) override {}
  void finishStream(CallNumber) override { Served_.push_back(Fleet_.Now_); }
  void abortStream(CallNumber) override { Refused_.push_back(Fleet_.Now_); }
  void report(const CallReport &) override {}
  void report(const AttemptReport &) override {}
};

LimitFleet::LimitFleet(Options O) : Options_(O), Random_(O.Seed_) {
  for (unsigned I = 0; I < O.Endpoints_; ++I) {
    auto S = std::make_unique<Server>();
    S->Address_ = "10.0.1." + std::to_string(I) + ":80";
    Listed_.push_back(listedEndpoint(EndpointId("i-" + std::to_string(I)),
                                     O.IsEngine_ ? Model : Api, S->Address_,
                                     Slots));
    Servers_.push_back(std::move(S));
  }
  RoutingConfig::Parts P = parts();
  P.Services_[1].Engine_->Slots_ = Slots;
  Config_ = RoutingConfig::build(std::move(P));
  for (unsigned I = 0; I < O.Entries_; ++I) {
    Entries_.push_back(std::make_unique<Entry>(*this, I));
    Entry &E = *Entries_.back();
    start(E);
    after(Random_.jitter(TickPeriod, 0.5), [this, &E] { tick(E); });
    nextRequest(E);
  }
}

void LimitFleet::start(Entry &E) {
  TrafficCore::Options O = CoreFixture::options();
  O.Share_.Entries_ = Options_.AssumedEntries_;
  E.Open_.clear();
  ++E.Starts_;
  E.Core_ = std::make_unique<TrafficCore>(O, E, Random(Random_.next()));
  E.Core_->endpoints().listed(Listed_, Now_);
  E.Core_->configure(Config_, Now_);
  E.Core_->prove(Now_, Now_);
}

void LimitFleet::cut(unsigned Index, TimePoint From, TimePoint To) {
  Entries_[Index]->CutFrom_ = From;
  Entries_[Index]->CutTo_ = To;
}

void LimitFleet::restart(unsigned Index, TimePoint At) {
  after(At - Now_, [this, Index] { start(*Entries_[Index]); });
}

void LimitFleet::restartAgent(unsigned Endpoint, TimePoint At) {
  after(At - Now_, [this, Endpoint] {
    Servers_[Endpoint]->Places_ = PlaceGrants();
    Servers_[Endpoint]->Grants_ = LimitGrants(Now_);
  });
}

PlaceReply LimitFleet::decide(Server &Granter, Entry &From,
                              const PlaceDemand &D, bool IsOnlyLimit) {
  LimitGrants &Grants = Options_.GrantsAlone_ ? From.Own_ : Granter.Grants_;
  GranterRole Role = GranterRole::Beside;
  if (IsOnlyLimit)
    Role = Options_.IsEngine_ ? GranterRole::Substitute : GranterRole::Chosen;
  if (D.Limit_)
    Grants.note(D.Endpoint_, received(*D.Limit_, Hop));
  LimitGrants::Verdict V = Grants.check(D.Endpoint_, From.Name_, Role, Now_);
  Granter.Places_.onReport(0, 0, Now_);
  PlaceReply R;
  R.LimitWait_ = V.Wait_;
  if (auto Last = Grants.limits().last(D.Endpoint_))
    R.Limit_ = received(*Last, Hop + Options_.AgentDelay_);
  R.IsGranted_ =
      V.IsGranted_ &&
      (IsOnlyLimit || Granter.Places_.ask(D.Kind_, {Slots, Milliseconds(1)},
                                          Now_, D.Reading_));
  if (R.IsGranted_)
    Grants.take(D.Endpoint_);
  R.Version_ = IsOnlyLimit ? 0 : 1;
  return R;
}

AskResult LimitFleet::send(Entry &From, AttemptNumber A, unsigned Agent,
                           const PlaceDemand &D, bool IsOnlyLimit) {
  if (From.isCut())
    return AskResult::Sent;
  after(Hop, [this, &From, A, Agent, D, IsOnlyLimit, Starts = From.Starts_] {
    PlaceReply R = decide(*Servers_[Agent], From, D, IsOnlyLimit);
    after(Hop + Options_.AgentDelay_, [this, &From, A, R, Starts] {
      if (From.Starts_ == Starts)
        From.Core_->onPlaceReply(A, R, Now_);
    });
  });
  return AskResult::Sent;
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
    E.Core_->prove(Now_, Now_);
  // Without an open request a tick only ends rests for the log.
  if (E.Core_->open() > 0)
    E.Core_->tick(Now_);
  after(TickPeriod, [this, &E] { tick(E); });
}

void LimitFleet::nextRequest(Entry &E) {
  after(nextGap(Random_, Options_.RequestsPerSecond_), [this, &E] {
    Call C;
    C.Id_ = std::to_string(E.Index_) + "-" + std::to_string(E.NextCall_);
    C.Method_ = "POST";
    C.Host_ = "h";
    C.Target_ = Options_.IsEngine_ ? "/stream/1" : "/safe/1";
    C.Key_ = "key";
    E.ArrivedAt_[E.NextCall_] = Now_;
    E.Core_->arrive(E.NextCall_++, std::move(C), Now_);
    nextRequest(E);
  });
}

void LimitFleet::arriveAt(unsigned Endpoint, Entry &From, AttemptNumber A,
                          const std::string &RequestId) {
  Server &S = *Servers_[Endpoint];
  S.Arrivals_.push_back({Now_, From.Index_, From.Starts_});
  for (const Server::Refusal &Each : S.Refusals_)
    if (Now_ >= Each.From_ && Now_ < Each.To_)
      return refuse(S, From, A, Each.Rest_);
  after(Service, [this, &S, &From, A, RequestId, Starts = From.Starts_] {
    HeaderFields Fields = {{"X-Hawthornroad-Request-Id", RequestId},
                           {"X-Hawthornroad-Server-Stamp", "s"}};
    if (Options_.IsEngine_)
      Fields.push_back({"Content-Type", "text/event-stream"});
    std::optional<double> Limit = S.limitAt(Now_);
    if (Limit)
      Fields.push_back({"Server-Limit", std::to_string(*Limit)});
    bool IsLeaving = Now_ >= S.LeavesAt_;
    if (IsLeaving)
      Fields.push_back({"Server-Leaving", "1"});
    after(Hop, [this, &S, &From, A, Fields, Starts, IsLeaving,
                IsLimited = Limit.has_value()] {
      if (From.Starts_ != Starts || From.Open_.erase(A) == 0)
        return;
      if (IsLimited)
        S.InformedAt_.emplace(std::pair(From.Index_, Starts), Now_);
      if (IsLeaving)
        S.LeavingKnownAt_.emplace(std::pair(From.Index_, Starts), Now_);
      From.Core_->onHead(A, platform::decodeAnswer(200, Fields), Now_);
      From.Core_->onBody(A, "id: 1\ndata: x\n\n", Now_);
      From.Core_->onEnd(A, Now_);
    });
  });
}

void LimitFleet::refuse(Server &S, Entry &From, AttemptNumber A,
                        Duration Rest) {
  std::pair Key(From.Index_, From.Starts_);
  S.Rests_[Key].emplace_back(Now_, Now_ + Rest);
  std::string Seconds =
      std::to_string(std::chrono::duration<double>(Rest).count());
  after(Hop, [this, &From, A, Seconds, Starts = From.Starts_] {
    if (From.Starts_ != Starts || From.Open_.erase(A) == 0)
      return;
    HeaderFields Fields = {{"X-Hawthornroad-Not-Executed", "1"},
                           {"Retry-After", Seconds}};
    From.Core_->onHead(A, platform::decodeAnswer(503, Fields), Now_);
    From.Core_->onEnd(A, Now_);
  });
}

void LimitFleet::turnAway(unsigned Endpoint, TimePoint From, TimePoint To,
                          Duration Rest) {
  Servers_[Endpoint]->Refusals_.push_back({From, To, Rest});
}

void LimitFleet::leave(unsigned Endpoint, TimePoint At) {
  Servers_[Endpoint]->LeavesAt_ = At;
}

std::size_t LimitFleet::mostInRest() const {
  std::size_t Most = 0;
  for (const auto &S : Servers_) {
    std::map<std::pair<unsigned, unsigned>, std::vector<TimePoint>> ByEntry;
    for (const Arrival &Each : S->Arrivals_)
      ByEntry[{Each.Entry_, Each.Starts_}].push_back(Each.At_);
    for (const auto &[Key, Rests] : S->Rests_)
      for (const auto &[AskedAt, End] : Rests) {
        const std::vector<TimePoint> &Times = ByEntry[Key];
        auto First =
            std::lower_bound(Times.begin(), Times.end(), AskedAt + EntryBound);
        auto Last = std::lower_bound(First, Times.end(), End);
        Most = std::max(Most, static_cast<std::size_t>(Last - First));
      }
  }
  return Most;
}

std::size_t LimitFleet::afterLeaving() const {
  std::size_t Sum = 0;
  for (const auto &S : Servers_)
    for (const Arrival &Each : S->Arrivals_) {
      auto Known = S->LeavingKnownAt_.find({Each.Entry_, Each.Starts_});
      if (Known != S->LeavingKnownAt_.end() &&
          Each.At_ >= Known->second + DrainBound)
        ++Sum;
    }
  return Sum;
}

double LimitFleet::excess() const {
  double Worst = std::numeric_limits<double>::lowest();
  for (const auto &S : Servers_) {
    if (S->Limits_.empty())
      continue;
    TimePoint BindsAt = S->Limits_.begin()->first + ContactBound;
    std::deque<TimePoint> Last;
    for (const Arrival &Each : S->Arrivals_) {
      std::optional<double> Limit = S->limitAt(Each.At_);
      auto Informed = S->InformedAt_.find({Each.Entry_, Each.Starts_});
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

Duration LimitFleet::medianRefusal() const {
  std::vector<Duration> All;
  for (const auto &E : Entries_)
    All.insert(All.end(), E->RefusedAfter_.begin(), E->RefusedAfter_.end());
  if (All.empty())
    return Duration::zero();
  auto Middle = All.begin() + static_cast<std::ptrdiff_t>(All.size() / 2);
  std::nth_element(All.begin(), Middle, All.end());
  return *Middle;
}

} // namespace hawthornroad::traffic_test
