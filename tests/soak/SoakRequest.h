// One request of the soak, and how it ended for its caller.

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKREQUEST_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKREQUEST_H

#include "hawthornroad/base/Types.h"

#include <optional>
#include <string>
#include <vector>

namespace hawthornroad {

// A stream may be resumed at another endpoint, a unique stream may not.
enum class SoakKind { Once, Safe, Stream, UniqueStream };

inline bool isStream(SoakKind K) {
  return K == SoakKind::Stream || K == SoakKind::UniqueStream;
}
inline bool mayRepeat(SoakKind K) {
  return K == SoakKind::Safe || K == SoakKind::Stream;
}

struct SoakRequest {
  std::string Id_;
  SoakKind Kind_ = SoakKind::Once;
  std::string Key_;
  // The model that it asks for; empty for none.
  std::string Model_;
  // The parts of its prompt with their tokens, as the header states them; empty
  // for none.
  std::string Parts_;
  // Of its body.
  std::size_t BodyBytes_ = 2;
  // The services that its route may lead to while it is sent.
  std::vector<std::string> Services_;
  TimePoint SentAt_;
  // The process it was sent to: entry name and start number, "entry-2#4".
  std::string Process_;
  // The configuration that added its route; 0 for an initial route.
  std::uint64_t RouteSince_ = 0;
  // How long its caller waits; sent to the entry as the request's deadline.
  Duration Deadline_{};
  // The only region that its route allows, and its customer; empty for all.
  std::string RouteRegion_;
  std::string CustomerRegion_;
  // Its route's timeout.
  Duration Timeout_{};

  // The entry's name, for all of its starts.
  std::string entry() const { return Process_.substr(0, Process_.find('#')); }
};

struct SoakAnswer {
  // 0 until a whole head has arrived.
  unsigned Status_ = 0;
  std::string Stamp_;
  std::string EchoedId_;
  std::string Body_;
  TimePoint At_;
};

struct SoakOutcome {
  enum class End {
    // The answer is whole by its framing.
    Whole,
    // There was no connection.
    Refused,
    // The connection was closed or reset.
    Closed,
    // The caller's deadline passed.
    TimedOut
  };
  End End_ = End::Refused;
  // What has arrived, whole or not.
  SoakAnswer Answer_;
  // Whether the connection had carried a request before.
  bool IsKept_ = false;
  // When the last byte was passed to the socket; unset if that failed.
  std::optional<TimePoint> WrittenAt_;
  TimePoint EndedAt_;
  std::string Error_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKREQUEST_H
