#include "tests/soak/SoakCallers.h"

#include "tests/soak/SoakConfig.h"

namespace hawthornroad {

namespace {
constexpr Duration CallerPause = Milliseconds(5);
// Real callers wait before they come back. Without this pause, callers whose
// requests are rejected at once take the whole machine.
constexpr Duration RejectedPause = Milliseconds(100);
constexpr std::size_t MaxCallers = 96;
// Half of them send to engines.
constexpr std::size_t SurgeCallers = 16;
constexpr Duration SurgePause = Milliseconds(10);
// Callers that wait longer at frozen entries send too little.
constexpr Duration SurgeDeadline = Milliseconds(800);
constexpr std::size_t UploadCallers = 2;
constexpr Duration UploadPause = Milliseconds(200);
constexpr unsigned Unauthorized = 401;
constexpr unsigned TooMany = 429;
constexpr unsigned Unavailable = 503;

TimePoint now() { return std::chrono::steady_clock::now(); }
} // namespace

SoakCallers::SoakCallers(Options O, SoakLayout &Layout, SoakChecks &Checks)
    : Options_(O), Layout_(Layout), Checks_(Checks) {
  Options_.Callers_ = std::min(MaxCallers, Options_.Callers_);
}

SoakCallers::~SoakCallers() { stop(); }

std::vector<std::string> SoakCallers::keys(const std::string &Rotating) {
  return {SteadyKey, Rotating, SoakConfig::RegionalKey};
}

void SoakCallers::start() {
  for (std::size_t I = 0; I < Options_.Callers_; ++I)
    Threads_.emplace_back([this, I] { callerLoop(I); });
  for (std::size_t I = 0; I < SurgeCallers; ++I)
    Threads_.emplace_back([this, I] { surgeLoop(I); });
  for (std::size_t I = 0; I < UploadCallers; ++I)
    Threads_.emplace_back([this, I] { uploadLoop(I); });
}

void SoakCallers::stop() {
  Stopping_ = true;
  for (std::thread &Each : Threads_)
    Each.join();
  Threads_.clear();
}

void SoakCallers::setKeys(const std::string &Removed, const std::string &Next) {
  std::lock_guard Lock(Mutex_);
  RemovedKey_ = Removed;
  NextKey_ = Next;
}

void SoakCallers::setNewestRoute(std::uint64_t Route) {
  std::lock_guard Lock(Mutex_);
  NewestRoute_ = Route;
}

// One request in six uses the most recently removed key, one the key that will
// be removed next, and one that of the customer with an allowed region.
void SoakCallers::drawKey(Random &R, SoakRequest &Q) {
  constexpr std::uint64_t Keys = 6;
  std::uint64_t Key = R.below(Keys);
  Q.Key_ = Key == 0   ? RemovedKey_
           : Key == 1 ? NextKey_
           : Key == 2 ? SoakConfig::RegionalKey
                      : SteadyKey;
  if (Q.Key_ == SoakConfig::RegionalKey)
    Q.CustomerRegion_ = SoakConfig::SecondRegion;
}

SoakRequest SoakCallers::makeRequest(Random &R, const std::string &Id,
                                     std::string &Target) {
  SoakRequest Q;
  Q.Id_ = Id;
  std::lock_guard Lock(Mutex_);
  drawKey(R, Q);
  bool HasEngines = Options_.HasEngines_;
  constexpr std::uint64_t Targets = 8;
  switch (R.below(Targets)) {
  case 0:
    Q.Kind_ = SoakKind::Once;
    Target = "/once/x";
    break;
  case 1:
    Q.Kind_ = SoakKind::Stream;
    Target = "/stream/x";
    break;
  case 2:
    Q.Kind_ = SoakKind::Safe;
    Q.RouteSince_ = NewestRoute_;
    Target = NewestRoute_ == 0 ? "/safe/x"
                               : "/new" + std::to_string(NewestRoute_) + "/x";
    break;
  case 3:
    Q.Kind_ = SoakKind::UniqueStream;
    Target = "/streamonce/x";
    break;
  case 4:
    Q.Kind_ = SoakKind::Stream;
    Q.Model_ = HasEngines ? "m" : "";
    Target = HasEngines ? "/stream-lm/x" : "/stream/x";
    break;
  case 5:
    Q.Kind_ = HasEngines ? SoakKind::UniqueStream : SoakKind::Safe;
    Q.Model_ = HasEngines ? "m" : "";
    Target = HasEngines ? "/streamonce-lm/x" : "/safe/x";
    break;
  case 6:
    Q.Kind_ = SoakKind::Safe;
    Q.RouteRegion_ = SoakConfig::FirstRegion;
    Target = "/home/x";
    break;
  default:
    Q.Kind_ = SoakKind::Safe;
    Target = "/moved/x";
  }
  Q.Deadline_ = isStream(Q.Kind_) ? StreamDeadline : PlainDeadline;
  return Q;
}

SoakRequest SoakCallers::makeShortRequest(Random &R, bool IsForEngine,
                                          std::string &Target) {
  SoakRequest Q;
  bool IsRepeatable = R.below(2) == 0;
  if (IsForEngine) {
    Q.Kind_ = IsRepeatable ? SoakKind::Stream : SoakKind::UniqueStream;
    Q.Model_ = "m";
    Target = IsRepeatable ? "/stream-lm/" : "/streamonce-lm/";
  } else {
    Q.Kind_ = IsRepeatable ? SoakKind::Safe : SoakKind::Once;
    Target = IsRepeatable ? "/safe/" : "/once/";
  }
  Target += SoakEndpoint::ShortTarget;
  Q.Deadline_ = SurgeDeadline;
  Q.Key_ = SteadyKey;
  return Q;
}

unsigned SoakCallers::send(SoakCaller &Caller, Random &R, SoakRequest Q,
                           const std::string &Target) {
  SoakLayout::Address To = Layout_.address(R.below(Layout_.running()));
  Q.Timeout_ =
      isStream(Q.Kind_) ? SoakConfig::StreamTimeout : SoakConfig::PlainTimeout;
  Q.Process_ = To.Process_;
  Q.Services_ = SoakConfig::servicesOf(Target);
  Q.SentAt_ = now();
  Checks_.sent(Q);
  SoakOutcome O = Caller.call(To.Callers_, Target, Q);
  Checks_.ended(Q.Id_, O);
  return O.Answer_.Status_;
}

void SoakCallers::callerLoop(std::size_t Number) {
  Random R(Options_.Seed_ * MaxCallers + Number);
  SoakCaller Caller;
  for (std::uint64_t N = 0; !Stopping_; ++N) {
    std::string Target;
    SoakRequest Q = makeRequest(
        R, "c" + std::to_string(Number) + "-" + std::to_string(N), Target);
    unsigned Status = send(Caller, R, Q, Target);
    bool IsRejected =
        Status == Unauthorized || Status == TooMany || Status == Unavailable;
    std::this_thread::sleep_for(IsRejected ? RejectedPause : CallerPause);
  }
}

void SoakCallers::surgeLoop(std::size_t Number) {
  Random R(~Options_.Seed_ * MaxCallers + Number);
  SoakCaller Caller;
  bool IsForEngine = Options_.HasEngines_ && Number % 2 == 0;
  for (std::uint64_t N = 0; !Stopping_; ++N) {
    std::this_thread::sleep_for(SurgePause);
    if (!IsSurging_)
      continue;
    std::string Target;
    SoakRequest Q = makeShortRequest(R, IsForEngine, Target);
    Q.Id_ = "s" + std::to_string(Number) + "-" + std::to_string(N);
    send(Caller, R, Q, Target);
  }
}

void SoakCallers::uploadLoop(std::size_t Number) {
  constexpr std::uint64_t UploadSeed = 0x9E3779B97F4A7C15;
  Random R(Options_.Seed_ * UploadSeed + Number);
  SoakCaller Caller;
  for (std::uint64_t N = 0; !Stopping_; ++N) {
    SoakRequest Q;
    Q.Id_ = "u" + std::to_string(Number) + "-" + std::to_string(N);
    Q.Key_ = SteadyKey;
    Q.BodyBytes_ = SoakEarly::UploadBytes;
    Q.Deadline_ = PlainDeadline;
    send(Caller, R, Q, "/early/x");
    std::this_thread::sleep_for(UploadPause);
  }
}

} // namespace hawthornroad
