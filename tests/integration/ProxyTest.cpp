#include "hawthornroad/peers/PeerNet.h"
#include "tests/integration/Fixture.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <mutex>

using namespace hawthornroad;

namespace {
// A sender and a receiver of numbered frames with a proxy between them. The
// limits let nothing time out: what arrives or not is the proxy's doing.
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

  void note(const wire::Frame &F) {
    std::lock_guard Guard(Lock_);
    if (F.body_type() == wire::Body::ConfigPull)
      Got_.push_back(F.body_as_ConfigPull()->after());
  }

  std::vector<Revision> got() {
    std::lock_guard Guard(Lock_);
    return Got_;
  }

  void noteLost() {
    std::lock_guard Guard(Lock_);
    ++Lost_;
  }

  int lost() {
    std::lock_guard Guard(Lock_);
    return Lost_;
  }

  std::int64_t passedUp() { return numberAt(Proxy_->counters(), "frames_up"); }

  std::mutex Lock_;
  std::vector<Revision> Got_;
  int Lost_ = 0;
  Proxy *Proxy_ = nullptr;
  IoThread Io_{"frames", 1024};
  PeerNet Receiver_{Io_,
                    {.Process_ = ProcessName("receiver")},
                    limits(),
                    {.OnFrame_ = [this](const PeerContext &,
                                        const wire::Frame &F) { note(F); }}};
  PeerNet Sender_{
      Io_,
      {.Process_ = ProcessName("sender"), .Zone_ = AvailabilityZone("a")},
      limits(),
      {.OnFrame_ = [](const PeerContext &, const wire::Frame &) {},
       .OnLost_ = [this](const PeerContext &, const Error &) { noteLost(); }}};
};

using Numbers = std::vector<Revision>;
} // namespace

TEST_CASE_METHOD(
    FramesFixture,
    "proxy, told to silence open connections, passes new ones only",
    "[fakes]") {
  send(1);
  eventually([&] { return got() == Numbers{1}; }, "the first frame is there");
  Proxy_->setFaults(R"({"silent_existing":true})");
  Proxy_->setFaults("{}");
  send(2);
  send(3, true);
  eventually([&] { return got().size() == 2; }, "the fresh frame is there");
  REQUIRE(got() == Numbers{1, 3});
  REQUIRE(numberAt(Proxy_->counters(), "accepted") == 2);
}

TEST_CASE_METHOD(FramesFixture,
                 "proxy, told to cut after frames, passes exactly so many",
                 "[fakes]") {
  send(1);
  eventually([&] { return got() == Numbers{1}; }, "the connection stands");
  // The sender's Hello was the first frame.
  Proxy_->setFaults(R"({"cut_after_frames":{"direction":"up","frames":4}})");
  for (Revision Number : {2, 3, 4, 5})
    send(Number);
  eventually([&] { return lost() == 1; }, "the connection is reset");
  eventually([&] { return got().size() >= 3; }, "what passed is there");
  REQUIRE(got() == Numbers{1, 2, 3});
}

TEST_CASE_METHOD(FramesFixture,
                 "proxy, told to double or swap frames, does so to whole ones",
                 "[fakes]") {
  Proxy_->setFaults(R"({"duplicate_frames":{"share":1,"direction":"up"}})");
  send(1);
  eventually([&] { return got() == Numbers{1, 1}; }, "it came twice");
  Proxy_->setFaults(R"({"reorder_frames":{"share":1,"direction":"up"}})");
  send(2);
  send(3);
  eventually([&] { return got().size() == 4; }, "both are there");
  REQUIRE(got() == Numbers{1, 1, 3, 2});
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
  // A last frame that is not dropped shows that none is under way.
  Proxy_->setFaults("{}");
  send(Count + 1);
  eventually([&] { return !got().empty() && got().back() == Count + 1; },
             "the last frame is there");
  Numbers Passed = got();
  REQUIRE(std::is_sorted(Passed.begin(), Passed.end()));
  REQUIRE(Passed.size() > Count / 4);
  REQUIRE(Passed.size() < Count * 3 / 4);
}

TEST_CASE_METHOD(FramesFixture,
                 "proxy, black hole lifted, passes what had waited",
                 "[fakes]") {
  send(1);
  eventually([&] { return got() == Numbers{1}; }, "the first frame is there");
  Proxy_->setFaults(R"({"blackhole":true})");
  send(2);
  eventually([&] { return passedUp() == 3; }, "the proxy has read the frame");
  REQUIRE(got() == Numbers{1});
  REQUIRE(lost() == 0);
  Proxy_->setFaults("{}");
  eventually([&] { return got() == Numbers{1, 2}; }, "the frame is there");
}

TEST_CASE_METHOD(FramesFixture,
                 "proxy, told to cut off a zone, stops frames from that zone "
                 "only",
                 "[fakes]") {
  Proxy_->setFaults(R"({"blackhole_from":{"zones":["b"]}})");
  send(1);
  eventually([&] { return got() == Numbers{1}; },
             "another zone's frame passes");
  Proxy_->setFaults(R"({"blackhole_from":{"zones":["a"]}})");
  send(2);
  eventually([&] { return passedUp() == 3; }, "the proxy has read the frame");
  REQUIRE(got() == Numbers{1});
  Proxy_->setFaults("{}");
  eventually([&] { return got() == Numbers{1, 2}; }, "the frame is there");
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
