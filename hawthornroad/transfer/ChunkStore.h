// Stores the weights on this VM as files in a memory-backed folder.
//
//   ChunkStore Store("/dev/shm/weights");
//   for (const StoredVersion &V : Store.recover()) ...  // complete, verified
//   std::vector<bool> Held = Store.open(Manifest, Bytes);
//   Store.write(Version, 7, Chunk, Sender);     // verifies, then stores
//   std::string Chunk = Store.read(Version, 7);
//   std::string Path = Store.complete(Version); // verifies the file, renames
//
// A version HEX has HEX.manifest, and HEX.part while it is being fetched or
// HEX.bin once it is complete. Invariants: the engine is only ever given a
// .bin; a .bin is created by a single rename, after the digest of the whole
// file has been verified; a chunk counts as held only after the digest of its
// stored bytes has been verified, so a process killed in the middle of a write
// does no harm.
//
// Calls block and belong on one thread (the agent's file thread). Memory: one
// chunk at a time. Cost of recover() and open(): one hash over the files found.

#ifndef HAWTHORNROAD_TRANSFER_CHUNKSTORE_H
#define HAWTHORNROAD_TRANSFER_CHUNKSTORE_H

#include "hawthornroad/base/Types.h"
#include "hawthornroad/weights/Manifest.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hawthornroad {

// A complete and verified version in the folder.
struct StoredVersion {
  Manifest Manifest_;
  std::string Path_;
  bool operator==(const StoredVersion &) const = default;
};

class ChunkStore {
public:
  // Creates Folder when it is missing.
  explicit ChunkStore(std::string Folder);
  ~ChunkStore();
  ChunkStore(const ChunkStore &) = delete;
  ChunkStore &operator=(const ChunkStore &) = delete;

  // Verifies every complete version found and deletes those that are corrupt.
  std::vector<StoredVersion> recover();
  // Starts or resumes a version; returns which chunks are held and verified.
  // Throws Error(Step::Fetch, path) when the folder has no room.
  std::vector<bool> open(const Manifest &M, std::string_view ManifestBytes);
  // Throws Error(Step::Verify, Sender) and stores nothing when Bytes do not
  // match the chunk's digest.
  void write(const VersionDigest &Version, ChunkIndex Index,
             std::string_view Bytes, const std::string &Sender);
  // Reads a held chunk of a complete version or of one being fetched.
  std::string read(const VersionDigest &Version, ChunkIndex Index);
  // Verifies the digest of the whole file and renames it; returns the path. On
  // a wrong digest deletes the version and throws Error(Step::Verify).
  std::string complete(const VersionDigest &Version);
  void drop(const VersionDigest &Version);
  // Deletes every incomplete version except Keep.
  void dropPartials(const VersionDigest &Keep);
  // Bytes of a version's manifest in the folder; empty when there is none.
  std::string readManifest(const VersionDigest &Version) const;

  // Text kept across restarts of the process but not of the VM; empty when
  // there is none.
  std::string readNote(const VersionDigest &Version) const;
  void writeNote(const VersionDigest &Version, const std::string &Text);

private:
  struct OpenVersion;

  std::string pathOf(const VersionDigest &Version, const char *Suffix) const;
  OpenVersion &find(const VersionDigest &Version);
  void recoverVersion(const VersionDigest &Version,
                      std::vector<StoredVersion> &Out);
  void hashNextChunks(OpenVersion &V, std::size_t MaxChunks);

  std::string Folder_;
  std::map<VersionDigest, std::unique_ptr<OpenVersion>> Open_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRANSFER_CHUNKSTORE_H
