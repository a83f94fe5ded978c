// News that rides on messages sent anyway, least transmitted first.
//
//   GossipQueue Queue({});
//   Queue.add(Process, NewsRank::State, false);
//   for (const GossipQueue::Pick &P : Queue.pick(Budget, Transmits, SizeOf))
//     Message.Members_.push_back(copyOf(P));
//
// The queue holds names; the record is read when it is sent, so that what goes
// out is the latest and one member never stands in it twice. News of higher
// rank goes first: deaths and leaves before changed endpoints.
//
// Invariant: an item is sent at most Transmits times for each add(). Bound:
// Capacity_ items; beyond that the most transmitted of the lowest rank goes.
// Cost: logarithmic in the queue for each item picked.

#ifndef HAWTHORNROAD_MEMBERSHIP_GOSSIPQUEUE_H
#define HAWTHORNROAD_MEMBERSHIP_GOSSIPQUEUE_H

#include "hawthornroad/base/Types.h"

#include <functional>
#include <map>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace hawthornroad {

enum class NewsRank : std::uint8_t { State, Endpoint };

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
  // Bytes of a member on the wire; 0 when it is no longer known.
  using SizeFn = std::function<std::size_t(const Pick &)>;

  explicit GossipQueue(Limits L) : Limits_(L) {}

  void add(const ProcessName &Process, NewsRank Rank, bool WithReport);
  // Items that fit in Budget bytes. The first may exceed it, or one large
  // record would wait for ever.
  std::vector<Pick> pick(std::size_t Budget, std::size_t Transmits,
                         const SizeFn &SizeOf);
  // Whether an item of Rank or above was not sent yet.
  bool hasUnsent(NewsRank Rank) const;
  std::size_t size() const { return Items_.size(); }

private:
  // Rank, times sent, age (newest first): the order of sending.
  using Key = std::tuple<NewsRank, std::size_t, std::uint64_t>;
  struct Item {
    Key Key_;
    bool WithReport_ = false;
  };

  Limits Limits_;
  // Falls, so that the newest comes first.
  std::uint64_t NextAge_ = UINT64_MAX;
  std::map<Key, ProcessName> Order_;
  std::unordered_map<ProcessName, Item> Items_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_MEMBERSHIP_GOSSIPQUEUE_H
