#include "hawthornroad/membership/Membership.h"

#include <algorithm>
#include <cmath>

namespace hawthornroad {

namespace {

// Relayed probes count from here, so that their answers are never taken for
// answers to this process's own.
constexpr std::uint64_t FirstRelay = std::uint64_t{1} << 62;
// Word is passed on this often per decade of the fleet's size.
constexpr double TransmitsPerDecade = 4;
// Marks are small, and those that reach a process before the revision does are
// lost on it.
constexpr std::size_t MarkFactor = 4;

using Kind = MemberChange::Kind;

// Where the sender of a message is reached later: the address it gives of
// itself, as the one a frame came from may be that of a proxy or a listener
// behind one.
PeerAddress lastingAddress(const PeerAddress &From,
                           const std::vector<Member> &Members) {
  if (Members.empty() || Members.front().Address_.empty())
    return From;
  return Members.front().Address_;
}

} // namespace

Membership::Membership(Chart C, Member Self, const Setup &S, Random Rng)
    : Setup_(S), Rng_(Rng), Table_(std::move(C), Self, S.Table_),
      Prober_(Random(Rng_.next()), Self.Zone_, S.Prober_), Queue_({}),
      Plan_(S.Report_), LastRelay_(FirstRelay), EagerTokens_(S.EagerBurst_) {}

void Membership::setContacts(Source From, std::vector<PeerAddress> Contacts) {
  std::set<PeerAddress> &Known = Contacts_[static_cast<std::size_t>(From)];
  Known = std::set<PeerAddress>(Contacts.begin(), Contacts.end());
  Known.erase(Table_.self().Address_);
}

void Membership::setRevisions(Revision Held, Revision InForce) {
  Held_ = Held;
  Table_.setRevision(InForce);
  InForce_.begin(Held);
  if (InForce == Held)
    InForce_.add(InForceSet::mark(Table_.self().Process_));
}

std::vector<std::uint32_t> Membership::marks() {
  return InForce_.pick(Setup_.Marks_, MarkFactor * transmits());
}

std::size_t Membership::transmits() const {
  double Members = static_cast<double>(Table_.live().size() + 2);
  return static_cast<std::size_t>(
      std::ceil(TransmitsPerDecade * std::log10(Members)));
}

std::vector<const Member *> Membership::randomPeers(std::size_t Count) {
  std::vector<const Member *> Out;
  std::size_t Draws = 3 * Count;
  while (Out.size() < Count && Draws-- > 0) {
    const Member *Drawn = Table_.randomLive(Rng_);
    if (Drawn == nullptr)
      break;
    if (std::find(Out.begin(), Out.end(), Drawn) == Out.end())
      Out.push_back(Drawn);
  }
  return Out;
}

void Membership::tick(TimePoint Now, Output &Out) {
  if (LastTick_ != TimePoint{} && Now - LastTick_ >= Setup_.PauseAfter_) {
    // This process stood still (its VM was frozen, or it got no processor).
    // Probes it sent seem unanswered and suspicions seem to have run out; taken
    // at their word, it would call half the fleet dead on waking.
    Table_.shift(Now - LastTick_);
    Prober_.forgetOutstanding();
  }
  double Elapsed = LastTick_ == TimePoint{}
                       ? 0
                       : std::chrono::duration<double>(Now - LastTick_).count();
  LastTick_ = Now;
  EagerTokens_ =
      std::min(Setup_.EagerBurst_, EagerTokens_ + Elapsed * Setup_.EagerRate_);
  note(Table_.tick(Now), true, Now, Out);
  Prober::Orders Orders = Prober_.tick(Table_, Now);
  for (const ProcessName &Each : Orders.Unanswered_)
    note(Table_.accuse(Each, Now), true, Now, Out);
  for (const Prober::Order &Each : Orders.Probes_)
    sendProbe(Each, Out);
  sendReport(Now, Out);
  std::erase_if(Relays_,
                [&](const auto &Each) { return Each.second.Until_ <= Now; });
  remindSuspects(Now, Out);
  spreadEagerly(Now, Out);
  seekContacts(Now, Out);
  pumpSyncs(Now, Out);
}

void Membership::sendProbe(const Prober::Order &O, Output &Out) {
  const Member *To = Table_.find(O.To_);
  if (To == nullptr)
    return;
  Out.Sends_.push_back(
      {To->Address_,
       ProbeMessage{O.Sequence_, O.Target_, news(O.To_), Held_, marks()},
       O.Fresh_});
}

void Membership::handle(const PeerAddress &From, const ProbeMessage &M,
                        TimePoint Now, Output &Out) {
  learn(From, M.Members_, M.Revision_, M.InForce_, Now, Out);
  if (!M.Target_.empty())
    return relay(From, M, Now, Out);
  ProcessName Reader =
      M.Members_.empty() ? ProcessName() : M.Members_.front().Process_;
  // One that cannot be served now gets no answer and asks elsewhere.
  if (M.Sequence_ == JoinSequence &&
      !beginSync(lastingAddress(From, M.Members_)))
    return;
  answer(From, M.Sequence_, Table_.self().Process_, Reader, Out);
}

void Membership::relay(const PeerAddress &From, const ProbeMessage &M,
                       TimePoint Now, Output &Out) {
  const Member *Target = Table_.find(M.Target_);
  if (Target == nullptr || Relays_.size() >= Setup_.MaxRelays_)
    return;
  std::uint64_t Sequence = ++LastRelay_;
  Relays_[Sequence] = {lastingAddress(From, M.Members_), M.Sequence_, M.Target_,
                       Now + Setup_.Prober_.Period_ + Setup_.Prober_.Timeout_};
  Out.Sends_.push_back(
      {Target->Address_,
       ProbeMessage{Sequence, {}, news(Target->Process_), Held_, marks()},
       false});
}

void Membership::handle(const PeerAddress &From, const AckMessage &M,
                        TimePoint Now, Output &Out) {
  if (learn(From, M.Members_, M.Revision_, M.InForce_, Now, Out))
    tellOfSelf(From, Out);
  auto Relayed = Relays_.find(M.Sequence_);
  if (Relayed != Relays_.end()) {
    Relay R = std::move(Relayed->second);
    Relays_.erase(Relayed);
    return answer(R.Asker_, R.Sequence_, R.Target_, {}, Out);
  }
  if (M.Sequence_ == JoinSequence) {
    Joined_ = true;
    JoinedSince_ = 0;
  }
  Prober_.answered(M.Sequence_);
  // One that answers while held suspect or dead has to refute; it may have
  // missed the word about it.
  const Member *Who = Table_.find(M.Process_);
  if (Who != nullptr && Who->State_ != MemberState::Alive)
    tellOf(M.Process_, Who->Address_, Out);
}

void Membership::handle(const PeerAddress &From, const GossipMessage &M,
                        TimePoint Now, Output &Out) {
  if (learn(From, M.Members_, M.Revision_, M.InForce_, Now, Out))
    tellOfSelf(From, Out);
}

void Membership::handle(const PeerAddress &From, const ReportMessage &M,
                        TimePoint Now, Output &Out) {
  const EndpointStatus &Status = M.Status_;
  const Member *Known = Table_.find(Status.Process_);
  Member News;
  if (Known != nullptr) {
    News = *Known;
  } else {
    News.Process_ = Status.Process_;
    News.Incarnation_ = Status.Incarnation_;
    News.Role_ = "agent";
    News.Zone_ = Status.Zone_;
    News.Address_ = Status.Address_;
  }
  News.Report_ = std::make_shared<const EndpointStatus>(Status);
  // Its load is no news for others: they hear of it with the rest, by chance.
  note(Table_.hear(News, Now), true, Now, Out);
  // One that reports while held suspect or dead has to refute first.
  if (Known != nullptr && Known->State_ != MemberState::Alive)
    tellOf(Status.Process_, Known->Address_, Out);
}

bool Membership::learn(const PeerAddress &From,
                       const std::vector<Member> &Members, Revision Held,
                       const std::vector<std::uint32_t> &Marks, TimePoint Now,
                       Output &Out) {
  bool Accused = false;
  bool PassOn = Members.size() <= Setup_.MaxNews_;
  for (const Member &Each : Members) {
    note(Table_.hear(Each, Now), PassOn, Now, Out);
    Accused = Accused || (Each.Process_ == Table_.self().Process_ &&
                          Each.State_ != MemberState::Alive);
  }
  if (Held == Held_)
    for (std::uint32_t Each : Marks)
      if (InForce_.add(Each))
        Table_.noteInForce(Each, Held);
  if (Held > 0)
    Out.Revisions_.push_back({From, Held});
  return Accused;
}

void Membership::note(const MemberTable::Changes &Changes, bool PassOn,
                      TimePoint Now, Output &Out) {
  for (const MemberChange &Each : Changes) {
    noteOne(Each, PassOn, Now, Out);
    Out.Changes_.push_back(Each);
  }
}

void Membership::noteJoined(const MemberChange &C, bool PassOn, TimePoint Now) {
  if (PassOn)
    Queue_.add(C.Process_, NewsRank::State, true);
  if (++JoinedSince_ < Setup_.MassJoin_ || !Joined_)
    return;
  JoinedSince_ = 0;
  Joined_ = false;
  NextContact_ = std::min<TimePoint>(
      NextContact_, Now + Rng_.jitter(Setup_.JoinPeriod_, 0.5));
}

// The suspect must hear of it to refute in time, and this process must hear
// that it did. Who still holds it suspect at half time asks it directly.
void Membership::noteSuspected(const MemberChange &C, TimePoint Now,
                               Output &Out) {
  Queue_.add(C.Process_, NewsRank::State, false);
  Reminders_.emplace(Now + Table_.suspicion() / 2, C.Process_);
  Reminders_.emplace(Now + Table_.suspicion() * 4 / 5, C.Process_);
  double Viewers = static_cast<double>(Table_.live().size() + 1);
  if (Rng_.unit() * Viewers < Setup_.Tellers_)
    tellOf(C.Process_, Table_.find(C.Process_)->Address_, Out);
}

void Membership::noteOne(const MemberChange &C, bool PassOn, TimePoint Now,
                         Output &Out) {
  switch (C.Kind_) {
  case Kind::Revised:
    // Marks tell the others.
    return;
  case Kind::Reported:
    // Load heard by chance is not passed on, or each would pass on each.
    if (C.LoadOnly_ || !PassOn)
      return;
    return Queue_.add(C.Process_, NewsRank::Endpoint, true);
  case Kind::Suspected:
    return noteSuspected(C, Now, Out);
  case Kind::Returned: {
    // After a cut the other side knows members that joined there meanwhile.
    const Member *Who = Table_.find(C.Process_);
    Queue_.add(C.Process_, NewsRank::State, false);
    if (Now >= NextContact_ && Who->Zone_ != Table_.self().Zone_) {
      NextContact_ = Now + Setup_.ContactPeriod_;
      askToJoin(Who->Address_, Out);
    }
    return;
  }
  case Kind::Joined:
    return noteJoined(C, PassOn, Now);
  default:
    return Queue_.add(C.Process_, NewsRank::State, false);
  }
}

// The first word to a suspect or its answer may be lost; without another try
// each process would bury a live member every so often when words get lost.
void Membership::remindSuspects(TimePoint Now, Output &Out) {
  std::size_t Left = Setup_.MaxReminders_;
  while (Left > 0 && !Reminders_.empty() && Reminders_.begin()->first <= Now) {
    const Member *Who = Table_.find(Reminders_.begin()->second);
    if (Who != nullptr && Who->State_ == MemberState::Suspect) {
      tellOf(Who->Process_, Who->Address_, Out);
      --Left;
    }
    Reminders_.erase(Reminders_.begin());
  }
}

void Membership::tellOf(const ProcessName &About, const PeerAddress &To,
                        Output &Out) {
  Member Copy = *Table_.find(About);
  Copy.Report_ = nullptr;
  Member Self = Table_.self();
  Self.Report_ = nullptr;
  Out.Sends_.push_back({To, GossipMessage{{Self, Copy}, Held_}});
}

// Who holds this process suspect or dead hears first hand that it lives, be it
// already refuted or not: gossip alone may take longer than the suspicion
// lasts, and word of the refutation may have passed that one by.
void Membership::tellOfSelf(const PeerAddress &To, Output &Out) {
  Member Self = Table_.self();
  Self.Report_ = nullptr;
  Out.Sends_.push_back({To, GossipMessage{{Self}, Held_}});
}

void Membership::answer(const PeerAddress &To, std::uint64_t Sequence,
                        const ProcessName &Process, const ProcessName &Reader,
                        Output &Out) {
  Out.Sends_.push_back(
      {To, AckMessage{Sequence, Process, news(Reader), Held_, marks()}});
}

// The sender's own record, what is held against the reader, the queue's news,
// and one record of the table.
std::vector<Member> Membership::news(const ProcessName &Reader) {
  const Member &Self = Table_.self();
  const Member *Held = Table_.find(Reader);
  std::vector<Member> Members = {Self};
  // An entry of another zone hears of this endpoint by gossip only, and news is
  // sent a few times and then forgotten. Should all of these be lost, the entry
  // would take a ready endpoint for a starting one until chance mends it; so
  // whenever the agent itself speaks to an entry it says how it is.
  if (Held == nullptr || !Held->isEntry())
    Members.front().Report_ = nullptr;
  if (Held != nullptr && Held->State_ != MemberState::Alive) {
    Members.push_back(*Held);
    Members.back().Report_ = nullptr;
  }
  auto Find = [&](const ProcessName &Name) {
    return Name == Self.Process_ ? &Self : Table_.find(Name);
  };
  auto SizeOf = [&](const GossipQueue::Pick &P) -> std::size_t {
    const Member *M = Find(P.Process_);
    return M == nullptr ? 0 : wireSize(*M, P.WithReport_);
  };
  for (const GossipQueue::Pick &Each :
       Queue_.pick(Setup_.MessageBudget_, transmits(), SizeOf)) {
    if (Each.Process_ == Self.Process_ && !Each.WithReport_)
      continue;
    Members.push_back(*Find(Each.Process_));
    if (!Each.WithReport_)
      Members.back().Report_ = nullptr;
  }
  const Member *Drawn =
      Rng_.below(8) == 0 ? Table_.randomGone(Rng_) : Table_.randomLive(Rng_);
  if (Drawn == nullptr)
    return Members;
  Members.push_back(*Drawn);
  if (Rng_.below(4) != 0)
    Members.back().Report_ = nullptr;
  return Members;
}

void Membership::spreadEagerly(TimePoint Now, Output &Out) {
  if (EagerTokens_ < 1 || !Queue_.hasUnsent(NewsRank::Endpoint))
    return;
  EagerTokens_ -= 1;
  for (const Member *Each : randomPeers(Setup_.EagerFanout_))
    Out.Sends_.push_back(
        {Each->Address_, GossipMessage{news(Each->Process_), Held_, marks()}});
}

void Membership::seekContacts(TimePoint Now, Output &Out) {
  if (Now < NextContact_)
    return;
  Duration Wait = Joined_ ? Setup_.ContactPeriod_ : Setup_.JoinPeriod_;
  NextContact_ = Now + Rng_.jitter(Wait, 0.2);
  std::set<PeerAddress> Unknown;
  for (const std::set<PeerAddress> &Each : Contacts_)
    Unknown.insert(Each.begin(), Each.end());
  for (const ProcessName &Each : Table_.live())
    Unknown.erase(Table_.find(Each)->Address_);
  std::vector<PeerAddress> Left(Unknown.begin(), Unknown.end());
  std::size_t Count = Table_.live().empty() ? Setup_.JoinFanout_ : 1;
  for (; Count > 0 && !Left.empty(); --Count) {
    std::size_t Drawn = Rng_.below(Left.size());
    askToJoin(Left[Drawn], Out);
    Left.erase(Left.begin() + static_cast<std::ptrdiff_t>(Drawn));
  }
  // Nobody had room to send its table yet: any live member will do.
  const Member *Live = Table_.randomLive(Rng_);
  if (!Joined_ && Live != nullptr)
    askToJoin(Live->Address_, Out);
}

void Membership::askToJoin(const PeerAddress &To, Output &Out) {
  Out.Sends_.push_back(
      {To, ProbeMessage{JoinSequence, {}, news({}), Held_, marks()}});
}

// False when too many wait for the table already.
bool Membership::beginSync(const PeerAddress &To) {
  auto Same = [&](const Sync &Each) { return Each.To_ == To; };
  if (std::any_of(Syncs_.begin(), Syncs_.end(), Same))
    return true;
  if (Syncs_.size() >= Setup_.MaxSyncs_)
    return false;
  Sync S{To, {Table_.live().begin(), Table_.live().end()}};
  S.Left_.insert(S.Left_.end(), Table_.gone().begin(), Table_.gone().end());
  Syncs_.push_back(std::move(S));
  return true;
}

void Membership::pumpSyncs(TimePoint Now, Output &Out) {
  if (Syncs_.empty() || Now < NextSync_)
    return;
  NextSync_ = Now + Setup_.SyncPeriod_;
  Sync S = std::move(Syncs_.front());
  Syncs_.pop_front();
  GossipMessage Message{{Table_.self()}, Held_};
  std::size_t Used = 0;
  while (!S.Left_.empty() && Used < Setup_.SyncBudget_) {
    const Member *Next = Table_.find(S.Left_.front());
    S.Left_.pop_front();
    if (Next == nullptr)
      continue;
    Used += wireSize(*Next, true);
    Message.Members_.push_back(*Next);
  }
  Out.Sends_.push_back({S.To_, std::move(Message)});
  if (!S.Left_.empty())
    Syncs_.push_back(std::move(S));
}

void Membership::publish(const EndpointStatus &Status, TimePoint Now,
                         Output &Out) {
  bool News = Plan_.isNews(Status);
  Table_.setReport(std::make_shared<const EndpointStatus>(Status));
  sendReport(Now, Out);
  if (News)
    Queue_.add(Table_.self().Process_, NewsRank::Endpoint, true);
}

// Also from tick(): the last report is repeated each period, so that an entry
// that lost it or joined since hears it.
void Membership::sendReport(TimePoint Now, Output &Out) {
  const auto &Report = Table_.self().Report_;
  if (!Report || Table_.self().State_ == MemberState::Left)
    return;
  for (const PeerAddress &Each : Plan_.publish(*Report, Table_, Now))
    Out.Sends_.push_back({Each, ReportMessage{*Report}});
}

void Membership::leave(TimePoint Now, Output &Out) {
  Table_.leave();
  Queue_.add(Table_.self().Process_, NewsRank::State, true);
  std::set<PeerAddress> Told;
  for (const ProcessName &Each : Table_.live()) {
    const Member &M = *Table_.find(Each);
    bool Entry = M.isEntry() && M.Zone_ == Table_.self().Zone_;
    if (Entry && Told.size() < Setup_.Report_.MaxUrgent_)
      Told.insert(M.Address_);
  }
  for (const Member *Each : randomPeers(2 * Setup_.EagerFanout_))
    Told.insert(Each->Address_);
  for (const PeerAddress &Each : Told)
    Out.Sends_.push_back({Each, GossipMessage{{Table_.self()}, Held_}});
}

} // namespace hawthornroad
