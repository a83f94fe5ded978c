// Cuts an event stream (text/event-stream) at the ends of its events.
//
//   EventSplitter S;
//   std::string Whole = S.feed("data: a\n\nda");   // "data: a\n\n"
//   S.events();                                    // 1
//   S.rest();                                      // "da"
//
// The idea. A stream can go on at another endpoint only between two events, so
// a caller is only ever given whole ones; the count of those given is where the
// resume begins. Lines end in LF, CRLF or CR; an empty line ends an event.
// Only events with a data line count: comments that keep a connection alive are
// passed on and are no part of the answer.
//
// Bound: an event above MaxEvent is not held back any longer: it is given out
// in pieces and the stream counts as not resumable from then on.

#ifndef HAWTHORNROAD_ROUTING_EVENTSPLITTER_H
#define HAWTHORNROAD_ROUTING_EVENTSPLITTER_H

#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornroad {

class EventSplitter {
public:
  static constexpr std::size_t MaxEvent = 1024 * 1024;

  // Takes the next bytes; returns all events that are whole by now.
  std::string feed(std::string_view Bytes);
  // Whole events returned so far.
  std::uint64_t events() const { return Events_; }
  // The begun event.
  const std::string &rest() const { return Rest_; }
  bool isResumable() const { return Resumable_; }
  // Forgets the begun event: a resumed stream sends it again from its start.
  void dropRest();

private:
  // Whether the line that ends here ends an event.
  void noteLineEnd(std::size_t Position);

  std::string Rest_;
  std::uint64_t Events_ = 0;
  std::size_t WholeUpTo_ = 0;
  std::size_t LineBytes_ = 0;
  // The first letters of the current line, as many as "data" has.
  std::string LineStart_;
  bool HasData_ = false;
  bool AfterCr_ = false;
  bool Resumable_ = true;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_EVENTSPLITTER_H
