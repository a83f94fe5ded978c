#include "hawthornroad/weights/Manifest.h"

#include "hawthornroad/base/Error.h"
#include "hawthornroad/base/Hash.h"
#include "hawthornroad/config/ObjectReader.h"

#include <algorithm>

namespace hawthornroad {

namespace {
constexpr std::int64_t Format = 1;
constexpr std::string_view DigestPrefix = "sha256:";
constexpr std::size_t DigestDigits = 64;
constexpr std::int64_t MaxSize =
    Manifest::MaxChunkSize * static_cast<std::int64_t>(Manifest::MaxChunks);

bool isHexDigit(char C) {
  return (C >= '0' && C <= '9') || (C >= 'a' && C <= 'f');
}

// The blob's path is sent in a request line, so it must not contain spaces or
// control characters.
bool isCleanPath(std::string_view Path) {
  auto IsPlain = [](unsigned char C) { return C > ' ' && C < 127; };
  return Path.starts_with('/') &&
         std::all_of(Path.begin(), Path.end(), IsPlain);
}
} // namespace

bool isSha256Digest(std::string_view Text) {
  if (!Text.starts_with(DigestPrefix))
    return false;
  std::string_view Digits = Text.substr(DigestPrefix.size());
  return Digits.size() == DigestDigits &&
         std::all_of(Digits.begin(), Digits.end(), isHexDigit);
}

Manifest Manifest::parse(std::string_view Bytes, const VersionDigest &Version,
                         const std::string &Peer) {
  // Detects a manifest that was replaced at the origin under the same path: its
  // bytes no longer hash to the declared version.
  std::string Found = sha256(Bytes);
  if (Found != Version.str())
    throw Error(Step::Manifest, Peer,
                "manifest is " + Found + ", declared is " + Version.str());
  JsonNode Root = parseJsonText(Bytes, Peer, Step::Manifest);
  std::vector<Fault> Faults;
  ObjectReader R(Root, "", Faults);
  Manifest M;
  M.Version_ = Version;
  R.integer("format", Format, Format);
  M.Model_ = R.text("model");
  M.Size_ = static_cast<std::uint64_t>(R.integer("size", 1, MaxSize));
  M.ChunkSize_ =
      static_cast<std::uint64_t>(R.integer("chunk_size", 1, MaxChunkSize));
  M.Digest_ = R.text("digest");
  M.Chunks_ = R.texts("chunks");
  M.Blob_ = R.text("blob");
  R.finish();
  if (!isSha256Digest(M.Digest_))
    R.fault("digest", "is no sha256 digest");
  if (!isCleanPath(M.Blob_))
    R.fault("blob", "is no absolute path");
  auto Malformed =
      std::find_if_not(M.Chunks_.begin(), M.Chunks_.end(), isSha256Digest);
  if (Malformed != M.Chunks_.end())
    R.fault("chunks", "item " + std::to_string(Malformed - M.Chunks_.begin()) +
                          " is no sha256 digest");
  if (M.Chunks_.size() > MaxChunks)
    R.fault("chunks", "are more than " + std::to_string(MaxChunks));
  std::uint64_t Needed = (M.Size_ + M.ChunkSize_ - 1) / M.ChunkSize_;
  if (M.Chunks_.size() != Needed)
    R.fault("chunks", "are " + std::to_string(M.Chunks_.size()) +
                          ", size and chunk_size need " +
                          std::to_string(Needed));
  if (!Faults.empty())
    throw TextError(Step::Manifest, Peer, Faults);
  return M;
}

ChunkSpan Manifest::chunkSpan(ChunkIndex Index) const {
  std::uint64_t Offset = Index * ChunkSize_;
  return {Offset, std::min(ChunkSize_, Size_ - Offset)};
}

void Manifest::verifyChunk(ChunkIndex Index, std::string_view Bytes,
                           const std::string &Sender) const {
  if (Index >= Chunks_.size())
    throw Error(Step::Verify, Sender,
                "there is no chunk " + std::to_string(Index));
  std::uint64_t Length = chunkSpan(Index).Length_;
  if (Bytes.size() != Length)
    throw Error(Step::Verify, Sender,
                "chunk " + std::to_string(Index) + " has " +
                    std::to_string(Bytes.size()) + " bytes, not " +
                    std::to_string(Length));
  if (sha256(Bytes) != Chunks_[Index])
    throw Error(Step::Verify, Sender,
                "chunk " + std::to_string(Index) + " has the wrong digest");
}

} // namespace hawthornroad
