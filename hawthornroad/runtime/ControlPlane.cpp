#include "hawthornroad/runtime/ControlPlane.h"

#include "hawthornroad/base/Hash.h"
#include "hawthornroad/config/MergePatch.h"
#include "hawthornroad/membership/ControlCore.h"
#include "hawthornroad/peers/ControlCodec.h"
#include "hawthornroad/runtime/ControlStatus.h"
#include "hawthornroad/runtime/Log.h"
#include "hawthornroad/runtime/PlatformTable.h"
#include "hawthornroad/runtime/Seed.h"

namespace hawthornroad {

namespace {

using Kind = MemberChange::Kind;

Random makeRandom(const ControlPlane::Setup &S) {
  std::uint64_t Seed = seedOr(S.Settings_.RandomSeed_);
  // Processes with the same seed must still make different random choices.
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

ControlCore::Setup coreSetup(const ControlPlane::Setup &S) {
  const ProcessSettings &From = S.Settings_;
  ControlCore::Setup Out;
  Out.Self_ = selfOf(S);
  Out.Seeds_ = From.Seeds_;
  Out.Membership_.Table_.Suspicion_ = From.SuspicionTimeout_;
  Out.Membership_.Prober_.Period_ = From.ProbePeriod_;
  Out.Membership_.Prober_.Timeout_ = From.ProbeTimeout_;
  Out.Config_.Polls_.Period_ = From.Platform_.PollPeriod_;
  Out.Config_.Polls_.ReadTimeout_ = From.Platform_.Timeout_ + Seconds(1);
  Out.Config_.HasTable_ = !From.Platform_.Table_.empty();
  Out.HasList_ = !From.Platform_.Members_.empty();
  Out.List_.ReadTimeout_ = From.Platform_.Timeout_ + Seconds(1);
  return Out;
}

} // namespace

struct ControlPlane::State : std::enable_shared_from_this<ControlPlane::State> {
  State(Setup S, DecisionLoop &Loop, PeerNet &Net, HttpClient &Platform,
        Metrics &M, Callbacks C)
      : Setup_(std::move(S)), Loop_(Loop), Net_(Net), Metrics_(M),
        Callbacks_(std::move(C)),
        Platform_(Loop, Platform, Setup_.Settings_.Platform_),
        Core_(
            Chart::load(Setup_.Settings_.Charts_, "member", memberChartNames()),
            coreSetup(Setup_), makeRandom(Setup_)) {}

  void tick(TimePoint Now);
  void performOutput(ControlCore::Output &Out, TimePoint Now);
  void read(const ConfigRead &Read);
  void readList();
  void reportChange(const MemberChange &Change, TimePoint Now);
  void applyHeldRevision(TimePoint Now);
  void send(const ControlSend &Send);

  Setup Setup_;
  DecisionLoop &Loop_;
  PeerNet &Net_;
  Metrics &Metrics_;
  Callbacks Callbacks_;
  PlatformTable Platform_;
  ControlCore Core_;
  bool Started_ = false;
  bool IsReadyLogged_ = false;
  Revision InForce_ = 0;
  // Why the held text is not in force; empty when it is.
  std::string Refusal_;
  // Set while a frame is handled: replies to its sender use the connection on
  // which the frame arrived.
  const PeerContext *ReplyTo_ = nullptr;
};

void ControlPlane::State::tick(TimePoint Now) {
  ControlCore::Output Out;
  Core_.tick(Now, Out);
  performOutput(Out, Now);
  if (IsReadyLogged_ || !Core_.ready())
    return;
  IsReadyLogged_ = true;
  log(LogLevel::Info, Step::Apply, "holds the highest revision it can reach",
      {{"revision", std::to_string(Core_.config().log().revision())}});
}

void ControlPlane::State::performOutput(ControlCore::Output &Out,
                                        TimePoint Now) {
  for (const ControlSend &Each : Out.Sends_)
    send(Each);
  for (const MemberChange &Each : Out.Changes_)
    reportChange(Each, Now);
  if (Out.Read_)
    read(*Out.Read_);
  if (Out.ReadList_)
    readList();
  if (Out.Advanced_)
    applyHeldRevision(Now);
}

void ControlPlane::State::read(const ConfigRead &Read) {
  Metrics_.count("hawthornroad_table_reads_total");
  Platform_.read(
      Read, [Weak = weak_from_this()](ConfigAnswer Answer, TimePoint Now) {
        auto Self = Weak.lock();
        if (!Self)
          return;
        if (!Answer.Answered_)
          Self->Metrics_.count("hawthornroad_table_read_failures_total");
        ControlCore::Output Out;
        Self->Core_.tableAnswered(Answer, Now, Out);
        Self->performOutput(Out, Now);
      });
}

void ControlPlane::State::readList() {
  Platform_.members([Weak = weak_from_this()](auto List, TimePoint Now) {
    auto Self = Weak.lock();
    if (!Self)
      return;
    if (!List)
      return Self->Core_.listAnswered(std::nullopt, Now);
    std::vector<PeerAddress> Contacts;
    for (const ListedVm &Each : *List)
      if (!Each.Leaving_ && !Each.Peer_.empty())
        Contacts.push_back(Each.Peer_);
    Self->Core_.listAnswered(std::move(Contacts), Now);
  });
}

void ControlPlane::State::reportChange(const MemberChange &Change,
                                       TimePoint Now) {
  const Member *Who = Core_.table().find(Change.Process_);
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
    // A delayed report of a member considered dead must not bring its endpoint
    // back.
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

// A text that this release cannot parse (written by a newer operator tool) is
// stored and passed on to peers, but the last valid one stays in force, and
// status() reports the reason.
void ControlPlane::State::applyHeldRevision(TimePoint Now) {
  const RevisionLog &Log = Core_.config().log();
  std::string Name = "revision " + std::to_string(Log.revision());
  Net_.setRevision(Log.revision());
  std::shared_ptr<const Declaration> NewDeclaration;
  try {
    NewDeclaration = parseDeclaration(canonicalText(Log.text()), Name);
    Refusal_.clear();
  } catch (const Error &E) {
    Refusal_ = E.what();
    log(LogLevel::Error, Step::Apply, "text held is not in force",
        {{"revision", std::to_string(Log.revision())}, {"detail", Refusal_}});
  }
  if (NewDeclaration)
    InForce_ = Log.revision();
  Core_.setInForce(InForce_);
  Metrics_.set("hawthornroad_revision", static_cast<double>(InForce_));
  if (!NewDeclaration)
    return;
  log(LogLevel::Info, Step::Apply, "revision in force",
      {{"revision", std::to_string(InForce_)}});
  if (Callbacks_.OnDeclaration_)
    Callbacks_.OnDeclaration_(std::move(NewDeclaration), InForce_);
}

void ControlPlane::State::send(const ControlSend &Send) {
  FrameBuffer Frame = encodeControl(Send.Message_);
  Metrics_.count("hawthornroad_control_bytes_sent_total", {},
                 static_cast<double>(Frame->size()));
  if (ReplyTo_ != nullptr && ReplyTo_->Address_ == Send.To_)
    Net_.reply(ReplyTo_->Connection_, std::move(Frame));
  else if (Send.NewConnection_)
    Net_.sendOnNewConnection(Send.To_, Lane::Control, std::move(Frame));
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
  S->Core_.start(Now);
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
  ControlCore::Output Out;
  State_->Core_.handle(From.Address_, *Message, Now, Out);
  State_->ReplyTo_ = &From;
  State_->performOutput(Out, Now);
  State_->ReplyTo_ = nullptr;
  return true;
}

void ControlPlane::publish(const EndpointStatus &Status, TimePoint Now) {
  ControlCore::Output Out;
  State_->Core_.publish(Status, Now, Out);
  State_->performOutput(Out, Now);
}

void ControlPlane::leave(TimePoint Now) {
  ControlCore::Output Out;
  State_->Core_.leave(Now, Out);
  State_->performOutput(Out, Now);
}

bool ControlPlane::ready() const { return State_->Core_.ready(); }

Revision ControlPlane::revision() const { return State_->InForce_; }

std::size_t ControlPlane::liveEntries() const {
  const MemberTable &Table = State_->Core_.table();
  std::size_t Count = Table.self().Role_ == "entry" ? 1 : 0;
  for (const ProcessName &Each : Table.live())
    Count += Table.find(Each)->Role_ == "entry" ? 1 : 0;
  return Count;
}

boost::json::object ControlPlane::status(TimePoint Now) const {
  const State &S = *State_;
  return controlStatus({.Table_ = S.Core_.table(),
                        .Follower_ = S.Core_.config(),
                        .InForce_ = S.InForce_,
                        .Refusal_ = S.Refusal_,
                        .Ready_ = S.Core_.ready(),
                        .IsReader_ = S.Core_.isReader()},
                       Now);
}

} // namespace hawthornroad
