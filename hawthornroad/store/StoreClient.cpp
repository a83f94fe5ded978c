#include "hawthornroad/store/StoreClient.h"

#include <boost/asio/steady_timer.hpp>

namespace hawthornroad {

namespace asio = boost::asio;

namespace {
// A page holds up to 1 MB; thirty of them take 9 s over one link of 28 Mbit/s
// between regions.
constexpr Duration CallTimeout = Seconds(10);
// Longer than for reads, since a write without an answer cannot be repeated
// safely.
constexpr Duration WriteTimeout = Milliseconds(1500);
// A page of rows, in which a single row may be a long configuration.
constexpr std::size_t MaxAnswer = 32 * 1024 * 1024;

HttpCalls::Options callOptions() {
  HttpCalls::Options O;
  O.Link_.ConnectTimeout_ = StoreClient::RetryTimeout;
  O.TotalLimit_ = CallTimeout;
  O.Link_.KeepAlive_ = true;
  return O;
}
} // namespace

StoreClient::StoreClient(asio::io_context &Context, std::string Address,
                         const StoreCodec &Codec)
    : Codec_(Codec), Calls_(Context, std::move(Address), callOptions()) {}

HttpCalls::Cancel StoreClient::call(const HttpMessage &M, Duration Limit,
                                    Done D) {
  return Calls_.call(M, {Limit, MaxAnswer},
                     [&Codec = Codec_, Failures = Failures_,
                      D = std::move(D)](HttpCalls::Result R) {
                       StoreReply Reply = StoreFailure::Silent;
                       if (const auto *Answer = std::get_if<HttpAnswer>(&R))
                         Reply = Codec.read(Answer->Status_, Answer->Body_);
                       else if (std::get<LinkFailure>(R).NeverSent_)
                         Reply = StoreFailure::Refused;
                       if (std::holds_alternative<StoreFailure>(Reply))
                         ++*Failures;
                       D(std::move(Reply));
                     });
}

StoreCounters StoreClient::counters() const {
  const HttpCalls::Counters &C = Calls_.counters();
  return {C.Calls_, *Failures_, C.BytesSent_, C.BytesReceived_, C.AnswerBytes_};
}

HttpCalls::Cancel StoreClient::list(const std::string &Table,
                                    const std::string &FromKey,
                                    const std::string &ToKey, Done D,
                                    Duration Limit) {
  return call(Codec_.list(Table, FromKey, ToKey), Limit, std::move(D));
}

HttpCalls::Cancel StoreClient::feed(const std::string &Table,
                                    StoreVersion After, Duration Wait, Done D,
                                    Duration Limit) {
  return call(Codec_.feed(Table, After, Wait), Wait + Limit, std::move(D));
}

void StoreClient::write(const StoreTransaction &T, Done D) {
  call(Codec_.write(T), WriteTimeout, std::move(D));
}

struct StoreWatch::State : std::enable_shared_from_this<StoreWatch::State> {
  State(asio::io_context &Context, StoreClient &Store, TableWatch::Options O,
        std::function<TimePoint()> Clock, Callbacks C)
      : Store_(Store), Table_(O.Table_), Watch_(std::move(O)),
        Clock_(std::move(Clock)), Callbacks_(std::move(C)), Timer_(Context) {}

  void step() {
    if (IsPaused_)
      return;
    TimePoint Now = Clock_();
    TableWatch::Request A = Watch_.next(Now);
    if (A.At_ > Now) {
      Timer_.expires_after(A.At_ - Now);
      Timer_.async_wait([Weak = weak_from_this()](boost::system::error_code C) {
        auto Self = Weak.lock();
        if (!C && Self)
          Self->step();
      });
      return;
    }
    Watch_.sent(A, Now);
    auto OnReply = [Weak = weak_from_this(),
                    Generation = Generation_](StoreReply R) {
      auto Self = Weak.lock();
      if (Self && Self->Generation_ == Generation)
        Self->onReply(std::move(R));
    };
    Duration Limit = Watch_.failures() == 0 ? StoreClient::AnswerTimeout
                                            : StoreClient::RetryTimeout;
    Cancel_ = A.IsListing_
                  ? Store_.list(Table_, A.FromKey_, "", OnReply, Limit)
                  : Store_.feed(Table_, A.After_, A.Wait_, OnReply, Limit);
  }

  // Cancels the call in progress and ignores its answer.
  void abandonCall() {
    ++Generation_;
    Timer_.cancel();
    if (auto Cancel = std::exchange(Cancel_, nullptr))
      Cancel();
  }

  void onReply(StoreReply R) {
    TimePoint Now = Clock_();
    unsigned ReplyGeneration = Generation_;
    auto *Rows = std::get_if<StoreRows>(&R);
    if (Rows != nullptr) {
      auto U = Watch_.onRows(std::move(*Rows), Now);
      if (U && Callbacks_.OnUpdate_)
        Callbacks_.OnUpdate_(*U);
    } else {
      Watch_.onFailure(std::get<StoreFailure>(R), Now);
    }
    bool Ok = Rows != nullptr ||
              std::get<StoreFailure>(R) == StoreFailure::HistoryGone;
    if (Callbacks_.OnCall_)
      Callbacks_.OnCall_(Ok, Watch_);
    // A callback may have paused or restarted the watch.
    if (Generation_ == ReplyGeneration)
      step();
  }

  StoreClient &Store_;
  std::string Table_;
  TableWatch Watch_;
  std::function<TimePoint()> Clock_;
  Callbacks Callbacks_;
  asio::steady_timer Timer_;
  HttpCalls::Cancel Cancel_;
  // Incremented by each start and pause; answers to calls of an earlier
  // generation are ignored.
  unsigned Generation_ = 0;
  bool IsPaused_ = true;
};

StoreWatch::StoreWatch(asio::io_context &Context, StoreClient &Store,
                       TableWatch::Options O, std::function<TimePoint()> Clock,
                       Callbacks C)
    : State_(std::make_shared<State>(Context, Store, std::move(O),
                                     std::move(Clock), std::move(C))) {}

StoreWatch::~StoreWatch() = default;

void StoreWatch::start() {
  State_->IsPaused_ = false;
  State_->abandonCall();
  State_->step();
}

void StoreWatch::pause() {
  State_->IsPaused_ = true;
  State_->abandonCall();
}

void StoreWatch::resume(StoreVersion V) {
  State_->Watch_.resume(V, State_->Clock_());
  start();
}

void StoreWatch::retry() {
  if (State_->IsPaused_)
    return;
  State_->Watch_.retry(State_->Clock_());
  start();
}

void StoreWatch::list() {
  State_->Watch_.list(State_->Clock_());
  start();
}

bool StoreWatch::isPaused() const { return State_->IsPaused_; }

void StoreWatch::setTiming(Duration Wait, Duration Pace) {
  State_->Watch_.setTiming(Wait, Pace);
}

const TableWatch &StoreWatch::watch() const { return State_->Watch_; }

} // namespace hawthornroad
