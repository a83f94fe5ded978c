// Splits an event stream (text/event-stream) at the ends of its events.
//
//   EventSplitter S;
//   std::string Whole = S.feed("data: a\n\nda");   // "data: a\n\n"
//   S.events();                                    // 1
//   S.rest();                                      // "da"
//
// A stream can resume at another endpoint only between two events, so a caller
// is given only complete events; their count is the position to resume from.
// Lines end in LF, CRLF or CR; an empty line ends an event. Only events with a
// data line count: keep-alive comments are passed on but are not part of the
// answer.
//
// Limit: an event larger than MaxEvent is no longer held back: it is passed on
// in pieces, and the stream is not resumable from then on.

#ifndef HAWTHORNROAD_ROUTING_EVENTSPLITTER_H
#define HAWTHORNROAD_ROUTING_EVENTSPLITTER_H

#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornroad {

class EventSplitter {
public:
  static constexpr std::size_t MaxEvent = 1024 * 1024;

  // Consumes the next bytes; returns all events that are now complete.
  std::string feed(std::string_view Bytes);
  // The number of complete events returned so far.
  std::uint64_t events() const { return Events_; }
  // The bytes of the incomplete event.
  const std::string &rest() const { return Rest_; }
  bool isResumable() const { return Resumable_; }
  // Discards the incomplete event: a resumed stream sends it again from its
  // start.
  void dropRest();

private:
  // Handles a line that ends at Position; an empty line ends an event.
  void noteLineEnd(std::size_t Position);

  std::string Rest_;
  std::uint64_t Events_ = 0;
  std::size_t CompleteUpTo_ = 0;
  std::size_t LineBytes_ = 0;
  // The first characters of the current line, at most as many as "data" has.
  std::string LineStart_;
  bool HasData_ = false;
  bool AfterCr_ = false;
  bool Resumable_ = true;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_EVENTSPLITTER_H
