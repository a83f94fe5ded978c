#include "tests/soak/SoakLoad.h"

#include "hawthornroad/runtime/Address.h"
#include "tests/soak/SoakCaller.h"
#include "tests/soak/SoakCallers.h"
#include "tests/soak/SoakConfig.h"
#include "tests/soak/SoakCrashes.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <thread>

namespace hawthornroad {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {
constexpr Duration PollPeriod = Milliseconds(10);

TimePoint now() { return std::chrono::steady_clock::now(); }
} // namespace

SoakLoad::SoakLoad(Options O, SoakLayout &Layout, SoakChecks &Checks)
    : Options_(O), Layout_(Layout), Checks_(Checks), Random_(O.Seed_) {}

SoakLoad::~SoakLoad() {
  stop();
  Io_.stop();
}

void SoakLoad::start() {
  ++Open_;
  asio::co_spawn(Io_.context(), sendAll(), asio::detached);
}

void SoakLoad::stop() {
  Stopping_ = true;
  while (Open_ > 0)
    std::this_thread::sleep_for(PollPeriod);
}

SoakRequest SoakLoad::makeRequest(std::string &Target) {
  SoakRequest R = withNewId({});
  R.Key_ = SoakCallers::SteadyKey;
  bool IsForEngine = Options_.HasEngines_ && Random_.below(2) == 0;
  if (Options_.CrashingPerSecond_ > 0) {
    bool IsCrashing =
        IsCrashingPartSent_ &&
        Random_.unit() < Options_.CrashingPerSecond_ / Options_.PerSecond_;
    IsForEngine |= IsCrashing;
    if (IsForEngine)
      R.Parts_ = drawParts(Random_, IsCrashing);
  }
  R.Kind_ = IsForEngine ? SoakKind::Stream : SoakKind::Safe;
  R.Model_ = IsForEngine ? "m" : "";
  R.Deadline_ = IsImpatient_  ? ImpatientDeadline
                : IsForEngine ? StreamDeadline
                              : PlainDeadline;
  R.Timeout_ =
      IsForEngine ? SoakConfig::StreamTimeout : SoakConfig::PlainTimeout;
  Target = IsForEngine ? "/stream-lm/" : "/safe/";
  Target += SoakEndpoint::ShortTarget;
  R.Services_ = SoakConfig::servicesOf(Target);
  return R;
}

SoakRequest SoakLoad::withNewId(SoakRequest R) {
  R.Id_ = "l" + std::to_string(Next_++);
  return R;
}

void SoakLoad::spawnCall(SoakRequest R, std::string Target, unsigned Returns) {
  SoakLayout::Address To = Layout_.address(Random_.below(Layout_.running()));
  R.Process_ = To.Process_;
  ++Open_;
  asio::co_spawn(Io_.context(),
                 call(std::move(R), std::move(Target), To.Callers_, Returns),
                 asio::detached);
}

asio::awaitable<void> SoakLoad::sendAll() {
  asio::steady_timer Timer(Io_.context());
  TimePoint Next = now();
  while (!Stopping_) {
    Next += std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(1 / Options_.PerSecond_));
    boost::system::error_code Ignored;
    Timer.expires_at(Next);
    co_await Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
    std::string Target;
    SoakRequest R = makeRequest(Target);
    spawnCall(std::move(R), std::move(Target), MaxReturns);
  }
  --Open_;
}

asio::awaitable<void> SoakLoad::call(SoakRequest R, std::string Target,
                                     std::string Address, unsigned Returns) {
  SoakOutcome O;
  R.SentAt_ = now();
  Checks_.sent(R);
  if (IsHeld_ || IsNarrowed_) {
    // Its caller has sent it, whenever it arrives.
    O.WrittenAt_ = R.SentAt_;
    if (!co_await passPath(R)) {
      O.End_ = SoakOutcome::End::TimedOut;
      O.EndedAt_ = now();
      Checks_.ended(R.Id_, O);
      --Open_;
      co_return;
    }
  }
  auto &Idle = Idle_[Address];
  // Behind a cut path the entry's close of a kept connection waits as well.
  O.IsKept_ = !Idle.empty() && !O.WrittenAt_;
  std::unique_ptr<Stream> S;
  if (O.IsKept_) {
    S = std::move(Idle.back());
    Idle.pop_back();
  } else {
    S = co_await connect(Address, R, O);
  }
  if (S && co_await exchange(*S, Target, R, O))
    Idle_[Address].push_back(std::move(S));
  O.EndedAt_ = O.Answer_.At_ = now();
  Checks_.ended(R.Id_, O);
  constexpr unsigned Unavailable = 503;
  bool IsServed =
      O.End_ == SoakOutcome::End::Whole && O.Answer_.Status_ != Unavailable;
  if (IsImpatient_ && !IsServed && Returns > 0 && !Stopping_)
    spawnCall(withNewId(std::move(R)), std::move(Target), Returns - 1);
  --Open_;
}

asio::awaitable<bool> SoakLoad::passPath(SoakRequest R) {
  TimePoint LeavesAt = R.SentAt_ + R.Deadline_;
  if (IsNarrowed_) {
    PathFreeAt_ =
        std::max(PathFreeAt_, R.SentAt_) +
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            1 / (NarrowedShare * Options_.PerSecond_)));
    asio::steady_timer Timer(Io_.context(), std::min(PathFreeAt_, LeavesAt));
    boost::system::error_code Ignored;
    co_await Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }
  co_return co_await awaitPath(LeavesAt);
}

asio::awaitable<bool> SoakLoad::awaitPath(TimePoint LeavesAt) {
  asio::steady_timer Timer(Io_.context());
  while (IsHeld_ && now() < LeavesAt) {
    boost::system::error_code Ignored;
    Timer.expires_after(PollPeriod);
    co_await Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }
  co_return now() < LeavesAt;
}

asio::awaitable<std::unique_ptr<SoakLoad::Stream>>
SoakLoad::connect(const std::string &Address, const SoakRequest &R,
                  SoakOutcome &O) {
  auto S = std::make_unique<Stream>(Io_.context());
  beast::error_code Code;
  S->expires_at(R.SentAt_ + R.Deadline_);
  co_await S->async_connect(parseAddress(Address, Step::Connect),
                            asio::redirect_error(asio::use_awaitable, Code));
  if (Code) {
    O.End_ = SoakOutcome::End::Refused;
    O.Error_ = Code.message();
    S.reset();
  }
  co_return S;
}

asio::awaitable<bool> SoakLoad::exchange(Stream &S, const std::string &Target,
                                         const SoakRequest &R, SoakOutcome &O) {
  auto Request = messageOf(R, Target);
  beast::flat_buffer Buffer;
  http::response_parser<http::string_body> Parser;
  beast::error_code Code;
  S.expires_at(R.SentAt_ + R.Deadline_);
  co_await http::async_write(S, Request,
                             asio::redirect_error(asio::use_awaitable, Code));
  if (!Code) {
    if (!O.WrittenAt_)
      O.WrittenAt_ = now();
    co_await http::async_read(S, Buffer, Parser,
                              asio::redirect_error(asio::use_awaitable, Code));
  }
  if (Parser.is_header_done())
    setAnswer(O, Parser.get());
  if (Code) {
    O.End_ = Code == beast::error::timeout ? SoakOutcome::End::TimedOut
                                           : SoakOutcome::End::Closed;
    O.Error_ = Code.message();
    co_return false;
  }
  O.End_ = SoakOutcome::End::Whole;
  co_return Parser.get().keep_alive();
}

} // namespace hawthornroad
