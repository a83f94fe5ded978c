// Relays one event stream to its caller across several attempts.
//
//   EventRelay R(CallersLastEvent);
//   R.startAttempt();
//   std::string Out = R.feed(Bytes);    // complete events to forward
//   R.lastEvent();                      // where the next attempt resumes
//
// Only complete events are forwarded, so the stream can resume at another
// endpoint after any of them. When an endpoint breaks off within an event, the
// partial event is dropped, since the next endpoint sends that event again.
// Events that do not come after the last forwarded one are dropped too: an
// endpoint that ignores the resume position would duplicate them.
//
// Limit: an attempt whose incomplete event has more than MaxEvent bytes is to
// be ended, see isOverlong().

#ifndef HAWTHORNROAD_TRAFFIC_EVENTRELAY_H
#define HAWTHORNROAD_TRAFFIC_EVENTRELAY_H

#include "hawthornroad/routing/EventSplitter.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornroad {

class EventRelay {
public:
  // An event that is longer ends its attempt, before the splitter would pass on
  // a part of it.
  static constexpr std::size_t MaxEvent = EventSplitter::MaxEvent / 2;

  explicit EventRelay(const std::string &CallersLastEvent);

  void startAttempt();
  std::string feed(std::string_view Bytes);

  // Id of the last event forwarded, or the caller's last event; empty when
  // none.
  const std::string &lastEvent() const { return LastEvent_; }
  std::uint64_t passed() const { return Passed_; }
  // Whether the attempt's bytes end on an event boundary.
  bool isWhole() const { return Splitter_.rest().empty(); }
  bool isOverlong() const { return heldBytes() > MaxEvent; }
  // Bytes of the incomplete event.
  std::size_t heldBytes() const { return Splitter_.rest().size(); }

private:
  void note(std::string_view Event, std::string &Out);

  EventSplitter Splitter_;
  std::string LastEvent_;
  std::optional<std::uint64_t> LastNumber_;
  std::uint64_t Passed_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_EVENTRELAY_H
