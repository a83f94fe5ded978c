#include "hawthornroad/peers/PeerNet.h"
#include "tests/integration/Fixture.h"

#include <atomic>
#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
// Asks for configuration over Lane::Control through a proxy; the answerer
// answers each question but number Unanswered.
struct ControlConnectionsFixture : FakesFixture {
  static constexpr Revision Unanswered = 2;

  ControlConnectionsFixture() {
    std::uint16_t Port = Answerer_.listen("127.0.0.1", 0);
    Proxy_ = &proxy("127.0.0.1:" + std::to_string(Port));
  }
  ~ControlConnectionsFixture() { Io_.stop(); }

  void connect(PeerNet::Limits L) {
    Asker_.emplace(Io_, PeerNet::Self{.Process_ = ProcessName("asker")}, L,
                   PeerNet::Callbacks{
                       .OnFrame_ = [this](const PeerContext &,
                                          const wire::Frame &) { ++Answers_; },
                       .OnLost_ = [this](const PeerContext &,
                                         const Error &) { ++Lost_; }});
  }

  void ask(Revision Number) {
    wire::ConfigPullT Pull;
    Pull.after = Number;
    REQUIRE(Asker_->send(PeerAddress(Proxy_->address()), Lane::Control,
                         makeFrame(std::move(Pull))));
  }

  void answer(const PeerContext &From, const wire::Frame &F) {
    ++Questions_;
    if (F.body_as_ConfigPull()->after() != Unanswered)
      Answerer_.reply(From.Connection_, makeFrame(wire::ConfigPushT()));
  }

  std::int64_t frames(const char *Way) {
    return numberAt(Proxy_->counters(), Way);
  }

  std::atomic<int> Questions_ = 0;
  std::atomic<int> Answers_ = 0;
  std::atomic<int> Lost_ = 0;
  Proxy *Proxy_ = nullptr;
  IoThread Io_{"control", 1024};
  PeerNet Answerer_{
      Io_,
      {.Process_ = ProcessName("answerer")},
      {},
      {.OnFrame_ = [this](const PeerContext &From, const wire::Frame &F) {
        answer(From, F);
      }}};
  std::optional<PeerNet> Asker_;
};
} // namespace

TEST_CASE_METHOD(ControlConnectionsFixture,
                 "control connection, its question answered, carries no pings "
                 "and is closed when unused",
                 "[peernet]") {
  // A fleet grows and each process sends more control bytes, until its budget
  // is gone. Every probe left a connection behind that both ends pinged for a
  // minute, and more members meant more such connections.
  PeerNet::Limits L;
  L.PingAfter_ = Seconds(2);
  L.DeadAfter_ = Seconds(10);
  L.ControlIdleAfter_ = Seconds(5);
  connect(L);
  ask(1);
  eventually([&] { return Answers_ == 1; }, "the answer is there");
  eventually([&] { return Lost_ == 1; }, "the connection is closed");
  // A Hello and a frame each way.
  REQUIRE(frames("frames_up") == 2);
  REQUIRE(frames("frames_down") == 2);
}

TEST_CASE_METHOD(ControlConnectionsFixture,
                 "control connection, gone silent for good, is closed when a "
                 "push on it meets no word",
                 "[peernet]") {
  // A middlebox forgets the connection between two processes. What one pushes
  // or reports goes into the void, and nobody answers a push, so nothing tells
  // it. Later pushes must not go the same way.
  PeerNet::Limits L;
  L.ControlIdleAfter_ = Seconds(600);
  connect(L);
  ask(1);
  eventually([&] { return Answers_ == 1; }, "the connection stands");
  Proxy_->setFaults(R"({"silent_existing":true})");
  ask(Unanswered);
  eventually([&] { return Lost_ == 1; }, "the silent connection is closed");
  ask(3);
  eventually([&] { return Answers_ == 2; }, "the next one is answered");
  REQUIRE(Questions_ == 2);
}

TEST_CASE_METHOD(ControlConnectionsFixture,
                 "control connection, its push unanswered but alive, is asked "
                 "for word and stays",
                 "[peernet]") {
  PeerNet::Limits L;
  L.ControlIdleAfter_ = Seconds(600);
  connect(L);
  ask(1);
  eventually([&] { return Answers_ == 1; }, "the connection stands");
  ask(Unanswered);
  eventually([&] { return frames("frames_down") == 3; }, "a pong came");
  ask(3);
  eventually([&] { return Answers_ == 2; }, "the next one is answered");
  REQUIRE(Lost_ == 0);
  REQUIRE(numberAt(Proxy_->counters(), "accepted") == 1);
}
