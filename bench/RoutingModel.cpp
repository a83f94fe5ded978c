#include "bench/RoutingModel.h"

#include "bench/ModelCallers.h"
#include "bench/ModelResult.h"
#include "hawthornroad/base/Random.h"
#include "hawthornroad/config/Declaration.h"
#include "hawthornroad/routing/Admission.h"
#include "hawthornroad/routing/Chooser.h"
#include "hawthornroad/routing/RetryBudget.h"

#include <algorithm>
#include <cmath>
#include <list>
#include <memory>
#include <optional>

namespace hawthornroad {

namespace {
const ServiceName Service("copywriter-lm");
constexpr Duration Tick = Milliseconds(20);
constexpr Duration ReportPeriod = Seconds(1);
constexpr std::size_t BudgetedAttempts = 3;
constexpr std::size_t NaiveAttempts = 5;
Duration toDuration(double InSeconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(InSeconds));
}

double toSeconds(Duration D) {
  return std::chrono::duration<double>(D).count();
}

struct ModelRequest {
  std::uint64_t Number_ = 0;
  std::size_t Customer_ = 0;
  std::size_t Entry_ = 0;
  EngineWork Work_;
  TimePoint Arrival_;
  TimePoint Deadline_;
  std::size_t Attempts_ = 0;
  std::size_t Failures_ = 0;
  std::set<Vm> Excluded_;
  bool Counted_ = false; // arrived after the warm-up
  // The attempt in progress (number and endpoint), and the time at which the
  // first attempt was dispatched.
  std::uint64_t Attempt_ = 0;
  std::optional<std::size_t> Engine_;
  TimePoint Dispatched_;
  std::optional<TimePoint> First_;
};

struct ModelEntry {
  ModelEntry(std::uint64_t Seed, AvailabilityZone Zone)
      : Zone_(Zone), Chooser_(Random(Seed), Zone),
        Admission_(Random(Seed + 1)) {}
  AvailabilityZone Zone_;
  Chooser Chooser_;
  Admission Admission_;
  RetryBudget Budget_;
  // Last reported load of each endpoint, for the baselines.
  std::vector<double> Reported_;
  std::vector<std::uint64_t> ReportedSequence_;
  std::size_t NextRoundRobin_ = 0;
  // Admitted requests for which no endpoint is available at the moment.
  std::list<std::uint64_t> Parked_;
};

class Model {
public:
  Model(const Scenario &S, const ModelPolicy &P, std::uint64_t Seed);
  ModelResult run();

private:
  void makeEndpoints();
  void makeEntries(std::uint64_t Seed);
  void report(std::size_t Engine);
  void scheduleArrival(std::size_t Customer);
  void arrive(std::size_t Customer);
  void tick(std::size_t Entry);
  void pump(std::size_t Entry);
  Chooser::Query query(const ModelRequest &R) const;
  Admission::Load loadAt(ModelEntry &E, const ModelRequest &R);
  bool oracleHasRoom() const;
  std::optional<std::size_t> pick(ModelEntry &E, const ModelRequest &R);
  std::optional<std::size_t> pickLeast(const ModelEntry &E,
                                       const std::set<Vm> &Excluded) const;
  void dispatch(std::uint64_t Number);
  Duration delay(const ModelEntry &E, std::size_t Engine) const;
  void onFirstToken(std::uint64_t Number, std::uint64_t Attempt);
  void onEnd(std::uint64_t Number, std::uint64_t Attempt, EngineEnd End);
  void dispatchAgain(std::uint64_t Number);
  void onDeadline(std::uint64_t Number);
  void releaseEndpoint(ModelRequest &R, Chooser::Result Result);
  bool mayRetry(ModelEntry &E, const ModelRequest &R);
  void end(std::uint64_t Number, bool InTime);
  void noteRefused(std::uint64_t Number);
  void summarize();
  bool isFailing(std::size_t Engine) const {
    return Engine < Scenario_.FailingEndpoints_;
  }

  Scenario Scenario_;
  ModelPolicy Policy_;
  Random Rng_;
  TimePoint Start_{Seconds(1000)};
  EventQueue Events_{Start_};
  double Capacity_;
  ModelCallers Callers_;
  const std::vector<ModelCustomer> &Customers_ = Callers_.customers();
  std::vector<EndpointStatus> Statuses_;
  std::vector<std::unique_ptr<EngineModel>> Engines_;
  // Attempts sent to each endpoint that have not ended: the true load.
  std::vector<double> Assigned_;
  std::vector<std::unique_ptr<ModelEntry>> Entries_;
  std::unordered_map<std::uint64_t, ModelRequest> Requests_;
  std::uint64_t NextRequest_ = 1;
  std::uint64_t NextAttempt_ = 1;
  std::vector<std::size_t> OfferedBy_, InTimeBy_;
  // Answers in time that ended after the warm-up, whenever they arrived.
  std::size_t Answered_ = 0;
  ModelResult Result_;
};

std::size_t indexOf(const Vm &V) { return std::stoul(V.str().substr(3)); }

RequestId idOf(std::uint64_t Number) { return RequestId{1, Number}; }

Model::Model(const Scenario &S, const ModelPolicy &P, std::uint64_t Seed)
    : Scenario_(S), Policy_(P), Rng_(Seed), Capacity_(capacityOf(S)),
      Callers_(S, Capacity_, Rng_) {
  OfferedBy_.resize(Customers_.size());
  InTimeBy_.resize(Customers_.size());
  makeEndpoints();
  makeEntries(Seed);
}

void Model::makeEndpoints() {
  const std::size_t Count = Scenario_.Zones_ * Scenario_.EndpointsPerZone_;
  for (std::size_t I = 0; I < Count; ++I) {
    EngineModel::Setup Setup{.Bounded_ = Policy_.HasLimits_};
    Setup.FailsFast_ = isFailing(I);
    if (!isFailing(I) &&
        I < Scenario_.FailingEndpoints_ + Scenario_.SlowEndpoints_)
      Setup.SlowFactor_ = SlowFactor;
    Engines_.push_back(std::make_unique<EngineModel>(Events_, Setup));
    EndpointStatus Status;
    Status.Vm_ = Vm("vm-" + std::to_string(I));
    Status.Incarnation_ = 1;
    Status.Zone_ =
        AvailabilityZone("zone-" + std::to_string(I % Scenario_.Zones_));
    Status.Service_ = Service;
    Status.Phase_ = EndpointPhase::Ready;
    Status.Capacity_ = static_cast<std::uint32_t>(Setup.Capacity_);
    Statuses_.push_back(Status);
    Duration Phase = toDuration(Rng_.unit() * toSeconds(ReportPeriod));
    Events_.after(Phase, [this, I] { report(I); });
  }
  Assigned_.resize(Count);
}

void Model::makeEntries(std::uint64_t Seed) {
  hawthornroad::Service Declared;
  Declared.Name_ = Service;
  Declared.Vms_ = {"vm-*"};
  DeclarationBuilder Builder;
  Builder.add(Declared);
  // Limits too high to take effect: the model measures the queue's fairness.
  for (const ModelCustomer &C : Customers_)
    Builder.add(CustomerLimits{Customer(C.Name_), C.Weight_, 1e4, 1e4, 2000});
  auto D = Builder.build();
  const std::size_t Count = Scenario_.Zones_ * Scenario_.EntriesPerZone_;
  for (std::size_t I = 0; I < Count; ++I) {
    auto Zone =
        AvailabilityZone("zone-" + std::to_string(I % Scenario_.Zones_));
    Entries_.push_back(std::make_unique<ModelEntry>(1000 * Seed + 2 * I, Zone));
    ModelEntry &E = *Entries_.back();
    E.Admission_.configure(D, Count);
    E.Reported_.resize(Engines_.size());
    E.ReportedSequence_.resize(Engines_.size());
    E.NextRoundRobin_ = Rng_.below(Engines_.size());
    for (const EndpointStatus &Status : Statuses_)
      E.Chooser_.update(Status, Start_);
    Events_.after(Tick, [this, I] { tick(I); });
  }
}

void Model::report(std::size_t Engine) {
  EndpointStatus &Status = Statuses_[Engine];
  ++Status.Sequence_;
  Status.Running_ = static_cast<std::uint32_t>(Engines_[Engine]->running());
  Status.Waiting_ = static_cast<std::uint32_t>(Engines_[Engine]->waiting());
  Status.StepMs_ = static_cast<float>(1e3 * Engines_[Engine]->stepSeconds());
  for (auto &E : Entries_) {
    double Lag = Scenario_.MinLag_ +
                 Rng_.unit() * (Scenario_.MaxLag_ - Scenario_.MinLag_);
    Events_.after(toDuration(Lag), [this, Engine, Status, Entry = E.get()] {
      Entry->Chooser_.update(Status, Events_.now());
      if (Status.Sequence_ < Entry->ReportedSequence_[Engine])
        return;
      Entry->ReportedSequence_[Engine] = Status.Sequence_;
      Entry->Reported_[Engine] = Status.Running_ + Status.Waiting_;
    });
  }
  Events_.after(ReportPeriod, [this, Engine] { report(Engine); });
}

// Poisson arrivals; a varying rate is obtained by thinning the highest rate.
void Model::scheduleArrival(std::size_t Customer) {
  double Highest = Callers_.highestRate(Customer);
  double Gap = -std::log(1 - Rng_.unit()) / Highest;
  Events_.after(toDuration(Gap), [this, Customer, Highest] {
    if (Rng_.unit() * Highest <
        Callers_.rateAt(Customer, Events_.now() - Start_))
      arrive(Customer);
    scheduleArrival(Customer);
  });
}

void Model::arrive(std::size_t C) {
  ModelRequest R;
  R.Number_ = NextRequest_++;
  R.Customer_ = C;
  R.Entry_ = Callers_.drawEntry(C, Rng_);
  R.Work_ = Callers_.drawWork(Rng_);
  R.Arrival_ = Events_.now();
  R.Deadline_ = R.Arrival_ + toDuration(Scenario_.DeadlineSeconds_);
  R.Counted_ = R.Arrival_ >= Start_ + toDuration(Scenario_.WarmUpSeconds_);
  const std::uint64_t Number = R.Number_;
  if (R.Counted_) {
    ++Result_.Offered_;
    ++OfferedBy_[C];
  }
  Events_.at(R.Deadline_, [this, Number] { onDeadline(Number); });
  ModelRequest &Kept = Requests_[Number] = std::move(R);
  if (!Policy_.HasLimits_) {
    dispatch(Number);
    return;
  }
  ModelEntry &E = *Entries_[Kept.Entry_];
  Admission::Request Offer{idOf(Number), Customer(Customers_[C].Name_), Service,
                           Priority::Normal, Kept.Deadline_};
  auto Answer = E.Admission_.offer(Offer, loadAt(E, Kept), Events_.now());
  if (Answer.Evicted_)
    noteRefused(Answer.Evicted_->Request_.Lo_);
  if (Answer.Kind_ == Admission::Verdict::Admit)
    dispatch(Number);
  else if (Answer.Kind_ == Admission::Verdict::Refuse)
    noteRefused(Number);
  else
    pump(Kept.Entry_);
}

Chooser::Query Model::query(const ModelRequest &R) const {
  Chooser::Query Q{.Service_ = Service};
  if (Policy_.HasAffinity_)
    Q.PrefixHash_ = R.Work_.Prefix_;
  Q.Excluded_ = R.Excluded_;
  return Q;
}

bool Model::oracleHasRoom() const {
  for (std::size_t I = 0; I < Engines_.size(); ++I)
    if (!isFailing(I) &&
        Assigned_[I] < static_cast<double>(Engines_[I]->setup().Capacity_))
      return true;
  return false;
}

Admission::Load Model::loadAt(ModelEntry &E, const ModelRequest &R) {
  Admission::Load L;
  L.HasRoom_ = Policy_.Choice_ == ChoiceKind::Oracle
                   ? oracleHasRoom()
                   : E.Chooser_.hasRoom(query(R), Events_.now());
  L.ReadyEndpoints_ = E.Chooser_.readyCount(Service);
  return L;
}

void Model::tick(std::size_t I) {
  ModelEntry &E = *Entries_[I];
  for (const Refusal &Out : E.Admission_.expire(Events_.now()))
    noteRefused(Out.Request_.Lo_);
  std::list<std::uint64_t> Parked = std::move(E.Parked_);
  E.Parked_.clear();
  for (std::uint64_t Number : Parked)
    dispatch(Number);
  pump(I);
  Events_.after(Tick, [this, I] { tick(I); });
}

void Model::pump(std::size_t I) {
  ModelEntry &E = *Entries_[I];
  ModelRequest Any;
  while (E.Admission_.waiting(Service) > 0 && loadAt(E, Any).HasRoom_) {
    auto Id = E.Admission_.next(Service, Events_.now());
    if (!Id)
      return;
    // An attempt that follows one refused by an endpoint is a retry.
    if (Requests_.at(Id->Lo_).Attempts_ > 0 &&
        !mayRetry(E, Requests_.at(Id->Lo_)))
      end(Id->Lo_, false);
    else
      dispatch(Id->Lo_);
  }
}

std::optional<std::size_t>
Model::pickLeast(const ModelEntry &E, const std::set<Vm> &Excluded) const {
  const bool IsOracle = Policy_.Choice_ == ChoiceKind::Oracle;
  std::optional<std::size_t> Best;
  double Least = 0;
  // Starts at a rotating position, so that endpoints of equal load are used
  // equally.
  for (std::size_t K = 0; K < Engines_.size(); ++K) {
    std::size_t I = (E.NextRoundRobin_ + K) % Engines_.size();
    if (Excluded.contains(Statuses_[I].Vm_) || (IsOracle && isFailing(I)))
      continue;
    const EngineModel::Setup &Setup = Engines_[I]->setup();
    double Cost =
        IsOracle ? (Assigned_[I] + 1) * Setup.SlowFactor_ : E.Reported_[I];
    if (IsOracle && Policy_.HasLimits_ &&
        Assigned_[I] >= static_cast<double>(Setup.Capacity_))
      continue;
    if (!Best || Cost < Least) {
      Best = I;
      Least = Cost;
    }
  }
  return Best;
}

std::optional<std::size_t> Model::pick(ModelEntry &E, const ModelRequest &R) {
  if (Policy_.Choice_ == ChoiceKind::Chooser) {
    auto V = E.Chooser_.choose(query(R), Events_.now());
    return V ? std::optional(indexOf(*V)) : std::nullopt;
  }
  E.NextRoundRobin_ = (E.NextRoundRobin_ + 1) % Engines_.size();
  if (Policy_.Choice_ == ChoiceKind::RoundRobin)
    return E.NextRoundRobin_;
  return pickLeast(E, R.Excluded_);
}

Duration Model::delay(const ModelEntry &E, std::size_t Engine) const {
  return Milliseconds(E.Zone_ == Statuses_[Engine].Zone_ ? 1 : 2);
}

void Model::dispatch(std::uint64_t Number) {
  auto Found = Requests_.find(Number);
  if (Found == Requests_.end())
    return;
  ModelRequest &R = Found->second;
  ModelEntry &E = *Entries_[R.Entry_];
  auto Engine = pick(E, R);
  if (!Engine) {
    E.Parked_.push_back(Number);
    return;
  }
  if (R.Attempts_ == 0)
    E.Budget_.noteRequest(Service, Events_.now());
  if (R.Counted_) {
    ++Result_.Attempts_;
    Result_.FirstAttempts_ += R.Attempts_ == 0 ? 1 : 0;
  }
  ++R.Attempts_;
  R.Engine_ = Engine;
  R.Attempt_ = NextAttempt_++;
  if (R.Attempts_ == 1)
    R.Dispatched_ = Events_.now();
  ++Assigned_[*Engine];
  E.Chooser_.dispatched(Statuses_[*Engine].Vm_, Events_.now());
  const std::uint64_t Attempt = R.Attempt_;
  const Duration OneWayDelay = delay(E, *Engine);
  EngineModel::Callbacks C;
  C.OnFirstToken_ = [this, Number, Attempt, OneWayDelay] {
    Events_.after(OneWayDelay, [=, this] { onFirstToken(Number, Attempt); });
  };
  C.OnEnd_ = [this, Number, Attempt, OneWayDelay](EngineEnd End) {
    Events_.after(OneWayDelay, [=, this] { onEnd(Number, Attempt, End); });
  };
  Events_.after(OneWayDelay, [this, Attempt, E = *Engine, W = R.Work_, C] {
    Engines_[E]->begin(Attempt, W, C);
  });
}

void Model::onFirstToken(std::uint64_t Number, std::uint64_t Attempt) {
  auto Found = Requests_.find(Number);
  if (Found == Requests_.end() || Found->second.Attempt_ != Attempt)
    return;
  ModelRequest &R = Found->second;
  R.First_ = Events_.now();
  Entries_[R.Entry_]->Chooser_.firstByte(
      Statuses_[*R.Engine_].Vm_, Events_.now() - R.Dispatched_, Events_.now());
}

void Model::releaseEndpoint(ModelRequest &R, Chooser::Result Result) {
  --Assigned_[*R.Engine_];
  Entries_[R.Entry_]->Chooser_.finished(Statuses_[*R.Engine_].Vm_, Result,
                                        Events_.now());
  R.Engine_.reset();
  R.Attempt_ = 0;
}

bool Model::mayRetry(ModelEntry &E, const ModelRequest &R) {
  if (!Policy_.HasRetryBudget_)
    return R.Attempts_ < NaiveAttempts;
  return R.Failures_ < BudgetedAttempts &&
         E.Budget_.take(Service, Events_.now());
}

void Model::onEnd(std::uint64_t Number, std::uint64_t Attempt, EngineEnd End) {
  auto Found = Requests_.find(Number);
  if (Found == Requests_.end() || Found->second.Attempt_ != Attempt)
    return;
  ModelRequest &R = Found->second;
  const std::size_t Entry = R.Entry_;
  Vm Where = Statuses_[*R.Engine_].Vm_;
  switch (End) {
  case EngineEnd::Done:
    releaseEndpoint(R, Chooser::Result::Answered);
    end(Number, true);
    break;
  case EngineEnd::Refused:
    releaseEndpoint(R, Chooser::Result::Refused);
    if (!Policy_.HasRetryBudget_)
      dispatchAgain(Number);
    else
      Entries_[Entry]->Admission_.requeue(idOf(Number));
    break;
  case EngineEnd::Failed:
    releaseEndpoint(R, Chooser::Result::Failed);
    ++R.Failures_;
    if (Policy_.HasRetryBudget_)
      R.Excluded_.insert(Where);
    dispatchAgain(Number);
    break;
  }
  pump(Entry);
}

void Model::dispatchAgain(std::uint64_t Number) {
  ModelRequest &R = Requests_.at(Number);
  if (mayRetry(*Entries_[R.Entry_], R))
    dispatch(Number);
  else
    end(Number, false);
}

void Model::onDeadline(std::uint64_t Number) {
  auto Found = Requests_.find(Number);
  if (Found == Requests_.end())
    return;
  ModelRequest &R = Found->second;
  if (R.Engine_) {
    Engines_[*R.Engine_]->cancel(R.Attempt_);
    releaseEndpoint(R, Chooser::Result::Cancelled);
  }
  std::size_t Entry = R.Entry_;
  end(Number, false);
  pump(Entry);
}

void Model::end(std::uint64_t Number, bool InTime) {
  ModelRequest &R = Requests_.at(Number);
  ModelEntry &E = *Entries_[R.Entry_];
  E.Parked_.remove(Number);
  E.Admission_.finished(idOf(Number), Events_.now() - R.Dispatched_,
                        Events_.now());
  if (InTime && Events_.now() >= Start_ + toDuration(Scenario_.WarmUpSeconds_))
    ++Answered_;
  if (R.Counted_ && InTime) {
    ++Result_.InTime_;
    ++InTimeBy_[R.Customer_];
    Result_.FirstToken_.push_back(toSeconds(*R.First_ - R.Arrival_));
    Result_.End_.push_back(toSeconds(Events_.now() - R.Arrival_));
  } else if (R.Counted_) {
    ++Result_.Failed_;
    // Without the failed requests, a policy that loses them would look fast.
    Result_.FirstToken_.push_back(Scenario_.DeadlineSeconds_);
    Result_.End_.push_back(Scenario_.DeadlineSeconds_);
  }
  Requests_.erase(Number);
}

void Model::noteRefused(std::uint64_t Number) {
  auto Found = Requests_.find(Number);
  if (Found == Requests_.end())
    return;
  if (Found->second.Counted_)
    ++Result_.Refused_;
  Requests_.erase(Found);
}

void Model::summarize() {
  const double Length = Scenario_.Seconds_ - Scenario_.WarmUpSeconds_;
  Result_.Goodput_ = static_cast<double>(Answered_) / Length / Capacity_;
  std::size_t Hits = 0;
  std::size_t Misses = 0;
  for (const auto &E : Engines_) {
    Hits += E->counters().PrefixHits_;
    Misses += E->counters().PrefixMisses_;
  }
  if (Hits + Misses > 0)
    Result_.HitShare_ = static_cast<double>(Hits) / double(Hits + Misses);
  summarizeCustomers(Customers_, OfferedBy_, InTimeBy_, Length, Capacity_,
                     Result_);
}

ModelResult Model::run() {
  for (std::size_t C = 0; C < Customers_.size(); ++C)
    scheduleArrival(C);
  Events_.runUntil(Start_ + toDuration(Scenario_.Seconds_));
  // Requests still in progress are excluded from the sample.
  for (const auto &[Number, R] : Requests_)
    if (R.Counted_) {
      --Result_.Offered_;
      --OfferedBy_[R.Customer_];
    }
  summarize();
  return std::move(Result_);
}
} // namespace

ModelResult runModel(const Scenario &S, const ModelPolicy &P,
                     std::uint64_t Seed) {
  return Model(S, P, Seed).run();
}

} // namespace hawthornroad
