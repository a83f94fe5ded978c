// The agent of a platform with a store, run as a process beside an engine, with
// an origin of weights.

#include "tests/integration/AgentFixture.h"
#include "tests/integration/EndlessServer.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
constexpr int Pieces = OriginStandIn::Pieces;
} // namespace

TEST_CASE_METHOD(AgentFixture,
                 "store agent, beside an empty engine, loads the first "
                 "version and then each that is published",
                 "[store-agent]") {
  start();
  awaitLoaded(1);
  name(2);
  awaitLoaded(2);
  REQUIRE(Engine_.orders() == 2);
  REQUIRE(Engine_.pieceReads() == 2 * Pieces);
}

// The origin returns wrong bytes, and a piece is corrupted after it was staged.
// Neither may ever be loaded.
TEST_CASE_METHOD(AgentFixture,
                 "store agent, with corrupted reads and a corrupted staged "
                 "piece, loads complete weights only",
                 "[store-agent]") {
  Engine_.corruptOrigin(3);
  Engine_.corruptStagedOnce();
  start();
  awaitLoaded(1);
  REQUIRE(Engine_.orders() == 1);
}

// The engine accepts an order and its answer is lost. A second order would have
// to name the engine's new order count, and none is needed.
TEST_CASE_METHOD(AgentFixture,
                 "store agent, when an order's answer is lost, reads back and "
                 "does not give it twice",
                 "[store-agent]") {
  Engine_.loseOrderAnswers(1);
  start();
  awaitLoaded(1);
  std::this_thread::sleep_for(std::chrono::milliseconds(1200));
  REQUIRE(Engine_.orders() == 1);
}

TEST_CASE_METHOD(AgentFixture,
                 "store agent, when its engine restarts, loads again from "
                 "the pieces it has",
                 "[store-agent]") {
  start();
  awaitLoaded(1);
  int Reads = Engine_.pieceReads();
  Engine_.restart();
  awaitLoaded(1);
  REQUIRE(Engine_.pieceReads() == Reads);
}

// Guards against an agent that has freed its copy of the pieces, takes them for
// staged, and reads them back for ever without replacing the bad one.
TEST_CASE_METHOD(AgentFixture,
                 "store agent, whose engine restarts with a bad staged piece "
                 "after the copies were freed, fetches that piece alone",
                 "[store-agent]") {
  start();
  awaitLoaded(1);
  // Copies are kept for 5 s after a load.
  std::this_thread::sleep_for(Milliseconds(5500));
  int Reads = Engine_.pieceReads();
  int StagedReads = Engine_.stagedReads();
  Engine_.corruptStaged(3);
  Engine_.restart();
  awaitLoaded(1);
  REQUIRE(Engine_.pieceReads() == Reads + 1);
  REQUIRE(Engine_.stagedReads() <= StagedReads + 4 * Pieces);
}

TEST_CASE_METHOD(AgentFixture,
                 "store agent, when it restarts itself, uses the staged "
                 "pieces after checking them",
                 "[store-agent]") {
  start();
  awaitLoaded(1);
  Agent_->kill();
  Agent_->waitExit();
  Engine_.restart();
  int Reads = Engine_.pieceReads();
  start();
  awaitLoaded(1);
  REQUIRE(Engine_.pieceReads() == Reads);
}

// Guards against an engine that sends without end: the agent collected the
// answers until its machine ran out of memory, and with it the only way to the
// engine was gone.
TEST_CASE_METHOD(AgentFixture,
                 "store agent, beside an engine whose answers have no end, "
                 "stays within the memory of its machine",
                 "[store-agent]") {
  constexpr std::size_t MachineMegabytes = 128;
  auto Head = GENERATE(as<std::string>(), "HTTP/1.1 200 OK\r\n\r\n",
                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                       "HTTP/1.1 200 OK\r\nX-A: ");
  CAPTURE(Head);
  EndlessServer Endless(Head);
  start(Endless.address());
  name(2);
  eventually([&] { return Endless.answers() >= 12; },
             "the agent has called its engine many times");
  REQUIRE(Agent_->running());
  CHECK(Agent_->peakMegabytes() < MachineMegabytes);
}
