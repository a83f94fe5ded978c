#include "hawthornroad/routing/AttemptStream.h"

namespace hawthornroad {

void AttemptStream::consume(std::uint64_t Offset, std::string_view Bytes,
                            std::string &Out) {
  std::uint64_t Known = Offset_ - Offset;
  if (Known >= Bytes.size())
    return;
  std::string_view Fresh = Bytes.substr(Known);
  Hash_.update(Fresh);
  Offset_ += Fresh.size();
  Out.append(Fresh);
}

std::string AttemptStream::data(std::uint64_t Offset, std::string_view Bytes) {
  std::string Out;
  if (Offset > Offset_) {
    bool Fits = OutOfOrderBytes_ + Bytes.size() <= MaxAhead;
    if (Fits && OutOfOrder_.emplace(Offset, Bytes).second)
      OutOfOrderBytes_ += Bytes.size();
    return Out;
  }
  consume(Offset, Bytes, Out);
  while (!OutOfOrder_.empty() && OutOfOrder_.begin()->first <= Offset_) {
    auto Next = OutOfOrder_.extract(OutOfOrder_.begin());
    OutOfOrderBytes_ -= Next.mapped().size();
    consume(Next.key(), Next.mapped(), Out);
  }
  return Out;
}

void AttemptStream::end(std::uint64_t Length, std::uint64_t Hash) {
  if (!End_)
    End_ = Ending{Length, Hash};
}

bool AttemptStream::hasGap() const {
  return !OutOfOrder_.empty() || (End_ && Offset_ < End_->Length_);
}

bool AttemptStream::isWhole() const {
  return End_ && Offset_ == End_->Length_ && Hash_.value() == End_->Hash_;
}

bool AttemptStream::isCorrupt() const {
  if (!End_ || Offset_ < End_->Length_)
    return false;
  return Offset_ > End_->Length_ || Hash_.value() != End_->Hash_;
}

} // namespace hawthornroad
