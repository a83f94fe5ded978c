#include "hawthornroad/membership/MemberTable.h"

#include "hawthornroad/config/InForceSet.h"

#include <array>
#include <cmath>

namespace hawthornroad {

namespace {

// Positions in memberChartNames(). The first four states and events stand in
// the order of MemberState.
enum State : std::size_t { Forgotten = 4 };
enum Event : std::size_t { TimeIsUp = 4 };
enum Guard : std::size_t { IsNewer, IsCurrent };
enum Action : std::size_t {
  TakeIncarnation,
  StartSuspicion,
  StartKeeping,
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

Duration MemberTable::suspicion() const {
  double Factor = std::max(1.0, std::log10(static_cast<double>(Live_.size())));
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Limits_.Suspicion_) * Factor);
}

MemberTable::Changes MemberTable::hear(const Member &News, TimePoint Now) {
  if (News.Process_ == Self_.Process_)
    return hearOfSelf(News);
  Changes Out;
  auto Found = Records_.find(News.Process_);
  if (Found == Records_.end()) {
    admit(News, Now, Out);
    return Out;
  }
  // A copy of the name: firing may erase the record.
  ProcessName Process = News.Process_;
  mergeFacts(Found->second, News, Out);
  fire(Found->second, index(News.State_), News.Incarnation_, Now, Out);
  return Out;
}

// Word that this process is suspected, dead or gone, or of a higher
// incarnation than its own: a clock that stepped back over a restart makes a
// new process look older than its predecessor, and nobody would believe it.
MemberTable::Changes MemberTable::hearOfSelf(const Member &News) {
  if (Self_.State_ == MemberState::Left)
    return {};
  bool Contradicts = News.Incarnation_ > Self_.Incarnation_ ||
                     (News.Incarnation_ == Self_.Incarnation_ &&
                      News.State_ != MemberState::Alive);
  if (!Contradicts)
    return {};
  Self_.Incarnation_ = News.Incarnation_ + 1;
  return {{Kind::Refuted, Self_.Process_, nullptr}};
}

void MemberTable::admit(const Member &News, TimePoint Now, Changes &Out) {
  if (Records_.size() >= Limits_.MaxMembers_) {
    ++Refused_;
    return;
  }
  Record &R = Records_[News.Process_];
  ByMark_[InForceSet::mark(News.Process_)] = News.Process_;
  R.Member_ = News;
  R.Member_.State_ = MemberState::Alive;
  bool Gone = !News.isLive();
  if (Gone)
    R.Member_.State_ = News.State_;
  place(R);
  if (Gone) {
    setDeadline(R, Now + Limits_.DeadKeep_);
    return;
  }
  Out.push_back({Kind::Joined, News.Process_, nullptr});
  if (News.Report_)
    Out.push_back({Kind::Reported, News.Process_, News.Report_});
  if (News.State_ == MemberState::Suspect)
    fire(R, index(News.State_), News.Incarnation_, Now, Out);
}

// Before the state, so that one who is told of a return finds the new report.
void MemberTable::mergeFacts(Record &R, const Member &News, Changes &Out) {
  Member &Known = R.Member_;
  bool Newer = News.Incarnation_ > Known.Incarnation_;
  if (Newer) {
    Known.Role_ = News.Role_;
    Known.Zone_ = News.Zone_;
    Known.Address_ = News.Address_;
  }
  if (News.Incarnation_ >= Known.Incarnation_ + RestartGap) {
    Out.push_back({Kind::Restarted, Known.Process_, Known.Report_});
    Known.Report_ = nullptr;
  }
  bool Later = Newer ? News.Revision_ != Known.Revision_
                     : News.Incarnation_ == Known.Incarnation_ &&
                           News.Revision_ > Known.Revision_;
  if (Later) {
    Known.Revision_ = News.Revision_;
    Out.push_back({Kind::Revised, Known.Process_, nullptr});
  }
  if (!News.Report_)
    return;
  if (Known.Report_ && !News.Report_->supersedes(*Known.Report_))
    return;
  bool LoadOnly =
      Known.Report_ && !differBeyondLoad(*Known.Report_, *News.Report_);
  Known.Report_ = News.Report_;
  Out.push_back({Kind::Reported, Known.Process_, Known.Report_, LoadOnly});
}

MemberTable::Changes MemberTable::accuse(const ProcessName &Process,
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
    fire(R, TimeIsUp, R.Member_.Incarnation_, Now, Out);
  }
  return Out;
}

void MemberTable::shift(Duration Gap) {
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
    unplace(R, WasLive ? Live_ : Gone_);
    place(R);
  }
  if (R.Member_.State_ == MemberState::Alive)
    setDeadline(R, TimePoint::max());
  for (std::size_t Each : Step.Actions_)
    perform(R, Each, I, Now, Out);
}

void MemberTable::perform(Record &R, std::size_t Action, Incarnation I,
                          TimePoint Now, Changes &Out) {
  const ProcessName Process = R.Member_.Process_;
  switch (Action) {
  case TakeIncarnation:
    R.Member_.Incarnation_ = I;
    return;
  case StartSuspicion:
    return setDeadline(R, Now + suspicion());
  case StartKeeping:
    return setDeadline(R, Now + Limits_.DeadKeep_);
  case Forget:
    setDeadline(R, TimePoint::max());
    unplace(R, Gone_);
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

void MemberTable::place(Record &R) {
  std::vector<ProcessName> &List = R.Member_.isLive() ? Live_ : Gone_;
  R.Place_ = List.size();
  List.push_back(R.Member_.Process_);
  ++Version_;
}

void MemberTable::unplace(Record &R, std::vector<ProcessName> &List) {
  List[R.Place_] = List.back();
  Records_.at(List[R.Place_]).Place_ = R.Place_;
  List.pop_back();
  ++Version_;
}

} // namespace hawthornroad
