#include "hawthornroad/routing/EventSplitter.h"

#include <utility>

namespace hawthornroad {

namespace {
constexpr std::string_view DataField = "data";
}

void EventSplitter::noteLineEnd(std::size_t Position) {
  if (LineBytes_ == 0) {
    WholeUpTo_ = Position;
    Events_ += HasData_ ? 1 : 0;
    HasData_ = false;
  }
  LineBytes_ = 0;
  LineStart_.clear();
}

std::string EventSplitter::feed(std::string_view Bytes) {
  for (char C : Bytes) {
    Rest_.push_back(C);
    // The LF of a CRLF belongs to the line end its CR made.
    bool CompletesCrLf = C == '\n' && AfterCr_;
    AfterCr_ = C == '\r';
    if (CompletesCrLf) {
      if (WholeUpTo_ + 1 == Rest_.size())
        WholeUpTo_ = Rest_.size();
      continue;
    }
    if (C == '\n' || C == '\r') {
      noteLineEnd(Rest_.size());
      continue;
    }
    ++LineBytes_;
    if (LineStart_.size() < DataField.size())
      LineStart_.push_back(C);
    HasData_ = HasData_ || LineStart_ == DataField;
  }
  if (Rest_.size() - WholeUpTo_ > MaxEvent) {
    Resumable_ = false;
    WholeUpTo_ = Rest_.size();
  }
  std::string Whole = Rest_.substr(0, WholeUpTo_);
  Rest_.erase(0, WholeUpTo_);
  WholeUpTo_ = 0;
  return Whole;
}

void EventSplitter::dropRest() {
  Rest_.clear();
  LineBytes_ = 0;
  LineStart_.clear();
  HasData_ = false;
  AfterCr_ = false;
}

} // namespace hawthornroad
