// A fixed-size bitmap of the chunks of one version.
//
//   ChunkSet Held(Manifest.chunkCount());
//   Held.add(7);
//   if (!Held.isFull()) ...
//
// bytes() is the wire format: bit i % 8 of byte i / 8 is chunk i. Cost: one bit
// for each chunk; 50,000 chunks take 6 KB.

#ifndef HAWTHORNROAD_WEIGHTS_CHUNKSET_H
#define HAWTHORNROAD_WEIGHTS_CHUNKSET_H

#include "hawthornroad/weights/Manifest.h"

#include <bit>
#include <cstdint>
#include <vector>

namespace hawthornroad {

class ChunkSet {
public:
  static constexpr std::size_t WordBits = 64;

  explicit ChunkSet(std::size_t Size = 0)
      : Size_(Size), Words_((Size + WordBits - 1) / WordBits, 0) {}

  // Bits beyond Size, which a faulty peer may send, are ignored.
  static ChunkSet fromBytes(const std::vector<std::uint8_t> &Bytes,
                            std::size_t Size) {
    ChunkSet Out(Size);
    for (std::size_t I = 0; I < Size && I / 8 < Bytes.size(); ++I)
      if ((Bytes[I / 8] >> (I % 8)) & 1U)
        Out.add(static_cast<ChunkIndex>(I));
    return Out;
  }
  std::vector<std::uint8_t> bytes() const {
    std::vector<std::uint8_t> Out((Size_ + 7) / 8, 0);
    for (std::size_t I = 0; I < Out.size(); ++I)
      Out[I] = static_cast<std::uint8_t>(Words_[I / 8] >> (I % 8 * 8));
    return Out;
  }

  bool has(ChunkIndex I) const {
    return I < Size_ && ((Words_[I / WordBits] >> (I % WordBits)) & 1U) != 0;
  }
  // Returns true when I was newly added; false when present or out of range.
  bool add(ChunkIndex I) {
    if (I >= Size_ || has(I))
      return false;
    Words_[I / WordBits] |= std::uint64_t{1} << (I % WordBits);
    ++Count_;
    return true;
  }
  bool remove(ChunkIndex I) {
    if (!has(I))
      return false;
    Words_[I / WordBits] &= ~(std::uint64_t{1} << (I % WordBits));
    --Count_;
    return true;
  }
  std::size_t size() const { return Size_; }
  std::size_t count() const { return Count_; }
  bool isFull() const { return Count_ == Size_; }
  std::size_t wordCount() const { return Words_.size(); }
  std::uint64_t word(std::size_t At) const { return Words_[At]; }

  // Calls Do(index) for each member in ascending order.
  template <class Fn> void forEach(Fn Do) const {
    for (std::size_t At = 0; At < Words_.size(); ++At)
      for (std::uint64_t W = Words_[At]; W != 0; W &= W - 1)
        Do(static_cast<ChunkIndex>(At * WordBits +
                                   static_cast<unsigned>(std::countr_zero(W))));
  }
  bool operator==(const ChunkSet &) const = default;

private:
  std::size_t Size_ = 0;
  std::size_t Count_ = 0;
  std::vector<std::uint64_t> Words_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_WEIGHTS_CHUNKSET_H
