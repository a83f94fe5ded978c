// Holds the bytes of one answer until its entry acknowledges them.
//
//   AnswerBuffer B;
//   B.append(Bytes);                 // offset grows by Bytes.size()
//   for (const AnswerPiece &P : B.from(Offset)) send(P.Offset_, P.Bytes_);
//   B.acknowledge(Offset);           // bytes before Offset may be freed
//
// A connection can fail with bytes in flight, so bytes are kept until the other
// side confirms them; transmission can then resume at any unacknowledged
// offset. append() never refuses: the owner watches held() and stops reading
// from the endpoint, so only bytes already read can exceed its limit.
// Length and hash cover the whole answer, acknowledged bytes included.

#ifndef HAWTHORNROAD_ROUTING_ANSWERBUFFER_H
#define HAWTHORNROAD_ROUTING_ANSWERBUFFER_H

#include "hawthornroad/base/Hash.h"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace hawthornroad {

struct AnswerPiece {
  std::uint64_t Offset_ = 0;
  std::string Bytes_;
  bool operator==(const AnswerPiece &) const = default;
};

class AnswerBuffer {
public:
  // Returns the offset of the first byte appended.
  std::uint64_t append(std::string Bytes);
  // Frees the bytes before Offset. Acknowledgements may arrive late, duplicated
  // and out of order; one beyond the answer's length counts as its length.
  void acknowledge(std::uint64_t Offset);
  // Frees all bytes held; length and hash are kept.
  void drop();

  // The held bytes from Offset on, in order. Offset may lie inside a piece.
  std::vector<AnswerPiece> from(std::uint64_t Offset) const;
  // Whether every byte from Offset to the end is still held.
  bool holds(std::uint64_t Offset) const { return Offset >= Begin_; }

  std::uint64_t held() const { return Length_ - Begin_; }
  std::uint64_t length() const { return Length_; }
  std::uint64_t hash() const { return Hash_.value(); }

private:
  // Offset of the first byte held; Pieces_ covers [Begin_, Length_).
  std::uint64_t Begin_ = 0;
  std::uint64_t Length_ = 0;
  std::deque<AnswerPiece> Pieces_;
  Fnv1a Hash_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_ANSWERBUFFER_H
