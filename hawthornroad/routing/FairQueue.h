// The queued requests of one service, in the order in which they get places.
//
//   FairQueue Q;
//   Q.push({Id, Customer("hp-travel"), Priority::Normal, Deadline}, Weight);
//   if (auto Item = Q.pop()) dispatch(Item->Id_);
//
// Start-time fair queueing: within a priority class each customer is a flow
// with a virtual start time. The flow with the earliest start is served, and
// its next request starts 1/weight later; the class's virtual time is the start
// of the last request served. An idle flow resumes at the virtual time: it is
// neither penalised for idling nor does it accumulate credit. Over any interval
// two backlogged customers therefore get places in the ratio of their weights,
// within one request each.
//
// Classes are served in order, but each lower class earns a small share of
// every place given, and is served when that amounts to a whole place: a flood
// of interactive requests slows batch work down but never stops it.
//
// Cost: push and remove O(log n), pop and aheadOf O(queued customers). Memory:
// one entry per request; idle flows are removed once virtual time has passed
// them.

#ifndef HAWTHORNROAD_ROUTING_FAIRQUEUE_H
#define HAWTHORNROAD_ROUTING_FAIRQUEUE_H

#include "hawthornroad/base/Types.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace hawthornroad {

class FairQueue {
public:
  struct Item {
    RequestId Id_;
    Customer Customer_;
    Priority Priority_ = Priority::Normal;
    TimePoint Deadline_;
    // Set by push(): the order of arrival, from 1 on.
    std::uint64_t Order_ = 0;
    bool operator==(const Item &) const = default;
  };

  // Weight is the customer's, above 0.
  void push(Item I, double Weight);
  std::optional<Item> pop();
  // The first request that IsWanted accepts; the others keep their places.
  std::optional<Item> popIf(const std::function<bool(const Item &)> &IsWanted);
  // Undoes a pop() or popIf(): I returns to its place among its customer's
  // requests.
  void unpop(Item I, double Weight);
  // Removes a request; returns false when it is not queued.
  bool remove(const Item &I);

  // The requests that would get a place before another one of this customer.
  double aheadOf(const Customer &C, Priority P, double Weight) const;
  // The latest request, in the lowest class, of the customer with the largest
  // backlog relative to its weight, with Newcomer counted in its customer's
  // backlog. Returns nullopt when that request is Newcomer itself.
  std::optional<Item> victimFor(const Item &Newcomer, double Weight) const;

  // Whether a request of class P or a higher one is queued.
  bool hasAsUrgent(Priority P) const;
  bool allOf(const std::function<bool(const Item &)> &Is) const;
  std::vector<Item> items() const;
  std::size_t size() const { return Size_; }
  bool empty() const { return Size_ == 0; }

private:
  static constexpr std::size_t ClassCount = 3;
  struct Flow {
    double Weight_ = 1;
    // Virtual start of the first queued request, or of the next to arrive.
    double Start_ = 0;
    std::deque<Item> Waiting_;
  };
  struct Class {
    double VirtualTime_ = 0;
    // The part of a place this class has earned while others were served.
    double Credit_ = 0;
    std::size_t Size_ = 0;
    std::map<Customer, Flow> Flows_;
  };

  std::size_t nextClass();
  Item take(Class &C, Flow &F, std::deque<Item>::iterator At);
  void forgetIdle(Class &C);

  std::array<Class, ClassCount> Classes_;
  std::size_t Size_ = 0;
  std::uint64_t Pushed_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_FAIRQUEUE_H
