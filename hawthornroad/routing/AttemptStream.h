// Puts the bytes of one attempt's answer in order and tells when it is whole.
//
//   AttemptStream S;
//   S.data(3, "def");          // kept: bytes 0..2 are missing
//   S.data(0, "abc");          // returns "abcdef"
//   S.data(0, "abc");          // returns "": a duplicate
//   S.end(6, Hash);
//   S.isWhole();               // length and hash agree
//
// The idea. Frames carry the offset of their first byte, so late, doubled and
// reordered ones, and those sent again after a query, all find their place.
// The end states length and FNV-1a hash of the whole; only when both agree with
// what was passed on in order is an answer whole. A body that disagrees is
// corrupt: isCorrupt() is then true for good.
//
// Bound: at most MaxAhead bytes wait for a gap; frames beyond are dropped and
// must be asked for again from offset().

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

  // Returns the bytes that are in order by now and were not returned before.
  std::string data(std::uint64_t Offset, std::string_view Bytes);
  void end(std::uint64_t Length, std::uint64_t Hash);

  // Bytes returned so far: the offset to ask from.
  std::uint64_t offset() const { return Offset_; }
  // Whether a later byte or the end came while an earlier byte is missing.
  bool hasGap() const;
  bool isWhole() const;
  bool isCorrupt() const;

private:
  struct Ending {
    std::uint64_t Length_ = 0;
    std::uint64_t Hash_ = 0;
  };
  void take(std::uint64_t Offset, std::string_view Bytes, std::string &Out);

  std::uint64_t Offset_ = 0;
  Fnv1a Hash_;
  std::map<std::uint64_t, std::string> Ahead_;
  std::size_t AheadBytes_ = 0;
  std::optional<Ending> End_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_ATTEMPTSTREAM_H
