// Faults on one direction of one proxied connection that follow the system's
// frames: a 4-byte little-endian length and that many bytes.
//
//   FrameFilter Filter(StreamNumber);
//   FrameFilter::Output Out = Filter.pass(Bytes, Faults);
//   ...  // send Out.Bytes_, then reset the connection if Out.Cut_
//
// Frames are followed from the first byte on, so that a fault set later finds
// their bounds. A stream whose first "length" is out of limits carries no
// frames (HTTP, say) and passes untouched but for cuts by bytes. The first
// frame is never dropped, doubled or moved: it names the peer, and without it
// the receiver sees a broken peer and not a lossy path.

#ifndef HAWTHORNROAD_FAKES_FRAMEFILTER_H
#define HAWTHORNROAD_FAKES_FRAMEFILTER_H

#include "hawthornroad/base/Random.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornroad {

// The share of frames a fault strikes, chosen by a seeded generator.
struct FrameShare {
  double Share_ = 0;
  std::uint64_t Seed_ = 1;
  bool operator==(const FrameShare &) const = default;
};

struct FrameFaults {
  // Cut once this many have passed; 0 never.
  std::uint64_t CutAfterFrames_ = 0;
  std::uint64_t CutAfterBytes_ = 0;
  FrameShare Drop_;
  FrameShare Duplicate_;
  FrameShare Reorder_;
  bool operator==(const FrameFaults &) const = default;
};

class FrameFilter {
public:
  struct Output {
    std::string Bytes_;
    bool Cut_ = false;
  };

  // Stream tells apart the generators of streams with the same seed.
  explicit FrameFilter(std::uint64_t Stream) : Stream_(Stream) {}

  Output pass(std::string_view In, const FrameFaults &F);
  std::uint64_t frames() const { return Frames_; }

private:
  enum class Action { Pass, Drop, Duplicate, Hold };

  std::string_view takeBytes(std::string_view &In, std::size_t Most);
  void readHeader(std::string_view &In, const FrameFaults &F, Output &Out);
  void readBody(std::string_view &In, Output &Out);
  void endFrame(Output &Out);
  Action choose(const FrameFaults &F);
  bool strikes(const FrameShare &S);

  std::uint64_t Stream_;
  std::optional<Random> Random_;
  std::uint64_t Seed_ = 0;
  bool Unframed_ = false;
  std::string Header_;
  std::size_t Left_ = 0;
  Action Action_ = Action::Pass;
  // The frame being read, when its action needs it whole.
  std::string Frame_;
  // A frame that waits for its successor.
  std::string Held_;
  std::uint64_t Frames_ = 0;
  std::uint64_t Bytes_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_FRAMEFILTER_H
