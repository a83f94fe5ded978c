#include "hawthornroad/traffic/EventRelay.h"

#include <charconv>

namespace hawthornroad {

namespace {
constexpr std::string_view IdField = "id:";

std::optional<std::uint64_t> numberOf(std::string_view Text) {
  std::uint64_t Value = 0;
  auto Result = std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Result.ec != std::errc() || Result.ptr != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

// Value of an event's id line; nullopt when there is none.
std::optional<std::string_view> idOf(std::string_view Event) {
  std::size_t At = 0;
  while (At < Event.size()) {
    std::size_t End = Event.find_first_of("\r\n", At);
    if (End == std::string_view::npos)
      End = Event.size();
    std::string_view Line = Event.substr(At, End - At);
    if (Line.starts_with(IdField)) {
      Line.remove_prefix(IdField.size());
      if (Line.starts_with(' '))
        Line.remove_prefix(1);
      return Line;
    }
    At = End + 1;
  }
  return std::nullopt;
}

// End of the first event in Text, after its empty line.
std::size_t eventEnd(std::string_view Text) {
  std::size_t At = 0;
  while (At < Text.size()) {
    std::size_t End = Text.find_first_of("\r\n", At);
    if (End == std::string_view::npos)
      return Text.size();
    std::size_t Next = End + 1;
    if (Text[End] == '\r' && Next < Text.size() && Text[Next] == '\n')
      ++Next;
    if (End == At)
      return Next;
    At = Next;
  }
  return Text.size();
}
} // namespace

EventRelay::EventRelay(const std::string &CallersLastEvent)
    : LastEvent_(CallersLastEvent), LastNumber_(numberOf(CallersLastEvent)) {}

void EventRelay::startAttempt() { Splitter_.dropRest(); }

void EventRelay::note(std::string_view Event, std::string &Out) {
  if (auto Id = idOf(Event)) {
    std::optional<std::uint64_t> Number = numberOf(*Id);
    if (Number && LastNumber_ && *Number <= *LastNumber_)
      return;
    LastEvent_ = std::string(*Id);
    LastNumber_ = Number;
    ++Passed_;
  }
  Out += Event;
}

std::string EventRelay::feed(std::string_view Bytes) {
  std::string Complete = Splitter_.feed(Bytes);
  std::string Out;
  std::string_view Remaining = Complete;
  while (!Remaining.empty()) {
    std::size_t End = eventEnd(Remaining);
    note(Remaining.substr(0, End), Out);
    Remaining.remove_prefix(End);
  }
  return Out;
}

} // namespace hawthornroad
