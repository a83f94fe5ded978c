#include "hawthornroad/routing/EventSplitter.h"

#include <algorithm>
#include <utility>

namespace hawthornroad {

namespace {
constexpr std::string_view DataField = "data";

// Finds the line ends of Text. The next position of each kind is cached: with
// many CRs and no LF, searching for the LF again for each line would be
// quadratic.
class LineEnds {
public:
  LineEnds(const std::string &Text, std::size_t From)
      : Text_(Text), Lf_(Text.find('\n', From)), Cr_(Text.find('\r', From)) {}

  // The first line end at or after From; npos when there is none. From may not
  // decrease between calls.
  std::size_t next(std::size_t From) {
    if (Lf_ < From)
      Lf_ = Text_.find('\n', From);
    if (Cr_ < From)
      Cr_ = Text_.find('\r', From);
    return std::min(Lf_, Cr_);
  }

private:
  const std::string &Text_;
  std::size_t Lf_;
  std::size_t Cr_;
};
} // namespace

void EventSplitter::noteLineEnd(std::size_t Position) {
  if (LineBytes_ == 0) {
    CompleteUpTo_ = Position;
    Events_ += HasData_ ? 1 : 0;
    HasData_ = false;
  }
  LineBytes_ = 0;
  LineStart_.clear();
}

// Every byte that reaches a caller passes through here, so line ends are found
// by searching rather than character by character.
std::string EventSplitter::feed(std::string_view Bytes) {
  std::size_t At = Rest_.size();
  Rest_.append(Bytes);
  LineEnds Ends(Rest_, At);
  while (At < Rest_.size()) {
    // The LF of a CRLF belongs to the line end that its CR began.
    if (std::exchange(AfterCr_, false) && Rest_[At] == '\n') {
      if (CompleteUpTo_ == At)
        CompleteUpTo_ = At + 1;
      ++At;
      continue;
    }
    std::size_t End = Ends.next(At);
    std::size_t Length = std::min(End, Rest_.size()) - At;
    LineBytes_ += Length;
    if (LineStart_.size() < DataField.size())
      LineStart_.append(Rest_, At,
                        std::min(Length, DataField.size() - LineStart_.size()));
    HasData_ = HasData_ || LineStart_ == DataField;
    if (End == std::string::npos)
      break;
    AfterCr_ = Rest_[End] == '\r';
    At = End + 1;
    noteLineEnd(At);
  }
  if (Rest_.size() - CompleteUpTo_ > MaxEvent) {
    Resumable_ = false;
    CompleteUpTo_ = Rest_.size();
  }
  std::string Whole;
  // Most reads end at the end of an event; their bytes need no copy.
  if (CompleteUpTo_ == Rest_.size())
    Whole.swap(Rest_);
  else
    Whole = Rest_.substr(0, CompleteUpTo_);
  Rest_.erase(0, Whole.size());
  CompleteUpTo_ = 0;
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
