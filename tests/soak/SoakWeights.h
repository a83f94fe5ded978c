// The weights that an engine stand-in has staged and loaded, and their origin.
//
//   SoakWeights W;
//   if (W.handle(Request, Exchange)) ...   // staged pieces
//   W.load(2);
//   SoakOrigin Origin;
//   Origin.address(); Origin.loseAfter(5, true); ... Origin.move();

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKWEIGHTS_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKWEIGHTS_H

#include "hawthornroad/runtime/Http.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace hawthornroad {

// Not thread-safe; one engine's.
class SoakWeights {
public:
  static constexpr int Pieces = 12;
  static constexpr std::size_t PieceBytes = 32;

  // Answers calls about staged pieces; returns whether it was one.
  bool handle(const HttpRequest &R, const std::shared_ptr<HttpExchange> &X);
  // Loads what is staged, as this version.
  void load(int Version);
  // 0: none.
  int loaded() const { return Loaded_; }
  // Whether every load had all pieces of its version.
  bool wasAlwaysWhole() const { return WasAlwaysWhole_; }
  // The engine restarts: nothing is loaded, and one of the staged pieces has
  // turned bad in place.
  void restartSpoilt();
  // Orders accepted since the start.
  int orders() const { return Orders_; }
  void countOrder() { ++Orders_; }

private:
  std::map<int, std::string> Staged_;
  int Loaded_ = 0;
  int Orders_ = 0;
  bool WasAlwaysWhole_ = true;
};

// Each answer takes some milliseconds, so that a transfer takes a while.
class SoakOrigin {
public:
  SoakOrigin();
  ~SoakOrigin();
  SoakOrigin(const SoakOrigin &) = delete;
  SoakOrigin &operator=(const SoakOrigin &) = delete;

  // Where it is now.
  std::string address() const;
  // It is lost once it has sent so many more pieces: it answers nothing from
  // then on, or refuses connections as well.
  void loseAfter(int Pieces, bool Refuses);
  // Another one replaces it, at another address.
  void move();

private:
  void handle(std::size_t Place, const HttpRequest &R,
              const std::shared_ptr<HttpExchange> &X);
  void listen();

  IoThread Io_{"origin", 256};
  mutable std::mutex Mutex_;
  // One for each place so far.
  std::vector<std::unique_ptr<HttpServer>> Servers_;
  std::string Address_;
  // Pieces that the newest one still sends; unset: any number.
  std::optional<int> PiecesLeft_;
  bool Refuses_ = false;
  // Kept, since their connections would be closed otherwise.
  std::vector<std::shared_ptr<HttpExchange>> Unanswered_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKWEIGHTS_H
