// An agent of a platform with a store, as a process beside an engine, with an
// origin of weights.
//
//   AgentFixture F;
//   F.start();  F.awaitLoaded(1);
//   OriginStandIn Other;
//   F.moveOrigin(Other.address());  F.name(2);  F.awaitLoaded(2);

#ifndef HAWTHORNROAD_TESTS_INTEGRATION_AGENTFIXTURE_H
#define HAWTHORNROAD_TESTS_INTEGRATION_AGENTFIXTURE_H

#include "tests/integration/Eventually.h"
#include "tests/integration/PlatformFixture.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace hawthornroad {

// Serves the weights of every version, as their origin.
class OriginStandIn {
public:
  static constexpr int Pieces = 12;

  OriginStandIn();
  ~OriginStandIn();

  // Content of a piece.
  static std::string piece(int Version, int Index);
  // Text that lists the digests of a version.
  static std::string manifest(int Version);

  const std::string &address() const { return Address_; }
  // Pieces that were sent.
  int piecesSent();
  // Requests for digests that were answered.
  int manifestsSent();
  // Requests that were received and not answered.
  std::size_t unanswered();
  // Once Count pieces were sent, further reads of pieces are not answered, or
  // no reads at all.
  void silencePiecesAfter(int Count);
  void silence();
  // Closes the server: connections are refused from then on.
  void close();

private:
  void handle(const HttpRequest &R, const std::shared_ptr<HttpExchange> &X);

  IoThread Io_{"origin", 256};
  std::mutex Mutex_;
  int PiecesSent_ = 0;
  int ManifestsSent_ = 0;
  int MaxPieces_ = -1;
  bool IsSilent_ = false;
  std::vector<std::shared_ptr<HttpExchange>> Unanswered_;
  std::unique_ptr<HttpServer> Server_;
  std::string Address_;
};

// An engine that loads the staged pieces, and the origin of its weights.
class EngineStandIn {
public:
  EngineStandIn();
  ~EngineStandIn();

  const std::string &address() const { return Address_; }
  int loaded() {
    std::lock_guard Lock(Mutex_);
    return Loaded_;
  }
  // Accepted orders, and whether each found all pieces of one version.
  int orders() {
    std::lock_guard Lock(Mutex_);
    return Orders_;
  }
  bool alwaysComplete() {
    std::lock_guard Lock(Mutex_);
    return AlwaysComplete_;
  }
  int pieceReads() {
    std::lock_guard Lock(Mutex_);
    return PieceReads_;
  }
  // Faults: the next Count answers of the origin are corrupted; the next Count
  // orders are accepted and not answered; one staged piece is corrupted right
  // after it was put.
  void corruptOrigin(int Count) { CorruptOrigin_ = Count; }
  void loseOrderAnswers(int Count) { LoseOrderAnswers_ = Count; }
  void corruptStagedOnce() { CorruptStaged_ = true; }
  // A staged piece turns bad where it lies.
  void corruptStaged(int Index) {
    std::lock_guard Lock(Mutex_);
    Staged_[Index] = "rotten";
  }
  // Staged pieces that were read back.
  int stagedReads() {
    std::lock_guard Lock(Mutex_);
    return StagedReads_;
  }
  // The engine restarts: it holds no weights and has counted no orders.
  void restart() {
    std::lock_guard Lock(Mutex_);
    Loaded_ = 0;
    Orders_ = 0;
  }

private:
  void handle(const HttpRequest &R, const std::shared_ptr<HttpExchange> &X);
  void report(const std::shared_ptr<HttpExchange> &X);
  void staged(int Index, const std::shared_ptr<HttpExchange> &X);
  void order(const HttpRequest &R, const std::shared_ptr<HttpExchange> &X);

  IoThread Io_{"engine", 256};
  std::mutex Mutex_;
  std::map<int, std::string> Staged_;
  int Loaded_ = 0;
  int Orders_ = 0;
  int PieceReads_ = 0;
  int StagedReads_ = 0;
  bool AlwaysComplete_ = true;
  std::atomic<int> CorruptOrigin_{0};
  std::atomic<int> LoseOrderAnswers_{0};
  std::atomic<bool> CorruptStaged_{false};
  std::unique_ptr<HttpServer> Server_;
  std::string Address_;
};

struct AgentFixture {
  TemporaryFolder Folder_;
  StoreStandIn Store_;
  EngineStandIn Engine_;
  std::unique_ptr<Process> Agent_;
  std::uint64_t ConfigVersion_ = 0;

  AgentFixture();

  // Configures the origin at this address with the next version.
  void moveOrigin(const std::string &Address, const std::string &Zone = "z");
  void name(int Version);
  void start() { start(Engine_.address()); }
  // Beside another engine than the one that the store lists.
  void start(const std::string &Engine);
  void awaitLoaded(int Version, Duration Bound = AwaitTimeout);
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_INTEGRATION_AGENTFIXTURE_H
