#include "hawthornroad/http/HttpCalls.h"

#include "hawthornroad/runtime/BootClock.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <deque>

namespace hawthornroad {

namespace asio = boost::asio;

namespace {
constexpr unsigned StatusOk = 200;
} // namespace

struct HttpCalls::State : std::enable_shared_from_this<HttpCalls::State> {
  // One call, queued or in progress.
  struct Call {
    Call(asio::io_context &Context, HttpMessage M, Limits L, Done D)
        : Timer_(Context), Message_(std::move(M)), Limits_(L),
          Done_(std::move(D)) {}
    asio::steady_timer Timer_;
    HttpMessage Message_;
    Limits Limits_;
    TimePoint TotalDeadline_;
    // Null while the call is queued. Not owned, since the link's events own
    // the call: the link's pending operations keep both, until they end or the
    // io_context is destroyed.
    std::weak_ptr<ClientLink> Link_;
    // Empty once the call has ended.
    Done Done_;
    HttpAnswer Answer_;
  };

  State(asio::io_context &Context, std::string Address, Options O)
      : Context_(Context), Address_(std::move(Address)), Options_(O),
        Sweep_(Context) {}

  std::shared_ptr<ClientLink> take() {
    TimePoint Now = bootNow();
    while (!Idle_.empty()) {
      auto Link = Idle_.back();
      Idle_.pop_back();
      if (Link->isFree() && Link->isConnected() &&
          Now - Link->idleSince() < Options_.MaxIdleTime_)
        return Link;
      Link->abandon();
    }
    return open();
  }

  std::shared_ptr<ClientLink> open() {
    ClientLink::Options Link = Options_.Link_;
    if (Options_.ReconnectTimeout_ > Duration::zero() &&
        ++Connects_ % FullTimeoutEvery != 0)
      Link.ConnectTimeout_ = Options_.ReconnectTimeout_;
    return std::make_shared<ClientLink>(Context_, Address_, Link);
  }

  // A timer closes expired idle connections, rather than the next take():
  // servers limit the connections of all callers together.
  void putBack(const std::shared_ptr<ClientLink> &Link) {
    if (!Link->isFree() || Idle_.size() >= Options_.MaxIdle_)
      return Link->abandon();
    Idle_.push_back(Link);
    if (SweepSet_)
      return;
    SweepSet_ = true;
    Sweep_.expires_after(Options_.MaxIdleTime_);
    Sweep_.async_wait([Weak = weak_from_this()](boost::system::error_code C) {
      auto Self = Weak.lock();
      if (C || !Self)
        return;
      Self->SweepSet_ = false;
      Self->sweep();
    });
  }

  void sweep() {
    TimePoint Now = bootNow();
    std::vector<std::shared_ptr<ClientLink>> Kept;
    for (const auto &Link : Idle_) {
      if (Link->isFree() && Now - Link->idleSince() < Options_.MaxIdleTime_)
        Kept.push_back(Link);
      else
        Link->abandon();
    }
    Idle_.clear();
    for (const auto &Link : Kept)
      putBack(Link);
  }

  void finish(const std::shared_ptr<Call> &C, Result R) {
    C->Timer_.cancel();
    auto Callback = std::exchange(C->Done_, nullptr);
    if (!Callback)
      return;
    --InProgress_;
    startNext();
    Callback(std::move(R));
  }

  void cancel(const std::shared_ptr<Call> &C) {
    auto Link = C->Link_.lock();
    if (!std::exchange(C->Done_, nullptr) || !Link)
      return;
    C->Timer_.cancel();
    Link->abandon();
    --InProgress_;
    startNext();
  }

  void startNext() {
    while (!Waiting_.empty() && hasRoom()) {
      std::shared_ptr<Call> Next = std::move(Waiting_.front());
      Waiting_.pop_front();
      if (Next->Done_)
        start(Next);
    }
  }

  bool hasRoom() const {
    return Options_.MaxConcurrent_ == 0 ||
           InProgress_ < Options_.MaxConcurrent_;
  }

  void admit(const std::shared_ptr<Call> &C) {
    if (hasRoom())
      start(C);
    else
      Waiting_.push_back(C);
  }

  // Restarts the call's time limit, capped by its total deadline.
  void restartTimer(const std::shared_ptr<Call> &C) {
    if (!C->Done_)
      return;
    C->Timer_.expires_after(
        std::min(C->Limits_.Time_, C->TotalDeadline_ - bootNow()));
    C->Timer_.async_wait([Self = shared_from_this(),
                          C](boost::system::error_code Code) {
      // A timer that expired just before it was restarted still runs its
      // handler, without an error.
      bool IsRenewed = C->Timer_.expiry() > std::chrono::steady_clock::now();
      if (Code || IsRenewed || !C->Done_)
        return;
      if (auto Link = C->Link_.lock())
        Link->abandon();
      Self->finish(C, LinkFailure{false, Step::Receive,
                                  "no answer within the time limit"});
    });
  }

  void start(const std::shared_ptr<Call> &C) {
    ++InProgress_;
    std::shared_ptr<ClientLink> Link =
        C->Limits_.NeedsNewConnection_ ? open() : take();
    C->Link_ = Link;
    auto Self = shared_from_this();
    C->TotalDeadline_ =
        bootNow() + std::max(C->Limits_.Time_, Options_.TotalLimit_);
    restartTimer(C);
    std::string Text = requestText(C->Message_, Address_);
    ++Counters_.Calls_;
    Counters_.BytesSent_ += Text.size();
    ClientLink::Events E;
    E.OnHead_ = [C](unsigned Status, HeaderFields Fields) {
      C->Answer_.Status_ = Status;
      C->Answer_.Headers_ = std::move(Fields);
    };
    E.OnBody_ = [Self, C](const std::string &Bytes) {
      Self->Counters_.BytesReceived_ += Bytes.size();
      if (C->Answer_.Status_ == StatusOk)
        Self->Counters_.AnswerBytes_ += Bytes.size();
      C->Answer_.Body_ += Bytes;
      if (Self->Options_.TotalLimit_ > Duration::zero())
        Self->restartTimer(C);
    };
    E.OnEnd_ = [Self, C](bool) {
      if (auto Used = C->Link_.lock())
        C->Limits_.NeedsNewConnection_ ? Used->abandon() : Self->putBack(Used);
      Self->finish(C, std::move(C->Answer_));
    };
    E.OnFail_ = [Self, C](const LinkFailure &F) { Self->finish(C, F); };
    Link->send(std::move(Text), std::move(E), C->Limits_.MaxBody_);
  }

  asio::io_context &Context_;
  std::string Address_;
  Options Options_;
  std::vector<std::shared_ptr<ClientLink>> Idle_;
  Counters Counters_;
  static constexpr unsigned FullTimeoutEvery = 4;
  unsigned Connects_ = 0;
  asio::steady_timer Sweep_;
  bool SweepSet_ = false;
  std::deque<std::shared_ptr<Call>> Waiting_;
  std::size_t InProgress_ = 0;
};

HttpCalls::HttpCalls(asio::io_context &Context, std::string Address, Options O)
    : State_(std::make_shared<State>(Context, std::move(Address), O)) {}

HttpCalls::~HttpCalls() {
  for (const auto &Each : State_->Idle_)
    Each->abandon();
}

HttpCalls::Cancel HttpCalls::call(const HttpMessage &M, Limits L, Done D) {
  auto C = std::make_shared<State::Call>(State_->Context_, M, L, std::move(D));
  State_->admit(C);
  return [WeakState = std::weak_ptr(State_), WeakCall = std::weak_ptr(C)] {
    auto Owner = WeakState.lock();
    auto Call = WeakCall.lock();
    if (Owner && Call)
      Owner->cancel(Call);
  };
}

const std::string &HttpCalls::address() const { return State_->Address_; }

const HttpCalls::Counters &HttpCalls::counters() const {
  return State_->Counters_;
}

} // namespace hawthornroad
