// The weights that an engine stand-in has staged and loaded, and their origin.
//
//   SoakWeights W;
//   if (W.handle(Request, Exchange)) ...   // staged pieces
//   W.load(2);
//   SoakOrigin Origin;
//   Origin.address();

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKWEIGHTS_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKWEIGHTS_H

#include "hawthornroad/runtime/Http.h"

#include <map>
#include <memory>
#include <string>

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

class SoakOrigin {
public:
  SoakOrigin();
  ~SoakOrigin();
  const std::string &address() const { return Address_; }

private:
  IoThread Io_{"origin", 256};
  std::unique_ptr<HttpServer> Server_;
  std::string Address_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKWEIGHTS_H
