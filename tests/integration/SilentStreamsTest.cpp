// Streams whose events stop for a while although nothing is wrong with their
// endpoints.

#include "tests/integration/PlatformFixture.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>
#include <numeric>

using namespace hawthornroad;

namespace {
// As many as the entry opens connections for: six to each endpoint.
constexpr std::size_t Streams = 12;
// Longer than an entry waits for an event before it looks for another endpoint.
constexpr Duration Pause = Milliseconds(1300);
constexpr Duration UsualPause = Milliseconds(250);

struct SilentStreamsFixture : PlatformFixture {
  std::vector<std::unique_ptr<StreamCall>> Calls_;

  SilentStreamsFixture() {
    pauseEvents(UsualPause);
    list(A_);
    list(B_);
    configure();
  }
  // With places for all streams.
  void list(const EndpointStandIn &E) {
    boost::json::object Row = boost::json::parse(E.row()).as_object();
    Row["slots"] = 8 * Streams;
    Store_.put("servers", E.id(), boost::json::serialize(Row));
  }
  void pauseEvents(Duration D) {
    A_.setEventPause(D);
    B_.setEventPause(D);
  }
  void startStreams() {
    for (std::size_t I = 0; I < Streams; ++I)
      Calls_.push_back(std::make_unique<StreamCall>(
          callers(), request("/stream/1", "key1", "s" + std::to_string(I))));
    eventually([&] { return begun() == Streams; }, "all streams have begun");
  }
  std::size_t begun() const {
    return std::accumulate(Calls_.begin(), Calls_.end(), std::size_t{0},
                           [](std::size_t Sum, const auto &Each) {
                             return Sum + !Each->resultSoFar().Events_.empty();
                           });
  }
  // How many streams their callers received with every event once, in order.
  std::size_t whole() {
    std::vector<std::string> Expected;
    for (int I = 1; I <= Events; ++I)
      Expected.push_back("e" + std::to_string(I));
    std::size_t Out = 0;
    for (const auto &Each : Calls_) {
      StreamResult R = Each->wait();
      Out += R.Whole_ && R.Events_ == Expected;
    }
    return Out;
  }
};
} // namespace

// Guards against the loss of many answers at once after an entry had no
// processor for a while: all of its streams looked silent, and only few could
// go on elsewhere.
TEST_CASE_METHOD(SilentStreamsFixture,
                 "store entry, after a pause of its process, delivers every "
                 "stream whole") {
  Process &Entry = startEntry();
  eventually([&] { return isReady(); }, "the entry is ready");
  startStreams();
  Entry.freeze();
  std::this_thread::sleep_for(Pause);
  Entry.resume();
  REQUIRE(whole() == Streams);
}

// Guards against the loss of sound answers whose endpoints pause: each was
// given up for a place elsewhere that was not to be had.
TEST_CASE_METHOD(SilentStreamsFixture,
                 "store entry, whose endpoints pause longer than it waits for "
                 "an event, delivers every stream whole") {
  startEntry();
  eventually([&] { return isReady(); }, "the entry is ready");
  startStreams();
  // Longer than the usual pause and shorter than the long one, so that each
  // stream has one long pause.
  pauseEvents(Pause);
  std::this_thread::sleep_for(Milliseconds(500));
  pauseEvents(UsualPause);
  REQUIRE(whole() == Streams);
}
