// Fake of the origin of weights: serves the files of one folder by HTTP range
// requests, at a rate limit shared by all answers.
//
// The rate limit is a token bucket that one timer refills. Each tick
// distributes its bytes round-robin among the open answers, one chunk at a
// time, so that readers share the link evenly. Answers are not buffered whole:
// an answer whose caller does not read gets no new chunk.

#ifndef HAWTHORNROAD_FAKES_ORIGINFAKE_H
#define HAWTHORNROAD_FAKES_ORIGINFAKE_H

#include "fakes/FakeServer.h"

#include <filesystem>
#include <fstream>
#include <list>
#include <map>
#include <optional>

namespace hawthornroad {

class OriginFake {
public:
  struct Options {
    std::filesystem::path Root_;
    // Bytes per second of all answers together; 0 means no limit.
    double Rate_ = 0;
  };

  OriginFake(IoThread &Io, Options O);

  void handle(const HttpRequest &R, const ExchangePtr &X);
  void setFaults(const Faults &Set);
  boost::json::object counters() const;

private:
  // One answer in progress.
  struct Transfer {
    ExchangePtr Answer_;
    std::string Path_;
    std::ifstream File_;
    std::uint64_t Remaining_ = 0;
    // Bytes left to send before the fault applies; nullopt without a fault.
    std::optional<std::uint64_t> CorruptIn_;
    std::optional<std::uint64_t> CutIn_;
    bool Ended_ = false;
  };

  void begin(std::shared_ptr<Transfer> T, std::uint64_t Size,
             const std::optional<std::string> &Range);
  void tick();
  void refill(TimePoint Now);
  bool sendChunk(Transfer &T);
  std::string readChunk(Transfer &T, std::size_t Size);

  IoThread &Io_;
  Options Options_;
  double Rate_;
  std::int64_t CorruptEvery_ = 0;
  std::int64_t TruncateEvery_ = 0;
  std::list<std::shared_ptr<Transfer>> Transfers_;
  bool Ticking_ = false;
  double BucketBytes_ = 0;
  TimePoint Refilled_{};
  std::uint64_t Answers_ = 0;
  std::uint64_t Requests_ = 0;
  std::uint64_t Bytes_ = 0;
  std::map<std::string, std::uint64_t> BytesByPath_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_ORIGINFAKE_H
