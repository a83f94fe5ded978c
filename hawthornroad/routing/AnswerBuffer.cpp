#include "hawthornroad/routing/AnswerBuffer.h"

#include <algorithm>

namespace hawthornroad {

std::uint64_t AnswerBuffer::append(std::string Bytes) {
  std::uint64_t Offset = Length_;
  if (Bytes.empty())
    return Offset;
  Hash_.update(Bytes);
  Length_ += Bytes.size();
  Pieces_.push_back({Offset, std::move(Bytes)});
  return Offset;
}

void AnswerBuffer::acknowledge(std::uint64_t Offset) {
  Begin_ = std::max(Begin_, std::min(Offset, Length_));
  while (!Pieces_.empty() &&
         Pieces_.front().Offset_ + Pieces_.front().Bytes_.size() <= Begin_)
    Pieces_.pop_front();
}

void AnswerBuffer::drop() { acknowledge(Length_); }

std::vector<AnswerPiece> AnswerBuffer::from(std::uint64_t Offset) const {
  std::uint64_t Start = std::max(Offset, Begin_);
  std::vector<AnswerPiece> Found;
  for (const AnswerPiece &Each : Pieces_) {
    std::uint64_t End = Each.Offset_ + Each.Bytes_.size();
    if (End <= Start)
      continue;
    std::uint64_t Skip = Start > Each.Offset_ ? Start - Each.Offset_ : 0;
    Found.push_back({Each.Offset_ + Skip, Each.Bytes_.substr(Skip)});
  }
  return Found;
}

} // namespace hawthornroad
