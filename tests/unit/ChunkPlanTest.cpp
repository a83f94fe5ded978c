#include "hawthornroad/weights/ChunkPlan.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
constexpr std::size_t Chunks = 8;
const Vm Near("near"), Second("second"), Far("far");

ChunkSet setOf(std::initializer_list<ChunkIndex> Indices) {
  ChunkSet Out(Chunks);
  for (ChunkIndex I : Indices)
    Out.add(I);
  return Out;
}

struct PlanFixture {
  PlanFixture() {
    Exchange_.watch({{Near, true}, {Second, true}, {Far, false}});
  }
  std::optional<ChunkFetch> next() {
    return Plan_.next(Exchange_, MayCross_, Now_);
  }

  TimePoint Now_{Seconds(100)};
  ChunkSet MayCross_{Chunks};
  HaveExchange Exchange_{ChunkSet(Chunks), {}};
  ChunkPlan Plan_{Chunks, {}, 1};
};
} // namespace

TEST_CASE_METHOD(PlanFixture, "plan asks for the chunk fewest peers hold",
                 "[plan]") {
  Exchange_.onHave(Near, setOf({1, 2, 3}), 0);
  Exchange_.onHave(Second, setOf({1, 2}), 9);
  REQUIRE(next() == ChunkFetch{3, Near});
}

TEST_CASE_METHOD(PlanFixture, "plan asks the peer with the shorter queue",
                 "[plan]") {
  Exchange_.onHave(Near, setOf({1}), 5);
  Exchange_.onHave(Second, setOf({1}), 1);
  REQUIRE(next() == ChunkFetch{1, Second});
}

TEST_CASE_METHOD(PlanFixture,
                 "plan crosses zones only for chunks this VM is to bring",
                 "[plan]") {
  Exchange_.onHave(Far, setOf({1, 2}), 0);
  REQUIRE_FALSE(next());
  MayCross_.add(2);
  REQUIRE(next() == ChunkFetch{2, Far});
  REQUIRE_FALSE(next());
}

TEST_CASE_METHOD(PlanFixture,
                 "plan never has a chunk asked of two peers before "
                 "the end of a transfer",
                 "[plan]") {
  Exchange_.onHave(Near, setOf({1, 2}), 0);
  Exchange_.onHave(Second, setOf({1, 2}), 0);
  auto First = next();
  auto Other = next();
  REQUIRE(First->Chunk_ != Other->Chunk_);
  Now_ += Seconds(1);
  REQUIRE_FALSE(next());
}

TEST_CASE_METHOD(PlanFixture,
                 "plan, at the end of a transfer, asks one more peer for a "
                 "chunk that takes long",
                 "[plan]") {
  // The last chunk waits behind a stalled link while another peer has it:
  // without a second request the VM, and with it the rollout, would wait for
  // the whole timeout.
  for (ChunkIndex I = 0; I + 1 < Chunks; ++I)
    Exchange_.noteHeld(I);
  Exchange_.onHave(Near, setOf({7}), 0);
  Exchange_.onHave(Second, setOf({7}), 0);
  auto First = next();
  REQUIRE(First);
  REQUIRE_FALSE(next());
  Now_ += Seconds(1);
  auto Again = next();
  REQUIRE(Again);
  REQUIRE(Again->From_ != First->From_);
  Now_ += Seconds(1);
  REQUIRE_FALSE(next());
}

TEST_CASE_METHOD(PlanFixture,
                 "plan, when a peer sends a bad chunk or none, asks another",
                 "[plan]") {
  // Requesting the chunk from the same peer over and over would keep the
  // version from ever becoming complete.
  auto End = GENERATE(FetchResult::Bad, FetchResult::Lost, FetchResult::Busy);
  Exchange_.onHave(Near, setOf({1}), 0);
  Exchange_.onHave(Second, setOf({1}), 3);
  REQUIRE(next() == ChunkFetch{1, Near});
  Plan_.finish(1, Near, End, Now_);
  REQUIRE(next() == ChunkFetch{1, Second});
  // A late or duplicate result changes nothing.
  Plan_.finish(1, Near, End, Now_);
  REQUIRE(Plan_.inFlight() == 1);
}

TEST_CASE_METHOD(PlanFixture,
                 "plan, when a request gets no answer in time, frees the chunk",
                 "[plan]") {
  Exchange_.onHave(Near, setOf({1}), 0);
  REQUIRE(next());
  Now_ += Seconds(4);
  REQUIRE(Plan_.expire(Now_).empty());
  Now_ += Seconds(2);
  REQUIRE(Plan_.expire(Now_) == std::vector<ChunkFetch>{{1, Near}});
  REQUIRE_FALSE(next());
  Now_ += Seconds(2);
  REQUIRE(next() == ChunkFetch{1, Near});
}

TEST_CASE_METHOD(PlanFixture,
                 "have exchange, when a peer is lost, forgets what "
                 "it held",
                 "[plan]") {
  REQUIRE(Exchange_.onHave(Near, setOf({1, 2}), 0).size() == 2);
  REQUIRE(Exchange_.onAdded(Second, {2, 99}, 0).empty());
  Exchange_.onLost(Near);
  REQUIRE(Exchange_.anywhere(1) == 0);
  REQUIRE(Exchange_.anywhere(2) == 1);
  Exchange_.onMissing(Second, 2);
  Exchange_.onMissing(Second, 2);
  REQUIRE(Exchange_.anywhere(2) == 0);
}

TEST_CASE_METHOD(PlanFixture,
                 "have exchange tells a new watcher all, then what was added, "
                 "then nothing when its lease lapses",
                 "[plan]") {
  Exchange_.noteHeld(1);
  REQUIRE(Exchange_.onAsk(Near, Now_));
  REQUIRE(Exchange_.dueUpdates(Now_) ==
          std::vector<HaveUpdate>{{Near, true, {}}});
  Exchange_.noteHeld(2);
  REQUIRE(Exchange_.dueUpdates(Now_).empty());
  Now_ += Seconds(1);
  REQUIRE(Exchange_.dueUpdates(Now_) ==
          std::vector<HaveUpdate>{{Near, false, {2}}});
  Exchange_.noteHeld(3);
  Now_ += Seconds(7);
  REQUIRE(Exchange_.dueUpdates(Now_).empty());
}
