#include "hawthornroad/membership/Membership.h"

#include <algorithm>
#include <cmath>

namespace hawthornroad {

namespace {

// Sequence numbers of relayed probes start here, so that their answers are not
// taken for answers to the probes of this process.
constexpr std::uint64_t FirstRelay = std::uint64_t{1} << 62;
// Number of transmissions of an update per decade of the fleet size.
constexpr double TransmitsPerDecade = 4;
// Marks are small, and those that reach a process before the revision does are
// lost there.
constexpr std::size_t MarkFactor = 4;

using Kind = MemberChange::Kind;

// Address at which the sender of a message can be reached later. It is the one
// in the sender's own record, as the address a frame came from may be that of a
// proxy or of a listener behind one.
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
      Plan_(S.Report_), LastRelay_(FirstRelay), UrgentTokens_(S.UrgentBurst_) {}

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
  return InForce_.pick(Setup_.MarksPerMessage_, MarkFactor * transmits());
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
    // This process was paused (its VM was frozen, or it got no CPU time). Its
    // probes appear unanswered and suspicions appear to have expired; acting on
    // that would declare half the fleet dead.
    Table_.shiftDeadlines(Now - LastTick_);
    Prober_.dropOutstanding();
  }
  double Elapsed = LastTick_ == TimePoint{}
                       ? 0
                       : std::chrono::duration<double>(Now - LastTick_).count();
  LastTick_ = Now;
  UrgentTokens_ = std::min(Setup_.UrgentBurst_,
                           UrgentTokens_ + Elapsed * Setup_.UrgentRate_);
  handleChanges(Table_.tick(Now), true, Now, Out);
  Prober::ProbeActions Actions = Prober_.tick(Table_, Now);
  for (const ProcessName &Each : Actions.Unanswered_)
    handleChanges(Table_.suspect(Each, Now), true, Now, Out);
  for (const Prober::ProbeRequest &Each : Actions.Probes_)
    sendProbe(Each, Out);
  sendReport(Now, Out);
  std::erase_if(Relays_,
                [&](const auto &Each) { return Each.second.Until_ <= Now; });
  remindSuspects(Now, Out);
  sendUrgentGossip(Now, Out);
  probeContacts(Now, Out);
  sendSyncs(Now, Out);
}

void Membership::sendProbe(const Prober::ProbeRequest &O, Output &Out) {
  const Member *To = Table_.find(O.To_);
  if (To == nullptr)
    return;
  Out.Sends_.push_back({To->Address_,
                        ProbeMessage{O.Sequence_, O.Target_,
                                     gossipMembers(O.To_), Held_, marks()},
                        O.NewConnection_});
}

void Membership::handle(const PeerAddress &From, const ProbeMessage &M,
                        TimePoint Now, Output &Out) {
  processUpdates(From, M.Members_, M.Revision_, M.InForce_, Now, Out);
  if (!M.Target_.empty())
    return relay(From, M, Now, Out);
  ProcessName Reader =
      M.Members_.empty() ? ProcessName() : M.Members_.front().Process_;
  // A join probe that cannot be served now gets no ack, and the sender tries
  // another member.
  if (M.Sequence_ == JoinSequence &&
      !beginSync(lastingAddress(From, M.Members_)))
    return;
  sendAck(From, M.Sequence_, Table_.self().Process_, Reader, Out);
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
       ProbeMessage{
           Sequence, {}, gossipMembers(Target->Process_), Held_, marks()},
       false});
}

void Membership::handle(const PeerAddress &From, const AckMessage &M,
                        TimePoint Now, Output &Out) {
  if (processUpdates(From, M.Members_, M.Revision_, M.InForce_, Now, Out))
    sendOwnRecord(From, Out);
  auto Relayed = Relays_.find(M.Sequence_);
  if (Relayed != Relays_.end()) {
    Relay R = std::move(Relayed->second);
    Relays_.erase(Relayed);
    return sendAck(R.Requester_, R.Sequence_, R.Target_, {}, Out);
  }
  if (M.Sequence_ == JoinSequence) {
    Joined_ = true;
    JoinedSince_ = 0;
  }
  Prober_.answered(M.Sequence_);
  // A member that answers while it is held suspect or dead has to refute; it
  // may have missed the update about it.
  const Member *Who = Table_.find(M.Process_);
  if (Who != nullptr && Who->State_ != MemberState::Alive)
    sendRecordOf(M.Process_, Who->Address_, Out);
}

void Membership::handle(const PeerAddress &From, const GossipMessage &M,
                        TimePoint Now, Output &Out) {
  if (processUpdates(From, M.Members_, M.Revision_, M.InForce_, Now, Out))
    sendOwnRecord(From, Out);
}

void Membership::handle(const PeerAddress &From, const ReportMessage &M,
                        TimePoint Now, Output &Out) {
  const EndpointStatus &Status = M.Status_;
  const Member *Known = Table_.find(Status.Process_);
  Member Update;
  if (Known != nullptr) {
    Update = *Known;
  } else {
    Update.Process_ = Status.Process_;
    Update.Incarnation_ = Status.Incarnation_;
    Update.Role_ = "agent";
    Update.Zone_ = Status.Zone_;
    Update.Address_ = Status.Address_;
  }
  Update.Report_ = std::make_shared<const EndpointStatus>(Status);
  // A change of load alone is not gossiped: other members learn of it from the
  // records drawn at random.
  handleChanges(Table_.applyUpdate(Update, Now), true, Now, Out);
  // A member that reports while it is held suspect or dead has to refute first.
  if (Known != nullptr && Known->State_ != MemberState::Alive)
    sendRecordOf(Status.Process_, Known->Address_, Out);
}

bool Membership::processUpdates(const PeerAddress &From,
                                const std::vector<Member> &Members,
                                Revision Held,
                                const std::vector<std::uint32_t> &Marks,
                                TimePoint Now, Output &Out) {
  bool SelfSuspected = false;
  bool PassOn = Members.size() <= Setup_.MaxRelayedJoins_;
  for (const Member &Each : Members) {
    handleChanges(Table_.applyUpdate(Each, Now), PassOn, Now, Out);
    SelfSuspected = SelfSuspected || (Each.Process_ == Table_.self().Process_ &&
                                      Each.State_ != MemberState::Alive);
  }
  if (Held == Held_)
    for (std::uint32_t Each : Marks)
      if (InForce_.add(Each))
        Table_.noteInForce(Each, Held);
  if (Held > 0)
    Out.Revisions_.push_back({From, Held});
  return SelfSuspected;
}

void Membership::handleChanges(const MemberTable::Changes &Changes, bool PassOn,
                               TimePoint Now, Output &Out) {
  for (const MemberChange &Each : Changes) {
    handleChange(Each, PassOn, Now, Out);
    Out.Changes_.push_back(Each);
  }
}

void Membership::handleJoined(const MemberChange &C, bool PassOn,
                              TimePoint Now) {
  if (PassOn)
    Queue_.add(C.Process_, UpdateRank::State, true);
  if (++JoinedSince_ < Setup_.ResyncAfterJoins_ || !Joined_)
    return;
  JoinedSince_ = 0;
  Joined_ = false;
  NextContact_ = std::min<TimePoint>(
      NextContact_, Now + Rng_.jitter(Setup_.JoinPeriod_, 0.5));
}

// The suspect must learn of the suspicion in time to refute it, and this
// process must learn of the refutation. If it still holds the member suspect at
// half the timeout, it notifies the member directly, and again at four fifths.
void Membership::handleSuspected(const MemberChange &C, TimePoint Now,
                                 Output &Out) {
  Queue_.add(C.Process_, UpdateRank::State, false);
  Reminders_.emplace(Now + Table_.suspicionTimeout() / 2, C.Process_);
  Reminders_.emplace(Now + Table_.suspicionTimeout() * 4 / 5, C.Process_);
  double Viewers = static_cast<double>(Table_.live().size() + 1);
  if (Rng_.unit() * Viewers < Setup_.SuspectNotifiers_)
    sendRecordOf(C.Process_, Table_.find(C.Process_)->Address_, Out);
}

void Membership::handleChange(const MemberChange &C, bool PassOn, TimePoint Now,
                              Output &Out) {
  switch (C.Kind_) {
  case Kind::Revised:
    // Other members learn of this from the marks.
    return;
  case Kind::Reported:
    // Load from a randomly drawn record is not passed on; otherwise every
    // process would pass on every record.
    if (C.LoadOnly_ || !PassOn)
      return;
    return Queue_.add(C.Process_, UpdateRank::Endpoint, true);
  case Kind::Suspected:
    return handleSuspected(C, Now, Out);
  case Kind::Returned: {
    // After a network partition, the other side knows members that joined there
    // in the meantime.
    const Member *Who = Table_.find(C.Process_);
    Queue_.add(C.Process_, UpdateRank::State, false);
    if (Now >= NextContact_ && Who->Zone_ != Table_.self().Zone_) {
      NextContact_ = Now + Setup_.ContactPeriod_;
      sendJoinProbe(Who->Address_, Out);
    }
    return;
  }
  case Kind::Joined:
    return handleJoined(C, PassOn, Now);
  default:
    return Queue_.add(C.Process_, UpdateRank::State, false);
  }
}

// The first notification of a suspect or its answer may be lost. Without a
// retry, each process would from time to time declare a live member dead when
// messages are lost.
void Membership::remindSuspects(TimePoint Now, Output &Out) {
  std::size_t Left = Setup_.MaxReminders_;
  while (Left > 0 && !Reminders_.empty() && Reminders_.begin()->first <= Now) {
    const Member *Who = Table_.find(Reminders_.begin()->second);
    if (Who != nullptr && Who->State_ == MemberState::Suspect) {
      sendRecordOf(Who->Process_, Who->Address_, Out);
      --Left;
    }
    Reminders_.erase(Reminders_.begin());
  }
}

void Membership::sendRecordOf(const ProcessName &About, const PeerAddress &To,
                              Output &Out) {
  Member Copy = *Table_.find(About);
  Copy.Report_ = nullptr;
  Member Self = Table_.self();
  Self.Report_ = nullptr;
  Out.Sends_.push_back({To, GossipMessage{{Self, Copy}, Held_}});
}

// Sends the own record to a process that holds this one suspect or dead,
// whether or not this was refuted before: gossip alone may take longer than the
// suspicion timeout, and the refutation may not have reached that process.
void Membership::sendOwnRecord(const PeerAddress &To, Output &Out) {
  Member Self = Table_.self();
  Self.Report_ = nullptr;
  Out.Sends_.push_back({To, GossipMessage{{Self}, Held_}});
}

void Membership::sendAck(const PeerAddress &To, std::uint64_t Sequence,
                         const ProcessName &Process, const ProcessName &Reader,
                         Output &Out) {
  Out.Sends_.push_back({To, AckMessage{Sequence, Process, gossipMembers(Reader),
                                       Held_, marks()}});
}

// Returns the record of this process, the record of the reader if it is not
// held alive, updates from the queue, and one record drawn from the table.
std::vector<Member> Membership::gossipMembers(const ProcessName &Reader) {
  const Member &Self = Table_.self();
  const Member *Held = Table_.find(Reader);
  std::vector<Member> Members = {Self};
  // An entry of another zone learns of this endpoint only by gossip, and an
  // update is sent a few times and then dropped. If all of these are lost, the
  // entry takes a ready endpoint for a starting one until a randomly drawn
  // record corrects it. So every message of an agent to an entry carries its
  // own endpoint report.
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

void Membership::sendUrgentGossip(TimePoint Now, Output &Out) {
  if (UrgentTokens_ < 1 || !Queue_.hasUnsent(UpdateRank::Endpoint))
    return;
  UrgentTokens_ -= 1;
  for (const Member *Each : randomPeers(Setup_.UrgentFanout_))
    Out.Sends_.push_back(
        {Each->Address_,
         GossipMessage{gossipMembers(Each->Process_), Held_, marks()}});
}

void Membership::probeContacts(TimePoint Now, Output &Out) {
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
    sendJoinProbe(Left[Drawn], Out);
    Left.erase(Left.begin() + static_cast<std::ptrdiff_t>(Drawn));
  }
  // No member has accepted the table transfer yet; any live member can provide
  // it.
  const Member *Live = Table_.randomLive(Rng_);
  if (!Joined_ && Live != nullptr)
    sendJoinProbe(Live->Address_, Out);
}

void Membership::sendJoinProbe(const PeerAddress &To, Output &Out) {
  Out.Sends_.push_back(
      {To, ProbeMessage{JoinSequence, {}, gossipMembers({}), Held_, marks()}});
}

// Returns false when too many transfers are pending.
bool Membership::beginSync(const PeerAddress &To) {
  auto Same = [&](const Sync &Each) { return Each.To_ == To; };
  if (std::any_of(Syncs_.begin(), Syncs_.end(), Same))
    return true;
  if (Syncs_.size() >= Setup_.MaxSyncs_)
    return false;
  Sync S{To, {Table_.live().begin(), Table_.live().end()}};
  S.Remaining_.insert(S.Remaining_.end(), Table_.gone().begin(),
                      Table_.gone().end());
  Syncs_.push_back(std::move(S));
  return true;
}

void Membership::sendSyncs(TimePoint Now, Output &Out) {
  if (Syncs_.empty() || Now < NextSync_)
    return;
  NextSync_ = Now + Setup_.SyncPeriod_;
  Sync S = std::move(Syncs_.front());
  Syncs_.pop_front();
  GossipMessage Message{{Table_.self()}, Held_};
  std::size_t Used = 0;
  while (!S.Remaining_.empty() && Used < Setup_.SyncBudget_) {
    const Member *Next = Table_.find(S.Remaining_.front());
    S.Remaining_.pop_front();
    if (Next == nullptr)
      continue;
    Used += wireSize(*Next, true);
    Message.Members_.push_back(*Next);
  }
  Out.Sends_.push_back({S.To_, std::move(Message)});
  if (!S.Remaining_.empty())
    Syncs_.push_back(std::move(S));
}

void Membership::publish(const EndpointStatus &Status, TimePoint Now,
                         Output &Out) {
  bool Urgent = Plan_.isUrgent(Status);
  Table_.setReport(std::make_shared<const EndpointStatus>(Status));
  sendReport(Now, Out);
  if (Urgent)
    Queue_.add(Table_.self().Process_, UpdateRank::Endpoint, true);
}

// Also called from tick(): the last report is repeated each period, so that an
// entry that lost it or joined since receives it.
void Membership::sendReport(TimePoint Now, Output &Out) {
  const auto &Report = Table_.self().Report_;
  if (!Report || Table_.self().State_ == MemberState::Left)
    return;
  for (const PeerAddress &Each : Plan_.publish(*Report, Table_, Now))
    Out.Sends_.push_back({Each, ReportMessage{*Report}});
}

void Membership::leave(TimePoint Now, Output &Out) {
  Table_.leave();
  Queue_.add(Table_.self().Process_, UpdateRank::State, true);
  std::set<PeerAddress> Told;
  for (const ProcessName &Each : Table_.live()) {
    const Member &M = *Table_.find(Each);
    bool Entry = M.isEntry() && M.Zone_ == Table_.self().Zone_;
    if (Entry && Told.size() < Setup_.Report_.MaxUrgent_)
      Told.insert(M.Address_);
  }
  for (const Member *Each : randomPeers(2 * Setup_.UrgentFanout_))
    Told.insert(Each->Address_);
  for (const PeerAddress &Each : Told)
    Out.Sends_.push_back({Each, GossipMessage{{Table_.self()}, Held_}});
}

} // namespace hawthornroad
