// The manifest of one weight version: size and digest of its blob, and the
// digests of the chunks that it consists of.
//
//   Manifest M = Manifest::parse(Bytes, VersionDigest("sha256:..."), Origin);
//   M.chunkSpan(7)        // offset and length of chunk 7 in the blob
//   M.verifyChunk(7, Bytes, Sender);     // throws Error(Step::Verify, Sender)
//
// The version is the SHA-256 of the manifest's bytes, so a VM that knows the
// version can accept the manifest, and then every chunk, from any peer.
//
// Invariants of a parsed manifest: the chunks cover the blob exactly, none is
// empty, every digest is well-formed. Limits: MaxChunks chunks of MaxChunkSize
// bytes, so that a chunk fits into one frame of PeerNet and the bitmap of held
// chunks stays small.

#ifndef HAWTHORNROAD_WEIGHTS_MANIFEST_H
#define HAWTHORNROAD_WEIGHTS_MANIFEST_H

#include "hawthornroad/base/Types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornroad {

using ChunkIndex = std::uint32_t;

// Position of a chunk in the blob, in bytes.
struct ChunkSpan {
  std::uint64_t Offset_ = 0;
  std::uint64_t Length_ = 0;
  auto operator<=>(const ChunkSpan &) const = default;
};

class Manifest {
public:
  static constexpr std::size_t MaxChunks = 50000;
  static constexpr std::int64_t MaxChunkSize = 8 * 1024 * 1024;

  // Checks Bytes against Version, then validates the content. Throws
  // Error(Step::Manifest, Peer, ...); Peer is the sender of the bytes.
  static Manifest parse(std::string_view Bytes, const VersionDigest &Version,
                        const std::string &Peer);

  const VersionDigest &version() const { return Version_; }
  const std::string &model() const { return Model_; }
  std::uint64_t size() const { return Size_; }
  std::uint64_t chunkSize() const { return ChunkSize_; }
  // "sha256:..." of the blob.
  const std::string &digest() const { return Digest_; }
  // Path of the blob at the origin.
  const std::string &blob() const { return Blob_; }
  ChunkIndex chunkCount() const {
    return static_cast<ChunkIndex>(Chunks_.size());
  }
  ChunkSpan chunkSpan(ChunkIndex Index) const;
  // Throws Error(Step::Verify, Sender, ...) when Bytes do not match chunk
  // Index.
  void verifyChunk(ChunkIndex Index, std::string_view Bytes,
                   const std::string &Sender) const;

  bool operator==(const Manifest &) const = default;

private:
  VersionDigest Version_;
  std::string Model_;
  std::uint64_t Size_ = 0;
  std::uint64_t ChunkSize_ = 0;
  std::string Digest_;
  std::string Blob_;
  std::vector<std::string> Chunks_;
};

// Whether Text is "sha256:" followed by 64 lower-case hex digits.
bool isSha256Digest(std::string_view Text);

} // namespace hawthornroad

#endif // HAWTHORNROAD_WEIGHTS_MANIFEST_H
