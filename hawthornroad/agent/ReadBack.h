// Reads the pieces that lie at an engine back and checks their digests.
//
//   ReadBack::run(Engine, Version, Pieces, Digests, [](ReadBack::Result R)
//   {...});
//
// StagePut puts pieces there, one call each:
//   StagePut::run(Engine, Model, Pieces, [](bool All) {...});
//
// Cost: a local call and a SHA-256 a piece; 2.4 MB take some 20 ms.

#ifndef HAWTHORNROAD_AGENT_READBACK_H
#define HAWTHORNROAD_AGENT_READBACK_H

#include "hawthornroad/http/HttpCalls.h"
#include "hawthornroad/staging/EngineDuty.h"
#include "hawthornroad/weights/ChunkSet.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace hawthornroad {

class ReadBack : public std::enable_shared_from_this<ReadBack> {
public:
  // The pieces that were right, with their bytes.
  using Result = std::map<ChunkIndex, std::string>;
  using Done = std::function<void(Result)>;

  static void run(HttpCalls &Engine, const std::string &Model,
                  std::vector<ChunkIndex> Pieces,
                  std::vector<std::string> Digests, Done D);

private:
  ReadBack(HttpCalls &Engine, std::string Model, std::vector<ChunkIndex> Pieces,
           std::vector<std::string> Digests, Done D)
      : Engine_(Engine), Model_(std::move(Model)), Pieces_(std::move(Pieces)),
        Digests_(std::move(Digests)), Done_(std::move(D)) {}
  void next();

  HttpCalls &Engine_;
  std::string Model_;
  std::vector<ChunkIndex> Pieces_;
  std::vector<std::string> Digests_;
  Done Done_;
  std::size_t Begun_ = 0;
  Result Right_;
};

class StagePut : public std::enable_shared_from_this<StagePut> {
public:
  using Pieces = std::map<ChunkIndex, std::string>;
  // Whether the engine took all of them.
  using Done = std::function<void(bool All)>;

  static void run(HttpCalls &Engine, const std::string &Model, Pieces P,
                  Done D);

private:
  StagePut(HttpCalls &Engine, std::string Model, Pieces P, Done D)
      : Engine_(Engine), Model_(std::move(Model)), Pieces_(std::move(P)),
        Done_(std::move(D)) {}
  void next();

  HttpCalls &Engine_;
  std::string Model_;
  Pieces Pieces_;
  Done Done_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_AGENT_READBACK_H
