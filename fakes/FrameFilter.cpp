#include "fakes/FrameFilter.h"

#include <algorithm>

namespace hawthornroad {

namespace {
constexpr std::size_t LengthBytes = 4;
// The frame limit of PeerNet; a stream with a longer length is not framed.
constexpr std::size_t MaxFrame = 16 * 1024 * 1024;

std::size_t lengthOf(const std::string &Header) {
  std::size_t Length = 0;
  for (std::size_t I = 0; I < LengthBytes; ++I)
    Length |= static_cast<std::size_t>(static_cast<unsigned char>(Header[I]))
              << (8 * I);
  return Length;
}
} // namespace

FrameFilter::Output FrameFilter::pass(std::string_view In,
                                      const FrameFaults &F) {
  Output Out;
  if (F.CutAfterBytes_ > 0) {
    std::uint64_t Left = F.CutAfterBytes_ - std::min(F.CutAfterBytes_, Bytes_);
    Out.Cut_ = In.size() >= Left;
    In = In.substr(0, Left);
  }
  Bytes_ += In.size();
  while (!In.empty()) {
    if (Unframed_)
      Out.Bytes_ += consumeBytes(In, In.size());
    else if (Remaining_ == 0)
      readHeader(In, F, Out);
    else
      readBody(In, Out);
    bool AtEnd = Remaining_ == 0 && Header_.empty();
    if (F.CutAfterFrames_ > 0 && AtEnd && Frames_ >= F.CutAfterFrames_) {
      Out.Cut_ = true;
      break;
    }
  }
  return Out;
}

std::string_view FrameFilter::consumeBytes(std::string_view &In,
                                           std::size_t Most) {
  std::string_view Taken = In.substr(0, Most);
  In.remove_prefix(Taken.size());
  return Taken;
}

void FrameFilter::readHeader(std::string_view &In, const FrameFaults &F,
                             Output &Out) {
  Header_ += consumeBytes(In, LengthBytes - Header_.size());
  if (Header_.size() < LengthBytes)
    return;
  std::size_t Length = lengthOf(Header_);
  if (Length == 0 || Length > MaxFrame) {
    Unframed_ = true;
    Action_ = Action::Pass;
  } else {
    Remaining_ = Length;
    Action_ = choose(F);
  }
  if (Action_ == Action::Pass)
    Out.Bytes_ += Header_;
  Frame_ = std::move(Header_);
  Header_.clear();
}

void FrameFilter::readBody(std::string_view &In, Output &Out) {
  std::string_view Part = consumeBytes(In, Remaining_);
  Remaining_ -= Part.size();
  if (Action_ == Action::Pass)
    Out.Bytes_ += Part;
  else if (Action_ != Action::Drop)
    Frame_ += Part;
  if (Remaining_ == 0)
    endFrame(Out);
}

void FrameFilter::endFrame(Output &Out) {
  ++Frames_;
  if (Action_ == Action::Hold) {
    Held_ = std::move(Frame_);
    return;
  }
  if (Action_ == Action::Duplicate)
    Out.Bytes_ += Frame_ + Frame_;
  if (Action_ == Action::Drop)
    return;
  Out.Bytes_ += Held_;
  Held_.clear();
}

FrameFilter::Action FrameFilter::choose(const FrameFaults &F) {
  bool First = Frames_ == 0;
  if (First)
    return Action::Pass;
  if (isSelected(F.Drop_))
    return Action::Drop;
  if (isSelected(F.Duplicate_))
    return Action::Duplicate;
  if (Held_.empty() && isSelected(F.Reorder_))
    return Action::Hold;
  return Action::Pass;
}

bool FrameFilter::isSelected(const FrameSelection &S) {
  if (S.Share_ <= 0)
    return false;
  if (!Random_ || Seed_ != S.Seed_)
    Random_.emplace(S.Seed_ + Stream_);
  Seed_ = S.Seed_;
  return Random_->unit() < S.Share_;
}

} // namespace hawthornroad
