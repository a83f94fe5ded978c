#include "hawthornroad/runtime/AgentAttempts.h"

#include "hawthornroad/peers/WireCodec.h"
#include "hawthornroad/runtime/Log.h"

namespace hawthornroad {

namespace {

template <class... Fs> struct Overloaded : Fs... { using Fs::operator()...; };
template <class... Fs> Overloaded(Fs...) -> Overloaded<Fs...>;

AttemptLimits limitsOf(const AgentSettings &S) {
  AttemptLimits L;
  L.Buffer_ = S.AttemptBuffer_;
  L.Keep_ = S.AttemptKeep_;
  return L;
}

std::uint32_t toMilliseconds(Duration D) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<Milliseconds>(D).count());
}

double toSeconds(Duration D) {
  return std::chrono::duration<double>(D).count();
}

Priority priorityOf(std::uint8_t Wire) {
  if (Wire > static_cast<std::uint8_t>(Priority::Batch))
    return Priority::Normal;
  return static_cast<Priority>(Wire);
}

AttemptSpec specOf(const wire::AttemptBeginT &Begin) {
  AttemptSpec Spec;
  Spec.Attempt_ = idFromWire<AttemptId>(Begin.attempt.get());
  Spec.Request_ = idFromWire<RequestId>(Begin.request.get());
  Spec.Service_ = ServiceName(Begin.service);
  Spec.Customer_ = Customer(Begin.customer);
  Spec.Version_ = VersionDigest(Begin.version);
  Spec.Priority_ = priorityOf(Begin.priority);
  Spec.Repeatable_ = Begin.repeatable;
  Spec.Deadline_ = Milliseconds(Begin.deadline_ms);
  Spec.BodyBytes_ = Begin.body.size();
  return Spec;
}

EndpointCall callOf(wire::AttemptBeginT &Begin, bool IsModel) {
  EndpointCall Call;
  Call.Attempt_ = idFromWire<AttemptId>(Begin.attempt.get());
  Call.IsModel_ = IsModel;
  Call.Priority_ = priorityOf(Begin.priority);
  Call.ResumeEvents_ = Begin.resume_events;
  Call.IdempotencyKey_ = Begin.idempotency_key;
  Call.Request_.Method_ = Begin.method;
  Call.Request_.Target_ = Begin.target;
  for (const auto &Each : Begin.headers)
    Call.Request_.Headers_.push_back({Each->name, Each->value});
  Call.Request_.Body_.assign(Begin.body.begin(), Begin.body.end());
  return Call;
}

FrameBuffer frameOf(const SendAccepted &A) {
  wire::AttemptAcceptedT M;
  M.attempt = toWire(A.Attempt_);
  return makeFrame(std::move(M));
}

FrameBuffer frameOf(const SendRefused &A) {
  wire::AttemptRefusedT M;
  M.attempt = toWire(A.Attempt_);
  M.reason = static_cast<wire::RefusalReason>(A.Reason_);
  M.retry_after_ms = toMilliseconds(A.RetryAfter_);
  return makeFrame(std::move(M));
}

FrameBuffer frameOf(const SendState &A) {
  wire::AttemptStateT M;
  M.attempt = toWire(A.Attempt_);
  M.phase = static_cast<wire::AttemptPhase>(A.Phase_);
  M.offset = A.Offset_;
  return makeFrame(std::move(M));
}

FrameBuffer frameOf(const SendHead &A) {
  wire::AttemptHeadT M;
  M.attempt = toWire(A.Attempt_);
  M.status = static_cast<std::uint16_t>(A.Head_.Status_);
  M.version = A.Head_.Version_.str();
  for (const AnswerHeader &Each : A.Head_.Headers_) {
    auto Header = std::make_unique<wire::HeaderT>();
    Header->name = Each.Name_;
    Header->value = Each.Value_;
    M.headers.push_back(std::move(Header));
  }
  return makeFrame(std::move(M));
}

// Built without the FlatBuffers object API, which would copy the byte vector
// once more.
FrameBuffer frameOf(const SendData &A) {
  constexpr std::size_t Overhead = 128;
  flatbuffers::FlatBufferBuilder Builder(A.Bytes_.size() + Overhead);
  auto Bytes = Builder.CreateVector(
      reinterpret_cast<const std::uint8_t *>(A.Bytes_.data()), A.Bytes_.size());
  wire::WireId Id(A.Attempt_.Hi_, A.Attempt_.Lo_);
  auto Data = wire::CreateAttemptData(Builder, &Id, A.Offset_, Bytes);
  Builder.Finish(
      wire::CreateFrame(Builder, wire::Body::AttemptData, Data.Union()));
  return std::make_shared<flatbuffers::DetachedBuffer>(Builder.Release());
}

FrameBuffer frameOf(const SendEnd &A) {
  wire::AttemptEndT M;
  M.attempt = toWire(A.Attempt_);
  M.length = A.Length_;
  M.hash = A.Hash_;
  return makeFrame(std::move(M));
}

FrameBuffer frameOf(const SendFailed &A) {
  wire::AttemptFailedT M;
  M.attempt = toWire(A.Attempt_);
  M.not_run = A.Failure_.NotRun_;
  M.step = toString(A.Failure_.Step_);
  M.peer = A.Failure_.Peer_;
  M.message = A.Failure_.Message_;
  return makeFrame(std::move(M));
}

std::string outcomeOf(const AttemptEnded &E) {
  if (!E.Failure_)
    return "whole";
  return E.Failure_->NotRun_ ? "not_run" : "failed";
}

} // namespace

AgentAttempts::AgentAttempts(const AgentSettings &S, DecisionLoop &Loop,
                             PeerNet &Net, IoThread &EngineIo,
                             HttpClient &Client, Metrics &M)
    : Table_(attemptChart(S.Common_.Charts_), limitsOf(S)), Net_(Net),
      Metrics_(M),
      Endpoint_(
          {S.EndpointAddress_, S.EndpointIdle_, S.AttemptBuffer_}, EngineIo,
          Client, Loop, M,
          {.OnHead_ = [this](const HeadReceived &E,
                             TimePoint Now) { perform(Table_.handle(E, Now)); },
           .OnData_ = [this](const DataReceived &E,
                             TimePoint Now) { perform(Table_.handle(E, Now)); },
           .OnEnded_ =
               [this](const RunEnded &E, TimePoint Now) {
                 perform(Table_.handle(E, Now));
               }}) {}

bool AgentAttempts::onFrame(const PeerContext &From, wire::FrameT &Frame,
                            TimePoint Now) {
  if (auto *Begin = Frame.body.AsAttemptBegin()) {
    begin(From, *Begin, Now);
    return true;
  }
  if (auto *Query = Frame.body.AsAttemptQuery()) {
    perform(
        Table_.handle(QueryReceived{idFromWire<AttemptId>(Query->attempt.get()),
                                    Query->offset, From.Connection_},
                      Now));
    return true;
  }
  if (auto *Cancel = Frame.body.AsAttemptCancel()) {
    perform(Table_.handle(
        CancelReceived{idFromWire<AttemptId>(Cancel->attempt.get())}, Now));
    return true;
  }
  if (auto *Ack = Frame.body.AsAttemptAck()) {
    perform(Table_.handle(
        AckReceived{idFromWire<AttemptId>(Ack->attempt.get()), Ack->offset},
        Now));
    return true;
  }
  return false;
}

void AgentAttempts::begin(const PeerContext &From, wire::AttemptBeginT &Begin,
                          TimePoint Now) {
  BeginReceived E{specOf(Begin), From.Connection_};
  // No correct entry sends an empty method or target: HTTP cannot express them.
  if (Begin.method.empty() || Begin.target.empty()) {
    onBeginDropped({E.Spec_.Attempt_, E.From_, E.Spec_.Request_}, Now);
    return;
  }
  EndpointCall Call = callOf(Begin, Facts_.IsModel_);
  perform(Table_.handle(E, Now), E.Spec_.Request_, &Call);
}

void AgentAttempts::onBeginDropped(const BeginDropped &E, TimePoint Now) {
  perform(Table_.handle(E, Now), E.Request_);
}

void AgentAttempts::onLost(const PeerContext &Peer, TimePoint Now) {
  perform(Table_.handle(RequesterLost{Peer.Connection_}, Now));
}

void AgentAttempts::tick(TimePoint Now) {
  perform(Table_.tick(Now));
  Metrics_.set("hawthornroad_attempts_running",
               static_cast<double>(Table_.running()));
}

void AgentAttempts::giveUpAll(const std::string &Why, TimePoint Now) {
  perform(Table_.giveUpAll(Why, Now));
}

void AgentAttempts::setEndpoint(const EndpointFacts &Facts) {
  Facts_ = Facts;
  Table_.setEndpoint(Facts);
}

void AgentAttempts::perform(const AttemptActions &Actions,
                            const RequestId &Request, EndpointCall *Call) {
  Overloaded Perform{
      [&](const StartRun &) { Endpoint_.start(std::move(*Call)); },
      [&](const StopRun &A) { Endpoint_.stop(A.Attempt_); },
      [&](const PauseRun &A) { Endpoint_.pause(A.Attempt_); },
      [&](const ResumeRun &A) { Endpoint_.resume(A.Attempt_); },
      [&](const ReleaseRun &A) { Endpoint_.release(A.Attempt_, A.Offset_); },
      [&](const AttemptEnded &A) { recordEnd(A); },
      [&](const SendRefused &A) {
        recordRefusal(A, Request);
        Net_.reply(A.To_, frameOf(A));
      },
      // When the ring is full the frame is dropped, as when its connection
      // breaks: the entry detects the gap or the silence and sends a query.
      [&](const auto &A) {
        if (!Net_.reply(A.To_, frameOf(A)))
          Metrics_.count("hawthornroad_answer_frames_lost_total");
      }};
  for (const AttemptAction &Each : Actions)
    std::visit(Perform, Each);
}

void AgentAttempts::recordEnd(const AttemptEnded &E) {
  std::string Outcome = outcomeOf(E);
  std::string Priority(toString(E.Spec_.Priority_));
  Metrics::Labels Who{{"customer", E.Spec_.Customer_.str()},
                      {"priority", Priority}};
  Metrics_.count("hawthornroad_attempts_total", {{"outcome", Outcome}});
  Metrics_.observe("hawthornroad_attempt_run_seconds", toSeconds(E.RunTime_),
                   Who);
  if (E.FirstByte_)
    Metrics_.observe("hawthornroad_attempt_first_byte_seconds",
                     toSeconds(*E.FirstByte_), Who);
  log(LogLevel::Info, Step::Run, "attempt ended",
      {{"request", E.Spec_.Request_.str()},
       {"attempt", E.Spec_.Attempt_.str()},
       {"customer", E.Spec_.Customer_.str()},
       {"service", E.Spec_.Service_.str()},
       {"version", E.Spec_.Version_.str()},
       {"outcome", Outcome},
       {"status", std::to_string(E.Status_)},
       {"bytes", std::to_string(E.Length_)},
       {"ms", std::to_string(toMilliseconds(E.RunTime_))},
       {"detail", E.Failure_ ? E.Failure_->Message_ : ""}});
}

void AgentAttempts::recordRefusal(const SendRefused &A,
                                  const RequestId &Request) {
  std::string Why(toString(A.Reason_));
  Metrics_.count("hawthornroad_attempts_refused_total", {{"reason", Why}});
  log(LogLevel::Info, Step::Run, "attempt refused",
      {{"request", Request.str()},
       {"attempt", A.Attempt_.str()},
       {"detail", Why}});
}

boost::json::object AgentAttempts::status() const {
  return {{"running", Table_.running()},
          {"unacknowledged", Table_.unacknowledged()},
          {"finished", Table_.finished()},
          {"finished_bytes", Table_.finishedBytes()},
          {"refusals_forgotten_early", Table_.evictedEarly()}};
}

} // namespace hawthornroad
