#include "hawthornroad/transfer/ChunkStore.h"

#include "hawthornroad/base/Error.h"
#include "hawthornroad/base/Hash.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace hawthornroad {

namespace fs = std::filesystem;

namespace {
constexpr const char *ManifestSuffix = ".manifest";
constexpr const char *PartSuffix = ".part";
constexpr const char *CompleteSuffix = ".bin";
constexpr const char *NoteSuffix = ".note";
constexpr const char *NewSuffix = ".new";
constexpr std::size_t DigestPrefixLength = 7; // "sha256:"
// Chunks added to the running hash of the whole file after each write: two, so
// that the hash catches up while chunks arrive and little is left at the end.
constexpr std::size_t ChunksHashedPerWrite = 2;

[[noreturn]] void throwFileError(const std::string &Path,
                                 const std::string &What) {
  throw Error(Step::Fetch, Path, What + ": " + std::strerror(errno));
}

std::string readFile(const std::string &Path) {
  std::ifstream In(Path, std::ios::binary);
  std::ostringstream Out;
  Out << In.rdbuf();
  return Out.str();
}

// Writes a temporary file and renames it, so that a process killed midway
// leaves either the old file or the new one.
void replaceFile(const std::string &Path, std::string_view Bytes) {
  std::string New = Path + NewSuffix;
  {
    std::ofstream Out(New, std::ios::binary | std::ios::trunc);
    Out.write(Bytes.data(), static_cast<std::streamsize>(Bytes.size()));
    Out.flush();
    if (!Out)
      throwFileError(New, "cannot write");
  }
  fs::rename(New, Path);
}

class File {
public:
  File(std::string Path, int Flags) : Path_(std::move(Path)) {
    Handle_ = ::open(Path_.c_str(), Flags | O_CLOEXEC, 0644);
    if (Handle_ < 0)
      throwFileError(Path_, "cannot open");
  }
  ~File() { ::close(Handle_); }
  File(const File &) = delete;
  File &operator=(const File &) = delete;

  // Returns fewer bytes at the end of the file.
  std::string read(ChunkSpan Span) const {
    std::string Bytes(Span.Length_, '\0');
    std::size_t Got = 0;
    while (Got < Bytes.size()) {
      ssize_t N = ::pread(Handle_, Bytes.data() + Got, Bytes.size() - Got,
                          static_cast<off_t>(Span.Offset_ + Got));
      if (N < 0 && errno == EINTR)
        continue;
      if (N < 0)
        throwFileError(Path_, "cannot read");
      if (N == 0)
        break;
      Got += static_cast<std::size_t>(N);
    }
    Bytes.resize(Got);
    return Bytes;
  }

  void write(std::uint64_t Offset, std::string_view Bytes) const {
    while (!Bytes.empty()) {
      ssize_t N = ::pwrite(Handle_, Bytes.data(), Bytes.size(),
                           static_cast<off_t>(Offset));
      if (N < 0 && errno == EINTR)
        continue;
      if (N < 0)
        throwFileError(Path_, "cannot write");
      Offset += static_cast<std::uint64_t>(N);
      Bytes.remove_prefix(static_cast<std::size_t>(N));
    }
  }

  void resize(std::uint64_t Size) const {
    if (::ftruncate(Handle_, static_cast<off_t>(Size)) != 0)
      throwFileError(Path_, "cannot resize");
  }

private:
  std::string Path_;
  int Handle_ = -1;
};

bool matchesDigest(const Manifest &M, ChunkIndex Index,
                   const std::string &Bytes) {
  try {
    M.verifyChunk(Index, Bytes, {});
    return true;
  } catch (const Error &) {
    return false;
  }
}

std::string digestOf(const File &F, const Manifest &M) {
  Sha256 Hash;
  for (ChunkIndex I = 0; I < M.chunkCount(); ++I)
    Hash.update(F.read(M.chunkSpan(I)));
  return Hash.finish();
}
} // namespace

struct ChunkStore::OpenVersion {
  OpenVersion(Manifest M, const std::string &Path, int Flags)
      : Manifest_(std::move(M)), File_(Path, Flags),
        Held_(Manifest_.chunkCount(), false) {}

  Manifest Manifest_;
  File File_;
  std::vector<bool> Held_;
  // Running hash of the first Hashed_ chunks of the file.
  Sha256 RunningHash_;
  ChunkIndex Hashed_ = 0;
};

ChunkStore::ChunkStore(std::string Folder) : Folder_(std::move(Folder)) {
  fs::create_directories(Folder_);
}

ChunkStore::~ChunkStore() = default;

std::string ChunkStore::pathOf(const VersionDigest &Version,
                               const char *Suffix) const {
  return Folder_ + "/" + Version.str().substr(DigestPrefixLength) + Suffix;
}

ChunkStore::OpenVersion &ChunkStore::find(const VersionDigest &Version) {
  auto Found = Open_.find(Version);
  if (Found == Open_.end())
    throw Error(Step::Fetch, Version.str(), "version is not held");
  return *Found->second;
}

std::vector<StoredVersion> ChunkStore::recover() {
  std::vector<StoredVersion> Out;
  std::vector<VersionDigest> Candidates;
  for (const fs::directory_entry &Entry : fs::directory_iterator(Folder_)) {
    std::string Digest = "sha256:" + Entry.path().stem().string();
    if (Entry.path().extension() == CompleteSuffix && isSha256Digest(Digest))
      Candidates.emplace_back(Digest);
  }
  for (const VersionDigest &Version : Candidates)
    recoverVersion(Version, Out);
  return Out;
}

void ChunkStore::recoverVersion(const VersionDigest &Version,
                                std::vector<StoredVersion> &Out) {
  std::string Path = pathOf(Version, CompleteSuffix);
  try {
    std::string ManifestPath = pathOf(Version, ManifestSuffix);
    Manifest M = Manifest::parse(readFile(ManifestPath), Version, ManifestPath);
    auto Opened = std::make_unique<OpenVersion>(M, Path, O_RDONLY);
    if (fs::file_size(Path) != M.size() ||
        digestOf(Opened->File_, M) != M.digest())
      throw Error(Step::Verify, Path, "complete file has the wrong digest");
    Opened->Held_.assign(M.chunkCount(), true);
    Open_[Version] = std::move(Opened);
    Out.push_back({std::move(M), Path});
  } catch (const Error &) {
    drop(Version);
  }
}

std::vector<bool> ChunkStore::open(const Manifest &M,
                                   std::string_view ManifestBytes) {
  if (auto Found = Open_.find(M.version()); Found != Open_.end())
    return Found->second->Held_;
  replaceFile(pathOf(M.version(), ManifestSuffix), ManifestBytes);
  auto Opened = std::make_unique<OpenVersion>(
      M, pathOf(M.version(), PartSuffix), O_RDWR | O_CREAT);
  Opened->File_.resize(M.size());
  for (ChunkIndex I = 0; I < M.chunkCount(); ++I)
    Opened->Held_[I] = matchesDigest(M, I, Opened->File_.read(M.chunkSpan(I)));
  std::vector<bool> Held = Opened->Held_;
  Open_[M.version()] = std::move(Opened);
  return Held;
}

void ChunkStore::write(const VersionDigest &Version, ChunkIndex Index,
                       std::string_view Bytes, const std::string &Sender) {
  OpenVersion &V = find(Version);
  V.Manifest_.verifyChunk(Index, Bytes, Sender);
  // A chunk received twice must not be rewritten: a peer may be reading it.
  if (V.Held_[Index])
    return;
  V.File_.write(V.Manifest_.chunkSpan(Index).Offset_, Bytes);
  V.Held_[Index] = true;
  hashNextChunks(V, ChunksHashedPerWrite);
}

void ChunkStore::hashNextChunks(OpenVersion &V, std::size_t MaxChunks) {
  for (; MaxChunks > 0; --MaxChunks) {
    if (V.Hashed_ == V.Manifest_.chunkCount() || !V.Held_[V.Hashed_])
      return;
    V.RunningHash_.update(V.File_.read(V.Manifest_.chunkSpan(V.Hashed_)));
    ++V.Hashed_;
  }
}

std::string ChunkStore::read(const VersionDigest &Version, ChunkIndex Index) {
  OpenVersion &V = find(Version);
  if (Index >= V.Held_.size() || !V.Held_[Index])
    throw Error(Step::Fetch, Version.str(),
                "chunk " + std::to_string(Index) + " is not held");
  return V.File_.read(V.Manifest_.chunkSpan(Index));
}

std::string ChunkStore::complete(const VersionDigest &Version) {
  std::string Whole = pathOf(Version, CompleteSuffix);
  if (fs::exists(Whole))
    return Whole;
  OpenVersion &V = find(Version);
  hashNextChunks(V, V.Held_.size());
  if (V.Hashed_ != V.Manifest_.chunkCount())
    throw Error(Step::Verify, Whole, "chunks are missing");
  std::string Digest = V.RunningHash_.finish();
  std::string Expected = V.Manifest_.digest();
  if (Digest != Expected) {
    drop(Version);
    throw Error(Step::Verify, Whole,
                "whole is " + Digest + ", manifest says " + Expected);
  }
  fs::rename(pathOf(Version, PartSuffix), Whole);
  return Whole;
}

void ChunkStore::drop(const VersionDigest &Version) {
  Open_.erase(Version);
  std::error_code Ignored;
  for (const char *Suffix :
       {CompleteSuffix, PartSuffix, NoteSuffix, ManifestSuffix})
    fs::remove(pathOf(Version, Suffix), Ignored);
}

void ChunkStore::dropPartials(const VersionDigest &Keep) {
  std::vector<VersionDigest> Partial;
  for (const fs::directory_entry &Entry : fs::directory_iterator(Folder_)) {
    VersionDigest Version("sha256:" + Entry.path().stem().string());
    if (Entry.path().extension() == PartSuffix &&
        isSha256Digest(Version.str()) && Version != Keep)
      Partial.push_back(Version);
  }
  for (const VersionDigest &Version : Partial)
    drop(Version);
}

std::string ChunkStore::readManifest(const VersionDigest &Version) const {
  return isSha256Digest(Version.str())
             ? readFile(pathOf(Version, ManifestSuffix))
             : std::string();
}

std::string ChunkStore::readNote(const VersionDigest &Version) const {
  return readFile(pathOf(Version, NoteSuffix));
}

void ChunkStore::writeNote(const VersionDigest &Version,
                           const std::string &Text) {
  replaceFile(pathOf(Version, NoteSuffix), Text);
}

} // namespace hawthornroad
