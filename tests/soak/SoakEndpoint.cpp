#include "tests/soak/SoakEndpoint.h"

#include "hawthornroad/runtime/Address.h"
#include "tests/soak/SoakConfig.h"
#include "tests/soak/SoakCrashes.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace hawthornroad {

namespace json = boost::json;

namespace {
constexpr int ShortestAnswerMs = 10;
constexpr int ShortAnswerMs = 60;
constexpr int LongAnswerMs = 300;
constexpr int LongestAnswerMs = 1500;
// One plain answer in so many is a long one.
constexpr std::uint64_t LongAnswers = 2;
constexpr Duration ShortDelay = Milliseconds(5);
constexpr int ShortestPauseMs = 20;
constexpr int LongestPauseMs = 200;
constexpr int ShortestLongPauseMs = 500;
constexpr int LongestLongPauseMs = 2000;
// One event in so many comes after a long pause, and while pausing is set.
constexpr std::uint64_t EventsPerLongPause = 40;
constexpr std::uint64_t EventsPerLongPauseWhilePausing = 12;
constexpr int EventsBeforeBreak = 3;
constexpr Duration BreakDelay = Milliseconds(50);
// For how long LoseLate works on a request.
constexpr int ShortestLossMs = 200;
constexpr int LongestLossMs = 500;
constexpr Duration LoadDuration = Milliseconds(300);
constexpr std::size_t BrokenEventBytes = 7;
constexpr unsigned Misdirected = 421;
// From a crashing request to the head of its answer, and on to the crash.
constexpr Duration CrashHeadDelay = Milliseconds(5);
constexpr Duration CrashDelay = Milliseconds(60);
// What RejectPart rejects.
constexpr std::uint64_t RejectedPart = 2;
constexpr std::uint64_t PartOfAll = 5;
// One health check in so many is rejected without a reason.
constexpr std::uint64_t ChecksPerRejection = 5;
// Valid, absent and unreadable ones.
constexpr std::array SpeedFigures = {
    ",100", ",100",  ",250", ",250", ",60",  ",100000", "",
    ",",    ",fast", ",-5",  ",0",   ",1e9", ",nan",    ",100 200"};

TimePoint now() { return std::chrono::steady_clock::now(); }

std::string event(int Number) {
  std::string Text = std::to_string(Number);
  return "id: " + Text + "\ndata: e" + Text + "\n\n";
}

std::string header(const HttpRequest &R, std::string_view Name) {
  return findHeader(R.Headers_, Name).value_or("");
}
} // namespace

SoakEndpoint::SoakEndpoint(Options O, SoakRecord &Record)
    : Options_(std::move(O)), Record_(Record), Random_(Options_.Seed_) {
  listen(0);
  ColdUntil_ = now() + SoakConfig::ColdFor;
  Record_.becomesCold(id(), {.From_ = now(), .To_ = ColdUntil_});
}

SoakEndpoint::~SoakEndpoint() {
  Record_.endpointEnds(id(), now());
  setHeld(false);
  Io_.stop();
}

void SoakEndpoint::listen(std::uint16_t Port) {
  Server_ = std::make_unique<HttpServer>(
      Io_, HttpServer::Limits{},
      [this](HttpRequest R, std::shared_ptr<HttpExchange> X) { handle(R, X); });
  Address_ =
      Options_.Ip_ + ":" + std::to_string(Server_->listen(Options_.Ip_, Port));
}

std::string SoakEndpoint::wholeStream() {
  std::string Out;
  for (int I = 1; I <= Events; ++I)
    Out += event(I);
  return Out;
}

std::string SoakEndpoint::row() const {
  std::lock_guard Lock(Mutex_);
  json::object Row{{"service", Options_.Service_},
                   {"address", ListedAt_.empty() ? Address_ : ListedAt_},
                   {"zone", Options_.Zone_},
                   {"version", "v1"},
                   {"slots", Slots},
                   {"state", IsDraining_ ? "draining" : "ready"},
                   {"cold_remaining_ms", coldLeft() / Milliseconds(1)},
                   {"seq", 1}};
  if (!Options_.Model_.empty()) {
    json::array Models;
    if (Weights_.loaded() > 0)
      Models.push_back(json::object{{"name", Options_.Model_},
                                    {"version", Weights_.loaded()}});
    Row["models"] = std::move(Models);
    Row["stage"] = "both";
    if (Born_ != 0)
      Row["born"] = Born_;
  }
  return json::serialize(Row);
}

void SoakEndpoint::setDraining() {
  std::lock_guard Lock(Mutex_);
  IsDraining_ = true;
}

void SoakEndpoint::becomeCold(Duration For) {
  std::lock_guard Lock(Mutex_);
  TimePoint Now = now();
  bool IsEngine = !Options_.Model_.empty();
  ColdUntil_ = std::max(ColdUntil_, Now + For);
  Record_.becomesCold(
      id(), {.From_ = Now, .To_ = ColdUntil_, .NeedsAgents_ = IsEngine});
  constexpr int MaxDelayMs = MaxRowDelay / Milliseconds(1);
  Io_.after(between(0, MaxDelayMs), [this] { IsRowNew_ = true; });
  Io_.after(For, [this] { IsRowNew_ = true; });
}

void SoakEndpoint::restartSpoilt() {
  std::lock_guard Lock(Mutex_);
  truncate();
  ++Restarts_;
  IsLoading_ = false;
  Weights_.restartSpoilt();
  IsRowNew_ = true;
}

Duration SoakEndpoint::coldLeft() const {
  return std::max<Duration>(ColdUntil_ - now(), Duration::zero());
}

HttpHeaders SoakEndpoint::statements() {
  return {
      {"X-Hawthornroad-Instance-Id", id()},
      {"X-Hawthornroad-Server-Load",
       std::to_string(AtWork_.size()) + ",0," + std::to_string(Slots) +
           SpeedFigures[Random_.below(SpeedFigures.size())]},
      {"X-Hawthornroad-Cold-Ms", std::to_string(coldLeft() / Milliseconds(1))}};
}

void SoakEndpoint::setHeld(bool IsHeld) {
  {
    std::lock_guard Lock(HoldMutex_);
    if (std::exchange(IsHeld_, IsHeld) == IsHeld)
      return;
  }
  if (!IsHeld) {
    Record_.endDisruption(id(), now());
    return Released_.notify_all();
  }
  Record_.beginDisruption(id(), now());
  Io_.submit([this] {
    std::unique_lock Lock(HoldMutex_);
    Released_.wait(Lock, [this] { return !IsHeld_; });
  });
}

unsigned SoakEndpoint::running() const {
  std::lock_guard Lock(Mutex_);
  return static_cast<unsigned>(AtWork_.size());
}

int SoakEndpoint::loadedVersion() const {
  std::lock_guard Lock(Mutex_);
  return Weights_.loaded();
}

bool SoakEndpoint::wasAlwaysWhole() const {
  std::lock_guard Lock(Mutex_);
  return Weights_.wasAlwaysWhole();
}

Duration SoakEndpoint::between(int FromMs, int ToMs) {
  return Milliseconds(FromMs + static_cast<int>(Random_.below(ToMs - FromMs)));
}

// ---- Requests ---------------------------------------------------------------

void SoakEndpoint::handle(const HttpRequest &R,
                          const std::shared_ptr<HttpExchange> &X) {
  std::lock_guard Lock(Mutex_);
  if (isControl(R, X))
    return;
  unsigned Rejected = rejection(R);
  if (Rejected == 0)
    return begin(R, X);
  std::string Id = header(R, "X-Hawthornroad-Request-Id");
  SoakRun Run = newRun(R);
  Run.IsMisdirected_ = Rejected == Misdirected;
  Record_.endRun(Id, Record_.beginRun(Id, std::move(Run)),
                 SoakRun::End::Rejected, now());
  HttpHeaders Headers = statements();
  Headers.push_back({"X-Hawthornroad-Not-Executed", "1"});
  Headers.push_back({"X-Hawthornroad-Request-Id", Id});
  X->respond({.Status_ = Rejected, .Headers_ = std::move(Headers)});
}

SoakRun SoakEndpoint::newRun(const HttpRequest &R) const {
  SoakRun Out{.Endpoint_ = id(),
              .Service_ = service(),
              .Zone_ = Options_.Zone_,
              .From_ = now()};
  std::string Left = header(R, "X-Hawthornroad-Deadline-Ms");
  if (!Left.empty())
    Out.Left_ = Milliseconds(std::stoi(Left));
  return Out;
}

bool SoakEndpoint::isControl(const HttpRequest &R,
                             const std::shared_ptr<HttpExchange> &X) {
  if (R.Target_ == "/health") {
    answerHealth(X);
    return true;
  }
  if (Options_.Model_.empty())
    return false;
  if (R.Target_ == "/-/report")
    report(X);
  else if (R.Target_.starts_with("/-/order"))
    order(R, X);
  else
    return Weights_.handle(R, X);
  return true;
}

void SoakEndpoint::answerHealth(const std::shared_ptr<HttpExchange> &X) {
  if (IsDraining_)
    return X->respond({.Status_ = 503, .Headers_ = statements()});
  if (!hasNoRoom() && Random_.below(ChecksPerRejection) != 0)
    return X->respond({.Status_ = 200, .Headers_ = statements()});
  ++RejectedChecks_;
  X->respond({.Status_ = 503,
              .Headers_ = {{"X-Hawthornroad-Instance-Id", id()},
                           {"X-Hawthornroad-Not-Executed", "1"}}});
}

bool SoakEndpoint::hasNoRoom() {
  bool IsFull = AtWork_.size() >= std::size_t{2} * Slots;
  if (Mode_ == Mode::RejectPart)
    IsFull |= Random_.below(PartOfAll) < RejectedPart;
  return Mode_ == Mode::NotRun || IsLoading_ || IsFull;
}

unsigned SoakEndpoint::rejection(const HttpRequest &R) {
  std::string Instance = header(R, "X-Hawthornroad-Expect-Instance");
  std::string Version = header(R, "X-Hawthornroad-Expect-Version");
  if (!Instance.empty() && Instance != id())
    return Misdirected;
  if (!Version.empty() && Version != std::to_string(Weights_.loaded()))
    return Misdirected;
  bool IsEmptyEngine = !Options_.Model_.empty() && Weights_.loaded() == 0;
  if (IsEmptyEngine || hasNoRoom())
    return 503;
  return 0;
}

void SoakEndpoint::begin(const HttpRequest &R,
                         const std::shared_ptr<HttpExchange> &X) {
  auto Self = std::make_shared<Run>();
  Self->Request_ = header(R, "X-Hawthornroad-Request-Id");
  Self->Number_ = Record_.beginRun(Self->Request_, newRun(R));
  Self->Exchange_ = X;
  Self->IsShort_ = R.Target_.ends_with(ShortTarget);
  Self->Headers_ = {{"X-Hawthornroad-Server-Stamp", "stamp-" + id()},
                    {"X-Hawthornroad-Request-Id", Self->Request_}};
  if (Weights_.loaded() > 0)
    Self->Headers_.push_back(
        {"X-Hawthornroad-Weight-Versions", std::to_string(Weights_.loaded())});
  AtWork_.push_back(Self);
  X->onDisconnect([this, Self] {
    std::lock_guard Lock(Mutex_);
    end(Self, SoakRun::End::Cut);
  });
  if (hasCrashingPart(header(R, "X-Hawthornroad-Prompt-Prefix"))) {
    Record_.crashingPartBegins(now());
    if (Crashes_ != Crashes::Never)
      return beginCrash(Self);
  }
  if (Mode_ == Mode::LoseAnswer) {
    end(Self, SoakRun::End::BrokenOff);
    return X->abort();
  }
  if (Mode_ == Mode::LoseLate)
    return Io_.after(between(ShortestLossMs, LongestLossMs), [this, Self] {
      std::lock_guard Lock(Mutex_);
      end(Self, SoakRun::End::BrokenOff);
      Self->Exchange_->abort();
    });
  bool IsLong = Random_.below(LongAnswers) == 0;
  Duration Delay = Self->IsShort_ ? ShortDelay
                   : IsLong       ? between(LongAnswerMs, LongestAnswerMs)
                                  : between(ShortestAnswerMs, ShortAnswerMs);
  if (!R.Target_.starts_with("/stream"))
    return Io_.after(Delay, [this, Self] {
      std::lock_guard Lock(Mutex_);
      if (Self->HasEnded_)
        return;
      end(Self, SoakRun::End::Whole);
      Self->Exchange_->respond({.Status_ = 200,
                                .Headers_ = headersOf(*Self),
                                .Body_ = "from " + id()});
    });
  std::string Last = header(R, "Last-Event-Id");
  Self->NextEvent_ = Last.empty() ? 1 : std::stoi(Last) + 1;
  Self->BreakAt_ = Self->NextEvent_ + EventsBeforeBreak;
  if (!Self->IsShort_)
    Self->EventPause_ = between(ShortestPauseMs, LongestPauseMs);
  Io_.after(Delay, [this, Self] {
    std::lock_guard Lock(Mutex_);
    if (Self->HasEnded_)
      return;
    HttpHeaders Headers = headersOf(*Self);
    Headers.push_back({"Content-Type", "text/event-stream"});
    Self->Exchange_->head(200, std::move(Headers));
    sendEvents(Self);
  });
}

HttpHeaders SoakEndpoint::headersOf(const Run &R) {
  HttpHeaders Out = R.Headers_;
  for (HttpHeader &Each : statements())
    Out.push_back(std::move(Each));
  return Out;
}

// Sends one event and schedules the next.
void SoakEndpoint::sendEvents(const RunPtr &R) {
  if (R->HasEnded_)
    return;
  if (R->NextEvent_ > Events) {
    end(R, SoakRun::End::Whole);
    return R->Exchange_->finish();
  }
  std::string Event = event(R->NextEvent_);
  if (Mode_ == Mode::BreakStream && R->NextEvent_ >= R->BreakAt_) {
    R->Exchange_->write(Event.substr(0, BrokenEventBytes));
    end(R, SoakRun::End::BrokenOff);
    return Io_.after(BreakDelay, [R] { R->Exchange_->abort(); });
  }
  R->Exchange_->write(std::move(Event));
  ++R->NextEvent_;
  std::uint64_t Every =
      IsPausing_ ? EventsPerLongPauseWhilePausing : EventsPerLongPause;
  bool IsLong =
      !R->IsShort_ && R->NextEvent_ <= Events && Random_.below(Every) == 0;
  Duration Pause = IsLong ? between(ShortestLongPauseMs, LongestLongPauseMs)
                          : R->EventPause_;
  Io_.after(Pause, [this, R] {
    std::lock_guard Lock(Mutex_);
    sendEvents(R);
  });
}

void SoakEndpoint::end(const RunPtr &R, SoakRun::End How) {
  if (R->HasEnded_)
    return;
  R->HasEnded_ = true;
  Record_.endRun(R->Request_, R->Number_, How, now());
  std::erase(AtWork_, R);
}

void SoakEndpoint::truncate() {
  for (const RunPtr &Each : std::vector<RunPtr>(AtWork_)) {
    end(Each, SoakRun::End::BrokenOff);
    Each->Exchange_->abort();
  }
}

// ---- Crashes ----------------------------------------------------------------

void SoakEndpoint::beginCrash(const RunPtr &R) {
  Io_.after(CrashHeadDelay, [this, R, Restarts = Restarts_] {
    std::lock_guard Lock(Mutex_);
    if (R->HasEnded_)
      return;
    if (Crashes_ == Crashes::AfterHead) {
      HttpHeaders Headers = headersOf(*R);
      Headers.push_back({"Content-Type", "text/event-stream"});
      R->Exchange_->head(200, std::move(Headers));
    }
    Io_.after(CrashDelay, [this, Restarts] {
      std::lock_guard Lock(Mutex_);
      if (Restarts == Restarts_)
        crash();
    });
  });
}

void SoakEndpoint::crash() {
  ++Restarts_;
  IsLoading_ = false;
  Record_.engineCrashes(id(), now());
  truncate();
  Server_.reset();
  Io_.after(DownFor, [this] {
    std::lock_guard Lock(Mutex_);
    listen(portOf(Address_));
    Born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
    IsRowNew_ = true;
  });
}

// ---- Weights ----------------------------------------------------------------

void SoakEndpoint::report(const std::shared_ptr<HttpExchange> &X) const {
  json::array Models;
  if (Weights_.loaded() > 0)
    Models.push_back(json::object{{"name", Options_.Model_},
                                  {"version", Weights_.loaded()}});
  json::object Report{{"models", std::move(Models)},
                      {"busy", IsLoading_},
                      {"seq", Weights_.orders()},
                      {"running", AtWork_.size()},
                      {"queued", 0}};
  if (Born_ != 0)
    Report["born"] = Born_;
  X->respond(jsonResponse(200, json::serialize(Report)));
}

void SoakEndpoint::order(const HttpRequest &R,
                         const std::shared_ptr<HttpExchange> &X) {
  auto Body = json::parse(R.Body_).as_object();
  int Version = Body["version"].to_number<int>();
  if (Body["expected"].to_number<int>() != Weights_.orders() || IsLoading_)
    return X->respond({.Status_ = 409});
  Weights_.countOrder();
  IsLoading_ = true;
  truncate();
  Io_.after(LoadDuration, [this, Version, Restarts = Restarts_] {
    std::lock_guard Lock(Mutex_);
    if (Restarts != Restarts_)
      return;
    Weights_.load(Version);
    IsLoading_ = false;
    IsRowNew_ = true;
  });
  X->respond({.Status_ = 202});
}

} // namespace hawthornroad
