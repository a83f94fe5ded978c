#include "hawthornroad/routing/ClaimCore.h"

#include <deque>
#include <optional>
#include <unordered_map>

namespace hawthornroad {

namespace {
enum class Phase {
  Creating,
  Reading,
  Confirming,
  Held,
  Settling,
  Checking,
  Revoking,
  Done
};
enum class Event {
  Written,
  Conflict,
  Unanswered,
  Unsent,
  FoundOwn,
  FoundSettled,
  FoundFree,
  FoundTaken,
  Missing,
  Timeout,
  Settle,
  Retry,
  GivenUp
};
enum class Guard { IsFresh, HasTries, SentNothing };
enum class Action {
  Create,
  TakeOver,
  Read,
  ReadLater,
  Confirm,
  Win,
  Tell,
  DenyOutage,
  WriteOutcome,
  WriteNotRun,
  CreateNotRun,
  Touch
};

constexpr double RetryJitter = 0.5;
constexpr unsigned StatusUnavailable = 503;

struct Claim {
  SharedRequest Request_;
  std::size_t State_ = 0;
  // Number of the outstanding call; 0 when there is none.
  std::uint64_t Call_ = 0;
  TimePoint StartedAt_;
  TimePoint SentAt_;
  TimePoint RetryAt_ = TimePoint::max();
  TimePoint GiveUpAt_ = TimePoint::max();
  unsigned Tries_ = 0;
  unsigned WritesSent_ = 0;
  std::string Etag_;
  // The result of the last read.
  std::string FoundText_;
  std::optional<ClaimRecord> Found_;
  // The record as it is, or will be, in the table.
  ClaimRecord Own_;

  Phase phase() const { return static_cast<Phase>(State_); }
};
} // namespace

Chart loadClaimChart(const std::string &Directory) {
  return Chart::load(
      Directory, "claim",
      {.States_ = {"creating", "reading", "confirming", "held", "settling",
                   "checking", "revoking", "done"},
       .Events_ = {"written", "conflict", "unanswered", "unsent", "found_own",
                   "found_settled", "found_free", "found_taken", "missing",
                   "timeout", "settle", "retry", "given_up"},
       .Guards_ = {"is_fresh", "has_tries", "sent_nothing"},
       .Actions_ = {"create", "take_over", "read", "read_later", "confirm",
                    "win", "tell", "deny_outage", "write_outcome",
                    "write_not_run", "create_not_run", "touch"}});
}

struct ClaimCore::State {
  State(Options O, Chart C, Random Rng)
      : Options_(std::move(O)), Chart_(std::move(C)), Rng_(Rng) {}

  void fire(Claim &C, Event E, TimePoint Now);
  bool guard(const Claim &C, Guard G, TimePoint Now) const;
  void perform(Claim &C, Action A, TimePoint Now);
  void write(Claim &C, const ClaimRecord &Record, const std::string &Etag,
             TimePoint Now);
  void writeText(Claim &C, std::string Text, const std::string &Etag,
                 TimePoint Now);
  void read(Claim &C, TimePoint Now);
  void readLater(Claim &C, TimePoint Now);
  void denyOutage(Claim &C, TimePoint Now);
  Event classify(Claim &C, const ClaimCallResult &A, TimePoint Now) const;
  ClaimRecord ownRecord(const CallerRequest &R, TimePoint Now) const;
  std::int64_t epochMs(TimePoint At) const;
  void updateOutage(ClaimCallResult::Kind Kind);
  Actions takeActions();

  Options Options_;
  Chart Chart_;
  Random Rng_;
  std::int64_t WallClockMs_ = 0;
  TimePoint WallClockAt_;
  std::uint64_t NextCall_ = 1;
  unsigned ConsecutiveFailures_ = 0;
  TimePoint LastProbe_;
  std::uint64_t Dropped_ = 0;
  std::unordered_map<RequestId, Claim> Claims_;
  std::deque<RequestId> Revoking_;
  std::vector<RequestId> Done_;
  Actions Out_;
};

std::int64_t ClaimCore::State::epochMs(TimePoint At) const {
  return WallClockMs_ +
         std::chrono::duration_cast<Milliseconds>(At - WallClockAt_).count();
}

ClaimRecord ClaimCore::State::ownRecord(const CallerRequest &R,
                                        TimePoint Now) const {
  ClaimRecord NewRecord;
  NewRecord.Token_ = R.Id_.str() + "@" + std::to_string(Options_.Incarnation_);
  NewRecord.Holder_ = Options_.Holder_;
  NewRecord.Call_ = callHash(R);
  NewRecord.DeadlineMs_ = epochMs(R.Deadline_);
  auto Keep = std::chrono::duration_cast<Milliseconds>(Options_.Keep_).count();
  NewRecord.ExpiresMs_ = NewRecord.DeadlineMs_ + Keep;
  return NewRecord;
}

void ClaimCore::State::fire(Claim &C, Event E, TimePoint Now) {
  Chart::Step S =
      Chart_.fire(C.State_, static_cast<std::size_t>(E), [&](std::size_t G) {
        return guard(C, static_cast<Guard>(G), Now);
      });
  if (!S.Taken_)
    return;
  C.State_ = S.Next_;
  for (std::size_t Index : S.Actions_)
    perform(C, static_cast<Action>(Index), Now);
  if (Chart_.isFinal(C.State_))
    Done_.push_back(C.Request_->Id_);
}

bool ClaimCore::State::guard(const Claim &C, Guard G, TimePoint Now) const {
  switch (G) {
  case Guard::IsFresh:
    return Now - C.SentAt_ <= Options_.FreshFor_;
  case Guard::HasTries:
    return C.Tries_ < Options_.MaxTries_;
  case Guard::SentNothing:
    return C.WritesSent_ <= 1;
  }
  return false;
}

void ClaimCore::State::perform(Claim &C, Action A, TimePoint Now) {
  switch (A) {
  case Action::Create:
    ++C.Tries_;
    return write(C, C.Own_, "", Now);
  case Action::TakeOver:
    ++C.Tries_;
    return write(C, C.Own_, C.Etag_, Now);
  case Action::Read:
    return read(C, Now);
  case Action::ReadLater:
    return readLater(C, Now);
  case Action::Confirm:
    return write(C, C.Own_, C.Etag_, Now);
  case Action::Win:
    Out_.push_back(ClaimVerdict(ClaimWon{C.Request_->Id_}));
    return;
  case Action::Tell:
    Out_.push_back(claimVerdict(*C.Request_, C.Found_.value_or(ClaimRecord{}),
                                epochMs(Now), Options_.ClockSlack_));
    return;
  case Action::DenyOutage:
    return denyOutage(C, Now);
  case Action::WriteOutcome:
    return write(C, C.Own_, C.Etag_, Now);
  case Action::WriteNotRun:
    C.Own_.Phase_ = ClaimPhase::NotRun;
    return write(C, C.Own_, C.Etag_, Now);
  case Action::CreateNotRun:
    C.Own_.Phase_ = ClaimPhase::NotRun;
    return write(C, C.Own_, "", Now);
  case Action::Touch:
    return writeText(C, C.FoundText_, C.Etag_, Now);
  }
}

void ClaimCore::State::write(Claim &C, const ClaimRecord &Record,
                             const std::string &Etag, TimePoint Now) {
  writeText(C, toText(Record), Etag, Now);
}

void ClaimCore::State::writeText(Claim &C, std::string Text,
                                 const std::string &Etag, TimePoint Now) {
  C.Call_ = NextCall_++;
  C.SentAt_ = Now;
  C.RetryAt_ = TimePoint::max();
  ++C.WritesSent_;
  Out_.push_back(ClaimWrite{C.Request_->Id_, C.Call_, claimKey(*C.Request_),
                            std::move(Text), Etag});
}

void ClaimCore::State::read(Claim &C, TimePoint Now) {
  C.Call_ = NextCall_++;
  C.SentAt_ = Now;
  C.RetryAt_ = TimePoint::max();
  Out_.push_back(ClaimRead{C.Request_->Id_, C.Call_, claimKey(*C.Request_)});
}

void ClaimCore::State::readLater(Claim &C, TimePoint Now) {
  C.Call_ = 0;
  C.RetryAt_ = Now + Rng_.jitter(Options_.RetryPeriod_, RetryJitter);
}

// Gives up the dispatch permanently: from here on the claim can only be
// revoked.
void ClaimCore::State::denyOutage(Claim &C, TimePoint Now) {
  ClaimDenied D;
  D.Request_ = C.Request_->Id_;
  D.Problem_.Status_ = StatusUnavailable;
  D.Problem_.Outcome_ = Outcome::NotRun;
  D.Problem_.Step_ = Step::Table;
  D.Problem_.Cause_ = "table_unavailable";
  D.Problem_.Detail_ = "the key could not be claimed; this request was not run";
  D.Problem_.RetryAfter_ = Rng_.jitter(Seconds(1), RetryJitter);
  Out_.push_back(ClaimVerdict(std::move(D)));
  if (C.phase() != Phase::Revoking)
    return;
  C.GiveUpAt_ = Now + Options_.GiveUpAfter_;
  readLater(C, Now);
  Revoking_.push_back(C.Request_->Id_);
  while (Revoking_.size() > Options_.MaxRevoking_) {
    auto Oldest = Claims_.find(Revoking_.front());
    Revoking_.pop_front();
    if (Oldest == Claims_.end() || Oldest->second.phase() != Phase::Revoking)
      continue;
    ++Dropped_;
    fire(Oldest->second, Event::GivenUp, Now);
  }
}

Event ClaimCore::State::classify(Claim &C, const ClaimCallResult &A,
                                 TimePoint Now) const {
  switch (A.Kind_) {
  case ClaimCallResult::Kind::Written:
    C.Etag_ = A.Etag_;
    return Event::Written;
  case ClaimCallResult::Kind::Conflict:
    return Event::Conflict;
  case ClaimCallResult::Kind::Missing:
    return Event::Missing;
  case ClaimCallResult::Kind::Unanswered:
    return Event::Unanswered;
  case ClaimCallResult::Kind::Unsent:
    return Event::Unsent;
  case ClaimCallResult::Kind::Found:
    break;
  }
  C.Etag_ = A.Etag_;
  C.FoundText_ = A.Value_;
  C.Found_ = parseClaim(A.Value_);
  if (!C.Found_)
    return Event::FoundTaken;
  if (C.Found_->Token_ == C.Own_.Token_)
    return C.Found_->Phase_ == ClaimPhase::Dispatched ? Event::FoundOwn
                                                      : Event::FoundSettled;
  bool Expired = epochMs(Now) > C.Found_->ExpiresMs_;
  bool Free = Expired || C.Found_->Phase_ == ClaimPhase::NotRun;
  return Free ? Event::FoundFree : Event::FoundTaken;
}

void ClaimCore::State::updateOutage(ClaimCallResult::Kind Kind) {
  bool Failed = Kind == ClaimCallResult::Kind::Unanswered ||
                Kind == ClaimCallResult::Kind::Unsent;
  ConsecutiveFailures_ = Failed ? ConsecutiveFailures_ + 1 : 0;
}

ClaimCore::Actions ClaimCore::State::takeActions() {
  for (RequestId Id : Done_)
    Claims_.erase(Id);
  Done_.clear();
  return std::exchange(Out_, {});
}

ClaimCore::ClaimCore(Options O, Chart C, Random Rng)
    : State_(std::make_unique<State>(std::move(O), std::move(C), Rng)) {}

ClaimCore::~ClaimCore() = default;

void ClaimCore::setWallClock(std::int64_t EpochMs, TimePoint Now) {
  State_->WallClockMs_ = EpochMs;
  State_->WallClockAt_ = Now;
}

ClaimCore::Actions ClaimCore::start(SharedRequest R, TimePoint Now) {
  State &S = *State_;
  RequestId Id = R->Id_;
  Claim &C = S.Claims_[Id];
  C.Request_ = std::move(R);
  C.State_ = S.Chart_.initial();
  C.StartedAt_ = Now;
  C.Own_ = S.ownRecord(*C.Request_, Now);
  bool Outage = S.ConsecutiveFailures_ >= S.Options_.OutageAfter_;
  if (Outage && Now - S.LastProbe_ < S.Options_.ProbePeriod_) {
    S.fire(C, Event::Unsent, Now);
    return S.takeActions();
  }
  S.LastProbe_ = Now;
  S.perform(C, Action::Create, Now);
  return S.takeActions();
}

ClaimCore::Actions ClaimCore::tableCallEnded(const ClaimCallResult &A,
                                             TimePoint Now) {
  State &S = *State_;
  S.updateOutage(A.Kind_);
  auto Found = S.Claims_.find(A.Request_);
  // Also drops the result of a call that is no longer awaited: its claim is
  // being revoked.
  if (Found == S.Claims_.end() || Found->second.Call_ != A.Call_)
    return {};
  Claim &C = Found->second;
  C.Call_ = 0;
  S.fire(C, S.classify(C, A, Now), Now);
  return S.takeActions();
}

ClaimCore::Actions ClaimCore::settle(const SettleClaim &Settled,
                                     TimePoint Now) {
  State &S = *State_;
  auto Found = S.Claims_.find(Settled.Request_);
  if (Found == S.Claims_.end())
    return {};
  Claim &C = Found->second;
  C.Own_.Answer_ = Settled.Answer_;
  if (Settled.Outcome_ == Outcome::Answered)
    C.Own_.Phase_ = ClaimPhase::Answered;
  else
    C.Own_.Phase_ = Settled.Outcome_ == Outcome::NotRun ? ClaimPhase::NotRun
                                                        : ClaimPhase::Unknown;
  C.GiveUpAt_ = Now + S.Options_.GiveUpAfter_;
  S.fire(C, Event::Settle, Now);
  return S.takeActions();
}

ClaimCore::Actions ClaimCore::tick(TimePoint Now) {
  State &S = *State_;
  for (auto &[Id, C] : S.Claims_) {
    if (S.Chart_.isFinal(C.State_))
      continue;
    if (Now >= C.GiveUpAt_) {
      ++S.Dropped_;
      S.fire(C, Event::GivenUp, Now);
    } else if (Now >= C.RetryAt_) {
      C.RetryAt_ = TimePoint::max();
      S.fire(C, Event::Retry, Now);
    } else if (Now - C.StartedAt_ >= S.Options_.Timeout_) {
      S.fire(C, Event::Timeout, Now);
    }
  }
  return S.takeActions();
}

std::size_t ClaimCore::open() const { return State_->Claims_.size(); }

std::uint64_t ClaimCore::dropped() const { return State_->Dropped_; }

} // namespace hawthornroad
