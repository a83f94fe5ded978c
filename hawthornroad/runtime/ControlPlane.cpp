#include "hawthornroad/runtime/ControlPlane.h"

#include "hawthornroad/base/Hash.h"
#include "hawthornroad/config/ConfigFollower.h"
#include "hawthornroad/config/MergePatch.h"
#include "hawthornroad/membership/JoinProgress.h"
#include "hawthornroad/membership/Membership.h"
#include "hawthornroad/runtime/ControlCodec.h"
#include "hawthornroad/runtime/ControlStatus.h"
#include "hawthornroad/runtime/Log.h"
#include "hawthornroad/runtime/PlatformTable.h"

#include <random>

namespace hawthornroad {

namespace {

// Processes of a zone that read the table.
constexpr std::size_t ReadersPerZone = 3;
// Random members a new revision is pushed to at once.
constexpr std::size_t ConfigFanout = 4;
constexpr Duration MembersPeriod = Seconds(5);
constexpr Duration MembersMaxWait = Seconds(30);

using Kind = MemberChange::Kind;

Random makeRandom(const ControlPlane::Setup &S) {
  std::uint64_t Seed = S.Settings_.RandomSeed_;
  if (Seed == 0)
    Seed = std::random_device()();
  // Processes that share a seed must still not choose alike.
  return Random(Seed ^ rendezvousScore("seed", S.Settings_.Process_.str()));
}

Member selfOf(const ControlPlane::Setup &S) {
  Member Self;
  Self.Process_ = S.Settings_.Process_;
  Self.Incarnation_ = S.Incarnation_;
  Self.Role_ = S.Role_;
  Self.Zone_ = S.Settings_.Zone_;
  Self.Address_ = S.Address_;
  return Self;
}

Membership::Setup membershipSetup(const ProcessSettings &S) {
  Membership::Setup Out;
  Out.Table_.Suspicion_ = S.SuspicionTimeout_;
  Out.Prober_.Period_ = S.ProbePeriod_;
  Out.Prober_.Timeout_ = S.ProbeTimeout_;
  return Out;
}

ConfigFollower::Limits followerLimits(const PlatformSettings &S) {
  ConfigFollower::Limits Out;
  Out.Polls_.Period_ = S.PollPeriod_;
  Out.Polls_.GiveUp_ = S.Timeout_ + Seconds(1);
  Out.HasTable_ = !S.Table_.empty();
  return Out;
}

} // namespace

struct ControlPlane::State : std::enable_shared_from_this<ControlPlane::State> {
  State(Setup S, DecisionLoop &Loop, PeerNet &Net, HttpClient &Platform,
        Metrics &M, Callbacks C)
      : Setup_(std::move(S)), Loop_(Loop), Net_(Net), Metrics_(M),
        Callbacks_(std::move(C)), Rng_(makeRandom(Setup_)),
        Platform_(Loop, Platform, Setup_.Settings_.Platform_),
        Membership_(
            Chart::load(Setup_.Settings_.Charts_, "member", memberChartNames()),
            selfOf(Setup_), membershipSetup(Setup_.Settings_),
            Random(Rng_.next())),
        Follower_(Random(Rng_.next()),
                  followerLimits(Setup_.Settings_.Platform_)),
        ListPolls_(Random(Rng_.next()),
                   {.Period_ = MembersPeriod, .MaxWait_ = MembersMaxWait}),
        Join_({}, TimePoint::max()) {}

  void tick(TimePoint Now);
  void readList(TimePoint Now);
  void takeList(const std::optional<std::vector<ListedVm>> &List,
                TimePoint Now);
  void askPeers(TimePoint Now);
  bool isReader();
  JoinProgress::View joinView() const;
  void handle(const PeerContext &From, const ControlMessage &Message,
              TimePoint Now);
  void finish(Membership::Output &Out, TimePoint Now);
  void finish(ConfigFollower::Output &Out, TimePoint Now);
  void tell(const MemberChange &Change, TimePoint Now);
  void putInForce(TimePoint Now);
  void send(const ControlSend &Send);
  bool hasList() const { return !Setup_.Settings_.Platform_.Members_.empty(); }

  Setup Setup_;
  DecisionLoop &Loop_;
  PeerNet &Net_;
  Metrics &Metrics_;
  Callbacks Callbacks_;
  Random Rng_;
  PlatformTable Platform_;
  Membership Membership_;
  ConfigFollower Follower_;
  PollSchedule ListPolls_;
  JoinProgress Join_;
  bool Started_ = false;
  bool Ready_ = false;
  bool ListAsked_ = false;
  Revision InForce_ = 0;
  // Why the text held is not in force; empty when it is.
  std::string Refusal_;
  bool IsReader_ = false;
  std::uint64_t ReaderVersion_ = 0;
  // Set while a frame is handled: what goes back to its sender takes the
  // connection the frame came on.
  const PeerContext *ReplyTo_ = nullptr;
};

void ControlPlane::State::tick(TimePoint Now) {
  if (!Started_)
    return;
  Membership::Output Out;
  Membership_.tick(Now, Out);
  finish(Out, Now);
  IsReader_ = isReader();
  ConfigFollower::Output Config;
  Follower_.tick(IsReader_, Now, Config);
  finish(Config, Now);
  readList(Now);
  askPeers(Now);
  if (Ready_ || !Join_.isComplete(joinView(), Now))
    return;
  Ready_ = true;
  log(LogLevel::Info, Step::Apply, "holds the highest revision it can reach",
      {{"revision", std::to_string(Follower_.log().revision())}});
}

// The list is read at the start and while nobody is known; later only by the
// readers of the zone, as a hint of members beyond a cut.
void ControlPlane::State::readList(TimePoint Now) {
  bool Wanted = !ListAsked_ || IsReader_ || Membership_.table().live().empty();
  if (!hasList() || !Wanted || !ListPolls_.isDue(Now))
    return;
  ListPolls_.began(Now);
  Platform_.members([Weak = weak_from_this()](auto List, TimePoint Later) {
    if (auto Self = Weak.lock())
      Self->takeList(List, Later);
  });
}

void ControlPlane::State::takeList(
    const std::optional<std::vector<ListedVm>> &List, TimePoint Now) {
  ListAsked_ = true;
  ListPolls_.ended(List.has_value(), Now);
  if (!List)
    return;
  std::vector<PeerAddress> Contacts;
  for (const ListedVm &Each : *List)
    if (!Each.Leaving_ && !Each.Peer_.empty())
      Contacts.push_back(Each.Peer_);
  Membership_.setContacts(Membership::Source::PlatformList,
                          std::move(Contacts));
}

void ControlPlane::State::askPeers(TimePoint Now) {
  if (Ready_)
    return;
  std::vector<PeerAddress> Live;
  for (const ProcessName &Each : Membership_.table().live())
    Live.push_back(Membership_.table().find(Each)->Address_);
  for (const PeerAddress &Each : Join_.ask(Live, Now))
    send({Each, PullMessage{Follower_.log().revision()}});
}

bool ControlPlane::State::isReader() {
  const MemberTable &Table = Membership_.table();
  if (ReaderVersion_ == Table.version())
    return IsReader_;
  ReaderVersion_ = Table.version();
  std::vector<std::string> Zone = {Setup_.Settings_.Process_.str()};
  for (const ProcessName &Each : Table.live())
    if (Table.find(Each)->Zone_ == Setup_.Settings_.Zone_)
      Zone.push_back(Each.str());
  return hawthornroad::isReader(Setup_.Settings_.Process_,
                                Setup_.Settings_.Zone_, Zone, ReadersPerZone);
}

JoinProgress::View ControlPlane::State::joinView() const {
  std::size_t Live = Membership_.table().live().size();
  bool Contacts =
      !Membership_.contacts(Membership::Source::Seeds).empty() ||
      !Membership_.contacts(Membership::Source::PlatformList).empty();
  return {.TableRead_ = Follower_.hasReadTable(),
          .TableFailed_ = Follower_.platform().Failures_ > 0,
          .HasTable_ = !Setup_.Settings_.Platform_.Table_.empty(),
          .MayHavePeers_ = Live > 0 || Contacts || (hasList() && !ListAsked_),
          .LivePeers_ = Live,
          .Held_ = Follower_.log().revision(),
          .HighestHeard_ = Follower_.highestHeard()};
}

void ControlPlane::State::handle(const PeerContext &From,
                                 const ControlMessage &Message, TimePoint Now) {
  ReplyTo_ = &From;
  Membership::Output Out;
  ConfigFollower::Output Config;
  if (const auto *M = std::get_if<ProbeMessage>(&Message))
    Membership_.handle(From.Address_, *M, Now, Out);
  else if (const auto *M = std::get_if<AckMessage>(&Message))
    Membership_.handle(From.Address_, *M, Now, Out);
  else if (const auto *M = std::get_if<GossipMessage>(&Message))
    Membership_.handle(From.Address_, *M, Now, Out);
  else if (const auto *M = std::get_if<ReportMessage>(&Message))
    Membership_.handle(From.Address_, *M, Now, Out);
  else if (const auto *M = std::get_if<PullMessage>(&Message))
    Follower_.handle(From.Address_, *M, Config);
  else if (const auto *M = std::get_if<PushMessage>(&Message)) {
    Join_.answered(From.Address_);
    Follower_.handle(From.Address_, *M, Now, Config);
  }
  finish(Out, Now);
  finish(Config, Now);
  ReplyTo_ = nullptr;
}

void ControlPlane::State::finish(Membership::Output &Out, TimePoint Now) {
  for (const ControlSend &Each : Out.Sends_)
    send(Each);
  for (const MemberChange &Each : Out.Changes_)
    tell(Each, Now);
  for (const HeardRevision &Each : Out.Revisions_) {
    ConfigFollower::Output Config;
    Follower_.hear(Each.From_, Each.Revision_, Now, Config);
    finish(Config, Now);
  }
}

void ControlPlane::State::finish(ConfigFollower::Output &Out, TimePoint Now) {
  for (const ControlSend &Each : Out.Sends_)
    send(Each);
  if (Out.Read_)
    Platform_.read(*Out.Read_, [Weak = weak_from_this()](TableAnswer Answer,
                                                         TimePoint Later) {
      auto Self = Weak.lock();
      if (!Self)
        return;
      ConfigFollower::Output More;
      Self->Follower_.tableAnswered(Answer, Later, More);
      Self->finish(More, Later);
    });
  if (!Out.Advanced_)
    return;
  for (const Member *Each : Membership_.randomPeers(ConfigFanout))
    send({Each->Address_, Out.News_});
  putInForce(Now);
}

void ControlPlane::State::tell(const MemberChange &Change, TimePoint Now) {
  const Member *Who = Membership_.table().find(Change.Process_);
  bool Live = Who != nullptr && Who->isLive();
  if (Change.Kind_ != Kind::Reported && Change.Kind_ != Kind::Revised) {
    Metrics_.count("hawthornroad_member_changes_total",
                   {{"change", std::string(toString(Change.Kind_))}});
    log(LogLevel::Info, Step::Gossip, "member changed",
        {{"peer", Change.Process_.str()},
         {"detail", std::string(toString(Change.Kind_))}});
  }
  switch (Change.Kind_) {
  case Kind::Reported:
  case Kind::Returned:
    // Late word of a member held dead must not bring its endpoint back.
    if (Live && Change.Report_ && Callbacks_.OnEndpoint_)
      Callbacks_.OnEndpoint_(*Change.Report_, Now);
    return;
  case Kind::Died:
  case Kind::Left:
  case Kind::Restarted:
    if (Change.Report_ && Callbacks_.OnEndpointGone_)
      Callbacks_.OnEndpointGone_(Change.Report_->Vm_,
                                 Change.Report_->Incarnation_, Now);
    return;
  default:
    return;
  }
}

// A text this release cannot read (a newer operator's tool wrote it) is held
// and passed on, but the last good one stays in force, and status says so.
void ControlPlane::State::putInForce(TimePoint Now) {
  const RevisionLog &Log = Follower_.log();
  std::string Name = "revision " + std::to_string(Log.revision());
  Net_.setRevision(Log.revision());
  std::shared_ptr<const Declaration> Made;
  try {
    Made = parseDeclaration(canonicalText(Log.text()), Name);
    Refusal_.clear();
  } catch (const Error &E) {
    Refusal_ = E.what();
    log(LogLevel::Error, Step::Apply, "text held is not in force",
        {{"revision", std::to_string(Log.revision())}, {"detail", Refusal_}});
  }
  if (Made)
    InForce_ = Log.revision();
  Membership_.setRevisions(Log.revision(), InForce_);
  Metrics_.set("hawthornroad_revision", static_cast<double>(InForce_));
  if (!Made)
    return;
  log(LogLevel::Info, Step::Apply, "revision in force",
      {{"revision", std::to_string(InForce_)}});
  if (Callbacks_.OnDeclaration_)
    Callbacks_.OnDeclaration_(std::move(Made), InForce_);
}

void ControlPlane::State::send(const ControlSend &Send) {
  FrameBuffer Frame = encodeControl(Send.Message_);
  Metrics_.count("hawthornroad_control_bytes_sent_total", {},
                 static_cast<double>(Frame->size()));
  if (ReplyTo_ != nullptr && ReplyTo_->Address_ == Send.To_)
    Net_.reply(ReplyTo_->Connection_, std::move(Frame));
  else if (Send.Fresh_)
    Net_.sendFresh(Send.To_, Lane::Control, std::move(Frame));
  else
    Net_.send(Send.To_, Lane::Control, std::move(Frame));
}

ControlPlane::ControlPlane(Setup S, DecisionLoop &Loop, PeerNet &Net,
                           HttpClient &Platform, Metrics &M, Callbacks C)
    : State_(std::make_shared<State>(std::move(S), Loop, Net, Platform, M,
                                     std::move(C))) {}

ControlPlane::~ControlPlane() = default;

void ControlPlane::start(TimePoint Now) {
  auto S = State_;
  if (S->Started_)
    return;
  S->Started_ = true;
  S->Join_ = JoinProgress({}, Now);
  S->Membership_.setContacts(Membership::Source::Seeds,
                             S->Setup_.Settings_.Seeds_);
  S->Loop_.onTick([Weak = std::weak_ptr<State>(S)](TimePoint Later) {
    if (auto Self = Weak.lock())
      Self->tick(Later);
  });
}

bool ControlPlane::onFrame(const PeerContext &From, const wire::FrameT &Frame,
                           TimePoint Now) {
  std::optional<ControlMessage> Message = decodeControl(Frame);
  if (!Message)
    return false;
  State_->handle(From, *Message, Now);
  return true;
}

void ControlPlane::publish(const EndpointStatus &Status, TimePoint Now) {
  Membership::Output Out;
  State_->Membership_.publish(Status, Now, Out);
  State_->finish(Out, Now);
}

void ControlPlane::leave(TimePoint Now) {
  Membership::Output Out;
  State_->Membership_.leave(Now, Out);
  State_->finish(Out, Now);
}

bool ControlPlane::ready() const { return State_->Ready_; }

Revision ControlPlane::revision() const { return State_->InForce_; }

boost::json::object ControlPlane::status(TimePoint Now) const {
  const State &S = *State_;
  return controlStatus({.Table_ = S.Membership_.table(),
                        .Follower_ = S.Follower_,
                        .InForce_ = S.InForce_,
                        .Refusal_ = S.Refusal_,
                        .Ready_ = S.Ready_,
                        .IsReader_ = S.IsReader_},
                       Now);
}

} // namespace hawthornroad
