#include "fakes/EngineModel.h"

#include "hawthornroad/base/Hash.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <fstream>
#include <vector>

namespace hawthornroad {

namespace {
constexpr std::size_t ReadSize = 1024 * 1024;
constexpr std::array<const char *, 4> StateNames = {"empty", "loading", "ready",
                                                    "failed"};

std::int64_t unixMilliseconds() {
  auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(Now).count();
}
} // namespace

struct EngineModel::FileRead {
  bool Complete_ = false;
  std::uint64_t Size_ = 0;
  std::string Digest_;

  static FileRead of(const std::string &Path) {
    FileRead Read;
    std::ifstream File(Path, std::ios::binary);
    if (!File)
      return Read;
    Sha256 Hash;
    std::vector<char> Buffer(ReadSize);
    while (File) {
      File.read(Buffer.data(), static_cast<std::streamsize>(Buffer.size()));
      auto Got = static_cast<std::size_t>(File.gcount());
      Hash.update({Buffer.data(), Got});
      Read.Size_ += Got;
    }
    Read.Complete_ = File.eof();
    Read.Digest_ = Hash.finish();
    return Read;
  }
};

bool EngineModel::load(const LoadOrder &Order) {
  if (Options_.ChecksFencing_ && Order.Fencing_ < HighestFencing_)
    return false;
  HighestFencing_ = std::max(HighestFencing_, Order.Fencing_);
  std::uint64_t Generation = ++Generation_;
  Order_ = Order;
  State_ = State::Loading;
  Error_.clear();
  Files_.submit([this, Generation, Order] {
    FileRead Read = FileRead::of(Order.Path_);
    boost::asio::post(Io_.context(), [this, Generation, Order, Read] {
      onFileRead(Generation, Order, Read);
    });
  });
  return true;
}

void EngineModel::onFileRead(std::uint64_t Generation, const LoadOrder &Order,
                             const FileRead &Read) {
  std::string Error;
  if (!Read.Complete_)
    Error = "file cannot be read";
  else if (FailLoads_)
    Error = "load failed by a fault";
  else
    Loads_.push_back(boost::json::object{{"version", Order.Version_.str()},
                                         {"bytes_sha256", Read.Digest_},
                                         {"size", Read.Size_},
                                         {"fencing", Order.Fencing_},
                                         {"at_ms", unixMilliseconds()}});
  Io_.after(Options_.LoadTime_,
            [this, Generation, Error] { finish(Generation, Error); });
}

void EngineModel::finish(std::uint64_t Generation, const std::string &Error) {
  if (Generation != Generation_)
    return;
  State_ = Error.empty() ? State::Ready : State::Failed;
  Error_ = Error;
}

boost::json::object EngineModel::status() const {
  return {{"version", Order_.Version_.str()},
          {"path", Order_.Path_},
          {"fencing", Order_.Fencing_},
          {"state", StateNames[static_cast<std::size_t>(State_)]},
          {"error", Error_}};
}

} // namespace hawthornroad
