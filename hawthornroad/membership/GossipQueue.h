// Queue of membership updates to piggyback on outgoing messages, least
// transmitted first.
//
//   GossipQueue Queue({});
//   Queue.add(Process, UpdateRank::State, false);
//   for (const GossipQueue::Pick &P : Queue.pick(Budget, Transmits, SizeOf))
//     Message.Members_.push_back(copyOf(P));
//
// The queue holds only names; the record is read when it is sent, so that the
// latest one goes out and a member is never queued twice. Updates of higher
// rank go first: deaths and leaves before changed endpoints.
//
// Invariant: an item is sent at most Transmits times for each add(). Bound:
// Capacity_ items; beyond that the most transmitted item of the lowest rank is
// dropped. Cost: logarithmic in the queue size for each item picked.

#ifndef HAWTHORNROAD_MEMBERSHIP_GOSSIPQUEUE_H
#define HAWTHORNROAD_MEMBERSHIP_GOSSIPQUEUE_H

#include "hawthornroad/base/Types.h"

#include <functional>
#include <map>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace hawthornroad {

enum class UpdateRank : std::uint8_t { State, Endpoint };

class GossipQueue {
public:
  struct Limits {
    std::size_t Capacity_ = 16384;
  };
  struct Pick {
    ProcessName Process_;
    bool WithReport_ = false;
    bool operator==(const Pick &) const = default;
  };
  // Encoded size of a member in bytes; 0 when the member is no longer known.
  using SizeFn = std::function<std::size_t(const Pick &)>;

  explicit GossipQueue(Limits L) : Limits_(L) {}

  void add(const ProcessName &Process, UpdateRank Rank, bool WithReport);
  // Returns items that fit into Budget bytes. The first one may exceed it;
  // otherwise a large record would never be sent.
  std::vector<Pick> pick(std::size_t Budget, std::size_t Transmits,
                         const SizeFn &SizeOf);
  // Whether an item of at least this rank has not been sent yet.
  bool hasUnsent(UpdateRank Rank) const;
  std::size_t size() const { return Items_.size(); }

private:
  // Rank, number of transmissions, age (newest first): the sending order.
  using Key = std::tuple<UpdateRank, std::size_t, std::uint64_t>;
  struct Item {
    Key Key_;
    bool WithReport_ = false;
  };

  Limits Limits_;
  // Counts down, so that the newest item sorts first.
  std::uint64_t NextAge_ = UINT64_MAX;
  std::map<Key, ProcessName> Order_;
  std::unordered_map<ProcessName, Item> Items_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_MEMBERSHIP_GOSSIPQUEUE_H
