#include "hawthornroad/peers/AttemptCodec.h"
#include "hawthornroad/runtime/EntryState.h"
#include "hawthornroad/runtime/Log.h"

namespace hawthornroad {

void EntryProcess::State::run(const RequestCore::Actions &Actions,
                              TimePoint Now) {
  for (const RequestAction &Each : Actions)
    std::visit([&](const auto &A) { perform(A, Now); }, Each);
}

void EntryProcess::State::run(const ClaimCore::Actions &Actions,
                              TimePoint Now) {
  for (const ClaimAction &Each : Actions) {
    if (const auto *W = std::get_if<ClaimWrite>(&Each))
      Table_->run(*W);
    else if (const auto *R = std::get_if<ClaimRead>(&Each))
      Table_->run(*R);
    else
      run(Core_.claimDecided(std::get<ClaimVerdict>(Each), Now), Now);
  }
}

// Mark records on the peers' thread which begin frames were put on a
// connection. It runs in the same task as the send. As a separate task it could
// run after the frame's connect was refused; the loss then named no attempt,
// and a request that was never sent got the outcome "unknown" once its VM was
// gone.
void EntryProcess::State::perform(const BeginAttempt &A, TimePoint Now) {
  auto Mark = [this, Number = A.Number_] { BegunUpTo_ = Number; };
  if (!Net_->send(A.Address_, Lane::Requests, toFrame(A), Mark)) {
    run(Core_.notSent(A.Attempt_, Now), Now);
    return;
  }
  log(LogLevel::Debug, Step::Dispatch, "attempt started",
      {{"request", A.Request_->Id_.str()},
       {"attempt", A.Attempt_.str()},
       {"peer", A.Address_.str()}});
}

void EntryProcess::State::perform(const CancelAttempt &A, TimePoint) {
  if (A.Address_.empty())
    Net_->reply(CurrentConnection_, toFrame(A));
  else
    Net_->send(A.Address_, Lane::Requests, toFrame(A));
}

void EntryProcess::State::perform(const QueryAttempt &A, TimePoint) {
  if (A.NewConnection_)
    Net_->sendOnNewConnection(A.Address_, Lane::Requests, toFrame(A));
  else
    Net_->send(A.Address_, Lane::Requests, toFrame(A));
  Metrics_.count("hawthornroad_attempt_questions_total",
                 {{"fresh", A.NewConnection_ ? "yes" : "no"}});
}

void EntryProcess::State::perform(const AckAttempt &A, TimePoint) {
  Net_->send(A.Address_, Lane::Requests, toFrame(A));
}

HttpExchange *EntryProcess::State::exchange(RequestId Id) const {
  auto Found = Exchanges_.find(Id);
  return Found == Exchanges_.end() ? nullptr : Found->second.get();
}

ResponseMetadata
EntryProcess::State::responseMetadata(RequestId Id,
                                      const VersionDigest &Version) const {
  return {Id, Control_->revision(), Version};
}

void EntryProcess::State::perform(const RespondWhole &A, TimePoint) {
  HttpResponse R{A.Status_, toHttp(A.Headers_), A.Body_};
  addMetadata(R.Headers_, responseMetadata(A.Request_, A.Version_),
              Outcome::Answered);
  if (HttpExchange *X = exchange(A.Request_))
    X->respond(std::move(R));
}

void EntryProcess::State::perform(const RespondProblem &A, TimePoint) {
  if (HttpExchange *X = exchange(A.Request_))
    X->respond(
        problemResponse(A.Problem_, responseMetadata(A.Request_, A.Version_)));
}

void EntryProcess::State::perform(const StreamBegin &A, TimePoint) {
  HttpHeaders Headers = toHttp(A.Headers_);
  addMetadata(Headers, responseMetadata(A.Request_, A.Version_),
              Outcome::Answered);
  if (HttpExchange *X = exchange(A.Request_))
    X->head(A.Status_, std::move(Headers));
}

void EntryProcess::State::perform(const StreamBytes &A, TimePoint) {
  if (HttpExchange *X = exchange(A.Request_))
    X->write(A.Bytes_);
}

void EntryProcess::State::perform(const StreamFinish &A, TimePoint) {
  if (HttpExchange *X = exchange(A.Request_))
    X->finish();
}

void EntryProcess::State::perform(const StreamAbort &A, TimePoint) {
  HttpExchange *X = exchange(A.Request_);
  if (X == nullptr)
    return;
  if (A.IsEvents_)
    X->write("event: error\ndata: " + problemText(A.Problem_, A.Request_) +
             "\n\n");
  X->abort();
}

void EntryProcess::State::perform(const StartClaim &A, TimePoint Now) {
  run(Claims_.start(A.Request_, Now), Now);
}

void EntryProcess::State::perform(const SettleClaim &A, TimePoint Now) {
  run(Claims_.settle(A, Now), Now);
}

void EntryProcess::State::perform(const RequestDone &A, TimePoint) {
  Report_.done(A);
  auto Found = Exchanges_.find(A.Request_->Id_);
  if (Found == Exchanges_.end())
    return;
  if (Found->second->backlog() > 0)
    Unread_.push_back(std::move(Found->second));
  Exchanges_.erase(Found);
}

} // namespace hawthornroad
