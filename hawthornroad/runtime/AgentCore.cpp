#include "hawthornroad/runtime/AgentCore.h"

#include "hawthornroad/runtime/Log.h"

#include <set>

namespace hawthornroad {

namespace {

// In a fleet of hundreds each endpoint reports twice a second, so changes are
// batched for this long before the modules that read the whole fleet are
// updated.
constexpr Duration FleetPeriod = Milliseconds(100);
// Time between sending the leave messages and closing the sockets.
constexpr Duration LeaveFlush = Milliseconds(200);

DrainState::Limits drainLimits(const AgentSettings &S) {
  DrainState::Limits L;
  L.Limit_ = S.DrainLimit_;
  return L;
}

EndpointStatus initialStatus(const AgentCore::Setup &S) {
  EndpointStatus Status;
  Status.Vm_ = S.Settings_.Vm_;
  Status.Process_ = S.Settings_.Common_.Process_;
  Status.Incarnation_ = S.Incarnation_;
  Status.Zone_ = S.Settings_.Common_.Zone_;
  Status.Address_ = S.Peers_;
  Status.WeightsAddress_ = S.Weights_;
  return Status;
}

} // namespace

AgentCore::AgentCore(Setup S, Wiring W)
    : Setup_(std::move(S)), Wiring_(W),
      Attempts_(Setup_.Settings_, W.Loop_, W.Peers_, W.EngineIo_, W.EngineHttp_,
                W.Metrics_),
      Control_({Setup_.Settings_.Common_, Setup_.Incarnation_, "agent",
                Setup_.Peers_},
               W.Loop_, W.Peers_, W.PlatformHttp_, W.Metrics_,
               controlCallbacks()),
      Weights_({Setup_.Settings_, Setup_.Weights_}, W.Loop_, W.WeightsNet_,
               W.WeightsIo_, W.OriginHttp_, W.Metrics_,
               {.OnChange_ =
                    [this](TimePoint Now) {
                      syncStagedVersions(Now);
                      refresh(Now);
                    }}),
      Engine_({Setup_.Settings_, Setup_.Incarnation_}, W.Loop_, W.EngineHttp_,
              W.Metrics_,
              {.OnChange_ = [this](TimePoint Now) { onEngineChange(Now); },
               .RunningAttempts_ = [this] { return Attempts_.running(); }}),
      Drain_(drainChart(Setup_.Settings_.Common_.Charts_),
             drainLimits(Setup_.Settings_)),
      Status_(initialStatus(Setup_)) {}

ControlPlane::Callbacks AgentCore::controlCallbacks() {
  ControlPlane::Callbacks C;
  C.OnDeclaration_ = [this](auto D, Revision R) {
    onDeclaration(std::move(D), R, Wiring_.System_.now());
  };
  C.OnEndpoint_ = [this](const EndpointStatus &S, TimePoint) { onEndpoint(S); };
  C.OnEndpointGone_ = [this](const Vm &V, Incarnation I, TimePoint) {
    onEndpointGone(V, I);
  };
  return C;
}

void AgentCore::start(TimePoint Now) {
  Control_.start(Now);
  Weights_.start(Now);
  Engine_.start(Now);
}

void AgentCore::onPeerFrame(const PeerContext &From, wire::FrameT &F,
                            TimePoint Now) {
  if (!Attempts_.onFrame(From, F, Now))
    Control_.onFrame(From, F, Now);
}

void AgentCore::onWeightsFrame(const PeerContext &From, wire::FrameT &F,
                               TimePoint Now) {
  Weights_.onFrame(From, F, Now);
}

void AgentCore::onBeginDropped(const BeginDropped &E, TimePoint Now) {
  Attempts_.onBeginDropped(E, Now);
}

void AgentCore::onPeerLost(const PeerContext &Peer, TimePoint Now) {
  Attempts_.onLost(Peer, Now);
}

void AgentCore::onWeightsLost(const PeerContext &Peer, TimePoint Now) {
  Weights_.onLost(Peer, Now);
}

const Service *AgentCore::service() const {
  return Declaration_ ? Declaration_->serviceOf(Setup_.Settings_.Vm_) : nullptr;
}

void AgentCore::onEndpoint(const EndpointStatus &S) {
  if (S.Vm_ == Setup_.Settings_.Vm_)
    return;
  auto [At, New] = Fleet_.try_emplace(S.Vm_, S);
  if (!New && !S.supersedes(At->second))
    return;
  At->second = S;
  FleetChanged_ = true;
}

void AgentCore::onEndpointGone(const Vm &V, Incarnation I) {
  auto Found = Fleet_.find(V);
  if (Found == Fleet_.end() || Found->second.Incarnation_ > I)
    return;
  Fleet_.erase(Found);
  FleetChanged_ = true;
}

void AgentCore::onDeclaration(std::shared_ptr<const Declaration> D, Revision R,
                              TimePoint Now) {
  Declaration_ = std::move(D);
  Wiring_.Peers_.setRevision(R);
  Wiring_.WeightsNet_.setRevision(R);
  const Service *S = service();
  if (S == nullptr)
    log(LogLevel::Warning, Step::Apply, "no service is declared for this VM",
        {{"vm", Setup_.Settings_.Vm_.str()}, {"revision", std::to_string(R)}});
  Engine_.setDesiredService(S, R, Now);
  if (S != nullptr && S->Model_)
    Weights_.want({S->Name_, *S->Model_, S->Rollout_}, Now);
  FleetChanged_ = true;
  syncStagedVersions(Now);
  refresh(Now);
}

void AgentCore::onEngineChange(TimePoint Now) {
  VersionDigest Version = Engine_.version();
  if (!Version.empty() && Version != Loaded_) {
    LoadedBefore_ = Loaded_;
    Loaded_ = Version;
    std::set<VersionDigest> Kept{Loaded_};
    if (!LoadedBefore_.empty())
      Kept.insert(LoadedBefore_);
    Weights_.protect(std::move(Kept));
  }
  refresh(Now);
}

void AgentCore::syncStagedVersions(TimePoint Now) {
  const Service *S = service();
  if (S == nullptr || !S->Model_)
    return;
  // Includes all staged versions, not only the wanted one: an agent replaced
  // during a rollout must be able to load the old version again if the new one
  // fails.
  std::set<VersionDigest> Staged;
  for (const VersionDigest &Version : Weights_.staged())
    if (auto Path = Weights_.pathOf(Version)) {
      Engine_.setStagedPath(Version, *Path, Now);
      Staged.insert(Version);
    }
  for (const VersionDigest &Version : ReportedStaged_)
    if (!Staged.contains(Version))
      Engine_.setStagedPath(Version, "", Now);
  ReportedStaged_ = std::move(Staged);
}

void AgentCore::updateFleet(TimePoint Now) {
  if (!FleetChanged_ || Now - FleetUpdatedAt_ < FleetPeriod)
    return;
  FleetChanged_ = false;
  FleetUpdatedAt_ = Now;
  const Service *S = service();
  std::vector<EndpointStatus> SameService;
  std::vector<WeightPeer> Sources;
  for (const auto &[Name, Each] : Fleet_) {
    if (S == nullptr || Each.Service_ != S->Name_)
      continue;
    SameService.push_back(Each);
    if (!Each.WeightsAddress_.empty() && Each.Phase_ != EndpointPhase::Left)
      Sources.push_back({Each.Vm_, Each.Zone_, Each.WeightsAddress_});
  }
  Engine_.setFleet(SameService, Now);
  Weights_.setPeers(std::move(Sources), Now);
}

EndpointSources AgentCore::sources() const {
  EndpointSources From;
  From.Service_ = service();
  From.IsCaughtUp_ = Control_.ready();
  From.IsLeaving_ = !Drain_.isServing();
  From.HasLeft_ = Drain_.hasLeft();
  From.EnginePhase_ = Engine_.phase();
  From.Version_ = Engine_.version();
  From.Load_ = Engine_.load();
  From.EngineDetail_ = Engine_.detail();
  From.DefaultCapacity_ = Setup_.Settings_.Capacity_;
  From.Running_ = Attempts_.running();
  From.Staged_ = Weights_.staged();
  From.Rollout_ = Engine_.rollout();
  From.FailedVersion_ = Engine_.failedVersion();
  return From;
}

// Updates Attempts_ before any peer is told: work that is refused here is not
// run, even while entries still hold an older status.
void AgentCore::refresh(TimePoint Now) {
  EndpointStatus Fresh = endpointStatus(Status_, sources());
  bool Changed = isUrgent(Fresh, Status_);
  Status_ = std::move(Fresh);
  Attempts_.setEndpoint(endpointFacts(Status_, service()));
  if (Changed || Now - PublishedAt_ >= Setup_.Settings_.ReportPeriod_)
    publish(Now);
}

void AgentCore::publish(TimePoint Now) {
  ++Status_.Sequence_;
  PublishedAt_ = Now;
  Control_.publish(Status_, Now);
}

void AgentCore::applyDrainActions(const DrainActions &Actions, TimePoint Now) {
  for (DrainAction Each : Actions) {
    switch (Each) {
    case DrainAction::Publish:
      log(LogLevel::Info, Step::Run, "planned stop begins",
          {{"vm", Setup_.Settings_.Vm_.str()},
           {"detail", std::to_string(Attempts_.running()) + " running"}});
      refresh(Now);
      break;
    case DrainAction::GiveUpAttempts:
      Attempts_.giveUpAll("planned stop reached its limit", Now);
      break;
    case DrainAction::Leave:
      refresh(Now);
      Control_.leave(Now);
      LeftAt_ = Now;
      break;
    }
  }
}

void AgentCore::tick(TimePoint Now) {
  Attempts_.tick(Now);
  updateFleet(Now);
  refresh(Now);
  applyDrainActions(
      Drain_.tick({Attempts_.running(), Attempts_.unacknowledged()}, Now), Now);
}

void AgentCore::stop(TimePoint Now) {
  applyDrainActions(Drain_.stop(Now), Now);
}

bool AgentCore::hasLeft(TimePoint Now) const {
  return LeftAt_ && Now - *LeftAt_ >= LeaveFlush;
}

boost::json::object AgentCore::status(TimePoint Now) const {
  return {{"process", Status_.Process_.str()},
          {"vm", Status_.Vm_.str()},
          {"zone", Status_.Zone_.str()},
          {"service", Status_.Service_.str()},
          {"phase", toString(Status_.Phase_)},
          {"detail", Status_.Detail_},
          {"version", Status_.Version_.str()},
          {"revision", Control_.revision()},
          {"drain", Drain_.name()},
          {"capacity", Status_.Capacity_},
          {"attempts", Attempts_.status()},
          {"control", Control_.status(Now)},
          {"weights", Weights_.status(Now)},
          {"engine", Engine_.status(Now)}};
}

} // namespace hawthornroad
