// The set of processes in which the highest revision is in force, spread by
// gossip.
//
//   InForceSet Set;
//   Set.begin(Revision);                        // a higher one empties the set
//   Set.add(InForceSet::mark(Process));
//   for (std::uint32_t M : Set.pick(64, 8)) ... // for the next message
//
// Member records carry their revision too, but a record takes a hundred bytes,
// and each change gives every member a new one. A mark takes four bytes, so one
// message reports dozens of processes, and an operator sees within a few
// periods which processes are behind.
//
// Marks are 32-bit hashes of process names. Two of n processes share a mark
// with probability n * n / 2^33 (2% among 12,000); status then reports a
// process as up to date when only the other one is. The newest marks are sent
// first, each at most Transmits times. Memory: 8 bytes and a set entry for each
// process.

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

  // Empties the set and moves it to R when R is higher than its revision.
  void begin(Revision R);
  // Returns false when the mark was already in the set.
  bool add(std::uint32_t Mark);
  // Returns up to Count marks to send; each is returned Transmits times at
  // most.
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
  // Marks still to be sent, in order of sending.
  std::deque<Item> Queue_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_INFORCESET_H
