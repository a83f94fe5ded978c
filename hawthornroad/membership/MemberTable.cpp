#include "hawthornroad/membership/MemberTable.h"

#include "hawthornroad/config/InForceSet.h"

#include <array>
#include <cmath>

namespace hawthornroad {

namespace {

// Positions in memberChartNames(). The first four states and events are in the
// order of MemberState.
enum State : std::size_t { Forgotten = 4 };
enum Event : std::size_t { DeadlinePassed = 4 };
enum Guard : std::size_t { IsNewer, IsCurrent };
enum Action : std::size_t {
  TakeIncarnation,
  StartSuspicion,
  StartRetention,
  Forget,
  TellSuspected,
  TellCleared,
  TellDied,
  TellLeft,
  TellReturned
};

using Kind = MemberChange::Kind;

std::size_t index(MemberState S) { return static_cast<std::size_t>(S); }

} // namespace

ChartNames memberChartNames() {
  return {.States_ = {"alive", "suspect", "dead", "left", "forgotten"},
          .Events_ = {"alive_news", "suspect_news", "dead_news", "left_news",
                      "time_is_up"},
          .Guards_ = {"is_newer", "is_current"},
          .Actions_ = {"take_incarnation", "start_suspicion", "start_keeping",
                       "forget", "tell_suspected", "tell_cleared", "tell_died",
                       "tell_left", "tell_returned"}};
}

std::string_view toString(MemberChange::Kind K) {
  static constexpr std::array<std::string_view, 10> Names = {
      "joined",   "suspected", "cleared", "died",     "left",
      "returned", "restarted", "revised", "reported", "refuted"};
  return Names[static_cast<std::size_t>(K)];
}

MemberTable::MemberTable(Chart C, Member Self, Limits L)
    : Chart_(std::move(C)), Self_(std::move(Self)), Limits_(L) {}

const Member *MemberTable::find(const ProcessName &Process) const {
  auto Found = Records_.find(Process);
  return Found == Records_.end() ? nullptr : &Found->second.Member_;
}

const Member *MemberTable::randomOf(const std::vector<ProcessName> &List,
                                    Random &R) const {
  return List.empty() ? nullptr : find(List[R.below(List.size())]);
}

Duration MemberTable::suspicionTimeout() const {
  double Factor = std::max(1.0, std::log10(static_cast<double>(Live_.size())));
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Limits_.Suspicion_) * Factor);
}

MemberTable::Changes MemberTable::applyUpdate(const Member &Update,
                                              TimePoint Now) {
  if (Update.Process_ == Self_.Process_)
    return applySelfUpdate(Update);
  Changes Out;
  auto Found = Records_.find(Update.Process_);
  if (Found == Records_.end()) {
    addMember(Update, Now, Out);
    return Out;
  }
  // Copied because firing an event may erase the record.
  ProcessName Process = Update.Process_;
  mergeRevisionAndReport(Found->second, Update, Out);
  fire(Found->second, index(Update.State_), Update.Incarnation_, Now, Out);
  return Out;
}

// Handles an update that holds this process suspect, dead or left, or that has
// a higher incarnation than its own. The latter happens when the clock stepped
// back over a restart: the new process then looks older than its predecessor,
// and other members would ignore its updates.
MemberTable::Changes MemberTable::applySelfUpdate(const Member &Update) {
  if (Self_.State_ == MemberState::Left)
    return {};
  bool Contradicts = Update.Incarnation_ > Self_.Incarnation_ ||
                     (Update.Incarnation_ == Self_.Incarnation_ &&
                      Update.State_ != MemberState::Alive);
  if (!Contradicts)
    return {};
  Self_.Incarnation_ = Update.Incarnation_ + 1;
  return {{Kind::Refuted, Self_.Process_, nullptr}};
}

void MemberTable::addMember(const Member &Update, TimePoint Now, Changes &Out) {
  if (Records_.size() >= Limits_.MaxMembers_) {
    ++Refused_;
    return;
  }
  Record &R = Records_[Update.Process_];
  ByMark_[InForceSet::mark(Update.Process_)] = Update.Process_;
  R.Member_ = Update;
  R.Member_.State_ = MemberState::Alive;
  bool Gone = !Update.isLive();
  if (Gone)
    R.Member_.State_ = Update.State_;
  addToList(R);
  if (Gone) {
    setDeadline(R, Now + Limits_.RetainGoneFor_);
    return;
  }
  Out.push_back({Kind::Joined, Update.Process_, nullptr});
  if (Update.Report_)
    Out.push_back({Kind::Reported, Update.Process_, Update.Report_});
  if (Update.State_ == MemberState::Suspect)
    fire(R, index(Update.State_), Update.Incarnation_, Now, Out);
}

// Called before the state changes, so that a listener notified of a return
// already finds the new report.
void MemberTable::mergeRevisionAndReport(Record &R, const Member &Update,
                                         Changes &Out) {
  Member &Known = R.Member_;
  bool Newer = Update.Incarnation_ > Known.Incarnation_;
  if (Newer) {
    Known.Role_ = Update.Role_;
    Known.Zone_ = Update.Zone_;
    Known.Address_ = Update.Address_;
  }
  if (Update.Incarnation_ >= Known.Incarnation_ + RestartGap) {
    Out.push_back({Kind::Restarted, Known.Process_, Known.Report_});
    Known.Report_ = nullptr;
  }
  bool Later = Newer ? Update.Revision_ != Known.Revision_
                     : Update.Incarnation_ == Known.Incarnation_ &&
                           Update.Revision_ > Known.Revision_;
  if (Later) {
    Known.Revision_ = Update.Revision_;
    Out.push_back({Kind::Revised, Known.Process_, nullptr});
  }
  if (!Update.Report_)
    return;
  if (Known.Report_ && !Update.Report_->supersedes(*Known.Report_))
    return;
  bool LoadOnly =
      Known.Report_ && !differBeyondLoad(*Known.Report_, *Update.Report_);
  Known.Report_ = Update.Report_;
  Out.push_back({Kind::Reported, Known.Process_, Known.Report_, LoadOnly});
}

MemberTable::Changes MemberTable::suspect(const ProcessName &Process,
                                          TimePoint Now) {
  Changes Out;
  auto Found = Records_.find(Process);
  if (Found == Records_.end())
    return Out;
  fire(Found->second, index(MemberState::Suspect),
       Found->second.Member_.Incarnation_, Now, Out);
  return Out;
}

void MemberTable::noteInForce(std::uint32_t Mark, Revision R) {
  auto Found = ByMark_.find(Mark);
  if (Found == ByMark_.end())
    return;
  Member &Known = Records_.at(Found->second).Member_;
  Known.Revision_ = std::max(Known.Revision_, R);
}

MemberTable::Changes MemberTable::tick(TimePoint Now) {
  Changes Out;
  while (!Deadlines_.empty() && Deadlines_.begin()->first <= Now) {
    Record &R = Records_.at(Deadlines_.begin()->second);
    setDeadline(R, TimePoint::max());
    fire(R, DeadlinePassed, R.Member_.Incarnation_, Now, Out);
  }
  return Out;
}

void MemberTable::shiftDeadlines(Duration Gap) {
  std::set<std::pair<TimePoint, ProcessName>> Moved;
  for (const auto &[At, Process] : Deadlines_) {
    Records_.at(Process).Deadline_ = At + Gap;
    Moved.emplace(At + Gap, Process);
  }
  Deadlines_ = std::move(Moved);
}

void MemberTable::fire(Record &R, std::size_t Event, Incarnation I,
                       TimePoint Now, Changes &Out) {
  Incarnation Known = R.Member_.Incarnation_;
  Chart::Step Step =
      Chart_.fire(index(R.Member_.State_), Event, [&](std::size_t Guard) {
        return Guard == IsNewer ? I > Known : I >= Known;
      });
  if (!Step.Taken_)
    return;
  bool WasLive = R.Member_.isLive();
  if (Step.Next_ != Forgotten)
    R.Member_.State_ = static_cast<MemberState>(Step.Next_);
  if (R.Member_.isLive() != WasLive) {
    removeFromList(R, WasLive ? Live_ : Gone_);
    addToList(R);
  }
  if (R.Member_.State_ == MemberState::Alive)
    setDeadline(R, TimePoint::max());
  for (std::size_t Each : Step.Actions_)
    runAction(R, Each, I, Now, Out);
}

void MemberTable::runAction(Record &R, std::size_t Action, Incarnation I,
                            TimePoint Now, Changes &Out) {
  const ProcessName Process = R.Member_.Process_;
  switch (Action) {
  case TakeIncarnation:
    R.Member_.Incarnation_ = I;
    return;
  case StartSuspicion:
    return setDeadline(R, Now + suspicionTimeout());
  case StartRetention:
    return setDeadline(R, Now + Limits_.RetainGoneFor_);
  case Forget:
    setDeadline(R, TimePoint::max());
    removeFromList(R, Gone_);
    ByMark_.erase(InForceSet::mark(Process));
    Records_.erase(Process);
    return;
  case TellSuspected:
    return Out.push_back({Kind::Suspected, Process, R.Member_.Report_});
  case TellCleared:
    return Out.push_back({Kind::Cleared, Process, R.Member_.Report_});
  case TellDied:
    return Out.push_back({Kind::Died, Process, R.Member_.Report_});
  case TellLeft:
    return Out.push_back({Kind::Left, Process, R.Member_.Report_});
  case TellReturned:
    return Out.push_back({Kind::Returned, Process, R.Member_.Report_});
  }
}

void MemberTable::setDeadline(Record &R, TimePoint At) {
  if (R.Deadline_ != TimePoint::max())
    Deadlines_.erase({R.Deadline_, R.Member_.Process_});
  R.Deadline_ = At;
  if (At != TimePoint::max())
    Deadlines_.emplace(At, R.Member_.Process_);
}

void MemberTable::addToList(Record &R) {
  std::vector<ProcessName> &List = R.Member_.isLive() ? Live_ : Gone_;
  R.ListIndex_ = List.size();
  List.push_back(R.Member_.Process_);
  ++Version_;
}

void MemberTable::removeFromList(Record &R, std::vector<ProcessName> &List) {
  List[R.ListIndex_] = List.back();
  Records_.at(List[R.ListIndex_]).ListIndex_ = R.ListIndex_;
  List.pop_back();
  ++Version_;
}

} // namespace hawthornroad
