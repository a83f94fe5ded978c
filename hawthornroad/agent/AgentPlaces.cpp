#include "hawthornroad/agent/StoreAgentState.h"
#include "hawthornroad/peers/Ages.h"
#include "hawthornroad/peers/LimitCodec.h"
#include "hawthornroad/traffic/PromptCost.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// Most place requests that wait for the engine's report. Beyond it the oldest
// is dropped without an answer: its entry has tried another engine by then.
constexpr std::size_t MaxPlaceRequests = 256;

PriorityGate::Query queryIn(const wire::PlaceAskT &Ask) {
  PriorityGate::Query Q;
  if (Ask.late)
    Q.Kind_ = PlaceKind::Late;
  if (Ask.resumes)
    Q.Kind_ = PlaceKind::Resumed;
  if (Ask.rank != 0)
    Q.Rank_ = Ask.rank - 1;
  Q.IsOwed_ = Ask.owed;
  return Q;
}

EndpointStart startIn(const wire::PlaceAskT &Ask) {
  return {EndpointId(Ask.endpoint), Ask.born};
}

// 0: nothing was stated recently.
float wireSlowdown(const EndpointSpeed &S, TimePoint Now) {
  return static_cast<float>(S.stated(Now).value_or(0));
}
} // namespace

void StoreAgent::State::noteLimit(const EndpointStart &E,
                                  const wire::StatedLimitT &Limit,
                                  const ProcessName &From) {
  LimitStatement S = decodeLimit(Limit, bootNow());
  if (!Limits_.note(E, S))
    return;
  LogLine L("endpoint_limit");
  L.text("endpoint", E.Id_.str())
      .flag("limited", S.PerSecond_.has_value())
      .text("source", From.str())
      .millis("age_ms", bootNow() - S.At_);
  if (S.PerSecond_)
    L.number("per_second", *S.PerSecond_);
  Log_.write(L, true);
}

void StoreAgent::State::noteCold(const wire::PlaceAskT &Ask,
                                 const ProcessName &From) {
  std::optional<ColdLimit> L = decodeCold(Ask.cold.get());
  if (!L || !Cold_.note(startIn(Ask), *L, bootNow()))
    return;
  Log_.write(LogLine("endpoint_cold")
                 .text("endpoint", Ask.endpoint)
                 .text("source", From.str())
                 .millis("left_ms", L->Left_));
}

void StoreAgent::State::answerLimitRequest(const PeerContext &From,
                                           const wire::PlaceAskT &Ask) {
  TimePoint Now = bootNow();
  EndpointStart E = startIn(Ask);
  GranterRole Role =
      Ask.substitute ? GranterRole::Substitute : GranterRole::Chosen;
  LimitGrants::Verdict V = Limits_.check(E, From.Process_, Role, Now);
  LimitGrants::Verdict C =
      Cold_.check(E, Ask.cold != nullptr, From.Process_, Role, Now);
  wire::PlaceAnswerT Answer;
  Answer.number = Ask.number;
  Answer.granted = V.IsGranted_ && C.IsGranted_;
  if (Answer.granted) {
    Limits_.take(E);
    Cold_.take(E);
  }
  Answer.limit_wait_us = inMicroseconds(std::max(V.Wait_, C.Wait_));
  Answer.limit = encodeLimit(Limits_.limits().last(E), Now);
  Answer.cold = encodeCold(Cold_.find(E, Now));
  Net_->reply(From.Connection_, makeFrame(std::move(Answer)));
}

void StoreAgent::State::onPlaceAsk(const PeerContext &From,
                                   const wire::PlaceAskT &Ask) {
  TimePoint Now = bootNow();
  if (Ask.limit)
    noteLimit(startIn(Ask), *Ask.limit, From.Process_);
  noteCold(Ask, From.Process_);
  if (Ask.only_limit)
    return answerLimitRequest(From, Ask);
  if (PlaceRequests_.size() >= MaxPlaceRequests)
    PlaceRequests_.erase(PlaceRequests_.begin());
  PlaceRequests_.push_back({From.Connection_, From.Process_, Ask});
  bool NeedsReport = Updater_.state() && !Updater_.isAway() &&
                     !Updater_.isEmpty() && !Places_.isFresh(Now);
  if (!NeedsReport)
    return answerPlaceRequests(Now);
  if (!ReportPending_)
    requestReport();
}

// After a restart this agent has no configuration yet, but the entry that asks
// has one.
PlaceGrants::Pace
StoreAgent::State::placePace(const wire::PlaceAskT &Ask) const {
  PlaceGrants::Pace P;
  P.Places_ = Ask.places;
  P.Reading_ = std::chrono::microseconds(Ask.usual_reading_us);
  if (const EngineProfile *Own = pace(); Own != nullptr && Ask.places == 0) {
    P.Places_ = Own->Slots_;
    P.Reading_ = promptCost({}, *Own).Reading_;
  }
  return P;
}

bool StoreAgent::State::grantPlace(const wire::PlaceAskT &Ask,
                                   const PlaceGrants::Pace &P, TimePoint Now) {
  PriorityGate::Query Q = queryIn(Ask);
  std::optional<Duration> Reading;
  if (Ask.reading_us != 0)
    Reading = std::chrono::microseconds(Ask.reading_us);
  bool IsPermitted = Gate_.permits(Q, Now);
  if (IsPermitted && Places_.ask(Q.Kind_, P, Now, Reading))
    return true;
  Gate_.refused(Q, Now);
  if (!IsPermitted)
    Metrics_.count("hawthornroad_places_withheld_total",
                   {{"priority", std::to_string(*Q.Rank_)}});
  return false;
}

void StoreAgent::State::reportGate(TimePoint Now) {
  for (const PriorityGate::Change &Each : Gate_.takeChanges(Now)) {
    LogLine L("priority_gate");
    L.count("priority", static_cast<std::uint64_t>(Each.Rank_))
        .flag("closed", Each.IsClosed_)
        .count("withheld", Each.Withheld_);
    if (Each.Behind_)
      L.count("behind", static_cast<std::uint64_t>(*Each.Behind_));
    Log_.write(L);
  }
}

void StoreAgent::State::answerPlaceRequests(TimePoint Now) {
  bool IsAway = !Updater_.state() || Updater_.isAway() || Updater_.isEmpty();
  std::vector<PlaceRequest> Pending = std::exchange(PlaceRequests_, {});
  std::stable_sort(Pending.begin(), Pending.end(),
                   [](const PlaceRequest &A, const PlaceRequest &B) {
                     return PriorityGate::order(queryIn(A.Ask_)) <
                            PriorityGate::order(queryIn(B.Ask_));
                   });
  for (const PlaceRequest &Q : Pending) {
    wire::PlaceAnswerT Answer;
    Answer.number = Q.Ask_.number;
    Answer.away = IsAway;
    PlaceGrants::Pace P = placePace(Q.Ask_);
    EndpointStart E = startIn(Q.Ask_);
    LimitGrants::Verdict V =
        Limits_.check(E, Q.Process_, GranterRole::Beside, Now);
    LimitGrants::Verdict C = Cold_.check(E, Q.Ask_.cold != nullptr, Q.Process_,
                                         GranterRole::Beside, Now);
    Answer.limit_wait_us = inMicroseconds(std::max(V.Wait_, C.Wait_));
    Answer.limit = encodeLimit(Limits_.limits().last(E), Now);
    Answer.cold = encodeCold(Cold_.find(E, Now));
    // The grants of a cold engine are room, too.
    if (!IsAway && V.IsGranted_ && !C.IsGranted_)
      Gate_.refused(queryIn(Q.Ask_), Now);
    Answer.granted = !IsAway && V.IsGranted_ && C.IsGranted_ &&
                     P.Places_ != 0 && grantPlace(Q.Ask_, P, Now);
    if (Answer.granted) {
      Limits_.take(E);
      Cold_.take(E);
    }
    Answer.running = Places_.running();
    Answer.waiting = Places_.waiting();
    Answer.slowdown = wireSlowdown(Places_.speed(), Now);
    Answer.version = Updater_.state() ? Updater_.state()->Loaded_.Version_ : 0;
    Net_->reply(Q.From_, makeFrame(std::move(Answer)));
  }
  reportGate(Now);
}

} // namespace hawthornroad
