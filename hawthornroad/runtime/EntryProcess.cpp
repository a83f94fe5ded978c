#include "hawthornroad/runtime/EntryProcess.h"

#include "hawthornroad/membership/MemberTable.h"
#include "hawthornroad/peers/AttemptCodec.h"
#include "hawthornroad/runtime/Address.h"
#include "hawthornroad/runtime/EntryState.h"
#include "hawthornroad/runtime/Log.h"
#include "hawthornroad/runtime/Seed.h"

#include <boost/json/serialize.hpp>
#include <chrono>
#include <thread>

namespace hawthornroad {

namespace {
constexpr Duration TickPeriod = Milliseconds(20);
// Maximum wait at a planned stop for claims to settle and for callers to read
// their answers.
constexpr Duration StopSettleTimeout = Seconds(10);
constexpr Duration StopPollPeriod = Milliseconds(20);
// How often limits are adjusted to the number of live entries.
constexpr Duration LimitSharePeriod = Seconds(1);
constexpr Duration BusyRetryAfter = Milliseconds(500);
// A claim that takes longer is refused, so that callers do not wait for a table
// that is unavailable.
constexpr Duration ClaimTimeout = Milliseconds(1000);

std::int64_t wallMilliseconds() {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(Since).count();
}

Problem processBusy() {
  Problem P;
  P.Cause_ = std::string(toString(RefusalCause::ProcessBusy));
  P.Detail_ = "this entry has too much to do";
  P.RetryAfter_ = BusyRetryAfter;
  return P;
}
} // namespace

Incarnation startTime() {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<Incarnation>(
      std::chrono::duration_cast<std::chrono::nanoseconds>(Since).count());
}

std::uint64_t idSeed() { return systemSeed() ^ startTime(); }

namespace {
RequestCore::Options coreOptions(const EntrySettings &S) {
  RequestCore::Options O;
  O.AttemptIdle_ = S.AttemptIdle_;
  return O;
}

ClaimCore::Options claimOptions(const EntrySettings &S, Incarnation I) {
  ClaimCore::Options O;
  O.Holder_ = S.Common_.Process_.str();
  O.Incarnation_ = I;
  O.Keep_ = std::max(S.ClaimKeep_, 2 * S.MaxDeadline_);
  O.Timeout_ = std::min(S.Common_.Platform_.Timeout_, ClaimTimeout);
  return O;
}
} // namespace

EntryProcess::State::State(EntrySettings Settings)
    : Settings_(std::move(Settings)),
      Admission_(Random(seedOr(Settings_.Common_.RandomSeed_))),
      Chooser_(Random(seedOr(Settings_.Common_.RandomSeed_)),
               Settings_.Common_.Zone_),
      Core_(coreOptions(Settings_), loadRequestChart(Settings_.Common_.Charts_),
            Random(idSeed()), Admission_, Chooser_, Budget_),
      Claims_(claimOptions(Settings_, Incarnation_),
              loadClaimChart(Settings_.Common_.Charts_),
              Random(seedOr(Settings_.Common_.RandomSeed_))) {
  listen();
}

void EntryProcess::State::listen() {
  const ProcessSettings &Common = Settings_.Common_;
  Loop_ = std::make_unique<DecisionLoop>(System_, "decisions", TickPeriod,
                                         EntryRingCapacity);
  Net_ = std::make_unique<PeerNet>(PeersIo_,
                                   PeerNet::Self{Common.Process_, Incarnation_,
                                                 Common.Zone_, "entry",
                                                 Common.PeerAdvertise_},
                                   PeerNet::Limits{}, netCallbacks());
  std::string PeerIp = ipOf(Common.PeerListen_);
  PeersAddress_ =
      PeerIp + ":" +
      std::to_string(Net_->listen(PeerIp, portOf(Common.PeerListen_)));
  Table_ = std::make_unique<ClaimTable>(
      Platform_, Common.Platform_.Table_, Common.Platform_.Timeout_,
      [this](ClaimCallResult A) {
        Loop_->post([this, A = std::move(A)](TimePoint Now) {
          run(Claims_.tableCallEnded(A, Now), Now);
        });
      });
  ControlPlane::Setup Setup{Common, Incarnation_, "entry",
                            PeerAddress(Common.PeerAdvertise_.empty()
                                            ? PeersAddress_
                                            : Common.PeerAdvertise_)};
  Control_ = std::make_unique<ControlPlane>(Setup, *Loop_, *Net_, Platform_,
                                            Metrics_, controlCallbacks());
  Admin_ = std::make_unique<AdminServer>(AdminIo_, Metrics_, adminHooks());
  std::string AdminIp = ipOf(Common.AdminListen_);
  AdminAddress_ =
      AdminIp + ":" +
      std::to_string(Admin_->listen(AdminIp, portOf(Common.AdminListen_)));
  HttpServer::Limits Limits;
  Limits.MaxBody_ = Settings_.MaxBody_;
  Limits.MaxConnections_ = Settings_.MaxConnections_;
  Callers_ = std::make_unique<HttpServer>(
      CallersIo_, Limits,
      [this](HttpRequest R, std::shared_ptr<HttpExchange> X) {
        onCall(std::move(R), std::move(X));
      });
  std::string CallerIp = ipOf(Settings_.CallerListen_);
  CallersAddress_ = CallerIp + ":" +
                    std::to_string(Callers_->listen(
                        CallerIp, portOf(Settings_.CallerListen_)));
  Loop_->post([this](TimePoint Now) {
    Claims_.setWallClock(wallMilliseconds(), Now);
    Control_->start(Now);
  });
  Loop_->onTick([this](TimePoint Now) { tick(Now); });
}

// The loop is destroyed before the objects its closures use, and the threads
// stop before the loop.
EntryProcess::State::~State() {
  CallersIo_.stop();
  PeersIo_.stop();
  PlatformIo_.stop();
  AdminIo_.stop();
  Loop_.reset();
}

// ---- From the I/O threads into the loop -------------------------------------

PeerNet::Callbacks EntryProcess::State::netCallbacks() {
  PeerNet::Callbacks C;
  C.OnFrame_ = [this](const PeerContext &From, const wire::Frame &Frame) {
    onFrame(From, Frame);
  };
  C.OnLost_ = [this](const PeerContext &From, const Error &E) {
    onLost(From, E);
  };
  return C;
}

void EntryProcess::State::onCall(HttpRequest R,
                                 std::shared_ptr<HttpExchange> X) {
  CallerLimits Limits;
  Limits.DefaultDeadline_ = Settings_.DefaultDeadline_;
  Limits.MaxDeadline_ = Settings_.MaxDeadline_;
  RequestId Id = Ids_.id<RequestTag>();
  ParsedCall Parsed = parseCall(std::move(R), Id, Limits, System_.now());
  if (const auto *Bad = std::get_if<Problem>(&Parsed)) {
    Metrics_.count("hawthornroad_requests_total",
                   {{"outcome", "not-run"}, {"cause", Bad->Cause_}});
    return X->respond(problemResponse(*Bad, {Id, 0, {}}));
  }
  auto &Call = std::get<CallerRequest>(Parsed);
  X->onDisconnect([this, Id] {
    Loop_->post(
        [this, Id](TimePoint Now) { run(Core_.callerGone(Id, Now), Now); });
  });
  bool Posted = Loop_->post([this, Call = std::move(Call), X](TimePoint Now) {
    acceptRequest(Call, X, Now);
  });
  if (!Posted) {
    Metrics_.count("hawthornroad_requests_total",
                   {{"outcome", "not-run"}, {"cause", "process_busy"}});
    X->respond(problemResponse(processBusy(), {Id, 0, {}}));
  }
}

void EntryProcess::State::onFrame(const PeerContext &From,
                                  const wire::Frame &Frame) {
  auto Unpacked = std::make_shared<wire::FrameT>();
  Frame.UnPackTo(Unpacked.get());
  bool Posted = Loop_->post([this, From, Unpacked](TimePoint Now) {
    handleFrame(From, *Unpacked, Now);
  });
  if (!Posted)
    Metrics_.count("hawthornroad_frames_dropped_total");
}

void EntryProcess::State::onLost(const PeerContext &From, const Error &E) {
  if (From.Lane_ != Lane::Requests)
    return;
  ConnectionLost Lost;
  Lost.Address_ = From.Address_;
  Lost.NeverConnected_ = E.step() == Step::Connect;
  Lost.BegunUpTo_ = BegunUpTo_;
  Lost.Message_ = E.message();
  Loop_->post([this, Lost = std::move(Lost)](TimePoint Now) {
    run(Core_.connectionLost(Lost, Now), Now);
  });
}

ControlPlane::Callbacks EntryProcess::State::controlCallbacks() {
  ControlPlane::Callbacks C;
  C.OnDeclaration_ = [this](std::shared_ptr<const Declaration> D, Revision R) {
    Net_->setRevision(R);
    Declaration_ = D;
    Core_.configure(std::move(D));
    updateLimitShare();
    Metrics_.set("hawthornroad_revision", static_cast<double>(R));
  };
  C.OnEndpoint_ = [this](const EndpointStatus &S, TimePoint Now) {
    Chooser_.update(S, Now);
    run(Core_.endpointChanged(S.Service_, Now), Now);
  };
  C.OnEndpointGone_ = [this](const Vm &V, Incarnation I, TimePoint Now) {
    Chooser_.remove(V, I);
    run(Core_.endpointGone(V, I, Now), Now);
  };
  return C;
}

AdminServer::Hooks EntryProcess::State::adminHooks() {
  AdminServer::Hooks H;
  H.Ready_ = [this] { return Ready_.load() && !Stopping_.load(); };
  H.StatusJson_ = [this](AdminServer::Reply Done) {
    bool Posted =
        Loop_->post([this, Done](TimePoint Now) { Done(statusText(Now)); });
    if (!Posted)
      Done("{\"error\":\"the decision loop is full\"}");
  };
  H.BeforeMetrics_ = [this] {
    Metrics_.set("hawthornroad_decision_backlog",
                 static_cast<double>(Loop_->backlog()));
    Net_->updateByteMetrics(Metrics_, Lane::Control);
    Net_->updateByteMetrics(Metrics_, Lane::Requests);
  };
  return H;
}

// ---- Inside the loop --------------------------------------------------------

void EntryProcess::State::acceptRequest(CallerRequest R,
                                        std::shared_ptr<HttpExchange> X,
                                        TimePoint Now) {
  RequestId Id = R.Id_;
  R.Repeatable_ =
      R.Repeatable_ && Core_.isRepeatable(R.Service_, R.Method_, R.Target_);
  Exchanges_[Id] = std::move(X);
  run(Core_.arrived(std::make_shared<const CallerRequest>(std::move(R)), Now),
      Now);
}

void EntryProcess::State::handleFrame(const PeerContext &From,
                                      const wire::FrameT &Frame,
                                      TimePoint Now) {
  if (Control_->onFrame(From, Frame, Now))
    return;
  std::optional<AttemptUpdate> Update =
      toAttemptUpdate(Frame, From.Incarnation_);
  if (!Update)
    return;
  AttemptId Id =
      std::visit([](const auto &W) { return W.From_.Attempt_; }, *Update);
  RequestId Request = Core_.requestOf(Id);
  if (const HttpExchange *X = exchange(Request))
    run(Core_.callerBacklog(Request, X->backlog(), Now), Now);
  CurrentConnection_ = From.Connection_;
  run(Core_.attemptUpdated(*Update, Now), Now);
  CurrentConnection_ = 0;
}

void EntryProcess::State::tick(TimePoint Now) {
  Claims_.setWallClock(wallMilliseconds(), Now);
  Ready_.store(Control_->ready());
  if (Now - LimitsSharedAt_ >= LimitSharePeriod) {
    LimitsSharedAt_ = Now;
    if (Control_->liveEntries() != LiveEntries_)
      updateLimitShare();
  }
  for (RequestId Id : Core_.heldBack())
    if (const HttpExchange *X = exchange(Id))
      run(Core_.callerBacklog(Id, X->backlog(), Now), Now);
  run(Core_.tick(Now), Now);
  run(Claims_.tick(Now), Now);
  std::erase_if(Unread_, [](const auto &X) { return X->backlog() == 0; });
  Metrics_.set("hawthornroad_requests_open", static_cast<double>(Core_.open()));
  Metrics_.set("hawthornroad_claims_open", static_cast<double>(Claims_.open()));
  Metrics_.set("hawthornroad_claims_dropped",
               static_cast<double>(Claims_.dropped()));
  if (Draining_.load()) {
    Core_.drain();
    updateStopProgress();
  }
}

void EntryProcess::State::updateLimitShare() {
  if (!Declaration_)
    return;
  LiveEntries_ = Control_->liveEntries();
  Admission_.configure(Declaration_, std::max<std::size_t>(LiveEntries_, 1));
}

void EntryProcess::State::updateStopProgress() {
  AllSettled_.store(Core_.open() == 0 && Claims_.open() == 0);
  AllAnswered_.store(Core_.inProgress() == 0 && Unread_.empty());
}

std::string EntryProcess::State::statusText(TimePoint Now) const {
  boost::json::object Out;
  Out["process"] = Settings_.Common_.Process_.str();
  Out["role"] = "entry";
  Out["zone"] = Settings_.Common_.Zone_.str();
  Out["ready"] = Ready_.load();
  Out["draining"] = Stopping_.load();
  Out["revision"] = Control_->revision();
  Out["requests_in_progress"] = Core_.inProgress();
  Out["claims_open"] = Claims_.open();
  boost::json::array Endpoints;
  for (const EndpointStatus &Each : Chooser_.all()) {
    boost::json::object E;
    E["vm"] = Each.Vm_.str();
    E["service"] = Each.Service_.str();
    E["phase"] = std::string(toString(Each.Phase_));
    E["version"] = Each.Version_.str();
    E["ejected"] = Chooser_.isEjected(Each.Vm_, Now);
    Endpoints.push_back(std::move(E));
  }
  Out["endpoints"] = std::move(Endpoints);
  Out["control"] = Control_->status(Now);
  return boost::json::serialize(Out);
}

// ---- Public -----------------------------------------------------------------

void EntryProcess::check(const std::string &SettingsFile) {
  EntrySettings S = EntrySettings::load(SettingsFile);
  loadRequestChart(S.Common_.Charts_);
  loadClaimChart(S.Common_.Charts_);
  Chart::load(S.Common_.Charts_, "member", memberChartNames());
}

EntryProcess::EntryProcess(EntrySettings Settings)
    : State_(std::make_unique<State>(std::move(Settings))) {}

EntryProcess::~EntryProcess() = default;

boost::json::object EntryProcess::readyLine() const {
  boost::json::object Line;
  Line["ready"] = "entry";
  Line["process"] = State_->Settings_.Common_.Process_.str();
  Line["callers"] = State_->CallersAddress_;
  Line["peers"] = State_->PeersAddress_;
  Line["admin"] = State_->AdminAddress_;
  return Line;
}

namespace {
void waitFor(const std::atomic<bool> &Condition, Duration Timeout) {
  TimePoint Deadline = std::chrono::steady_clock::now() + Timeout;
  while (!Condition.load() && std::chrono::steady_clock::now() < Deadline)
    std::this_thread::sleep_for(StopPollPeriod);
}
} // namespace

void EntryProcess::drain() {
  State &S = *State_;
  // The load balancer takes a while to notice that /readyz fails; until then
  // its callers are served as before.
  S.Stopping_.store(true);
  std::this_thread::sleep_for(S.Settings_.DrainGrace_);
  S.Callers_->closeListener();
  S.Draining_.store(true);
  waitFor(S.AllAnswered_, S.Settings_.MaxDeadline_ + StopSettleTimeout);
  // A claim that the table does not accept in time stays unsettled; later
  // requests with its key get the outcome "unknown".
  waitFor(S.AllSettled_, StopSettleTimeout);
  S.Loop_->post([&S](TimePoint Now) { S.Control_->leave(Now); });
  std::this_thread::sleep_for(5 * StopPollPeriod);
}

} // namespace hawthornroad
