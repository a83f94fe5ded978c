// Reads weights from their origin, whose address may change at any time.
//
//   OriginReader O(Context, [] { lookUpAddress(); });
//   O.setAddress("10.0.0.7:80");
//   O.read(Message, Limits, [](const OriginReader::Result &R) {
//     return isWhatWasAskedFor(R);
//   });
//
// Holders keep a reference to the reader, never to the connections of one
// address. Each read ends exactly once: with an answer, with a failure, or with
// OriginMoved, within setAddress(), when the address changes first.
//
// Reads that bring nothing usable, one after another, suggest that the
// address is outdated: then OnDoubt is called, and again while they go on
// failing, each time after twice the pause, up to MaxLookupPause. A few
// failures suffice if they are spread over DoubtAfter, since a silent origin
// fails a reader that waits for each answer only slowly.
//
// Runs on one thread.

#ifndef HAWTHORNROAD_AGENT_ORIGINREADER_H
#define HAWTHORNROAD_AGENT_ORIGINREADER_H

#include "hawthornroad/http/HttpCalls.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>

namespace hawthornroad {

// The origin's address changed before the read ended.
struct OriginMoved {
  bool operator==(const OriginMoved &) const = default;
};

class OriginReader {
public:
  using Result = std::variant<HttpAnswer, LinkFailure, OriginMoved>;
  // Returns whether the result held what was asked for.
  using Done = std::function<bool(Result)>;

  // Consecutive failed reads after which the address is doubted.
  static constexpr unsigned FailuresBeforeDoubt = 4;
  // Two are enough if this much time lies between them.
  static constexpr Duration DoubtAfter = Seconds(1);
  static constexpr Duration MinLookupPause = Milliseconds(500);
  static constexpr Duration MaxLookupPause = Seconds(4);

  OriginReader(boost::asio::io_context &Context, std::function<void()> OnDoubt);
  ~OriginReader();
  OriginReader(const OriginReader &) = delete;
  OriginReader &operator=(const OriginReader &) = delete;

  // Whether an address was set.
  bool isKnown() const { return Calls_ != nullptr; }
  // Empty until an address was set.
  std::string address() const;
  // "IP:port". The address that is set already changes nothing.
  void setAddress(const std::string &Address);
  // Requires isKnown().
  void read(const HttpMessage &M, HttpCalls::Limits L, Done D);

private:
  void finish(std::uint64_t Number, Result R);
  void noteFailure();

  boost::asio::io_context &Context_;
  std::function<void()> OnDoubt_;
  std::unique_ptr<HttpCalls> Calls_;
  struct Read {
    Done Done_;
    HttpCalls::Cancel Cancel_;
  };
  std::map<std::uint64_t, Read> Reads_;
  std::uint64_t NextRead_ = 0;
  // Consecutive failures, and the end of the first of them.
  unsigned Failures_ = 0;
  TimePoint FailingSince_{};
  TimePoint LookupNotBefore_{};
  Duration LookupPause_ = MinLookupPause;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_AGENT_ORIGINREADER_H
