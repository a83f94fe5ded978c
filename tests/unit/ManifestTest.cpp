#include "hawthornroad/weights/Manifest.h"

#include "hawthornroad/base/Error.h"
#include "hawthornroad/base/Hash.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
const std::string Peer = "127.0.0.1:9000";

std::string chunkDigests(std::size_t Count) {
  std::string Out;
  for (std::size_t I = 0; I < Count; ++I)
    Out +=
        (I == 0 ? "\"" : ",\"") + sha256(std::string(1, 'a' + char(I))) + "\"";
  return Out;
}

struct Text {
  std::string Format_ = "1";
  std::string Size_ = "3";
  std::string ChunkSize_ = "1";
  std::string Digest_ = sha256("abc");
  std::string Chunks_ = chunkDigests(3);
  std::string Blob_ = "/m/weights.bin";

  std::string str() const {
    return R"({"format":)" + Format_ + R"(,"model":"m","size":)" + Size_ +
           R"(,"chunk_size":)" + ChunkSize_ + R"(,"digest":")" + Digest_ +
           R"(","chunks":[)" + Chunks_ + R"(],"blob":")" + Blob_ + R"("})";
  }
};

Manifest parse(const std::string &Bytes) {
  return Manifest::parse(Bytes, VersionDigest(sha256(Bytes)), Peer);
}
} // namespace

TEST_CASE("manifest, when well-formed, covers the whole with its chunks",
          "[manifest]") {
  Manifest M = parse(Text{.Size_ = "5", .ChunkSize_ = "2"}.str());
  REQUIRE(M.chunkCount() == 3);
  REQUIRE(M.chunkSpan(0) == ChunkSpan{0, 2});
  REQUIRE(M.chunkSpan(2) == ChunkSpan{4, 1});
}

TEST_CASE("manifest, when malformed, is refused naming step and peer",
          "[manifest]") {
  // A version whose manifest was written incorrectly never starts; the error
  // must name where the manifest came from and what is wrong with it.
  auto [Bytes, ExpectedText] = GENERATE(table<std::string, std::string>({
      {"", "manifest"},
      {"not json", "manifest"},
      {Text{.Format_ = "2"}.str(), "format"},
      {Text{.Size_ = "0"}.str(), "size"},
      {Text{.Size_ = "-3"}.str(), "size"},
      {Text{.Size_ = "4"}.str(), "chunks: are 3"},
      {Text{.Size_ = "2"}.str(), "chunks: are 3"},
      {Text{.Size_ = "9223372036854775807"}.str(), "size"},
      {Text{.Size_ = "409600000000", .ChunkSize_ = "1"}.str(), "chunks: are 3"},
      {Text{.ChunkSize_ = "0"}.str(), "chunk_size"},
      {Text{.ChunkSize_ = "8388609"}.str(), "chunk_size"},
      {Text{.Chunks_ = ""}.str(), "chunks: are 0"},
      {Text{.Chunks_ = chunkDigests(2)}.str(), "chunks: are 2"},
      {Text{.Chunks_ = chunkDigests(2) + ",\"md5:00\""}.str(), "item 2"},
      {Text{.Digest_ = "md5:900150983cd24fb0d6963f7d28e17f72"}.str(), "digest"},
      {Text{.Blob_ = "weights.bin"}.str(), "blob"},
      {Text{.Blob_ = "/a HTTP/1.1"}.str(), "blob"},
  }));
  CAPTURE(Bytes);
  try {
    parse(Bytes);
    FAIL("was accepted");
  } catch (const Error &E) {
    REQUIRE(E.step() == Step::Manifest);
    REQUIRE_THAT(std::string(E.what()), Catch::Contains(Peer));
    REQUIRE_THAT(std::string(E.what()), Catch::Contains(ExpectedText));
  }
}

TEST_CASE("manifest, when it is not the declared version, is refused",
          "[manifest]") {
  // An operator overwrites the manifest at the origin while VMs fetch it: a VM
  // that accepted the new bytes would stage chunks of another version under the
  // declared name.
  VersionDigest Declared(sha256(Text{}.str()));
  std::string Replaced = Text{.Blob_ = "/m/other.bin"}.str();
  REQUIRE_THROWS_WITH(Manifest::parse(Replaced, Declared, Peer),
                      Catch::Contains("declared is " + Declared.str()) &&
                          Catch::Contains(Peer));
}

TEST_CASE("chunk, when truncated, corrupted or out of range, is refused",
          "[manifest]") {
  Manifest M = parse(Text{}.str());
  REQUIRE_NOTHROW(M.verifyChunk(1, "b", Peer));
  auto [Index, Bytes] = GENERATE(table<ChunkIndex, std::string>(
      {{1, ""}, {1, "bb"}, {1, "c"}, {0, "b"}, {3, "d"}}));
  try {
    M.verifyChunk(Index, Bytes, Peer);
    FAIL("was accepted");
  } catch (const Error &E) {
    REQUIRE(E.step() == Step::Verify);
    REQUIRE(E.peer() == Peer);
  }
}
