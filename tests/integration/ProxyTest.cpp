#include "hawthornroad/peers/PeerNet.h"
#include "tests/integration/Fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <mutex>

using namespace hawthornroad;

namespace {
// A sender and a receiver of numbered frames with a proxy between them. The
// limits prevent time-outs, so that only the proxy decides what arrives.
struct FramesFixture : FakesFixture {
  FramesFixture() {
    std::uint16_t Port = Receiver_.listen("127.0.0.1", 0);
    Proxy_ = &proxy("127.0.0.1:" + std::to_string(Port));
  }
  ~FramesFixture() { Io_.stop(); }

  static PeerNet::Limits limits() {
    PeerNet::Limits L;
    L.PingAfter_ = L.DeadAfter_ = Seconds(600);
    return L;
  }

  void send(Revision Number, bool Fresh = false) {
    wire::ConfigPullT Pull;
    Pull.after = Number;
    PeerAddress To(Proxy_->address());
    auto Frame = makeFrame(std::move(Pull));
    bool Queued = Fresh ? Sender_.sendOnNewConnection(To, Lane::Control, Frame)
                        : Sender_.send(To, Lane::Control, Frame);
    REQUIRE(Queued);
  }

  void recordFrame(const wire::Frame &F) {
    std::lock_guard Guard(Lock_);
    if (F.body_type() == wire::Body::ConfigPull)
      Received_.push_back(F.body_as_ConfigPull()->after());
  }

  std::vector<Revision> received() {
    std::lock_guard Guard(Lock_);
    return Received_;
  }

  void countLost() {
    std::lock_guard Guard(Lock_);
    ++Lost_;
  }

  int lost() {
    std::lock_guard Guard(Lock_);
    return Lost_;
  }

  std::int64_t passedUp() { return numberAt(Proxy_->counters(), "frames_up"); }

  std::mutex Lock_;
  std::vector<Revision> Received_;
  int Lost_ = 0;
  Proxy *Proxy_ = nullptr;
  IoThread Io_{"frames", 1024};
  PeerNet Receiver_{
      Io_,
      {.Process_ = ProcessName("receiver")},
      limits(),
      {.OnFrame_ = [this](const PeerContext &, const wire::Frame &F) {
        recordFrame(F);
      }}};
  PeerNet Sender_{
      Io_,
      {.Process_ = ProcessName("sender"), .Zone_ = AvailabilityZone("a")},
      limits(),
      {.OnFrame_ = [](const PeerContext &, const wire::Frame &) {},
       .OnLost_ = [this](const PeerContext &, const Error &) { countLost(); }}};
};

using Numbers = std::vector<Revision>;
} // namespace

TEST_CASE_METHOD(
    FramesFixture,
    "proxy, told to silence open connections, passes new ones only",
    "[fakes]") {
  send(1);
  eventually([&] { return received() == Numbers{1}; },
             "the first frame has arrived");
  Proxy_->setFaults(R"({"silent_existing":true})");
  Proxy_->setFaults("{}");
  send(2);
  send(3, true);
  eventually([&] { return received().size() == 2; },
             "the frame of the new connection has arrived");
  REQUIRE(received() == Numbers{1, 3});
  REQUIRE(numberAt(Proxy_->counters(), "accepted") == 2);
}

TEST_CASE_METHOD(FramesFixture,
                 "proxy, told to cut after frames, passes exactly so many",
                 "[fakes]") {
  send(1);
  eventually([&] { return received() == Numbers{1}; },
             "the connection is open");
  // The first frame was the Hello of the sender.
  Proxy_->setFaults(R"({"cut_after_frames":{"direction":"up","frames":4}})");
  for (Revision Number : {2, 3, 4, 5})
    send(Number);
  eventually([&] { return lost() == 1; }, "the connection is reset");
  eventually([&] { return received().size() >= 3; },
             "the frames before the cut have arrived");
  REQUIRE(received() == Numbers{1, 2, 3});
}

TEST_CASE_METHOD(
    FramesFixture,
    "proxy, told to duplicate or swap frames, acts on whole frames",
    "[fakes]") {
  Proxy_->setFaults(R"({"duplicate_frames":{"share":1,"direction":"up"}})");
  send(1);
  eventually(
      [&] {
        return received() == Numbers{1, 1};
      },
      "the frame has arrived twice");
  Proxy_->setFaults(R"({"reorder_frames":{"share":1,"direction":"up"}})");
  send(2);
  send(3);
  eventually([&] { return received().size() == 4; },
             "both frames have arrived");
  REQUIRE(received() == Numbers{1, 1, 3, 2});
}

TEST_CASE_METHOD(FramesFixture,
                 "proxy, told to drop a share of the frames, passes the others "
                 "whole and in order",
                 "[fakes]") {
  Proxy_->setFaults(
      R"({"drop_frames":{"share":0.5,"seed":7,"direction":"up"}})");
  constexpr Revision Count = 40;
  for (Revision Number = 1; Number <= Count; ++Number)
    send(Number);
  eventually([&] { return passedUp() == Count + 1; },
             "the proxy has seen all frames");
  // A last frame that is not dropped shows that no frame is still in transit.
  Proxy_->setFaults("{}");
  send(Count + 1);
  eventually(
      [&] { return !received().empty() && received().back() == Count + 1; },
      "the last frame has arrived");
  Numbers Passed = received();
  REQUIRE(std::is_sorted(Passed.begin(), Passed.end()));
  REQUIRE(Passed.size() > Count / 4);
  REQUIRE(Passed.size() < Count * 3 / 4);
}

TEST_CASE_METHOD(FramesFixture,
                 "proxy, black hole removed, passes the delayed frames",
                 "[fakes]") {
  send(1);
  eventually([&] { return received() == Numbers{1}; },
             "the first frame has arrived");
  Proxy_->setFaults(R"({"blackhole":true})");
  send(2);
  eventually([&] { return passedUp() == 3; }, "the proxy has read the frame");
  REQUIRE(received() == Numbers{1});
  REQUIRE(lost() == 0);
  Proxy_->setFaults("{}");
  eventually(
      [&] {
        return received() == Numbers{1, 2};
      },
      "the frame has arrived");
}

TEST_CASE_METHOD(FramesFixture,
                 "proxy, told to cut off a zone, stops frames from that zone "
                 "only",
                 "[fakes]") {
  Proxy_->setFaults(R"({"blackhole_from":{"zones":["b"]}})");
  send(1);
  eventually([&] { return received() == Numbers{1}; },
             "another zone's frame passes");
  Proxy_->setFaults(R"({"blackhole_from":{"zones":["a"]}})");
  send(2);
  eventually([&] { return passedUp() == 3; }, "the proxy has read the frame");
  REQUIRE(received() == Numbers{1});
  Proxy_->setFaults("{}");
  eventually(
      [&] {
        return received() == Numbers{1, 2};
      },
      "the frame has arrived");
}

TEST_CASE_METHOD(FakesFixture,
                 "proxy, told to reset or refuse, ends connections and follows "
                 "a new target",
                 "[fakes]") {
  Fake &Old = fake("service", {"--name", "old", "--work-ms", "60000"});
  Fake &New = fake("service", {"--name", "new"});
  Proxy &Front = proxy("");
  REQUIRE_THROWS_AS(get(Front.address(), "/x"), Error);
  Front.setTarget(Old.address());
  StreamCall Call(Front.address(), {.Target_ = "/x"});
  eventually([&] { return numberAt(Old.counters(), "total") == 1; },
             "the call runs");
  Front.setFaults(R"({"reset":true})");
  REQUIRE_FALSE(Call.wait().Whole_);
  Front.setTarget(New.address());
  Front.setFaults(R"({"refuse":true})");
  REQUIRE_THROWS_AS(get(Front.address(), "/x"), Error);
  Front.setFaults(R"({"delay_ms":20,"jitter_ms":10,"rate":1000000})");
  REQUIRE(get(Front.address(), "/x").Status_ == 200);
  REQUIRE(numberAt(New.counters(), "total") == 1);
}
