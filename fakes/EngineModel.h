// What a model engine has loaded, and the orders that changed it.
//
// An engine trusts its orders: it serves whatever version the order names once
// the file has been read, whatever the bytes were, and only one that checks
// fencing numbers refuses an order older than one it has seen. The record of
// loads is the evidence by which tests find a wrong order.

#ifndef HAWTHORNROAD_FAKES_ENGINEMODEL_H
#define HAWTHORNROAD_FAKES_ENGINEMODEL_H

#include "hawthornroad/runtime/Io.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <functional>
#include <string>

namespace hawthornroad {

struct LoadOrder {
  VersionDigest Version_;
  std::string Path_;
  std::uint64_t Fencing_ = 0;
  auto operator<=>(const LoadOrder &) const = default;
};

class EngineModel {
public:
  enum class State { Empty, Loading, Ready, Failed };
  struct Options {
    Duration LoadTime_ = Milliseconds(0);
    bool ChecksFencing_ = false;
  };

  EngineModel(IoThread &Io, Options O) : Io_(Io), Options_(O) {}

  // False when the fencing number is refused; nothing has changed then. A
  // later order replaces one still loading.
  bool load(const LoadOrder &Order);
  void failLoads(bool On) { FailLoads_ = On; }

  bool isReady() const { return State_ == State::Ready; }
  // The version served, or of the order under way or failed.
  const VersionDigest &version() const { return Order_.Version_; }
  boost::json::object status() const;
  // Every file read whole, in order of reading.
  const boost::json::array &loads() const { return Loads_; }

private:
  struct FileRead;
  void readDone(std::uint64_t Generation, const LoadOrder &Order,
                const FileRead &Read);
  void finish(std::uint64_t Generation, const std::string &Error);

  IoThread &Io_;
  Options Options_;
  bool FailLoads_ = false;
  State State_ = State::Empty;
  LoadOrder Order_;
  std::string Error_;
  std::uint64_t HighestFencing_ = 0;
  // Counts orders, so that the end of a replaced one is not taken for ours.
  std::uint64_t Generation_ = 0;
  boost::json::array Loads_;
  // Files are read and hashed here, so that running answers do not stall.
  IoThread Files_{"engine-files", 64};
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_ENGINEMODEL_H
