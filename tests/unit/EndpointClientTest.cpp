#include "hawthornroad/runtime/EndpointClient.h"
#include "hawthornroad/peers/ReadWindow.h"

#include <catch2/catch.hpp>
#include <future>

using namespace hawthornroad;

namespace {
constexpr auto WaitTimeout = Seconds(20);
constexpr std::size_t Window = 64 * 1024;
// One read of HttpCall may start just below the end of the window.
constexpr std::size_t MaxReadSize = 64 * 1024;
constexpr std::size_t Large = 8 * 1024 * 1024;
const AttemptId Attempt{1, 1};

// A service with a large and a small answer, and a client whose DecisionLoop
// can be blocked.
struct EndpointFixture {
  ActorSystem System_;
  DecisionLoop Loop_{System_, "loop", Milliseconds(5), 16384};
  IoThread ServerIo_{"server", 1024};
  IoThread Io_{"client", 1024};
  HttpClient Client_{Io_};
  Metrics Metrics_;
  HttpServer Server_{ServerIo_, {}, answer};
  std::string Address_ =
      "127.0.0.1:" + std::to_string(Server_.listen("127.0.0.1", 0));
  std::size_t Received_ = 0;
  std::promise<void> HeadArrived_;
  std::promise<bool> Ended_;
  bool MayRelease_ = false;
  EndpointClient Endpoint_{
      {.Address_ = Address_, .Window_ = Window},
      Io_,
      Client_,
      Loop_,
      Metrics_,
      {.OnHead_ = [this](const HeadReceived &,
                         TimePoint) { HeadArrived_.set_value(); },
       .OnData_ =
           [this](const DataReceived &E, TimePoint) {
             Received_ += E.Bytes_.size();
             if (MayRelease_)
               Endpoint_.release(Attempt, Received_);
           },
       .OnEnded_ = [this](const RunEnded &E,
                          TimePoint) { Ended_.set_value(!E.Error_); }}};

  ~EndpointFixture() {
    Io_.stop();
    ServerIo_.stop();
  }

  static void answer(const HttpRequest &R, std::shared_ptr<HttpExchange> X) {
    X->respond(
        jsonResponse(200, std::string(R.Target_ == "/large" ? Large : 1, 'x')));
  }
  // Runs W on the loop's thread and waits for it.
  void inLoop(std::function<void()> W) {
    std::promise<void> Done;
    auto Future = Done.get_future();
    REQUIRE(Loop_.post([&](TimePoint) {
      W();
      Done.set_value();
    }));
    REQUIRE(Future.wait_for(WaitTimeout) == std::future_status::ready);
  }
  void callSmall() {
    std::promise<bool> Done;
    auto Future = Done.get_future();
    auto Call = Client_.call(Address_, {.Target_ = "/small"}, {},
                             {.OnDone_ = [&](const HttpResult &R) {
                               Done.set_value(R.Response_.has_value());
                             }});
    REQUIRE(Future.wait_for(WaitTimeout) == std::future_status::ready);
    REQUIRE(Future.get());
  }
};
} // namespace

TEST_CASE("read window, its bytes taken and released late, twice and too far, "
          "is open below its size only",
          "[endpoint]") {
  ReadWindow W(8);
  W.take(7);
  REQUIRE(W.isOpen());
  W.take(5);
  REQUIRE_FALSE(W.isOpen());
  W.release(4);
  REQUIRE_FALSE(W.isOpen());
  W.release(5);
  REQUIRE(W.isOpen());
  W.release(2);
  REQUIRE(W.isOpen());
  W.release(1000);
  W.take(8);
  REQUIRE_FALSE(W.isOpen());
}

// Guards against unbounded buffering of answers. On a busy VM the DecisionLoop
// runs late and so does its call to pause reading; meanwhile the reader would
// take every large answer of a fast endpoint completely into the memory of the
// process, which is limited to 256 MB.
TEST_CASE_METHOD(
    EndpointFixture,
    "endpoint's answer, with the decision loop blocked, is read up to the "
    "window and arrives complete once released",
    "[endpoint]") {
  std::promise<void> Resume;
  auto Head = HeadArrived_.get_future();
  inLoop([&] {
    Endpoint_.start({.Attempt_ = Attempt, .Request_ = {.Target_ = "/large"}});
  });
  REQUIRE(Head.wait_for(WaitTimeout) == std::future_status::ready);
  REQUIRE(Loop_.post([&](TimePoint) { Resume.get_future().wait(); }));
  // Calls through the same two threads take long enough for the whole answer to
  // be read if the reader were not paused.
  for (int I = 0; I < 300; ++I)
    callSmall();
  Resume.set_value();
  std::size_t Held = 0;
  inLoop([&] {
    Held = Received_;
    MayRelease_ = true;
    Endpoint_.release(Attempt, Received_);
  });
  auto Ended = Ended_.get_future();
  REQUIRE(Ended.wait_for(WaitTimeout) == std::future_status::ready);
  REQUIRE(Ended.get());
  REQUIRE(Held > 0);
  REQUIRE(Held <= Window + MaxReadSize);
  REQUIRE(Received_ == Large);
}
