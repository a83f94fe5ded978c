// The model loaded by a fake engine, and the record of its loads.
//
// The engine does not verify the file: once it has been read, the engine serves
// the version that the order names, whatever the bytes are. Only an engine that
// checks fencing numbers refuses an order older than one it has seen. Tests
// detect wrong orders by the record of loads.

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

  // Returns false and changes nothing when the fencing number is refused. A
  // later order replaces one that is still loading.
  bool load(const LoadOrder &Order);
  void failLoads(bool On) { FailLoads_ = On; }

  bool isReady() const { return State_ == State::Ready; }
  // The version that is served, being loaded, or failed to load.
  const VersionDigest &version() const { return Order_.Version_; }
  boost::json::object status() const;
  // Every file that was read completely, in order of reading.
  const boost::json::array &loads() const { return Loads_; }

private:
  struct FileRead;
  void onFileRead(std::uint64_t Generation, const LoadOrder &Order,
                  const FileRead &Read);
  void finish(std::uint64_t Generation, const std::string &Error);

  IoThread &Io_;
  Options Options_;
  bool FailLoads_ = false;
  State State_ = State::Empty;
  LoadOrder Order_;
  std::string Error_;
  std::uint64_t HighestFencing_ = 0;
  // Counts orders, so that the completion of a replaced order is ignored.
  std::uint64_t Generation_ = 0;
  boost::json::array Loads_;
  // Reads and hashes files, so that running answers do not stall.
  IoThread Files_{"engine-files", 64};
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_ENGINEMODEL_H
