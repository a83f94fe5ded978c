#include "hawthornroad/routing/Admission.h"

#include "hawthornroad/routing/FairQueue.h"
#include "hawthornroad/routing/RetryAfterTimes.h"
#include "hawthornroad/routing/ServiceRate.h"
#include "hawthornroad/routing/TokenBucket.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <unordered_map>

namespace hawthornroad {

namespace {
// The customer whose limits apply to all callers that are not declared.
const Customer DefaultCustomer("default");

// A load balancer distributes connections, not requests, so a customer's
// traffic reaches entries unevenly. Each entry therefore allows twice the even
// share. The limit over a fleet of N entries is twice the declared one, plus
// one request for each entry whose share rounds up to one.
constexpr double UnevenFactor = 2;

double shareOf(double Limit, std::size_t LiveEntries) {
  double Share = UnevenFactor * Limit / static_cast<double>(LiveEntries);
  return std::min(Limit, Share);
}

// One customer's limits and usage at this entry.
struct Account {
  explicit Account(const CustomerLimits &L, std::size_t LiveEntries)
      : Bucket_(0, 0) {
    apply(L, LiveEntries);
    Bucket_ = TokenBucket(Bucket_.rate(), Burst_);
  }

  void apply(const CustomerLimits &L, std::size_t LiveEntries) {
    constexpr double MinWeight = 1e-3;
    Weight_ = std::max(L.Weight_, MinWeight);
    Burst_ = std::max(1.0, shareOf(L.Burst_, LiveEntries));
    double Places = shareOf(static_cast<double>(L.InFlight_), LiveEntries);
    InFlightLimit_ = static_cast<std::size_t>(std::max(1.0, std::ceil(Places)));
    Bucket_.resize(shareOf(L.RequestsPerSecond_, LiveEntries), Burst_);
  }

  double Weight_ = 1;
  double Burst_ = 1;
  std::size_t InFlightLimit_ = 1;
  TokenBucket Bucket_;
  // Requests admitted or waiting.
  std::size_t InProgress_ = 0;
  RetryAfterTimes Returns_;
};

struct ServiceState {
  std::size_t QueueLimit_ = 0;
  bool Declared_ = true;
  FairQueue Queue_;
  ServiceRate Rate_;
  RetryAfterTimes Returns_;
  // Dequeued too late to meet their deadlines; expire() refuses them.
  std::vector<FairQueue::Item> TooLate_;
};

struct Record {
  FairQueue::Item Item_;
  ServiceName Service_;
  bool Admitted_ = false;
};

bool isLate(const FairQueue::Item &I, const ServiceRate &Rate, TimePoint Now) {
  return I.Deadline_ <= Now + Rate.longest();
}
} // namespace

std::string_view toString(RefusalCause C) {
  static constexpr std::array<std::string_view, 11> Names = {
      "unknown_service",    "unknown_customer", "customer_rate",
      "customer_in_flight", "queue_full",       "deadline_too_short",
      "deadline_passed",    "no_endpoint",      "dependency_down",
      "draining",           "process_busy"};
  return Names[static_cast<std::size_t>(C)];
}

unsigned httpStatus(RefusalCause C) {
  switch (C) {
  case RefusalCause::UnknownService:
    return 404;
  case RefusalCause::UnknownCustomer:
    return 403;
  case RefusalCause::CustomerRate:
  case RefusalCause::CustomerInFlight:
    return 429;
  case RefusalCause::DeadlinePassed:
    return 504;
  default:
    return 503;
  }
}

struct Admission::State {
  explicit State(Random R) : Rng_(std::move(R)) {}

  Account *accountOf(const Customer &C, Customer &Name);
  std::optional<Refusal> refuseEarly(const Request &R, const Load &L,
                                     ServiceState *S, Account *A,
                                     TimePoint Now);
  Refusal refuse(RequestId Id, RefusalCause Cause, ServiceState *S, Account *A,
                 std::string Detail, TimePoint Now);
  void enqueue(const Request &R, const Customer &Name, ServiceState &S,
               Account &A);
  // Removes the record of a request that is neither queued nor running.
  void forget(const FairQueue::Item &I);
  void expireService(const ServiceName &Name, ServiceState &S, TimePoint Now,
                     std::vector<Refusal> &Out);

  Random Rng_;
  std::shared_ptr<const Declaration> Declaration_;
  std::map<Customer, Account> Accounts_;
  std::map<ServiceName, ServiceState> Services_;
  std::unordered_map<RequestId, Record> Records_;
};

Admission::Admission(Random Rng)
    : State_(std::make_unique<State>(std::move(Rng))) {}

Admission::~Admission() = default;

void Admission::configure(std::shared_ptr<const Declaration> D,
                          std::size_t LiveEntries) {
  LiveEntries = std::max<std::size_t>(LiveEntries, 1);
  for (const auto &[Name, Limits] : D->customers()) {
    auto [At, Added] = State_->Accounts_.try_emplace(Name, Limits, LiveEntries);
    if (!Added)
      At->second.apply(Limits, LiveEntries);
  }
  for (auto &[Name, S] : State_->Services_)
    S.Declared_ = false;
  for (const auto &[Name, Declared] : D->services()) {
    ServiceState &S = State_->Services_[Name];
    S.QueueLimit_ = Declared.Limits_.Queue_;
    S.Declared_ = true;
  }
  // Customers and services removed from the declaration are kept only while
  // requests use them.
  std::erase_if(State_->Accounts_, [&](const auto &Entry) {
    return !D->customers().contains(Entry.first) &&
           Entry.second.InProgress_ == 0;
  });
  std::erase_if(State_->Services_, [](const auto &Entry) {
    const ServiceState &S = Entry.second;
    return !S.Declared_ && S.Queue_.empty() && S.TooLate_.empty() &&
           S.Rate_.inProgress() == 0;
  });
  State_->Declaration_ = std::move(D);
}

// Sets Name to the account's name: the customer's own, or that of the default
// customer, which all undeclared callers share.
Account *Admission::State::accountOf(const Customer &C, Customer &Name) {
  if (!Declaration_)
    return nullptr;
  const auto &Declared = Declaration_->customers();
  Name = Declared.contains(C) ? C : DefaultCustomer;
  if (!Declared.contains(Name))
    return nullptr;
  auto Found = Accounts_.find(Name);
  return Found == Accounts_.end() ? nullptr : &Found->second;
}

Refusal Admission::State::refuse(RequestId Id, RefusalCause Cause,
                                 ServiceState *S, Account *A,
                                 std::string Detail, TimePoint Now) {
  Refusal Out{.Request_ = Id, .Cause_ = Cause, .Detail_ = std::move(Detail)};
  if (Cause == RefusalCause::CustomerRate) {
    Out.RetryAfter_ = A->Returns_.next(
        {.Backlog_ = 0, .PerSecond_ = A->Bucket_.rate()}, Rng_, Now);
    Out.RetryAfter_ = std::max(Out.RetryAfter_, A->Bucket_.untilAvailable(Now));
    return Out;
  }
  if (S)
    Out.RetryAfter_ =
        S->Returns_.next({.Backlog_ = static_cast<double>(S->Queue_.size()),
                          .PerSecond_ = S->Rate_.perSecond()},
                         Rng_, Now);
  return Out;
}

// The checks that do not depend on the queue, cheapest and most certain first.
std::optional<Refusal>
Admission::State::refuseEarly(const Request &R, const Load &L, ServiceState *S,
                              Account *A, TimePoint Now) {
  if (!S || !S->Declared_)
    return refuse(R.Id_, RefusalCause::UnknownService, nullptr, nullptr,
                  R.Service_.str(), Now);
  if (!A)
    return refuse(R.Id_, RefusalCause::UnknownCustomer, nullptr, nullptr,
                  R.Customer_.str(), Now);
  if (!L.DownDependency_.empty())
    return refuse(R.Id_, RefusalCause::DependencyDown, S, A,
                  L.DownDependency_.str(), Now);
  if (L.ReadyEndpoints_ == 0)
    return refuse(R.Id_, RefusalCause::NoEndpoint, S, A, R.Service_.str(), Now);
  if (R.Deadline_ <= Now)
    return refuse(R.Id_, RefusalCause::DeadlineTooShort, S, A, R.Service_.str(),
                  Now);
  if (A->InProgress_ >= A->InFlightLimit_)
    return refuse(R.Id_, RefusalCause::CustomerInFlight, S, A,
                  R.Customer_.str(), Now);
  if (!A->Bucket_.available(Now))
    return refuse(R.Id_, RefusalCause::CustomerRate, S, A, R.Customer_.str(),
                  Now);
  return std::nullopt;
}

void Admission::State::enqueue(const Request &R, const Customer &Name,
                               ServiceState &S, Account &A) {
  FairQueue::Item Item{R.Id_, Name, R.Priority_, R.Deadline_};
  S.Queue_.push(Item, A.Weight_);
  ++A.InProgress_;
  Records_[R.Id_] = {.Item_ = std::move(Item), .Service_ = R.Service_};
}

void Admission::State::forget(const FairQueue::Item &I) {
  if (auto Found = Accounts_.find(I.Customer_); Found != Accounts_.end())
    --Found->second.InProgress_;
  Records_.erase(I.Id_);
}

Admission::Answer Admission::offer(const Request &R, const Load &L,
                                   TimePoint Now) {
  // A duplicate offer: the request is already queued or admitted.
  if (State_->Records_.contains(R.Id_))
    return {.Kind_ = Verdict::Queue};
  Customer Name;
  Account *A = State_->accountOf(R.Customer_, Name);
  auto Found = State_->Services_.find(R.Service_);
  ServiceState *S = Found == State_->Services_.end() ? nullptr : &Found->second;
  if (auto Early = State_->refuseEarly(R, L, S, A, Now))
    return {.Kind_ = Verdict::Refuse, .Refusal_ = std::move(*Early)};

  if (L.HasRoom_ && S->Queue_.empty()) {
    // Passes through the queue so that the customer's virtual time advances.
    A->Bucket_.take(Now);
    State_->enqueue(R, Name, *S, *A);
    S->Queue_.pop();
    S->Rate_.started();
    State_->Records_[R.Id_].Admitted_ = true;
    return {.Kind_ = Verdict::Admit};
  }

  double Ahead = S->Queue_.aheadOf(Name, R.Priority_, A->Weight_);
  Duration Needed = S->Rate_.timeUntilFree(Ahead + 1) + S->Rate_.longest();
  if (R.Deadline_ < Now + Needed)
    return {.Kind_ = Verdict::Refuse,
            .Refusal_ = State_->refuse(R.Id_, RefusalCause::DeadlineTooShort, S,
                                       A, R.Service_.str(), Now)};

  Answer Out{.Kind_ = Verdict::Queue};
  if (S->Queue_.size() >= S->QueueLimit_) {
    FairQueue::Item Newcomer{R.Id_, Name, R.Priority_, R.Deadline_};
    auto Victim = S->Queue_.victimFor(Newcomer, A->Weight_);
    if (!Victim)
      return {.Kind_ = Verdict::Refuse,
              .Refusal_ = State_->refuse(R.Id_, RefusalCause::QueueFull, S, A,
                                         R.Service_.str(), Now)};
    S->Queue_.remove(*Victim);
    State_->forget(*Victim);
    Out.Evicted_ = State_->refuse(Victim->Id_, RefusalCause::QueueFull, S, A,
                                  R.Service_.str(), Now);
  }
  A->Bucket_.take(Now);
  State_->enqueue(R, Name, *S, *A);
  return Out;
}

std::optional<RequestId> Admission::next(const ServiceName &Service,
                                         TimePoint Now) {
  auto Found = State_->Services_.find(Service);
  if (Found == State_->Services_.end() || !Found->second.Declared_)
    return std::nullopt;
  ServiceState &S = Found->second;
  while (auto Item = S.Queue_.pop()) {
    // A place used for an answer that comes too late is lost to a request that
    // could still meet its deadline.
    if (isLate(*Item, S.Rate_, Now)) {
      S.TooLate_.push_back(std::move(*Item));
      continue;
    }
    S.Rate_.started();
    State_->Records_[Item->Id_].Admitted_ = true;
    return Item->Id_;
  }
  return std::nullopt;
}

bool Admission::requeue(RequestId Id) {
  auto Found = State_->Records_.find(Id);
  if (Found == State_->Records_.end() || !Found->second.Admitted_)
    return false;
  Record &R = Found->second;
  ServiceState &S = State_->Services_[R.Service_];
  auto A = State_->Accounts_.find(R.Item_.Customer_);
  S.Queue_.unpop(R.Item_, A == State_->Accounts_.end() ? 1 : A->second.Weight_);
  S.Rate_.abandoned();
  R.Admitted_ = false;
  return true;
}

void Admission::finished(RequestId Id, Duration Took, TimePoint) {
  auto Found = State_->Records_.find(Id);
  if (Found == State_->Records_.end())
    return;
  Record R = Found->second;
  ServiceState &S = State_->Services_[R.Service_];
  if (R.Admitted_)
    S.Rate_.finished(Took);
  else if (!S.Queue_.remove(R.Item_))
    std::erase_if(S.TooLate_, [&](const auto &I) { return I.Id_ == Id; });
  State_->forget(R.Item_);
}

void Admission::State::expireService(const ServiceName &Name, ServiceState &S,
                                     TimePoint Now, std::vector<Refusal> &Out) {
  std::vector<FairQueue::Item> Ended = std::move(S.TooLate_);
  S.TooLate_.clear();
  for (FairQueue::Item &I : S.Queue_.items()) {
    if (S.Declared_ && !isLate(I, S.Rate_, Now))
      continue;
    S.Queue_.remove(I);
    Ended.push_back(std::move(I));
  }
  for (const FairQueue::Item &I : Ended) {
    RefusalCause Cause = I.Deadline_ <= Now ? RefusalCause::DeadlinePassed
                                            : RefusalCause::DeadlineTooShort;
    if (!S.Declared_)
      Cause = RefusalCause::UnknownService;
    Out.push_back(refuse(I.Id_, Cause, &S, nullptr, Name.str(), Now));
    forget(I);
  }
}

std::vector<Refusal> Admission::expire(TimePoint Now) {
  std::vector<Refusal> Out;
  for (auto &[Name, S] : State_->Services_)
    State_->expireService(Name, S, Now, Out);
  return Out;
}

std::size_t Admission::waiting(const ServiceName &Service) const {
  auto Found = State_->Services_.find(Service);
  if (Found == State_->Services_.end())
    return 0;
  return Found->second.Queue_.size() + Found->second.TooLate_.size();
}

std::size_t Admission::inProgress(const Customer &C) const {
  Customer Name;
  const Account *A = State_->accountOf(C, Name);
  return A ? A->InProgress_ : 0;
}

Duration Admission::retryAfter(const ServiceName &Service, TimePoint Now) {
  auto Found = State_->Services_.find(Service);
  if (Found == State_->Services_.end())
    return RetryAfterTimes::MinRetryAfter;
  return State_
      ->refuse({}, RefusalCause::NoEndpoint, &Found->second, nullptr, {}, Now)
      .RetryAfter_;
}

} // namespace hawthornroad
