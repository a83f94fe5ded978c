// One event stream on its way to its caller, across the attempts that make it.
//
//   EventRelay R(CallersLastEvent);
//   R.startAttempt();
//   std::string Out = R.feed(Bytes);    // whole events to pass on
//   R.lastEvent();                      // where a next attempt goes on
//
// Only whole events are passed on, so the stream can go on at another endpoint
// after any of them. An endpoint may break off within an event; the begun part
// is dropped, since its successor sends that event again. Events that do not
// come after the last one passed on are dropped: an endpoint that ignores where
// to go on would otherwise double them.

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
  explicit EventRelay(const std::string &CallersLastEvent);

  void startAttempt();
  std::string feed(std::string_view Bytes);

  // Id of the last event passed on, or the caller's own; empty when none.
  const std::string &lastEvent() const { return LastEvent_; }
  std::uint64_t passed() const { return Passed_; }
  // Whether the attempt's bytes end between two events.
  bool isWhole() const { return Splitter_.rest().empty(); }

private:
  void note(std::string_view Event, std::string &Out);

  EventSplitter Splitter_;
  std::string LastEvent_;
  std::optional<std::uint64_t> LastNumber_;
  std::uint64_t Passed_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_EVENTRELAY_H
