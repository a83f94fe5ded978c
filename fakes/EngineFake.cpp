#include "fakes/EngineFake.h"

#include "hawthornroad/base/Error.h"

#include <algorithm>
#include <charconv>

namespace hawthornroad {

namespace json = boost::json;

namespace {
constexpr std::uint64_t DefaultPriority = 1;
constexpr std::uint64_t LowestPriority = 2;
// Minimum duration of a step, so that the event loop has time for sockets.
constexpr Duration MinStep = std::chrono::microseconds(100);
// Answers kept for /admin/record; the oldest are dropped first.
constexpr std::size_t MaxAnswers = 100'000;

TimePoint now() { return std::chrono::steady_clock::now(); }

std::string headerOr(const HttpRequest &R, std::string_view Name,
                     std::string Default) {
  return findHeader(R.Headers_, Name).value_or(std::move(Default));
}

std::uint64_t numberHeader(const HttpRequest &R, std::string_view Name,
                           std::uint64_t Default) {
  auto Text = findHeader(R.Headers_, Name);
  if (!Text)
    return Default;
  std::uint64_t Value = 0;
  const char *End = Text->data() + Text->size();
  auto Result = std::from_chars(Text->data(), End, Value);
  if (Result.ec != std::errc() || Result.ptr != End)
    throw Error(Step::Receive, "", std::string(Name) + " is no number");
  return Value;
}

Duration scaled(Duration D, double Factor) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(D) *
                                              Factor);
}

double toMilliseconds(Duration D) {
  return std::chrono::duration<double, std::milli>(D).count();
}
} // namespace

EngineFake::EngineFake(IoThread &Io, Options O)
    : Io_(Io), Options_(O), Model_(Io, O.Model_), Prefixes_(O.PrefixCache_),
      Reports_(O.ReportLag_,
               LoadReport{.StepMs_ = toMilliseconds(stepTime())}) {}

void EngineFake::handle(const HttpRequest &R, const ExchangePtr &X) {
  std::string_view Path = targetPath(R.Target_);
  bool Posted = R.Method_ == "POST";
  if (Posted && isCompletionPath(Path))
    return complete(R, X);
  if (Posted && Path == "/admin/cancel")
    return cancel(R, X);
  if (Posted && Path == "/admin/load")
    return order(R, X);
  if (Path == "/admin/model")
    return respondJson(X, 200, Model_.status());
  if (Path == "/admin/record")
    return answerRecord(X);
  if (Path == "/load")
    return answerLoad(X);
  respondError(X, 404, "no such path");
}

void EngineFake::complete(const HttpRequest &R, const ExchangePtr &X) {
  if (FailRequests_)
    return respondError(X, 500, "failed by a fault before it ran");
  if (!Model_.isReady())
    return respondError(X, 503, "no model is ready");
  auto NewRequest = std::make_shared<Request>();
  NewRequest->Completion_ = parseCompletion(R);
  NewRequest->Attempt_ = headerOr(R, "Engine-Request", "");
  NewRequest->RunKey_ = headerOr(R, "Idempotency-Key", NewRequest->Attempt_);
  NewRequest->Next_ = numberHeader(R, "Engine-Resume-Events", 0);
  if (NewRequest->Next_ > NewRequest->Completion_.MaxTokens_)
    return respondError(X, 400, "resumed after the end of the answer");
  NewRequest->Answer_ = X;
  // The exchange owns this closure, so a strong reference to the request would
  // form a cycle.
  X->onDisconnect([Weak = std::weak_ptr(NewRequest)] {
    if (auto Locked = Weak.lock())
      Locked->Ended_ = true;
  });
  std::uint64_t Asked = numberHeader(R, "Engine-Priority", DefaultPriority);
  Waiting_[{std::min(Asked, LowestPriority), ++Arrivals_}] =
      std::move(NewRequest);
  admit();
}

void EngineFake::admit() {
  while (!Waiting_.empty() && Running_.size() < Options_.Capacity_) {
    RequestPtr First = Waiting_.begin()->second;
    Waiting_.erase(Waiting_.begin());
    if (!First->Ended_)
      start(First);
  }
  report();
}

void EngineFake::start(const RequestPtr &R) {
  R->Version_ = Model_.version();
  ++RunsByKey_[R->RunKey_];
  if (R->Next_ > 0)
    ++Resumed_;
  Answers_.push_back({R->Attempt_, R->Version_});
  if (Answers_.size() > MaxAnswers)
    Answers_.pop_front();
  R->PrefillUntil_ = now();
  if (!Prefixes_.use(R->Completion_.Prompt_))
    R->PrefillUntil_ += scaled(Options_.Prefill_, SlowFactor_);
  if (R->Completion_.Stream_)
    R->Answer_->head(200, {{"Content-Type", "text/event-stream"},
                           {"Cache-Control", "no-cache"},
                           {"Engine-Version", R->Version_.str()}});
  Running_.push_back(R);
  if (Stepping_)
    return;
  Stepping_ = true;
  NextStep_ = now() + stepTime();
  Io_.after(stepTime(), [this] { step(); });
}

void EngineFake::step() {
  TimePoint Now = now();
  if (!Silent_)
    for (const RequestPtr &Each : Running_)
      advance(*Each, Now);
  std::erase_if(Running_, [](const RequestPtr &R) { return R->Ended_; });
  admit();
  Stepping_ = !Running_.empty();
  if (!Stepping_)
    return;
  // Counted from the due time of this step, so that a late timer does not slow
  // the batch.
  NextStep_ = std::max(NextStep_ + stepTime(), Now);
  Io_.after(NextStep_ - Now, [this] { step(); });
}

void EngineFake::advance(Request &R, TimePoint Now) {
  if (R.Ended_ || Now < R.PrefillUntil_)
    return;
  // Aborts one step after the last token, so that the token is sent before the
  // connection is cut.
  if (AbortAfterTokens_ > 0 && R.Emitted_ >= AbortAfterTokens_) {
    R.Answer_->abort();
    R.Ended_ = true;
    return;
  }
  if (R.Next_ < R.Completion_.MaxTokens_)
    emit(R);
  if (R.Next_ < R.Completion_.MaxTokens_)
    return;
  if (AbortAfterTokens_ > 0 && R.Emitted_ >= AbortAfterTokens_)
    return;
  R.Ended_ = true;
  if (R.Completion_.Stream_) {
    R.Answer_->write(doneEvent());
    return R.Answer_->finish();
  }
  HttpResponse Whole =
      jsonResponse(200, wholeAnswer(R.Version_, R.Completion_));
  Whole.Headers_.push_back({"Engine-Version", R.Version_.str()});
  R.Answer_->respond(std::move(Whole));
}

void EngineFake::emit(Request &R) {
  if (R.Completion_.Stream_)
    R.Answer_->write(tokenEvent(R.Version_, R.Completion_, R.Next_));
  ++R.Next_;
  ++R.Emitted_;
  ++Tokens_;
}

void EngineFake::cancel(const HttpRequest &R, const ExchangePtr &X) {
  json::object Body = parseObject(R.Body_);
  const json::value *Attempt = Body.if_contains("request");
  if (Attempt == nullptr || !Attempt->is_string())
    return respondError(X, 400, "expected {\"request\": ATTEMPT}");
  bool Found = end(std::string(Attempt->get_string()));
  Cancelled_ += Found ? 1 : 0;
  respondJson(X, 200, {{"cancelled", Found}});
}

// Aborts the running and waiting requests of an attempt; false when there are
// none.
bool EngineFake::end(const std::string &Attempt) {
  auto Ends = [&](const RequestPtr &R) {
    if (R->Attempt_ != Attempt || R->Ended_)
      return false;
    R->Answer_->abort();
    R->Ended_ = true;
    return true;
  };
  auto Removed = std::erase_if(Running_, Ends);
  Removed += std::erase_if(Waiting_,
                           [&](const auto &Each) { return Ends(Each.second); });
  admit();
  return Removed > 0;
}

void EngineFake::order(const HttpRequest &R, const ExchangePtr &X) {
  json::object Body = parseObject(R.Body_);
  LoadOrder Order;
  Order.Version_ = VersionDigest(std::string(Body.at("version").as_string()));
  Order.Path_ = std::string(Body.at("path").as_string());
  Order.Fencing_ = Body.at("fencing").to_number<std::uint64_t>();
  if (!Model_.load(Order))
    return respondError(X, 409, "fencing number is older than one seen");
  unload();
  respondJson(X, 202, {{"ok", true}});
}

void EngineFake::unload() {
  for (const RequestPtr &Each : Running_) {
    Each->Answer_->abort();
    Each->Ended_ = true;
  }
  Running_.clear();
  for (const auto &[Place, Each] : Waiting_)
    respondError(Each->Answer_, 503, "a model is being loaded");
  Waiting_.clear();
  Prefixes_.clear();
  report();
}

void EngineFake::report() {
  Reports_.set({.Running_ = Running_.size(),
                .Waiting_ = Waiting_.size(),
                .StepMs_ = toMilliseconds(stepTime())},
               now());
}

Duration EngineFake::stepTime() const {
  return std::max(scaled(Options_.Token_, SlowFactor_), MinStep);
}

void EngineFake::answerLoad(const ExchangePtr &X) {
  const LoadReport &Shown = Reports_.at(now());
  respondJson(X, 200,
              {{"capacity", Options_.Capacity_},
               {"running", Shown.Running_},
               {"waiting", Shown.Waiting_},
               {"step_ms", Shown.StepMs_}});
}

void EngineFake::answerRecord(const ExchangePtr &X) {
  json::array Answers;
  for (const auto &[Attempt, Version] : Answers_)
    Answers.push_back(
        json::object{{"request", Attempt}, {"version", Version.str()}});
  respondJson(X, 200,
              {{"loads", Model_.loads()}, {"answers", std::move(Answers)}});
}

void EngineFake::setFaults(const Faults &Set) {
  Silent_ = Set.flag("silent");
  FailRequests_ = Set.flag("fail_requests");
  AbortAfterTokens_ =
      static_cast<std::uint64_t>(Set.integer("die_after_tokens", 0));
  SlowFactor_ = Set.number("slow_factor", 1);
  Model_.failLoads(Set.flag("fail_loads"));
  report();
}

json::object EngineFake::counters() const {
  json::object Runs;
  for (const auto &[Key, Count] : RunsByKey_)
    Runs[Key] = Count;
  return {{"runs", std::move(Runs)},
          {"tokens", Tokens_},
          {"cancelled", Cancelled_},
          {"prefix_hits", Prefixes_.hits()},
          {"prefix_misses", Prefixes_.misses()},
          {"resumed", Resumed_}};
}

} // namespace hawthornroad
