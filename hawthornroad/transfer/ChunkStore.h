// Weights on this VM: files in a memory-backed folder.
//
//   ChunkStore Store("/dev/shm/weights");
//   for (const StoredVersion &V : Store.recover()) ...  // whole and verified
//   std::vector<bool> Held = Store.open(Manifest, Bytes);
//   Store.write(Version, 7, Chunk, Sender);     // verifies, then keeps
//   std::string Chunk = Store.read(Version, 7);
//   std::string Path = Store.complete(Version); // verifies the whole, renames
//
// A version HEX has HEX.manifest, and HEX.part while it is being fetched or
// HEX.bin once it is whole. Invariants: the engine is only ever given a .bin;
// a .bin appears by one rename, after the digest of the whole was seen to be
// right; a chunk is counted only after its digest was checked on the bytes
// kept, so a predecessor killed in the middle of a write is harmless.
//
// Blocking, and for one thread (the agent's file thread). Memory: one chunk at
// a time. Cost of recover() and open(): one hash over what is there.

#ifndef HAWTHORNROAD_TRANSFER_CHUNKSTORE_H
#define HAWTHORNROAD_TRANSFER_CHUNKSTORE_H

#include "hawthornroad/base/Types.h"
#include "hawthornroad/weights/Manifest.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hawthornroad {

// A version that lies whole and verified in the folder.
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

  // Verifies every whole version found and drops those that are not right.
  std::vector<StoredVersion> recover();
  // Begins or resumes a version; returns which chunks are there and verified.
  // Throws Error(Step::Fetch, path) when the folder has no room.
  std::vector<bool> open(const Manifest &M, std::string_view ManifestBytes);
  // Throws Error(Step::Verify, Sender) and keeps nothing when Bytes are wrong.
  void write(const VersionDigest &Version, ChunkIndex Index,
             std::string_view Bytes, const std::string &Sender);
  // A chunk held, of a whole version or one being fetched.
  std::string read(const VersionDigest &Version, ChunkIndex Index);
  // Checks the digest of the whole and renames; returns the path. On a wrong
  // digest drops the version and throws Error(Step::Verify).
  std::string complete(const VersionDigest &Version);
  void drop(const VersionDigest &Version);
  // Drops every version that is not whole, but Keep.
  void dropPartials(const VersionDigest &Keep);
  // The manifest's bytes of a version in the folder; empty when there is none.
  std::string readManifest(const VersionDigest &Version) const;

  // A note that outlives the process but not the VM; empty when there is none.
  std::string readNote(const VersionDigest &Version) const;
  void writeNote(const VersionDigest &Version, const std::string &Text);

private:
  struct OpenVersion;

  std::string pathOf(const VersionDigest &Version, const char *Suffix) const;
  OpenVersion &find(const VersionDigest &Version);
  void recoverOne(const VersionDigest &Version,
                  std::vector<StoredVersion> &Out);
  void advancePrefix(OpenVersion &V, std::size_t MaxChunks);

  std::string Folder_;
  std::map<VersionDigest, std::unique_ptr<OpenVersion>> Open_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRANSFER_CHUNKSTORE_H
