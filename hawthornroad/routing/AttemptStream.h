// Reassembles the bytes of one attempt's answer and reports when it is
// complete.
//
//   AttemptStream S;
//   S.data(3, "def");          // kept: bytes 0..2 are missing
//   S.data(0, "abc");          // returns "abcdef"
//   S.data(0, "abc");          // returns "": a duplicate
//   S.end(6, Hash);
//   S.isWhole();               // length and hash agree
//
// Each frame carries the offset of its first byte, so late, duplicated and
// reordered frames, and those retransmitted after a query, are put in order.
// The end frame states the length and FNV-1a hash of the answer, which is
// complete only when both match the bytes passed on. A mismatch marks it as
// corrupt: isCorrupt() then stays true.
//
// Limit: at most MaxAhead bytes are buffered behind a gap; frames beyond that
// are dropped and must be requested again from offset().

#ifndef HAWTHORNROAD_ROUTING_ATTEMPTSTREAM_H
#define HAWTHORNROAD_ROUTING_ATTEMPTSTREAM_H

#include "hawthornroad/base/Hash.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornroad {

class AttemptStream {
public:
  static constexpr std::size_t MaxAhead = 1024 * 1024;

  // Returns the bytes that are now contiguous and were not returned before.
  std::string data(std::uint64_t Offset, std::string_view Bytes);
  void end(std::uint64_t Length, std::uint64_t Hash);

  // Bytes returned so far: the offset to resume from.
  std::uint64_t offset() const { return Offset_; }
  // Whether a later byte or the end arrived while an earlier byte is missing.
  bool hasGap() const;
  bool isWhole() const;
  bool isCorrupt() const;

private:
  struct Ending {
    std::uint64_t Length_ = 0;
    std::uint64_t Hash_ = 0;
  };
  void consume(std::uint64_t Offset, std::string_view Bytes, std::string &Out);

  std::uint64_t Offset_ = 0;
  Fnv1a Hash_;
  std::map<std::uint64_t, std::string> OutOfOrder_;
  std::size_t OutOfOrderBytes_ = 0;
  std::optional<Ending> End_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_ATTEMPTSTREAM_H
