// The origin of weights: files of one folder, by HTTP ranges, at a rate that
// all answers together share.
//
// The rate is a token bucket refilled on one tick. Each tick hands its bytes
// to the open answers in turn, a piece at a time, so that many readers share
// the link as they would share a real one, and no answer is held in memory:
// an answer whose caller does not read gets no new piece.

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
    // Bytes a second of all answers together; 0 means no limit.
    double Rate_ = 0;
  };

  OriginFake(IoThread &Io, Options O);

  void handle(const HttpRequest &R, const ExchangePtr &X);
  void setFaults(const Faults &Set);
  boost::json::object counters() const;

private:
  // One answer under way.
  struct Transfer {
    ExchangePtr Answer_;
    std::string Path_;
    std::ifstream File_;
    std::uint64_t Left_ = 0;
    // Bytes still to send before the fault strikes; none when it will not.
    std::optional<std::uint64_t> CorruptIn_;
    std::optional<std::uint64_t> CutIn_;
    bool Gone_ = false;
  };

  void begin(std::shared_ptr<Transfer> T, std::uint64_t Size,
             const std::optional<std::string> &Range);
  void tick();
  void refill(TimePoint Now);
  bool sendPiece(Transfer &T);
  std::string readPiece(Transfer &T, std::size_t Size);

  IoThread &Io_;
  Options Options_;
  double Rate_;
  std::int64_t CorruptEvery_ = 0;
  std::int64_t TruncateEvery_ = 0;
  std::list<std::shared_ptr<Transfer>> Transfers_;
  bool Ticking_ = false;
  double Tokens_ = 0;
  TimePoint Refilled_{};
  std::uint64_t Answers_ = 0;
  std::uint64_t Requests_ = 0;
  std::uint64_t Bytes_ = 0;
  std::map<std::string, std::uint64_t> BytesByPath_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_ORIGINFAKE_H
