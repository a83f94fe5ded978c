// In which processes the highest revision is in force, as a set that gossip
// fills.
//
//   InForceSet Set;
//   Set.begin(Revision);                        // a higher one: empties it
//   Set.add(InForceSet::mark(Process));
//   for (std::uint32_t M : Set.pick(64, 8)) ... // onto the next message
//
// Members' records carry their revision too, but a record costs a hundred
// bytes, and after each change every member has a new one. A mark costs four,
// so one message tells of dozens of processes, and an operator sees within a
// few periods who is behind.
//
// Marks are 32-bit hashes of names. Two of n processes share one with
// probability n * n / 2^33: 2% somewhere among 12,000; status would then call
// one process up to date while only its namesake is. Newest marks go first,
// each at most Transmits times. Memory: 8 bytes and a set entry a process.

#ifndef HAWTHORNROAD_CONFIG_INFORCESET_H
#define HAWTHORNROAD_CONFIG_INFORCESET_H

#include "hawthornroad/base/Types.h"

#include <deque>
#include <unordered_set>
#include <vector>

namespace hawthornroad {

class InForceSet {
public:
  static std::uint32_t mark(const ProcessName &Process);

  // Empties the set when R is higher than its revision.
  void begin(Revision R);
  // False when it was in already.
  bool add(std::uint32_t Mark);
  std::vector<std::uint32_t> pick(std::size_t Count, std::size_t Transmits);

  Revision revision() const { return Revision_; }
  std::size_t size() const { return Marks_.size(); }

private:
  struct Item {
    std::uint32_t Mark_ = 0;
    std::size_t Sent_ = 0;
  };
  Revision Revision_ = 0;
  std::unordered_set<std::uint32_t> Marks_;
  // Still to be sent, in order.
  std::deque<Item> Queue_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_INFORCESET_H
