#include "hawthornroad/weights/UploadScheduler.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
const VersionDigest Version("sha256:x");
constexpr std::uint64_t Bytes = 1000;

Upload upload(const char *Peer, ChunkIndex Chunk) {
  return {Vm(Peer), Version, Chunk};
}
} // namespace

TEST_CASE("uploads, when one peer asks for much, still take turns",
          "[uploads]") {
  // A peer on a fast link fills its queue; without round-robin the others would
  // wait until it is served.
  UploadScheduler S({.Active_ = 100}, 0);
  for (ChunkIndex I = 0; I < 4; ++I)
    REQUIRE(S.request(upload("greedy", I)));
  REQUIRE_FALSE(S.request(upload("greedy", 4)));
  REQUIRE(S.request(upload("other", 0)));
  TimePoint Now{};
  REQUIRE(S.next(Bytes, Now) == upload("greedy", 0));
  REQUIRE(S.next(Bytes, Now) == upload("other", 0));
  REQUIRE(S.next(Bytes, Now) == upload("greedy", 1));
}

TEST_CASE("uploads, however many peers ask, are bounded", "[uploads]") {
  UploadScheduler S({.Active_ = 2, .Total_ = 3}, 0);
  TimePoint Now{};
  REQUIRE(S.request(upload("a", 0)));
  REQUIRE(S.request(upload("b", 0)));
  REQUIRE(S.request(upload("b", 0)));
  REQUIRE(S.request(upload("c", 0)));
  REQUIRE_FALSE(S.request(upload("d", 0)));
  REQUIRE(S.next(Bytes, Now));
  REQUIRE(S.next(Bytes, Now));
  REQUIRE_FALSE(S.next(Bytes, Now));
  S.finish(upload("a", 0));
  REQUIRE(S.next(Bytes, Now) == upload("c", 0));
  S.forget(Vm("b"));
  S.forget(Vm("c"));
  REQUIRE(S.load() == 0);
}

TEST_CASE("uploads, when a peer never acknowledges, free its place in time",
          "[uploads]") {
  // The peer died with the chunk in its socket: without a time limit each such
  // death would occupy a slot permanently, until no uploads are served.
  UploadScheduler S({.Active_ = 1, .AckTimeout_ = Seconds(30)}, 0);
  TimePoint Now{};
  S.request(upload("dead", 0));
  S.request(upload("live", 0));
  REQUIRE(S.next(Bytes, Now) == upload("dead", 0));
  REQUIRE_FALSE(S.next(Bytes, Now + Seconds(29)));
  REQUIRE(S.next(Bytes, Now + Seconds(30)) == upload("live", 0));
}

TEST_CASE("rate limiter, over any long span, keeps to its rate", "[uploads]") {
  auto ChunkBytes = GENERATE(std::uint64_t{10}, std::uint64_t{5000});
  RateLimiter Limiter(1000);
  std::uint64_t Taken = 0;
  TimePoint Start{Seconds(5)};
  for (TimePoint Now = Start; Now < Start + Seconds(100);
       Now += Milliseconds(1))
    if (Limiter.isOpen(Now)) {
      Limiter.take(ChunkBytes, Now);
      Taken += ChunkBytes;
    }
  REQUIRE(Taken <= 100'000 + ChunkBytes + 50);
  REQUIRE(Taken >= 100'000 - ChunkBytes);
  REQUIRE(RateLimiter(0).isOpen(Start));
}
