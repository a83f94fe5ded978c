// Access to the pieces that are staged at an engine. StagedPieceReader reads
// them back and checks their digests:
//
//   StagedPieceReader::run(Engine, Model, Pieces, Digests, PieceBytes,
//                          [](StagedPieceReader::Result R) {...});
//
// StagedPieceWriter stages pieces, one call each:
//
//   StagedPieceWriter::run(Engine, Model, Pieces, [](bool All) {...});
//
// Cost: a local call and a SHA-256 per piece; 2.4 MB take some 20 ms.

#ifndef HAWTHORNROAD_AGENT_STAGEDPIECES_H
#define HAWTHORNROAD_AGENT_STAGEDPIECES_H

#include "hawthornroad/http/HttpCalls.h"
#include "hawthornroad/staging/EngineUpdater.h"
#include "hawthornroad/weights/ChunkSet.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hawthornroad {

class StagedPieceReader
    : public std::enable_shared_from_this<StagedPieceReader> {
public:
  struct Result {
    // Contents of the pieces that match their digests.
    std::map<ChunkIndex, std::string> Matching_;
    // Pieces for which the engine did not answer.
    std::size_t Unread_ = 0;
  };
  using Done = std::function<void(Result)>;

  // PieceBytes: of the largest piece; a longer answer counts as none.
  static void run(HttpCalls &Engine, const std::string &Model,
                  std::vector<ChunkIndex> Pieces,
                  std::vector<std::string> Digests, std::size_t PieceBytes,
                  Done D);

private:
  StagedPieceReader(HttpCalls &Engine, std::string Model,
                    std::vector<ChunkIndex> Pieces,
                    std::vector<std::string> Digests, std::size_t PieceBytes,
                    Done D)
      : Engine_(Engine), Model_(std::move(Model)), Pieces_(std::move(Pieces)),
        Digests_(std::move(Digests)), PieceBytes_(PieceBytes),
        Done_(std::move(D)) {}
  void next();

  HttpCalls &Engine_;
  std::string Model_;
  std::vector<ChunkIndex> Pieces_;
  std::vector<std::string> Digests_;
  std::size_t PieceBytes_;
  Done Done_;
  std::size_t NextIndex_ = 0;
  Result Result_;
};

class StagedPieceWriter
    : public std::enable_shared_from_this<StagedPieceWriter> {
public:
  using Pieces = std::map<ChunkIndex, std::string>;
  // Whether the engine accepted all of them.
  using Done = std::function<void(bool All)>;

  static void run(HttpCalls &Engine, const std::string &Model, Pieces P,
                  Done D);

private:
  StagedPieceWriter(HttpCalls &Engine, std::string Model, Pieces P, Done D)
      : Engine_(Engine), Model_(std::move(Model)), Pieces_(std::move(P)),
        Done_(std::move(D)) {}
  void next();

  HttpCalls &Engine_;
  std::string Model_;
  Pieces Pieces_;
  Done Done_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_AGENT_STAGEDPIECES_H
