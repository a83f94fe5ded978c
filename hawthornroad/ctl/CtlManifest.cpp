#include "hawthornroad/base/Error.h"
#include "hawthornroad/base/Hash.h"
#include "hawthornroad/config/Names.h"
#include "hawthornroad/ctl/CtlCommands.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>

namespace hawthornroad {

namespace json = boost::json;

namespace {
constexpr std::int64_t ManifestFormat = 1;
// A manifest of more chunks exceeds an agent's memory budget.
constexpr std::size_t MaxChunks = 1000000;

// Reads the file one chunk at a time, so that memory use is one chunk whatever
// the size of the weights.
json::object describeBlob(const CtlOptions &O) {
  std::ifstream In(O.Blob_, std::ios::binary);
  if (!In)
    throw Error(Step::Manifest, O.Blob_, "cannot be opened");
  Sha256 BlobDigest;
  json::array Chunks;
  std::int64_t Size = 0;
  std::string Buffer(static_cast<std::size_t>(O.ChunkSize_), '\0');
  while (In.read(Buffer.data(), O.ChunkSize_), In.gcount() > 0) {
    std::string_view Chunk(Buffer.data(),
                           static_cast<std::size_t>(In.gcount()));
    BlobDigest.update(Chunk);
    Chunks.emplace_back(sha256(Chunk));
    Size += In.gcount();
    if (Chunks.size() > MaxChunks)
      throw Error(Step::Manifest, O.Blob_,
                  "makes more than " + std::to_string(MaxChunks) +
                      " chunks; choose a larger --chunk-size");
  }
  if (In.bad())
    throw Error(Step::Manifest, O.Blob_, "cannot be read");
  if (Size == 0)
    throw Error(Step::Manifest, O.Blob_, "is empty");
  return {{"format", ManifestFormat},
          {"model", O.Model_},
          {"size", Size},
          {"chunk_size", O.ChunkSize_},
          {"digest", BlobDigest.finish()},
          {"chunks", std::move(Chunks)},
          {"blob", O.Path_}};
}

void writeFile(const std::string &File, const std::string &Text) {
  std::ofstream Out(File, std::ios::binary | std::ios::trunc);
  Out << Text;
  Out.close();
  if (!Out)
    throw Error(Step::Manifest, File, "cannot be written");
}
} // namespace

CtlExit ctlManifest(const CtlOptions &O, CtlPrinter &P) {
  if (!isName(O.Model_))
    throw UsageError("--model: expected letters, digits and \"._-\"");
  if (O.Path_.empty() || O.Path_.front() != '/')
    throw UsageError("--path: expected a path that begins with \"/\"");
  json::object Manifest = describeBlob(O);
  std::string Text = json::serialize(Manifest);
  std::string Version = sha256(Text);
  if (!O.Out_.empty())
    writeFile(O.Out_, Text);
  P.line(Version);
  P.result({{"version", Version}, {"manifest", std::move(Manifest)}});
  return CtlExit::Done;
}

} // namespace hawthornroad
