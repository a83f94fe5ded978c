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
  // One call, waiting or under way.
  struct Call {
    Call(asio::io_context &Context, HttpMessage M, Duration Limit, Done D)
        : Timer_(Context), Message_(std::move(M)), Limit_(Limit),
          Done_(std::move(D)) {}
    asio::steady_timer Timer_;
    HttpMessage Message_;
    Duration Limit_;
    TimePoint EndsBy_;
    // Unset while it waits.
    std::shared_ptr<ClientLink> Link_;
    // Unset once it has ended.
    Done Done_;
    HttpAnswer Answer_;
  };

  State(asio::io_context &Context, std::string Address, Options O)
      : Context_(Context), Address_(std::move(Address)), Options_(O),
        Sweep_(Context) {}

  std::shared_ptr<ClientLink> take() {
    TimePoint Now = bootNow();
    while (!Spare_.empty()) {
      auto Link = Spare_.back();
      Spare_.pop_back();
      if (Link->isFree() && Link->isConnected() &&
          Now - Link->freeSince() < Options_.SpareFor_)
        return Link;
      Link->abandon();
    }
    ClientLink::Options Link = Options_.Link_;
    if (Options_.QuickDial_ > Duration::zero() && ++Dials_ % LongDialEach != 0)
      Link.ConnectTimeout_ = Options_.QuickDial_;
    return std::make_shared<ClientLink>(Context_, Address_, Link);
  }

  // A spare is closed when its time is over, not when it is next looked for:
  // servers count the connections of all callers.
  void giveBack(const std::shared_ptr<ClientLink> &Link) {
    if (!Link->isFree() || Spare_.size() >= Options_.MaxSpare_)
      return Link->abandon();
    Spare_.push_back(Link);
    if (SweepSet_)
      return;
    SweepSet_ = true;
    Sweep_.expires_after(Options_.SpareFor_);
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
    for (const auto &Link : Spare_) {
      if (Link->isFree() && Now - Link->freeSince() < Options_.SpareFor_)
        Kept.push_back(Link);
      else
        Link->abandon();
    }
    Spare_.clear();
    for (const auto &Link : Kept)
      giveBack(Link);
  }

  void finish(const std::shared_ptr<Call> &C, Result R) {
    C->Timer_.cancel();
    auto Told = std::exchange(C->Done_, nullptr);
    if (!Told)
      return;
    --UnderWay_;
    startNext();
    Told(std::move(R));
  }

  void cancel(const std::shared_ptr<Call> &C) {
    if (!std::exchange(C->Done_, nullptr) || !C->Link_)
      return;
    C->Timer_.cancel();
    C->Link_->abandon();
    --UnderWay_;
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
    return Options_.AtOnce_ == 0 || UnderWay_ < Options_.AtOnce_;
  }

  void enter(const std::shared_ptr<Call> &C) {
    if (hasRoom())
      start(C);
    else
      Waiting_.push_back(C);
  }

  // Gives the call its limit anew, up to the end of the whole.
  void arm(const std::shared_ptr<Call> &C) {
    if (!C->Done_)
      return;
    C->Timer_.expires_after(std::min(C->Limit_, C->EndsBy_ - bootNow()));
    C->Timer_.async_wait([Self = shared_from_this(),
                          C](boost::system::error_code Code) {
      // A wait that ended before it was renewed still runs, without an error.
      bool IsRenewed = C->Timer_.expiry() > std::chrono::steady_clock::now();
      if (Code || IsRenewed || !C->Done_)
        return;
      C->Link_->abandon();
      Self->finish(C, LinkFailure{false, Step::Receive,
                                  "no answer within the time limit"});
    });
  }

  void start(const std::shared_ptr<Call> &C) {
    ++UnderWay_;
    C->Link_ = take();
    auto Self = shared_from_this();
    C->EndsBy_ = bootNow() + std::max(C->Limit_, Options_.WholeLimit_);
    arm(C);
    std::string Text = requestText(C->Message_, Address_);
    ++Counters_.Calls_;
    Counters_.BytesSent_ += Text.size();
    ClientLink::Events E;
    E.OnHead_ = [C](unsigned Status, const HeaderFields &) {
      C->Answer_.Status_ = Status;
    };
    E.OnBody_ = [Self, C](const std::string &Bytes) {
      Self->Counters_.BytesReceived_ += Bytes.size();
      if (C->Answer_.Status_ == StatusOk)
        Self->Counters_.AnswerBytes_ += Bytes.size();
      C->Answer_.Body_ += Bytes;
      if (Self->Options_.WholeLimit_ > Duration::zero())
        Self->arm(C);
    };
    E.OnEnd_ = [Self, C](bool) {
      Self->giveBack(C->Link_);
      Self->finish(C, std::move(C->Answer_));
    };
    E.OnFail_ = [Self, C](const LinkFailure &F) { Self->finish(C, F); };
    C->Link_->send(std::move(Text), std::move(E));
  }

  asio::io_context &Context_;
  std::string Address_;
  Options Options_;
  std::vector<std::shared_ptr<ClientLink>> Spare_;
  Counters Counters_;
  static constexpr unsigned LongDialEach = 4;
  unsigned Dials_ = 0;
  asio::steady_timer Sweep_;
  bool SweepSet_ = false;
  std::deque<std::shared_ptr<Call>> Waiting_;
  std::size_t UnderWay_ = 0;
};

HttpCalls::HttpCalls(asio::io_context &Context, std::string Address, Options O)
    : State_(std::make_shared<State>(Context, std::move(Address), O)) {}

HttpCalls::~HttpCalls() {
  for (const auto &Each : State_->Spare_)
    Each->abandon();
}

HttpCalls::Cancel HttpCalls::call(const HttpMessage &M, Duration Limit,
                                  Done D) {
  auto C =
      std::make_shared<State::Call>(State_->Context_, M, Limit, std::move(D));
  State_->enter(C);
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
