// Applies frame-level faults to one direction of a proxied connection. A frame
// is a 4-byte little-endian length followed by that many bytes.
//
//   FrameFilter Filter(StreamNumber);
//   FrameFilter::Output Out = Filter.pass(Bytes, Faults);
//   ...  // send Out.Bytes_, then reset the connection if Out.Cut_
//
// Frames are parsed from the first byte on, so that faults set later apply at
// frame boundaries. A stream whose first length is out of range is not framed
// (for example HTTP) and passes unchanged, except for cuts by bytes. The first
// frame is never dropped, duplicated or reordered: it identifies the peer, and
// without it the receiver would see a faulty peer instead of a lossy path.

#ifndef HAWTHORNROAD_FAKES_FRAMEFILTER_H
#define HAWTHORNROAD_FAKES_FRAMEFILTER_H

#include "hawthornroad/base/Random.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornroad {

// The share of frames that a fault affects, selected by a seeded generator.
struct FrameSelection {
  double Share_ = 0;
  std::uint64_t Seed_ = 1;
  bool operator==(const FrameSelection &) const = default;
};

struct FrameFaults {
  // Cut the connection after this many frames or bytes; 0 means never.
  std::uint64_t CutAfterFrames_ = 0;
  std::uint64_t CutAfterBytes_ = 0;
  FrameSelection Drop_;
  FrameSelection Duplicate_;
  FrameSelection Reorder_;
  bool operator==(const FrameFaults &) const = default;
};

class FrameFilter {
public:
  struct Output {
    std::string Bytes_;
    bool Cut_ = false;
  };

  // Stream makes the generators of streams with the same seed differ.
  explicit FrameFilter(std::uint64_t Stream) : Stream_(Stream) {}

  Output pass(std::string_view In, const FrameFaults &F);
  std::uint64_t frames() const { return Frames_; }

private:
  enum class Action { Pass, Drop, Duplicate, Hold };

  std::string_view consumeBytes(std::string_view &In, std::size_t Most);
  void readHeader(std::string_view &In, const FrameFaults &F, Output &Out);
  void readBody(std::string_view &In, Output &Out);
  void endFrame(Output &Out);
  Action choose(const FrameFaults &F);
  bool isSelected(const FrameSelection &S);

  std::uint64_t Stream_;
  std::optional<Random> Random_;
  std::uint64_t Seed_ = 0;
  bool Unframed_ = false;
  std::string Header_;
  std::size_t Remaining_ = 0;
  Action Action_ = Action::Pass;
  // The frame being read, buffered when its action needs the complete frame.
  std::string Frame_;
  // A reordered frame, sent after its successor.
  std::string Held_;
  std::uint64_t Frames_ = 0;
  std::uint64_t Bytes_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_FRAMEFILTER_H
