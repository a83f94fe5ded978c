#include "hawthornroad/agent/StoreAgentState.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// An entry believes for 3.5 s that an engine is away; it is told again before.
constexpr Duration AwayAgain = Milliseconds(1500);
// Loads are told no more often than this, though the engine may be asked more
// often: they order an entry's choice, and its places are asked for.
constexpr Duration LoadsApart = Milliseconds(120);
// Questions for places that wait for the engine's word. Beyond it the oldest
// gets no answer: its entry has looked elsewhere by then.
constexpr std::size_t MostPlaceQuestions = 256;
// Engines come and go while a version is on its way; whoever left was to bring
// pieces, which nobody else does while it is listed.
constexpr Duration PeersAgain = Milliseconds(1000);
// An order is answered at once or not at all.
constexpr Duration OrderLimit = Seconds(1);
// Without a piece for this long a transfer has stopped: pieces come every 30 ms
// over a narrow link, and one that was spoilt again within 0.3 s.
constexpr Duration PiecesStalled = Milliseconds(400);
// How long pieces are kept in memory after a version is whole, for peers that
// are still without.
constexpr Duration PiecesKept = Seconds(5);
// What a transfer takes at least, against the bare time of its bytes over the
// narrowest link.
constexpr double TransferStretch = 1.6;
} // namespace

TimePoint StoreAgent::State::mayLoadAt() const {
  return turn().at(loadPosition(Self_, Current_->Version_), Current_->HeardAt_);
}

// By the pace so far; never before pieces have begun to come.
TimePoint StoreAgent::State::wholeBy(TimePoint Now) const {
  if (!Current_ || !Current_->Transfer_)
    return TimePoint::max();
  const PieceTransfer &T = *Current_->Transfer_;
  std::size_t All = T.digests().size();
  if (T.isWhole())
    return Now;
  if (T.held() * 3 < All || Now - T.heldAt() >= PiecesStalled)
    return TimePoint::max();
  double Missing =
      static_cast<double>(All - T.held()) / static_cast<double>(T.held());
  return Now +
         std::chrono::duration_cast<Duration>((Now - T.startedAt()) * Missing);
}

LoadPosition StoreAgent::State::loadPosition(const std::string &Ip,
                                             const ModelVersion &V) const {
  return turn().position(Ip, ZoneMembers_, PieceTransfer::frameName(V));
}

LoadTurn StoreAgent::State::turn() const {
  LoadTurn::Options O;
  O.Bound_ = Settings_.Common_.VersionBound_ - BoundMargin;
  const EnginePace *Pace = pace();
  double Bits = Pace != nullptr
                    ? static_cast<double>(Pace->Pieces_ * Pace->PieceBytes_) * 8
                    : 0;
  const ServiceEntry *Origin = Config_ ? Config_->origin() : nullptr;
  double Mbps = Settings_.LinkMbps_;
  if (Origin != nullptr && Origin->LinkMbps_ > 0)
    Mbps = std::min(Mbps, Origin->LinkMbps_);
  constexpr double BitsPerMegabit = 1e6;
  O.Transfer_ =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          Bits / (Mbps * BitsPerMegabit) * TransferStretch));
  return LoadTurn(O);
}

// Entries that asked are told when the engine's state changes for them.
void StoreAgent::State::tellEntries() {
  if (!Duty_.state())
    return;
  wire::EngineNoticeT Notice;
  Notice.address = Settings_.EngineAddress_;
  Notice.version = Duty_.state()->Loaded_.Version_;
  // An engine that has started anew holds nothing, whatever the store's list
  // still says of it.
  if (Duty_.isAway() || Duty_.isEmpty())
    Notice.phase = static_cast<std::uint8_t>(EnginePhase::Away);
  Notice.running = Duty_.state()->Running_;
  Notice.waiting = Duty_.state()->Waiting_;
  TimePoint Now = bootNow();
  bool IsAway = Notice.phase != 0;
  if (ToldEntries_ == Notice && !(IsAway && Now - ToldAt_ >= AwayAgain))
    return;
  bool IsLoadOnly = !IsAway && ToldEntries_ &&
                    ToldEntries_->phase == Notice.phase &&
                    ToldEntries_->version == Notice.version;
  if (IsLoadOnly && Now - ToldAt_ < LoadsApart)
    return;
  ToldAt_ = Now;
  ToldEntries_ = Notice;
  FrameBuffer Frame = makeFrame(Notice);
  for (const auto &[Process, W] : Watchers_)
    if (!IsLoadOnly || W.WantsLoads_)
      Net_->reply(W.Connection_, Frame);
}

void StoreAgent::State::step(TimePoint Now) {
  TimePoint LoadAt = Current_ ? mayLoadAt() : Now;
  bool IsStalled = Current_ && Current_->Transfer_ &&
                   Now - Current_->Transfer_->heldAt() >= PiecesStalled;
  if (Duty_.reopen(Now, IsStalled)) {
    Log_.write(LogLine("engine_reopened")
                   .count("version", Current_->Version_.Version_)
                   .count("held", Current_->Transfer_
                                      ? Current_->Transfer_->held()
                                      : 0));
    tellEntries();
  }
  switch (Duty_.next(LoadAt, wholeBy(Now), Now)) {
  case EngineStep::Nothing:
    break;
  case EngineStep::Report:
    report();
    break;
  case EngineStep::Fetch:
    fetch(Current_, Now);
    break;
  case EngineStep::Close:
    Log_.write(LogLine("engine_closing")
                   .count("version", Current_->Version_.Version_)
                   .count("running", Duty_.state()->Running_)
                   .millis("since_wanted_ms", Now - Current_->HeardAt_));
    Duty_.closed(Now);
    tellEntries();
    break;
  case EngineStep::Verify:
    stageAndVerify();
    break;
  case EngineStep::Order:
    order();
    break;
  }
  if (Next_)
    fetch(Next_, Now);
  if (isFetching() && Now - PeersAt_ >= PeersAgain)
    listPeers(Now);
  // One version at a time uses the origin's narrow link: the earlier one first.
  if (Next_ && Next_->Transfer_)
    Next_->Transfer_->setReadsOrigin(!Current_ || OrderBegun_ ||
                                     !Current_->Transfer_ ||
                                     Current_->Transfer_->isWhole());
  if (!Duty_.isDone())
    return;
  if (!LoadedAt_) {
    LoadedAt_ = Now;
    // What lies at the engine now is what it has loaded.
    if (Current_ && Current_->Transfer_)
      Offer_ = Current_->Transfer_;
  }
  if (Offer_ && Now - *LoadedAt_ > PiecesKept)
    Offer_->forgetPieces();
  if (!Offer_)
    offerLoaded();
  // The order may have been taken without an answer.
  pursueNext();
}

// The next version overtakes one whose pieces do not come: when it is whole
// itself, or when the earlier one is too late to be of use.
void StoreAgent::State::overtake(TimePoint Now) {
  if (!Next_ || OrderBegun_ || !Current_)
    return;
  if (Current_->Transfer_ && Current_->Transfer_->isWhole())
    return;
  bool IsNextWhole = Next_->Transfer_ && Next_->Transfer_->isWhole();
  bool IsTooLate =
      Now >= Current_->HeardAt_ + Settings_.Common_.VersionBound_ - BoundMargin;
  if (!IsNextWhole && !IsTooLate)
    return;
  Log_.write(LogLine("version_overtaken")
                 .count("version", Current_->Version_.Version_)
                 .count("by", Next_->Version_.Version_)
                 .flag("too_late", IsTooLate));
  pursueNext();
}

void StoreAgent::State::report() {
  TimePoint Now = bootNow();
  Duty_.reportFailed(Now);
  ReportUnderWay_ = true;
  Engine_.call(platform::reportCall(), AgentEngineLimit,
               [this, Now](const HttpCalls::Result &R) { onReport(R, Now); });
}

void StoreAgent::State::onReport(const HttpCalls::Result &R,
                                 TimePoint AskedAt) {
  TimePoint Now = bootNow();
  ReportUnderWay_ = false;
  const auto *Answer = std::get_if<HttpAnswer>(&R);
  constexpr unsigned Ok = 200;
  if (Answer == nullptr || Answer->Status_ != Ok)
    return Duty_.reportFailed(Now);
  try {
    EngineReport S = platform::decodeReport(Answer->Body_);
    bool News = !LastTold_ || LastTold_->Loaded_ != S.Loaded_ ||
                LastTold_->IsBusy_ != S.IsBusy_ ||
                LastTold_->Orders_ != S.Orders_;
    if (News)
      Log_.write(LogLine("engine")
                     .count("version", S.Loaded_.Version_)
                     .flag("busy", S.IsBusy_)
                     .count("orders", S.Orders_)
                     .count("running", S.Running_)
                     .count("waiting", S.Waiting_));
    LastTold_ = S;
    Places_.reported(S.Running_, S.Waiting_, AskedAt);
    Duty_.reported(std::move(S), Now);
    tellEntries();
    answerPlaceAsks(Now);
  } catch (const Error &E) {
    Log_.write(LogLine("engine_unreadable").text("detail", E.what()));
    return Duty_.reportFailed(Now);
  }
  step(Now);
}

void StoreAgent::State::onPlaceAsk(const PeerContext &From,
                                   const wire::PlaceAskT &Ask) {
  TimePoint Now = bootNow();
  if (PlaceQuestions_.size() >= MostPlaceQuestions)
    PlaceQuestions_.erase(PlaceQuestions_.begin());
  PlaceQuestions_.push_back({From.Connection_, Ask});
  bool MustHear = Duty_.state() && !Duty_.isAway() && !Duty_.isEmpty() &&
                  !Places_.isFresh(Now);
  if (!MustHear)
    return answerPlaceAsks(Now);
  if (!ReportUnderWay_)
    report();
}

void StoreAgent::State::answerPlaceAsks(TimePoint Now) {
  const EnginePace *Pace = pace();
  PlaceGrants::Pace P;
  if (Pace != nullptr) {
    P.Places_ = Pace->Slots_;
    P.Reading_ = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(Pace->readingMs()));
  }
  bool IsAway = !Duty_.state() || Duty_.isAway() || Duty_.isEmpty();
  for (const PlaceQuestion &Q : std::exchange(PlaceQuestions_, {})) {
    PlaceKind Kind = PlaceKind::First;
    if (Q.Ask_.late)
      Kind = PlaceKind::Late;
    if (Q.Ask_.resumes)
      Kind = PlaceKind::Resumed;
    wire::PlaceAnswerT Answer;
    Answer.number = Q.Ask_.number;
    Answer.away = IsAway;
    Answer.granted = !IsAway && Pace != nullptr && Places_.ask(Kind, P, Now);
    Answer.running = Places_.running();
    Answer.waiting = Places_.waiting();
    Answer.version = Duty_.state() ? Duty_.state()->Loaded_.Version_ : 0;
    Net_->reply(Q.From_, makeFrame(Answer));
  }
}

void StoreAgent::State::stageAndVerify() {
  auto P = Current_;
  if (!P->Transfer_ || !P->Transfer_->isWhole())
    return;
  Duty_.verifying();
  std::vector<ChunkIndex> All;
  for (ChunkIndex I = 0; I < P->Transfer_->digests().size(); ++I)
    All.push_back(I);
  StagePut::run(Engine_, P->Version_.Model_, P->Transfer_->pieces(),
                [this, P, All](bool) {
                  ReadBack::run(Engine_, P->Version_.Model_, All,
                                P->Transfer_->digests(),
                                [this, P](const ReadBack::Result &Right) {
                                  onVerified(P, Right);
                                });
                });
}

void StoreAgent::State::onVerified(const std::shared_ptr<Pursuit> &P,
                                   const ReadBack::Result &Right) {
  std::size_t Pieces = P->Transfer_->digests().size();
  bool Whole = Right.size() == Pieces && Current_ == P;
  Log_.write(LogLine("pieces_verified")
                 .count("version", P->Version_.Version_)
                 .count("right", Right.size())
                 .count("pieces", Pieces));
  Duty_.verified(Whole, bootNow());
  // The copy in memory is right: the next try puts all of it there again.
  if (!Whole && Current_ == P)
    Duty_.setStaged(true);
  step(bootNow());
}

void StoreAgent::State::order() {
  auto P = Current_;
  std::uint64_t Orders = Duty_.state()->Orders_;
  Duty_.ordering();
  Engine_.call(platform::loadCall(P->Version_, Orders), OrderLimit,
               [this, P](const HttpCalls::Result &R) {
                 auto End = EngineDuty::OrderEnd::Unknown;
                 unsigned Status = 0;
                 if (const auto *Answer = std::get_if<HttpAnswer>(&R)) {
                   Status = Answer->Status_;
                   End = platform::decodeOrder(Status);
                 }
                 Log_.write(
                     LogLine("order")
                         .count("version", P->Version_.Version_)
                         .count("status", Status)
                         .millis("since_wanted_ms", bootNow() - P->HeardAt_));
                 Duty_.ordered(End, bootNow());
                 if (End == EngineDuty::OrderEnd::Begun && Current_ == P) {
                   OrderBegun_ = true;
                   tellEntries();
                   pursueNext();
                 }
                 step(bootNow());
               });
}

} // namespace hawthornroad
