// An origin of weights whose address changes while its weights are transferred.

#include "tests/integration/AgentFixture.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
constexpr int Pieces = OriginStandIn::Pieces;
constexpr int SentFirst = 5;
// Of a version that is named, with an origin that answers.
constexpr Duration LoadBound = Seconds(8);
// Within which an agent without entries learns of a version.
constexpr Duration PollBound = Milliseconds(18200);

// The agent has the first version from an origin that sends some pieces of the
// second and then none.
struct OriginMoveFixture : AgentFixture {
  OriginStandIn First_;
  OriginStandIn Second_;

  OriginMoveFixture() {
    moveOrigin(First_.address());
    start();
    awaitLoaded(1);
  }
  // Returns once the second version's transfer waits for the origin.
  void stallTransfer() {
    First_.silencePiecesAfter(Pieces + SentFirst);
    name(2);
    eventually([&] { return First_.piecesSent() == Pieces + SentFirst; },
               "some pieces of the second version were sent");
  }
};
} // namespace

// Guards against a transfer that stays with the origin that it began with: no
// further version is named, so nothing else replaces it.
TEST_CASE_METHOD(OriginMoveFixture,
                 "store agent, whose origin moves during a transfer, completes "
                 "it from the new address with the pieces that it holds",
                 "[store-agent]") {
  auto IsClosed = GENERATE(true, false);
  CAPTURE(IsClosed);
  stallTransfer();
  if (IsClosed)
    First_.close();
  else
    First_.silence();
  moveOrigin(Second_.address());
  awaitLoaded(2, LoadBound);
  CHECK(Second_.piecesSent() == Pieces - SentFirst);
  CHECK(Agent_->running());
}

// Guards against reads that end after the object that began them was replaced.
TEST_CASE_METHOD(OriginMoveFixture,
                 "store agent, whose origin moves there and back with reads in "
                 "progress, keeps running and loads the newest version",
                 "[store-agent]") {
  constexpr int Moves = 6;
  int Version = 2;
  stallTransfer();
  for (int I = 0; I < Moves; ++I) {
    moveOrigin(I % 2 == 0 ? Engine_.address() : First_.address());
    name(++Version);
    std::this_thread::sleep_for(Milliseconds(700));
    REQUIRE(Agent_->running());
  }
  moveOrigin(Second_.address());
  awaitLoaded(Version, PollBound + LoadBound);
  CHECK(Agent_->running());
}

// Guards against digests that are asked of an address that has gone.
TEST_CASE_METHOD(OriginMoveFixture,
                 "store agent, whose origin moves before the digests of a "
                 "version were read, reads them from the new address",
                 "[store-agent]") {
  First_.silence();
  name(2);
  eventually([&] { return First_.unanswered() > 0; },
             "the digests were asked for");
  moveOrigin(Second_.address());
  awaitLoaded(2, LoadBound);
  CHECK(Second_.piecesSent() == Pieces);
}
