#include "hawthornroad/traffic/TrafficCore.h"

#include <algorithm>
#include <cmath>
#include <deque>

namespace hawthornroad {

namespace {
namespace status {
constexpr unsigned Ok = 200;
constexpr unsigned FirstRedirect = 300;
constexpr unsigned Unauthorized = 401;
constexpr unsigned NotFound = 404;
constexpr unsigned FirstServerError = 500;
constexpr unsigned BadGateway = 502;
constexpr unsigned Unavailable = 503;
constexpr unsigned GatewayTimeout = 504;
} // namespace status

// Times to come back. Callers honour up to a third of the time they have left;
// below the shortest they would return before anything can have changed.
constexpr Duration ReturnLeast = Milliseconds(250);
constexpr Duration ReturnMost = Milliseconds(1800);
// A process without configuration or with a stale lease sends its callers to
// another one, for which no time need pass.
constexpr Duration ReturnElsewhere = Milliseconds(300);
// Spread of times to come back, so that refused callers do not return at once.
constexpr double ReturnSpread = 0.35;
// Ends of requests that the pace of a line is taken from.
constexpr std::size_t EndsKept = 24;
// A line this short is not estimated: its pace is not known well enough.
constexpr std::size_t LineUnestimated = 3;
// A stream that goes on holds half an answer: it waits longer for a place than
// a request that has nothing yet.
constexpr Duration ResumeWait = Milliseconds(1200);
// Endpoint's urgency of a first attempt (the field's default), and of one that
// goes on with a begun stream.
constexpr int UrgencyMiddle = 5;
constexpr int UrgencyResume = 1;
constexpr int UrgencyMost = 9;

Priority classOf(int Rank) {
  if (Rank <= 0)
    return Priority::Interactive;
  return Rank == 1 ? Priority::Normal : Priority::Batch;
}

bool isEventStream(const HeaderFields &Fields) {
  for (const HeaderField &Each : Fields)
    if (Each.Value_.starts_with("text/event-stream"))
      return true;
  return false;
}
} // namespace

std::string_view toString(Cause C) {
  switch (C) {
  case Cause::None:
    return "none";
  case Cause::NoConfiguration:
    return "no_configuration";
  case Cause::NoRoute:
    return "no_route";
  case Cause::NoKey:
    return "unknown_key";
  case Cause::KeyLeaseOver:
    return "key_lease_over";
  case Cause::NoEndpoint:
    return "no_endpoint";
  case Cause::LineFull:
    return "line_full";
  case Cause::WaitedTooLong:
    return "waited_too_long";
  case Cause::DeadlinePassed:
    return "deadline_passed";
  case Cause::TurnedAway:
    return "turned_away";
  case Cause::AttemptLost:
    return "attempt_lost";
  case Cause::ProcessFull:
    return "process_full";
  case Cause::Stopping:
    return "stopping";
  }
  return "unknown";
}

struct TrafficCore::Record {
  CallNumber Number_ = 0;
  Call Call_;
  // Keeps Route_ alive.
  SharedConfig Config_;
  const Route *Route_ = nullptr;
  ServiceName Service_;
  Customer Customer_;
  int Rank_ = 1;
  TimePoint ArrivedAt_;
  TimePoint Deadline_;

  bool IsInLine_ = false;
  TimePoint LineSince_;
  Duration Waited_ = Duration::zero();
  FairQueue::Item Item_;

  // The attempt under way; 0: none.
  AttemptNumber Attempt_ = 0;
  EndpointId At_;
  std::string Address_;
  TimePoint BegunAt_;
  TimePoint HeardAt_;
  Placement::View Belief_;
  bool HasHead_ = false;
  bool FirstByteTold_ = false;
  EndpointHead Head_;
  std::string Body_;
  bool IsEvents_ = false;

  unsigned Attempts_ = 0;
  std::set<EndpointId> Tried_;
  // Endpoints at which it may have run.
  std::set<EndpointId> RanAt_;
  bool MayHaveRun_ = false;
  // Counted by the repeat budget; an attempt has been sent; the attempt under
  // way was paid for as a repeat.
  bool IsNoted_ = false;
  bool HasArrived_ = false;
  bool TookRepeat_ = false;
  // An endpoint's own failure, given to the caller if nothing better comes.
  std::optional<EndpointHead> Fallback_;
  std::string FallbackBody_;

  // The caller's stream has begun.
  bool IsStreaming_ = false;
  std::optional<EventRelay> Relay_;
  WeightVersion Version_ = 0;
  std::optional<TimePoint> FirstByteAt_;
  TimePoint LastByteAt_;
  Duration LongestGap_ = Duration::zero();

  unsigned Status_ = 0;
  Cause Cause_ = Cause::None;
  bool CallerGone_ = false;
  bool IsDone_ = false;

  bool mayRepeat() const {
    return !MayHaveRun_ || Route_->Repeat_ != Repeat::Never;
  }
};

struct TrafficCore::Line {
  FairQueue Queue_;
  // When the last requests ended, oldest first.
  std::deque<TimePoint> Ends_;
};

TrafficCore::TrafficCore(Options O, TrafficPort &Port, Random R)
    : Options_(O), Port_(Port), Random_(R),
      Placement_(O.Placement_, Random(Random_.next())), Budget_(O.Budget_),
      Lease_(O.RevokeBound_, O.RevokeMargin_) {}

TrafficCore::~TrafficCore() = default;

bool TrafficCore::configure(SharedConfig C, TimePoint Now) {
  if (Config_ && C->version() < Config_->version())
    return false;
  Config_ = std::move(C);
  endpointsChanged(Now);
  return true;
}

void TrafficCore::endpointsChanged(TimePoint Now) {
  if (!Config_)
    return;
  Placement_.setEndpoints(Endpoints_, *Config_);
  for (const auto &[Name, L] : Lines_)
    Freed_.insert(Name);
  pumpDue(Now);
}

void TrafficCore::engineTold(const std::string &Address, bool IsAway,
                             WeightVersion V, std::optional<EndpointLoad> Load,
                             TimePoint Now) {
  for (const auto &[Id, Each] : Endpoints_.all()) {
    if (Each.Endpoint_.Address_ != Address)
      continue;
    Placement_.setAway(Id, IsAway, Now);
    if (V != 0)
      Placement_.heardVersion(Id, V);
    if (Load)
      Placement_.heard(Id, Load->Running_, Load->Waiting_, Now);
    Freed_.insert(Each.Endpoint_.Service_);
  }
  pumpDue(Now);
}

void TrafficCore::requireVersion(const std::string &Model, WeightVersion V,
                                 TimePoint At, TimePoint Hard) {
  // Each version's bound counts from its own naming: a later one does not put
  // off the duty of one before.
  Duties_[Model].try_emplace(V, VersionDuty{At, Hard});
}

WeightVersion TrafficCore::minVersion(const ServiceName &Service, TimePoint Now,
                                      bool IsHard) const {
  WeightVersion Out = 0;
  for (const Endpoint *E : Endpoints_.of(Service)) {
    if (!E->HasModel_ || E->Model_.empty())
      continue;
    auto Found = Duties_.find(E->Model_);
    if (Found != Duties_.end())
      for (const auto &[Version, Duty] : Found->second)
        if (Now >= (IsHard ? Duty.Hard_ : Duty.At_))
          Out = std::max(Out, Version);
    // All endpoints of a service serve one model.
    break;
  }
  return Out;
}

WeightVersion TrafficCore::newestWanted(const ServiceName &Service) const {
  return minVersion(Service, TimePoint::max());
}

TrafficCore::Record *TrafficCore::find(AttemptNumber A) {
  auto Found = ByAttempt_.find(A);
  if (Found == ByAttempt_.end())
    return nullptr;
  return Calls_.at(Found->second).get();
}

// ---- Arrival ----------------------------------------------------------------

void TrafficCore::arrive(CallNumber N, Call C, TimePoint Now) {
  auto Made = std::make_unique<Record>();
  Record &R = *Made;
  R.Number_ = N;
  R.Call_ = std::move(C);
  R.Config_ = Config_;
  R.ArrivedAt_ = Now;
  R.Deadline_ = Now + R.Call_.Patience_.value_or(Options_.DefaultPatience_);
  bool IsFull = Calls_.size() >= Options_.MaxCalls_;
  Calls_.emplace(N, std::move(Made));
  if (IsFull)
    refuse(R, status::Unavailable, Cause::ProcessFull, ReturnElsewhere, Now);
  else if (classify(R, Now))
    place(R, Now);
  pumpDue(Now);
}

bool TrafficCore::classify(Record &R, TimePoint Now) {
  if (Stopping_) {
    refuse(R, status::Unavailable, Cause::Stopping, ReturnElsewhere, Now);
    return false;
  }
  if (!R.Config_) {
    refuse(R, status::Unavailable, Cause::NoConfiguration, ReturnElsewhere,
           Now);
    return false;
  }
  const RoutingConfig &Config = *R.Config_;
  R.Route_ = Config.match(R.Call_.Host_, R.Call_.path());
  if (R.Route_ == nullptr) {
    refuse(R, status::NotFound, Cause::NoRoute, Duration::zero(), Now);
    return false;
  }
  R.Rank_ = R.Route_->Rank_;
  R.Deadline_ = std::min(R.Deadline_, Now + R.Route_->Timeout_);
  if (Config.hasCustomers()) {
    bool Holds = Lease_.holds(Now);
    const CustomerEntry *Who =
        Holds ? Config.customerOf(R.Call_.Key_) : nullptr;
    if (!R.Route_->IsPublic_ && !Holds) {
      refuse(R, status::Unavailable, Cause::KeyLeaseOver, ReturnElsewhere, Now);
      return false;
    }
    if (!R.Route_->IsPublic_ && Who == nullptr) {
      refuse(R, status::Unauthorized, Cause::NoKey, Duration::zero(), Now);
      return false;
    }
    if (Who != nullptr) {
      R.Customer_ = Who->Name_;
      R.Rank_ = Who->Rank_.value_or(R.Rank_);
    }
  }
  unsigned Total = 0;
  for (const ServiceShare &S : R.Route_->Services_)
    Total += S.Weight_;
  std::uint64_t Drawn = Random_.below(std::max(1U, Total));
  for (const ServiceShare &S : R.Route_->Services_) {
    R.Service_ = S.Service_;
    if (Drawn < S.Weight_)
      break;
    Drawn -= S.Weight_;
  }
  return true;
}

Duration TrafficCore::lineWait(const ServiceName &Service,
                               const Record &R) const {
  auto Found = Lines_.find(Service);
  if (Found == Lines_.end())
    return Duration::zero();
  const Line &L = Found->second;
  if (L.Queue_.size() < LineUnestimated || L.Ends_.size() < 2)
    return Duration::zero();
  double Ahead = L.Queue_.aheadOf(R.Customer_, classOf(R.Rank_), 1.0);
  Duration PerEnd = (L.Ends_.back() - L.Ends_.front()) /
                    static_cast<Duration::rep>(L.Ends_.size() - 1);
  return std::chrono::duration_cast<Duration>(PerEnd * (Ahead + 1));
}

Duration TrafficCore::timeToReturn(const ServiceName &Service, TimePoint Now) {
  Duration Wait = Duration::zero();
  auto Found = Lines_.find(Service);
  if (Found != Lines_.end() && Found->second.Ends_.size() >= 2) {
    const Line &L = Found->second;
    Duration PerEnd = (L.Ends_.back() - L.Ends_.front()) /
                      static_cast<Duration::rep>(L.Ends_.size() - 1);
    Wait = PerEnd * static_cast<Duration::rep>(L.Queue_.size());
  }
  Duration Base = std::clamp<Duration>(2 * Wait, 2 * ReturnLeast, ReturnMost);
  return std::max<Duration>(ReturnLeast, Random_.jitter(Base, ReturnSpread));
}

void TrafficCore::place(Record &R, TimePoint Now) {
  auto Found = Lines_.find(R.Service_);
  bool OthersWait = Found != Lines_.end() && !Found->second.Queue_.empty();
  if (!OthersWait && tryBegin(R, Now))
    return;
  queue(R, Now);
}

void TrafficCore::queue(Record &R, TimePoint Now) {
  if (R.IsDone_)
    return;
  if (!R.IsStreaming_) {
    Placement::Query Q;
    Q.Service_ = R.Service_;
    Q.MinVersion_ = minVersion(R.Service_, Now);
    if (Placement_.usable(Q) == 0)
      return giveUp(R, Cause::NoEndpoint, Now);
    Duration Limit = std::max(Options_.LineLeast_,
                              std::chrono::duration_cast<Duration>(
                                  R.Route_->Goal_ * Options_.LineShare_));
    if (lineWait(R.Service_, R) > Limit)
      return giveUp(R, Cause::LineFull, Now);
  }
  R.IsInLine_ = true;
  R.LineSince_ = Now;
  R.Item_ = {RequestId{0, R.Number_}, Customer(),
             R.IsStreaming_ ? Priority::Interactive : classOf(R.Rank_),
             R.Deadline_};
  Lines_[R.Service_].Queue_.push(R.Item_, 1.0);
}

void TrafficCore::unqueue(Record &R) {
  if (!R.IsInLine_)
    return;
  R.IsInLine_ = false;
  Lines_[R.Service_].Queue_.remove(R.Item_);
}

void TrafficCore::pump(const ServiceName &Service, TimePoint Now) {
  auto Found = Lines_.find(Service);
  if (Found == Lines_.end())
    return;
  FairQueue &Queue = Found->second.Queue_;
  while (!Queue.empty()) {
    std::optional<FairQueue::Item> Next = Queue.pop();
    if (!Next)
      return;
    auto At = Calls_.find(Next->Id_.Lo_);
    if (At == Calls_.end())
      continue;
    Record &R = *At->second;
    if (!tryBegin(R, Now) && !R.IsDone_) {
      Queue.unpop(*Next, 1.0);
      return;
    }
    R.IsInLine_ = false;
    R.Waited_ += Now - R.LineSince_;
  }
}

void TrafficCore::pumpDue(TimePoint Now) {
  if (Pumping_)
    return;
  Pumping_ = true;
  while (!Freed_.empty()) {
    ServiceName Service = *Freed_.begin();
    Freed_.erase(Freed_.begin());
    pump(Service, Now);
  }
  Pumping_ = false;
  for (CallNumber N : std::exchange(Closed_, {}))
    Calls_.erase(N);
}

// False when no endpoint has a place now. A request whose repeat is denied is
// done afterwards.
bool TrafficCore::tryBegin(Record &R, TimePoint Now) {
  Placement::Query Q;
  Q.Service_ = R.Service_;
  Q.Tried_ = &R.Tried_;
  Q.MinVersion_ = minVersion(R.Service_, Now);
  // With all of them tried, each gets another chance.
  if (!R.Tried_.empty() && Placement_.usable(Q) == 0)
    R.Tried_.clear();
  std::optional<EndpointId> Chosen;
  // A stream that was cut by a load goes on where none is to come.
  if (R.IsStreaming_) {
    Placement::Query Newest = Q;
    Newest.MinVersion_ = std::max(Q.MinVersion_, newestWanted(R.Service_));
    Chosen = Placement_.choose(Newest, Now);
  }
  if (!Chosen)
    Chosen = Placement_.choose(Q, Now);
  if (!Chosen)
    return false;
  const Endpoint *E = Placement_.find(*Chosen);
  if (E == nullptr)
    return false;
  if (R.HasArrived_ && !Budget_.take(R.Service_, Now)) {
    giveUp(R, R.MayHaveRun_ ? Cause::AttemptLost : Cause::TurnedAway, Now);
    return false;
  }
  if (!R.IsNoted_)
    Budget_.noteRequest(R.Service_, Now);
  R.IsNoted_ = true;
  R.TookRepeat_ = std::exchange(R.HasArrived_, true);
  R.Attempt_ = NextAttempt_++;
  ByAttempt_[R.Attempt_] = R.Number_;
  R.At_ = *Chosen;
  R.Address_ = E->Address_;
  R.BegunAt_ = R.HeardAt_ = Now;
  R.HasHead_ = R.IsEvents_ = false;
  R.Body_.clear();
  ++R.Attempts_;
  if (auto V = Placement_.view(*Chosen, Now))
    R.Belief_ = *V;
  if (R.Relay_)
    R.Relay_->startAttempt();
  Placement_.begun(*Chosen, Now);
  AttemptOrder O;
  O.Call_ = R.Number_;
  O.Endpoint_ = *Chosen;
  O.Address_ = E->Address_;
  O.Customer_ = R.Customer_;
  O.TimeLeft_ = R.Deadline_ - Now;
  O.Urgency_ = R.IsStreaming_
                   ? UrgencyResume
                   : std::clamp(UrgencyMiddle + R.Rank_ - 1, 0, UrgencyMost);
  O.LastEvent_ = R.Relay_ ? R.Relay_->lastEvent() : R.Call_.LastEvent_;
  Port_.tell(AttemptReport{R.Number_, R.Call_.Id_, R.At_, R.Address_, "begun",
                           "", false, R.Attempts_, R.Belief_});
  Port_.beginAttempt(R.Attempt_, R.Call_, O);
  return true;
}

// ---- Word of attempts -------------------------------------------------------

void TrafficCore::endAttempt(Record &R, Placement::End E, std::string_view What,
                             const std::string &Why, bool MayHaveRun,
                             TimePoint Now) {
  if (R.Attempt_ == 0)
    return;
  ByAttempt_.erase(R.Attempt_);
  R.Attempt_ = 0;
  Placement_.ended(R.At_, E, R.FirstByteTold_, Now);
  R.FirstByteTold_ = false;
  Freed_.insert(R.Service_);
  if (MayHaveRun) {
    R.MayHaveRun_ = true;
    R.RanAt_.insert(R.At_);
  }
  Port_.tell(AttemptReport{R.Number_, R.Call_.Id_, R.At_, R.Address_, What, Why,
                           MayHaveRun, R.Attempts_, R.Belief_,
                           Now - R.BegunAt_});
}

void TrafficCore::onHead(AttemptNumber A, EndpointHead H, TimePoint Now) {
  Record *R = find(A);
  if (R == nullptr)
    return;
  R->HeardAt_ = Now;
  R->HasHead_ = true;
  R->Head_ = std::move(H);
  const EndpointHead &Head = R->Head_;
  bool IsOthers = !Head.RequestId_.empty() && Head.RequestId_ != R->Call_.Id_;
  bool IsUnsigned = !Head.NotRun_ && !Head.IsSigned_;
  if (IsOthers || Head.IsEncoded_ || IsUnsigned) {
    // An answer to something else, or from something that is no endpoint.
    Port_.cancelAttempt(A);
    endAttempt(*R, Placement::End::Failed, "failed",
               IsOthers ? "an answer to another request"
                        : "an answer without the endpoint's signature",
               true, Now);
    afterFailure(*R, "wrong answer", Now);
    return pumpDue(Now);
  }
  if (Head.HasLoad_)
    Placement_.heard(R->At_, Head.Running_, Head.Waiting_, Now);
  if (Head.NotRun_)
    return;
  Placement_.firstByte(R->At_, Now - R->BegunAt_);
  R->FirstByteTold_ = true;
  if (Head.Version_ != 0)
    Placement_.heardVersion(R->At_, Head.Version_);
  R->IsEvents_ = Head.Status_ == status::Ok && R->Route_->IsStream_ &&
                 isEventStream(Head.Headers_);
  if (!R->IsEvents_)
    return;
  if (!R->Relay_)
    R->Relay_.emplace(R->Call_.LastEvent_);
  if (!R->IsStreaming_)
    R->Version_ = Head.Version_;
}

void TrafficCore::onBody(AttemptNumber A, std::string Bytes, TimePoint Now) {
  Record *R = find(A);
  if (R == nullptr)
    return;
  R->HeardAt_ = Now;
  if (!R->IsEvents_) {
    R->Body_ += Bytes;
    return;
  }
  std::string Out = R->Relay_->feed(Bytes);
  if (Out.empty())
    return;
  if (!R->FirstByteAt_)
    R->FirstByteAt_ = Now;
  else
    R->LongestGap_ = std::max(R->LongestGap_, Now - R->LastByteAt_);
  R->LastByteAt_ = Now;
  if (!R->IsStreaming_) {
    R->IsStreaming_ = true;
    R->Status_ = R->Head_.Status_;
    Port_.beginStream(R->Number_, R->Head_.Status_, R->Head_.Headers_);
  }
  Port_.writeStream(R->Number_, Out);
}

void TrafficCore::onEnd(AttemptNumber A, TimePoint Now) {
  Record *R = find(A);
  if (R == nullptr)
    return;
  if (R->Head_.NotRun_) {
    std::string Why = "status " + std::to_string(R->Head_.Status_);
    // The right engine says so too, while it holds no weights.
    bool IsOther =
        R->Head_.IsOtherEndpoint_ && R->Head_.EndpointId_ != R->At_.str();
    if (IsOther)
      R->Tried_.insert(R->At_);
    endAttempt(*R,
               IsOther ? Placement::End::Failed : Placement::End::TurnedAway,
               "turned_away", Why, false, Now);
    afterTurnedAway(*R, Why, Now);
    return pumpDue(Now);
  }
  if (R->IsEvents_ && !R->Relay_->isWhole()) {
    endAttempt(*R, Placement::End::Failed, "failed",
               "the stream ended within an event", true, Now);
    R->Tried_.insert(R->At_);
    afterFailure(*R, "stream ended early", Now);
    return pumpDue(Now);
  }
  bool IsFailure = R->Head_.Status_ >= status::FirstServerError;
  endAttempt(*R, IsFailure ? Placement::End::Failed : Placement::End::Good,
             "ended", "status " + std::to_string(R->Head_.Status_), true, Now);
  noteDone(R->Service_, Now);
  finishAnswer(*R, Now);
  pumpDue(Now);
}

void TrafficCore::finishAnswer(Record &R, TimePoint Now) {
  if (R.IsStreaming_) {
    Port_.finishStream(R.Number_);
    return close(R, Now);
  }
  bool IsFailure = R.Head_.Status_ >= status::FirstServerError;
  if (IsFailure && R.Route_->Repeat_ != Repeat::Never && !R.CallerGone_) {
    R.Fallback_ = R.Head_;
    R.FallbackBody_ = R.Body_;
    R.Tried_.insert(R.At_);
    return afterFailure(R, "status " + std::to_string(R.Head_.Status_), Now);
  }
  if (!R.FirstByteAt_)
    R.FirstByteAt_ = Now;
  R.Status_ = R.Head_.Status_;
  Port_.respond(R.Number_, R.Head_.Status_, R.Head_.Headers_,
                std::move(R.Body_));
  close(R, Now);
}

void TrafficCore::onFail(AttemptNumber A, bool NeverSent,
                         const std::string &Why, TimePoint Now) {
  Record *R = find(A);
  if (R == nullptr)
    return;
  // The endpoint's statement counts even if its answer was cut after the head.
  bool NotRun = NeverSent || (R->HasHead_ && R->Head_.NotRun_);
  // Nothing arrived at the endpoint, so the next attempt is no repeat of it.
  if (NeverSent && R->TookRepeat_)
    Budget_.giveBack(R->Service_, Now);
  else if (NeverSent)
    R->HasArrived_ = false;
  EndpointId At = R->At_;
  R->Tried_.insert(At);
  endAttempt(*R, Placement::End::Failed, "failed", Why, !NotRun, Now);
  if (NeverSent && Endpoints_.refused(At))
    Placement_.setEndpoints(Endpoints_, *Config_);
  if (NotRun)
    afterTurnedAway(*R, Why, Now);
  else
    afterFailure(*R, Why, Now);
  pumpDue(Now);
}

bool TrafficCore::mayGoElsewhere(const Record &R) const {
  if (R.CallerGone_ || !R.mayRepeat())
    return false;
  if (R.IsStreaming_ && R.Route_->Repeat_ != Repeat::FromEvent)
    return false;
  // Endpoints that have ended meanwhile do not count.
  unsigned Ran = 0;
  for (const EndpointId &Id : R.RanAt_)
    Ran += Endpoints_.find(Id) != nullptr ? 1 : 0;
  return Ran < R.Route_->MaxAttempts_;
}

void TrafficCore::afterFailure(Record &R, const std::string &Why,
                               TimePoint Now) {
  if (R.IsDone_)
    return;
  if (R.CallerGone_)
    return close(R, Now);
  if (!mayGoElsewhere(R) || Now >= R.Deadline_)
    return giveUp(R, Cause::AttemptLost, Now);
  place(R, Now);
}

void TrafficCore::afterTurnedAway(Record &R, const std::string &Why,
                                  TimePoint Now) {
  if (R.IsDone_)
    return;
  if (R.CallerGone_)
    return close(R, Now);
  if (Now >= R.Deadline_)
    return giveUp(R, Cause::DeadlinePassed, Now);
  place(R, Now);
}

// ---- Ends -------------------------------------------------------------------

void TrafficCore::refuse(Record &R, unsigned Status, Cause Why,
                         Duration RetryAfter, TimePoint Now) {
  R.Status_ = Status;
  R.Cause_ = Why;
  if (!R.CallerGone_)
    Port_.refuse(R.Number_, R.Call_, Status, Why, RetryAfter);
  close(R, Now);
}

// The final answer of a request that could not be served, at once.
void TrafficCore::giveUp(Record &R, Cause Why, TimePoint Now) {
  if (R.IsDone_)
    return;
  unqueue(R);
  if (R.Fallback_ && !R.IsStreaming_) {
    R.Status_ = R.Fallback_->Status_;
    R.Cause_ = Why;
    Port_.respond(R.Number_, R.Fallback_->Status_, R.Fallback_->Headers_,
                  std::move(R.FallbackBody_));
    return close(R, Now);
  }
  if (R.IsStreaming_) {
    R.Cause_ = Why;
    Port_.abortStream(R.Number_);
    return close(R, Now);
  }
  if (!R.MayHaveRun_)
    return refuse(R, status::Unavailable, Why, timeToReturn(R.Service_, Now),
                  Now);
  bool IsLate = Why == Cause::DeadlinePassed;
  refuse(R, IsLate ? status::GatewayTimeout : status::BadGateway, Why,
         Duration::zero(), Now);
}

void TrafficCore::close(Record &R, TimePoint Now) {
  if (R.IsDone_)
    return;
  unqueue(R);
  R.IsDone_ = true;
  Closed_.push_back(R.Number_);
  CallReport Report;
  Report.Number_ = R.Number_;
  Report.Id_ = R.Call_.Id_;
  if (R.Route_ != nullptr)
    Report.Route_ = R.Route_->Name_;
  Report.Customer_ = R.Customer_;
  Report.Status_ = R.Status_;
  Report.Cause_ = R.Cause_;
  Report.MayHaveRun_ = R.MayHaveRun_;
  Report.CallerGone_ = R.CallerGone_;
  Report.Attempts_ = R.Attempts_;
  Report.LastEndpoint_ = R.At_;
  Report.ConfigVersion_ = R.Config_ ? R.Config_->version() : 0;
  Report.Events_ = R.Relay_ ? R.Relay_->passed() : 0;
  Report.Waited_ = R.Waited_;
  if (R.FirstByteAt_)
    Report.FirstByte_ = *R.FirstByteAt_ - R.ArrivedAt_;
  Report.LongestGap_ = R.LongestGap_;
  Report.Whole_ = Now - R.ArrivedAt_;
  Port_.tell(Report);
}

void TrafficCore::callerGone(CallNumber N, TimePoint Now) {
  auto Found = Calls_.find(N);
  if (Found == Calls_.end() || Found->second->IsDone_)
    return;
  Record &R = *Found->second;
  R.CallerGone_ = true;
  if (R.Attempt_ != 0) {
    Port_.cancelAttempt(R.Attempt_);
    endAttempt(R, Placement::End::Cancelled, "cancelled", "the caller left",
               true, Now);
  }
  close(R, Now);
  pumpDue(Now);
}

void TrafficCore::noteDone(const ServiceName &Service, TimePoint Now) {
  std::deque<TimePoint> &Ends = Lines_[Service].Ends_;
  Ends.push_back(Now);
  if (Ends.size() > EndsKept)
    Ends.pop_front();
}

// ---- Time -------------------------------------------------------------------

// A request that an old engine has not begun at the version's bound would begin
// on weights that nobody may be served by any more.
bool TrafficCore::waitsAtOldVersion(const Record &R, TimePoint Now) const {
  if (R.Attempt_ == 0 || R.HasHead_ || Duties_.empty())
    return false;
  auto V = Placement_.view(R.At_, Now);
  return V && V->Version_ != 0 &&
         V->Version_ < minVersion(R.Service_, Now, true);
}

// What is left of the goal when an engine's usual time is taken off.
Duration TrafficCore::lineLimit(const Route &R) const {
  Duration Share =
      std::chrono::duration_cast<Duration>(R.Goal_ * Options_.LineShare_);
  return std::max(Options_.LineLeast_, Share);
}

Duration TrafficCore::callerPatience(const Route &R) const {
  constexpr int Goals = 4;
  constexpr int Gaps = 8;
  return std::max({Options_.CallerLeaves_, Duration(Goals * R.Goal_),
                   Duration(Gaps * R.GapGoal_)});
}

void TrafficCore::checkTime(Record &R, TimePoint Now) {
  if (waitsAtOldVersion(R, Now)) {
    Port_.cancelAttempt(R.Attempt_);
    endAttempt(R, Placement::End::Cancelled, "cancelled",
               "waits at an old version", true, Now);
    return afterFailure(R, "old version", Now);
  }
  TimePoint Heard = R.FirstByteAt_ ? R.LastByteAt_ : R.ArrivedAt_;
  bool HasLeft =
      R.Route_->IsStream_ && Now - Heard >= callerPatience(*R.Route_);
  if (Now >= R.Deadline_ || HasLeft) {
    if (R.Attempt_ != 0) {
      Port_.cancelAttempt(R.Attempt_);
      endAttempt(R, Placement::End::Cancelled, "cancelled", "deadline", true,
                 Now);
    }
    return giveUp(R, Cause::DeadlinePassed, Now);
  }
  if (R.IsInLine_) {
    Duration Limit = R.IsStreaming_ ? ResumeWait : lineLimit(*R.Route_);
    if (Now - R.LineSince_ >= Limit)
      giveUp(R, Cause::WaitedTooLong, Now);
    return;
  }
  if (R.Attempt_ == 0 || R.Route_->Repeat_ == Repeat::Never)
    return;
  Duration Limit = Options_.NextEventSilence_;
  if (!R.IsStreaming_ && R.Route_->IsStream_)
    Limit = Options_.FirstEventSilence_;
  else if (!R.IsStreaming_)
    Limit = std::chrono::duration_cast<Duration>((R.Deadline_ - R.ArrivedAt_) *
                                                 Options_.SilenceShare_);
  if (Now - R.HeardAt_ < Limit)
    return;
  R.RanAt_.insert(R.At_);
  R.Tried_.insert(R.At_);
  Placement::Query Q;
  Q.Service_ = R.Service_;
  Q.Tried_ = &R.Tried_;
  Q.MinVersion_ = minVersion(R.Service_, Now);
  if (!mayGoElsewhere(R) || Placement_.usable(Q) == 0)
    return;
  Port_.cancelAttempt(R.Attempt_);
  endAttempt(R, Placement::End::Failed, "failed", "silent", true, Now);
  afterFailure(R, "silent", Now);
}

void TrafficCore::tick(TimePoint Now) {
  if (Endpoints_.tick(Now))
    endpointsChanged(Now);
  std::vector<Record *> Open;
  Open.reserve(Calls_.size());
  for (const auto &[N, R] : Calls_)
    Open.push_back(R.get());
  for (Record *R : Open)
    if (!R->IsDone_)
      checkTime(*R, Now);
  for (const auto &[Name, L] : Lines_)
    if (!L.Queue_.empty())
      Freed_.insert(Name);
  pumpDue(Now);
}

} // namespace hawthornroad
