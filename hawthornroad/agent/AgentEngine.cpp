#include "hawthornroad/agent/StoreAgentState.h"
#include "hawthornroad/peers/Ages.h"

#include <algorithm>
#include <cmath>

namespace hawthornroad {

namespace {
// Entries treat an engine as unavailable for 3.5 s after a notice; it is
// repeated before that.
constexpr Duration AwayNoticeInterval = Milliseconds(1500);
// Least time between two load notices, though the engine may be asked more
// often: entries only rank engines by load, and ask for a place before they
// send.
constexpr Duration MinLoadNoticeInterval = Milliseconds(120);
// Entries use a slowdown for 300 ms; it is repeated before that.
constexpr Duration SlowNoticeInterval = Milliseconds(200);
// Step in which entries are told how fast the engine works. Smaller changes do
// not alter their choice and would cause a notice after every report.
constexpr double SlowdownStep = 0.1;
// Interval at which the peers are listed during a transfer. Engines come and go
// meanwhile; pieces assigned to one that has left are fetched by no other VM
// while it is still listed.
constexpr Duration PeerListInterval = Milliseconds(1000);
// The engine answers an order at once or not at all.
constexpr Duration OrderTimeout = Seconds(1);
// A transfer without a new piece for this long has stalled: pieces arrive every
// 30 ms over a narrow link, and a corrupted one is replaced within 0.3 s.
constexpr Duration StallTimeout = Milliseconds(400);
// How long pieces stay in memory after a version is loaded, for peers that
// still need them.
constexpr Duration PieceRetention = Seconds(5);
// Minimum duration of a transfer, relative to the time that its bytes alone
// need on the narrowest link.
constexpr double TransferOverhead = 1.6;

float roundedSlowdown(const EndpointSpeed &S, TimePoint Now) {
  if (!S.stated(Now))
    return 0;
  return static_cast<float>(std::round(S.factor(Now) / SlowdownStep) *
                            SlowdownStep);
}
} // namespace

TimePoint StoreAgent::State::scheduledLoadAt() const {
  return loadSchedule().at(loadPosition(Self_, Current_->Version_),
                           Current_->HeardAt_);
}

// Extrapolates from the transfer rate so far; TimePoint::max() until a third of
// the pieces is held, or when the transfer has stalled.
TimePoint StoreAgent::State::expectedCompleteAt(TimePoint Now) const {
  if (!Current_ || !Current_->Transfer_)
    return TimePoint::max();
  const PieceTransfer &T = *Current_->Transfer_;
  std::size_t All = T.digests().size();
  if (T.isComplete())
    return Now;
  if (T.held() * 3 < All || Now - T.lastPieceAt() >= StallTimeout)
    return TimePoint::max();
  double Missing =
      static_cast<double>(All - T.held()) / static_cast<double>(T.held());
  return Now +
         std::chrono::duration_cast<Duration>((Now - T.startedAt()) * Missing);
}

LoadPosition StoreAgent::State::loadPosition(const std::string &Ip,
                                             const ModelVersion &V) const {
  return loadSchedule().position(Ip, ZoneMembers_, PieceTransfer::frameName(V));
}

LoadSchedule StoreAgent::State::loadSchedule() const {
  LoadSchedule::Options O;
  O.Bound_ = Settings_.Common_.VersionBound_ - BoundMargin;
  const EngineProfile *Pace = pace();
  O.Transfer_ =
      transferTime(Pace == nullptr ? 0 : static_cast<double>(Pace->Pieces_));
  return LoadSchedule(O);
}

// Neither the number of entries nor the ages of versions are a reason for a
// notice: when all entries start, each would be notified of each other.
wire::EngineNoticeT
StoreAgent::State::withDetails(wire::EngineNoticeT Notice) const {
  TimePoint Now = bootNow();
  Notice.entries = static_cast<std::uint32_t>(Watchers_.size());
  for (const HeardVersions::Entry &Each : Heard_.all()) {
    auto Heard = std::make_unique<wire::HeardVersionT>();
    Heard->model = Each.Version_.Model_;
    Heard->version = Each.Version_.Version_;
    Heard->age_us = ageInMicroseconds(Each.At_, Now);
    Notice.heard.push_back(std::move(Heard));
  }
  return Notice;
}

// Notifies subscribed entries when the engine's state changes for them.
void StoreAgent::State::notifyEntries() {
  if (!Updater_.state())
    return;
  wire::EngineNoticeT Notice;
  Notice.address = Settings_.EngineAddress_;
  Notice.version = Updater_.state()->Loaded_.Version_;
  // A restarted engine holds no version, whatever the store still lists for it.
  if (Updater_.isAway() || Updater_.isEmpty())
    Notice.phase = static_cast<std::uint8_t>(EnginePhase::Away);
  Notice.running = Updater_.state()->Running_;
  Notice.waiting = Updater_.state()->Waiting_;
  TimePoint Now = bootNow();
  Notice.slowdown = roundedSlowdown(Places_.speed(), Now);
  bool IsAway = Notice.phase != 0;
  Duration Interval = Duration::max();
  if (IsAway)
    Interval = AwayNoticeInterval;
  else if (Notice.slowdown > 1)
    Interval = SlowNoticeInterval;
  if (LastNotice_ == Notice && Now - LastNoticeAt_ < Interval)
    return;
  bool IsLoadOnly = !IsAway && LastNotice_ &&
                    LastNotice_->phase == Notice.phase &&
                    LastNotice_->version == Notice.version;
  if (IsLoadOnly && Now - LastNoticeAt_ < MinLoadNoticeInterval)
    return;
  LastNoticeAt_ = Now;
  LastNotice_ = Notice;
  FrameBuffer Frame = makeFrame(withDetails(Notice));
  for (const auto &[Process, W] : Watchers_)
    if (!IsLoadOnly || W.WantsLoads_)
      Net_->reply(W.Connection_, Frame);
}

void StoreAgent::State::step(TimePoint Now) {
  TimePoint LoadAt = Current_ ? scheduledLoadAt() : Now;
  bool IsStalled = Current_ && Current_->Transfer_ &&
                   Now - Current_->Transfer_->lastPieceAt() >= StallTimeout;
  if (Updater_.reopenIfOverdue(Now, IsStalled)) {
    Log_.write(LogLine("engine_reopened")
                   .count("version", Current_->Version_.Version_)
                   .count("held", Current_->Transfer_
                                      ? Current_->Transfer_->held()
                                      : 0));
    notifyEntries();
  }
  switch (Updater_.next(LoadAt, expectedCompleteAt(Now), Now)) {
  case EngineStep::Nothing:
    break;
  case EngineStep::Report:
    requestReport();
    break;
  case EngineStep::Fetch:
    fetch(Current_, Now);
    break;
  case EngineStep::Close:
    Log_.write(LogLine("engine_closing")
                   .count("version", Current_->Version_.Version_)
                   .count("running", Updater_.state()->Running_)
                   .millis("since_wanted_ms", Now - Current_->HeardAt_));
    Updater_.onClosed(Now);
    notifyEntries();
    break;
  case EngineStep::Verify:
    stageAndVerify();
    break;
  case EngineStep::Order:
    orderLoad();
    break;
  }
  if (Next_)
    fetch(Next_, Now);
  if (isFetching() && Now - PeersAt_ >= PeerListInterval)
    listPeers(Now);
  // Only one version at a time uses the origin's narrow link, the earlier one
  // first.
  if (Next_ && Next_->Transfer_)
    Next_->Transfer_->setReadsOrigin(!Current_ || OrderBegun_ ||
                                     !Current_->Transfer_ ||
                                     Current_->Transfer_->isComplete());
  if (!Updater_.isDone())
    return;
  if (!LoadedAt_) {
    LoadedAt_ = Now;
    // The staged pieces are now the loaded version.
    if (Current_ && Current_->Transfer_)
      Offer_ = Current_->Transfer_;
  }
  if (Offer_ && Now - *LoadedAt_ > PieceRetention)
    Offer_->forgetPieces();
  if (!Offer_)
    offerLoaded();
  // The order may have been accepted without an answer.
  startNextUpdate();
}

Duration StoreAgent::State::transferTime(double Pieces) const {
  const EngineProfile *Pace = pace();
  if (Pace == nullptr)
    return Duration::zero();
  double Bits = Pieces * static_cast<double>(Pace->PieceBytes_) * 8;
  const ServiceConfig *Origin = Config_ ? Config_->origin() : nullptr;
  double Mbps = Settings_.LinkMbps_;
  if (Origin != nullptr && Origin->LinkMbps_ > 0)
    Mbps = std::min(Mbps, Origin->LinkMbps_);
  constexpr double BitsPerMegabit = 1e6;
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      Bits / (Mbps * BitsPerMegabit) * TransferOverhead));
}

PendingVersion StoreAgent::State::pendingVersion(const VersionUpdate &P) const {
  double Missing = pace() == nullptr ? 0 : static_cast<double>(pace()->Pieces_);
  if (P.Transfer_)
    Missing = static_cast<double>(P.Transfer_->digests().size() -
                                  P.Transfer_->held());
  return {.NeededBy_ =
              P.HeardAt_ + Settings_.Common_.VersionBound_ - BoundMargin,
          .Remaining_ = transferTime(Missing)};
}

// The next version replaces one whose pieces do not arrive: when the next one
// is complete, or when the earlier one is late and not worth completing.
void StoreAgent::State::supersedeStalled(TimePoint Now) {
  if (!Next_ || OrderBegun_ || !Current_)
    return;
  if (Current_->Transfer_ && Current_->Transfer_->isComplete())
    return;
  bool IsNextComplete = Next_->Transfer_ && Next_->Transfer_->isComplete();
  PendingVersion Current = pendingVersion(*Current_);
  bool IsStalled = !Current_->Transfer_ ||
                   Now - Current_->Transfer_->lastPieceAt() >= StallTimeout;
  bool IsTooLate =
      Now >= Current.NeededBy_ &&
      (IsStalled || overtakes(pendingVersion(*Next_), Current, Now));
  if (!IsNextComplete && !IsTooLate)
    return;
  Log_.write(LogLine("version_overtaken")
                 .count("version", Current_->Version_.Version_)
                 .count("by", Next_->Version_.Version_)
                 .flag("too_late", IsTooLate));
  startNextUpdate();
}

void StoreAgent::State::requestReport() {
  TimePoint Now = bootNow();
  Updater_.onReportFailed(Now);
  ReportPending_ = true;
  Engine_.call(platform::reportCall(), {AgentEngineTimeout, MaxEngineAnswer},
               [this, Now](const HttpCalls::Result &R) { onReport(R, Now); });
}

void StoreAgent::State::onReport(const HttpCalls::Result &R,
                                 TimePoint AskedAt) {
  TimePoint Now = bootNow();
  ReportPending_ = false;
  const auto *Answer = std::get_if<HttpAnswer>(&R);
  constexpr unsigned Ok = 200;
  if (Answer == nullptr || Answer->Status_ != Ok)
    return Updater_.onReportFailed(Now);
  try {
    EngineReport S = platform::decodeReport(Answer->Body_, Answer->Headers_);
    if (S.IsSlowdownUnreadable_)
      Metrics_.count("hawthornroad_endpoint_statements_unreadable_total",
                     {{"field", "slowdown"}});
    bool IsNews = !LastLoggedReport_ ||
                  LastLoggedReport_->Loaded_ != S.Loaded_ ||
                  LastLoggedReport_->IsBusy_ != S.IsBusy_ ||
                  LastLoggedReport_->Orders_ != S.Orders_;
    if (IsNews)
      Log_.write(LogLine("engine")
                     .count("version", S.Loaded_.Version_)
                     .flag("busy", S.IsBusy_)
                     .count("orders", S.Orders_)
                     .count("running", S.Running_)
                     .count("waiting", S.Waiting_));
    LastLoggedReport_ = S;
    LastReportAskedAt_ = AskedAt;
    Places_.onReport(S.Running_, S.Waiting_, AskedAt, S.Slowdown_);
    Updater_.onReport(std::move(S), Now);
    notifyEntries();
    answerPlaceRequests(Now);
  } catch (const Error &E) {
    Log_.write(LogLine("engine_unreadable").text("detail", E.what()));
    return Updater_.onReportFailed(Now);
  }
  step(Now);
}

void StoreAgent::State::stageAndVerify() {
  auto P = Current_;
  if (!P->Transfer_ || !P->Transfer_->isComplete())
    return;
  Updater_.onVerifyStarted();
  std::vector<ChunkIndex> All;
  for (ChunkIndex I = 0; I < P->Transfer_->digests().size(); ++I)
    All.push_back(I);
  StagedPieceWriter::run(
      Engine_, P->Version_.Model_, P->Transfer_->pieces(),
      [this, P, All](bool) {
        StagedPieceReader::run(
            Engine_, P->Version_.Model_, All, P->Transfer_->digests(),
            P->Transfer_->pieceBytes(), [this, P](StagedPieceReader::Result R) {
              onVerified(P, std::move(R));
            });
      });
}

void StoreAgent::State::onVerified(const std::shared_ptr<VersionUpdate> &P,
                                   StagedPieceReader::Result R) {
  StagedCheck C{.Pieces_ = P->Transfer_->digests().size(),
                .Right_ = R.Matching_.size(),
                .Unread_ = R.Unread_,
                .HoldsCopy_ = P->Transfer_->holdsCopy()};
  reportVerified(P->Version_, C);
  if (Current_ != P) {
    Updater_.onVerifyAbandoned();
    return step(bootNow());
  }
  Updater_.onVerified(C, bootNow());
  if (C.repair() == PieceRepair::FetchMissing)
    fetchAgain(P, std::move(R.Matching_));
  step(bootNow());
}

void StoreAgent::State::reportVerified(const ModelVersion &V,
                                       const StagedCheck &C) {
  std::string Repair(toString(C.repair()));
  bool IsIntact = C.repair() == PieceRepair::None;
  Log_.write(LogLine("pieces_verified")
                 .count("version", V.Version_)
                 .count("right", C.Right_)
                 .count("pieces", C.Pieces_)
                 .count("spoilt", C.spoilt())
                 .count("unread", C.Unread_)
                 .text("repair", Repair),
             !IsIntact);
  if (IsIntact)
    return;
  Metrics_.count("hawthornroad_staged_pieces_spoilt_total", {},
                 static_cast<double>(C.spoilt()));
  Metrics_.count("hawthornroad_staged_pieces_repairs_total",
                 {{"repair", Repair}});
}

void StoreAgent::State::fetchAgain(const std::shared_ptr<VersionUpdate> &P,
                                   std::map<ChunkIndex, std::string> Held) {
  platform::PieceDigests D;
  D.Digests_ = P->Transfer_->digests();
  D.PieceBytes_ = P->Transfer_->pieceBytes();
  // Frames of a version are for one transfer, and the new one serves it too.
  if (Offer_ == P->Transfer_)
    Offer_.reset();
  LoadedAt_.reset();
  beginTransfer(P, D, std::move(Held));
}

void StoreAgent::State::orderLoad() {
  auto P = Current_;
  const EngineReport Last = *Updater_.state();
  Duration ReportAge = bootNow() - LastReportAskedAt_;
  Updater_.onOrderSent();
  Engine_.call(
      platform::loadCall(P->Version_, Last.Orders_),
      {.Time_ = OrderTimeout,
       .MaxBody_ = MaxEngineAnswer,
       .NeedsNewConnection_ = true},
      [this, P, Last, ReportAge](const HttpCalls::Result &R) {
        auto End = EngineUpdater::OrderResult::Unknown;
        unsigned Status = 0;
        if (const auto *Answer = std::get_if<HttpAnswer>(&R)) {
          Status = Answer->Status_;
          End = platform::decodeOrderReply(Status);
        }
        Log_.write(LogLine("order")
                       .count("version", P->Version_.Version_)
                       .count("status", Status)
                       .millis("since_wanted_ms", bootNow() - P->HeardAt_)
                       .count("running", Last.Running_)
                       .count("waiting", Last.Waiting_)
                       .millis("report_age_ms", ReportAge),
                   true);
        Updater_.onOrderAnswered(End, bootNow());
        if (End == EngineUpdater::OrderResult::Begun && Current_ == P) {
          OrderBegun_ = true;
          notifyEntries();
          startNextUpdate();
        }
        step(bootNow());
      });
}

} // namespace hawthornroad
