#include "tests/unit/ColdFleet.h"

#include <algorithm>
#include <deque>
#include <limits>

namespace hawthornroad::traffic_test {

namespace {
constexpr Duration Hop = Milliseconds(1);
constexpr Duration Service = Milliseconds(120);
constexpr Duration TickPeriod = Milliseconds(40);
constexpr Duration ProofPeriod = Milliseconds(500);
// An endpoint writes its row within this time, and an entry reads it within the
// same time after that.
constexpr Duration RowDelay = Milliseconds(1500);
constexpr unsigned Slots = 12;
// With twelve slots, ten requests a second, and a hundred.
constexpr double SlowAnswerTokens = 60;
constexpr double FastAnswerTokens = 6;
constexpr double StepMs = 20;
constexpr double ColdFactor = 1.5;
constexpr double ColdSlack = 5;
const AvailabilityZone OtherZone("y");
} // namespace

struct ColdFleet::Server {
  std::string Address_;
  // The row as it is in the store.
  Endpoint Row_;
  // When it is cold.
  std::vector<std::pair<TimePoint, TimePoint>> Cold_;
  std::vector<Arrival> Arrivals_;
  // The agent beside it.
  PlaceGrants Places_;
  ColdGrants Grants_{Start};
  TimePoint SilentFrom_ = TimePoint::max();
  TimePoint SilentTo_ = TimePoint::max();
  // When it answers no health check.
  TimePoint HealthSilentFrom_ = TimePoint::max();
  TimePoint HealthSilentTo_ = TimePoint::max();

  bool isCold(TimePoint T) const {
    return std::any_of(Cold_.begin(), Cold_.end(), [&](const auto &Each) {
      return T >= Each.first && T < Each.second;
    });
  }
};

struct ColdFleet::Entry final : NullPort {
  ColdFleet &Fleet_;
  unsigned Index_;
  unsigned Starts_ = 0;
  ProcessName Name_;
  std::unique_ptr<TrafficCore> Core_;
  CallNumber NextCall_ = 1;
  std::map<CallNumber, TimePoint> ArrivedAt_;
  std::set<AttemptNumber> Open_;

  Entry(ColdFleet &F, unsigned Index)
      : Fleet_(F), Index_(Index), Name_("entry-" + std::to_string(Index)) {}

  void beginAttempt(AttemptNumber A, const Call &C,
                    const AttemptParams &O) override {
    Open_.insert(A);
    unsigned Endpoint = Fleet_.indexOf(O.Address_);
    Fleet_.after(Hop, [this, Endpoint, A, Id = C.Id_] {
      Fleet_.arriveAt(Endpoint, *this, A, Id);
    });
  }
  void cancelAttempt(AttemptNumber A) override { Open_.erase(A); }
  bool hasAgents() const {
    return Fleet_.Options_.HasAgents_ && Index_ >= Fleet_.Options_.Agentless_;
  }
  AskResult askPlace(AttemptNumber A, const std::string &Address,
                     const PlaceDemand &D) override {
    if (!Fleet_.Options_.IsEngine_ || !hasAgents())
      return AskResult::NoAgent;
    return Fleet_.send(*this, A, Fleet_.indexOf(Address), D, false);
  }
  AskResult askLimit(AttemptNumber A, const std::string &Address,
                     const PlaceDemand &D) override {
    if (!hasAgents())
      return AskResult::NoAgent;
    // Any agent but its own.
    unsigned Granter = (Fleet_.indexOf(Address) + 1) %
                       static_cast<unsigned>(Fleet_.Servers_.size());
    return Fleet_.send(*this, A, Granter, D, true);
  }
  bool checkHealth(AttemptNumber A, const Endpoint &E,
                   const std::string &) override {
    if (!Fleet_.Options_.AnswersHealth_)
      return false;
    Fleet_.checkHealth(*this, A, Fleet_.indexOf(E.Address_));
    return true;
  }
  void respond(CallNumber, unsigned, const HeaderFields &,
               std::string) override {
    Fleet_.Served_.push_back(Fleet_.Now_);
  }
  void finishStream(CallNumber) override {
    Fleet_.Served_.push_back(Fleet_.Now_);
  }
  void refuse(CallNumber N, const Call &, unsigned, Cause Why,
              Duration RetryAfter) override {
    Fleet_.Refusals_.push_back(
        {Fleet_.Now_, Fleet_.Now_ - ArrivedAt_[N], Why, RetryAfter});
  }
};

ColdFleet::ColdFleet(Options O) : Options_(O), Random_(O.Seed_) {
  for (unsigned I = 0; I < O.Endpoints_; ++I) {
    auto S = std::make_unique<Server>();
    S->Address_ = "10.0.1." + std::to_string(I) + ":80";
    S->Row_ = listedEndpoint(EndpointId("i-" + std::to_string(I)),
                             O.IsEngine_ ? Model : Api, S->Address_, Slots);
    if (2 * I >= O.Endpoints_)
      S->Row_.Zone_ = OtherZone;
    S->Row_.Born_ = 1;
    S->Cold_.emplace_back(Start, Start + O.ColdFor_);
    Servers_.push_back(std::move(S));
  }
  RoutingConfig::Parts P = parts();
  P.Services_[1].Engine_->Slots_ = Slots;
  P.Services_[1].Engine_->StepMs_ = StepMs;
  P.Services_[1].Engine_->MeanAnswerTokens_ =
      O.IsSlowEngine_ ? SlowAnswerTokens : FastAnswerTokens;
  for (ServiceConfig &S : P.Services_) {
    S.ColdFor_ = O.ColdFor_;
    S.ColdPerSecond_ = O.KnowsCold_ ? O.ColdPerSecond_ : 0;
    S.HealthPath_ = "/health";
  }
  Config_ = RoutingConfig::build(std::move(P));
  for (unsigned I = 0; I < O.Entries_; ++I) {
    Entries_.push_back(std::make_unique<Entry>(*this, I));
    Entry &E = *Entries_.back();
    start(E);
    after(Random_.jitter(TickPeriod, 0.5), [this, &E] { tick(E); });
    nextRequest(E);
  }
}

ColdFleet::~ColdFleet() = default;

void ColdFleet::start(Entry &E) {
  TrafficCore::Options O = CoreFixture::options();
  O.Cold_.Factor_ = ColdFactor;
  O.Cold_.Slack_ = ColdSlack;
  E.Open_.clear();
  ++E.Starts_;
  E.Core_ = std::make_unique<TrafficCore>(O, E, Random(Random_.next()));
  if (Options_.KnowsEntries_)
    E.Core_->noteEntries(Options_.Entries_);
  std::vector<Endpoint> Listed;
  for (unsigned I = 0; I < Servers_.size(); ++I)
    if (!isEvacuated(I))
      Listed.push_back(Servers_[I]->Row_);
  E.Core_->endpoints().listed(Listed, Now_);
  E.Core_->configure(Config_, Now_);
  E.Core_->prove(Now_, Now_);
}

void ColdFleet::tick(Entry &E) {
  if (Now_.time_since_epoch() % ProofPeriod < TickPeriod)
    E.Core_->prove(Now_, Now_);
  if (E.Core_->open() > 0)
    E.Core_->tick(Now_);
  after(TickPeriod, [this, &E] { tick(E); });
}

void ColdFleet::nextRequest(Entry &E) {
  double Rate = Options_.RequestsPerSecond_ / Options_.Entries_;
  if (Now_ >= JumpAt_)
    Rate *= JumpFactor_;
  after(nextGap(Random_, Rate), [this, &E] {
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

void ColdFleet::checkHealth(Entry &From, AttemptNumber A, unsigned Endpoint) {
  after(Hop, [this, &From, A, Endpoint, Starts = From.Starts_] {
    const Server &S = *Servers_[Endpoint];
    if (Now_ >= S.HealthSilentFrom_ && Now_ < S.HealthSilentTo_)
      return;
    ++HealthChecks_;
    EndpointHead H;
    H.Status_ = 200;
    H.EndpointId_ = S.Row_.Id_.str();
    bool IsRejected = S.isCold(Now_)
                          ? Options_.RejectsHealthWhileCold_
                          : Random_.unit() < Options_.RejectedHealth_;
    if (IsRejected) {
      H.Status_ = 503;
      H.NotRun_ = true;
    } else if (Options_.SendsCopies_)
      H.RequestId_ = "of a request";
    else if (S.isCold(Now_))
      H.ColdLeft_ = Options_.ColdFor_;
    after(Hop, [this, &From, A, H, Starts] {
      if (From.Starts_ == Starts)
        From.Core_->onHealth(A, H, Now_);
    });
  });
}

void ColdFleet::arriveAt(unsigned Endpoint, Entry &From, AttemptNumber A,
                         const std::string &RequestId) {
  Server &S = *Servers_[Endpoint];
  S.Arrivals_.push_back({Now_, From.Index_});
  after(Service + Hop, [this, &From, A, RequestId, Starts = From.Starts_] {
    if (From.Starts_ != Starts || From.Open_.erase(A) == 0)
      return;
    EndpointHead H;
    H.Status_ = 200;
    H.IsSigned_ = true;
    H.RequestId_ = RequestId;
    if (Options_.IsEngine_)
      H.Headers_ = {{"Content-Type", "text/event-stream"}};
    From.Core_->onHead(A, H, Now_);
    From.Core_->onBody(A, "id: 1\ndata: x\n\n", Now_);
    From.Core_->onEnd(A, Now_);
  });
}

PlaceReply ColdFleet::decide(Server &Granter, Entry &From, const PlaceDemand &D,
                             bool IsOnlyLimit) {
  GranterRole Role = GranterRole::Beside;
  if (IsOnlyLimit)
    Role = Options_.IsEngine_ ? GranterRole::Substitute : GranterRole::Chosen;
  ColdGrants &Grants = Granter.Grants_;
  if (D.Cold_)
    Grants.note(D.Endpoint_, *D.Cold_, Now_);
  LimitGrants::Verdict V =
      Grants.check(D.Endpoint_, D.Cold_.has_value(), From.Name_, Role, Now_);
  // Always empty, so that only the cold limit holds requests back.
  Granter.Places_.onReport(0, 0, Now_);
  PlaceReply R;
  R.LimitWait_ = V.Wait_;
  R.Cold_ = Grants.find(D.Endpoint_, Now_);
  R.IsGranted_ =
      V.IsGranted_ &&
      (IsOnlyLimit || Granter.Places_.ask(D.Kind_, {Slots, Milliseconds(1)},
                                          Now_, D.Reading_));
  if (R.IsGranted_)
    Grants.take(D.Endpoint_);
  R.Version_ = IsOnlyLimit ? 0 : 1;
  return R;
}

AskResult ColdFleet::send(Entry &From, AttemptNumber A, unsigned Agent,
                          const PlaceDemand &D, bool IsOnlyLimit) {
  after(Hop, [this, &From, A, Agent, D, IsOnlyLimit, Starts = From.Starts_] {
    Server &S = *Servers_[Agent];
    if (Now_ >= S.SilentFrom_ && Now_ < S.SilentTo_)
      return;
    PlaceReply R = decide(S, From, D, IsOnlyLimit);
    after(Hop + Options_.AgentDelay_, [this, &From, A, R, Starts] {
      if (From.Starts_ == Starts)
        From.Core_->onPlaceReply(A, R, Now_);
    });
  });
  return AskResult::Sent;
}

unsigned ColdFleet::indexOf(const std::string &Address) const {
  std::size_t Dot = Address.rfind('.') + 1;
  return static_cast<unsigned>(
      std::stoul(Address.substr(Dot, Address.rfind(':') - Dot)));
}

bool ColdFleet::isEvacuated(unsigned Endpoint) const {
  return Servers_[Endpoint]->Row_.Zone_ == OtherZone &&
         Now_ >= EvacuatedFrom_ && Now_ < EvacuatedTo_;
}

void ColdFleet::showRow(Entry &E, unsigned Endpoint) {
  if (isEvacuated(Endpoint))
    return;
  E.Core_->endpoints().changed(Servers_[Endpoint]->Row_, Now_);
  E.Core_->endpointsChanged(Now_);
}

void ColdFleet::publish(unsigned Endpoint, bool IsNewStart) {
  Duration Late =
      std::chrono::duration_cast<Duration>(RowDelay * Random_.unit());
  after(Late, [this, Endpoint, IsNewStart, Late] {
    Server &S = *Servers_[Endpoint];
    S.Row_.ColdLeft_ = Options_.ColdFor_ - Late;
    if (IsNewStart)
      ++S.Row_.Born_;
    for (const auto &E : Entries_)
      after(std::chrono::duration_cast<Duration>(RowDelay * Random_.unit()),
            [this, &E, Endpoint] { showRow(*E, Endpoint); });
  });
}

void ColdFleet::cool(unsigned Endpoint, TimePoint At) {
  Servers_[Endpoint]->Cold_.emplace_back(At, At + Options_.ColdFor_);
  after(At - Now_, [this, Endpoint] { publish(Endpoint, false); });
}

void ColdFleet::restartEndpoint(unsigned Endpoint, TimePoint At) {
  Servers_[Endpoint]->Cold_.emplace_back(At, At + Options_.ColdFor_);
  after(At - Now_, [this, Endpoint] { publish(Endpoint, true); });
}

void ColdFleet::restartEntry(unsigned Index, TimePoint At) {
  after(At - Now_, [this, Index] { start(*Entries_[Index]); });
}

void ColdFleet::restartAgent(unsigned Agent, TimePoint At) {
  after(At - Now_, [this, Agent] {
    Servers_[Agent]->Places_ = PlaceGrants();
    Servers_[Agent]->Grants_ = ColdGrants(Now_);
  });
}

void ColdFleet::silence(unsigned Agent, TimePoint From, TimePoint To) {
  Servers_[Agent]->SilentFrom_ = From;
  Servers_[Agent]->SilentTo_ = To;
}

void ColdFleet::silenceHealth(unsigned Endpoint, TimePoint From, TimePoint To) {
  Servers_[Endpoint]->HealthSilentFrom_ = From;
  Servers_[Endpoint]->HealthSilentTo_ = To;
}

void ColdFleet::evacuate(TimePoint From, TimePoint To) {
  EvacuatedFrom_ = From;
  EvacuatedTo_ = To;
  for (auto &S : Servers_)
    if (S->Row_.Zone_ == OtherZone)
      S->Cold_.emplace_back(To, To + Options_.ColdFor_);
  after(From - Now_, [this] {
    std::vector<EndpointId> Ids;
    for (const auto &S : Servers_)
      if (S->Row_.Zone_ == OtherZone)
        Ids.push_back(S->Row_.Id_);
    for (const auto &E : Entries_) {
      E->Core_->evacuateZones({OtherZone}, Now_);
      E->Core_->endpoints().removed(Ids, Now_);
      E->Core_->endpointsChanged(Now_);
    }
  });
  after(To - Now_, [this] {
    for (const auto &E : Entries_) {
      for (const auto &S : Servers_)
        E->Core_->endpoints().changed(S->Row_, Now_);
      E->Core_->restoreZones({OtherZone}, Now_);
    }
  });
}

void ColdFleet::jump(TimePoint At, double Factor) {
  JumpAt_ = At;
  JumpFactor_ = Factor;
}

double ColdFleet::excess() const {
  double Allowed = Options_.ColdPerSecond_ * ColdFactor + ColdSlack;
  double Worst = std::numeric_limits<double>::lowest();
  for (const auto &S : Servers_) {
    std::deque<TimePoint> Last;
    for (const Arrival &Each : S->Arrivals_) {
      if (!S->isCold(Each.At_))
        continue;
      Last.push_back(Each.At_);
      while (Each.At_ - Last.front() >= Seconds(1))
        Last.pop_front();
      Worst = std::max(Worst, static_cast<double>(Last.size()) - Allowed);
    }
  }
  return Worst;
}

const std::vector<ColdFleet::Arrival> &
ColdFleet::arrivals(unsigned Endpoint) const {
  return Servers_[Endpoint]->Arrivals_;
}

std::size_t ColdFleet::allArrivals() const {
  std::size_t Out = 0;
  for (const auto &S : Servers_)
    Out += S->Arrivals_.size();
  return Out;
}

std::size_t ColdFleet::arrivals(unsigned Endpoint, TimePoint From,
                                TimePoint To) const {
  const auto &All = Servers_[Endpoint]->Arrivals_;
  return static_cast<std::size_t>(
      std::count_if(All.begin(), All.end(), [&](const Arrival &Each) {
        return Each.At_ >= From && Each.At_ < To;
      }));
}

std::size_t ColdFleet::served(TimePoint From, TimePoint To) const {
  return static_cast<std::size_t>(
      std::count_if(Served_.begin(), Served_.end(),
                    [&](TimePoint T) { return T >= From && T < To; }));
}

} // namespace hawthornroad::traffic_test
