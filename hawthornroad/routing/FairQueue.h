// The waiting requests of one service, in the order in which they get places.
//
//   FairQueue Q;
//   Q.push({Id, Customer("hp-travel"), Priority::Normal, Deadline}, Weight);
//   if (auto Item = Q.pop()) dispatch(Item->Id_);
//
// Start-time fair queueing: within a priority class each customer is a flow
// with a virtual start time. The flow that starts earliest is served, and its
// next request starts 1/weight later; the class's virtual time is the start of
// the last one served. A flow that was idle starts at the virtual time: it
// neither pays for having been idle nor saves up for it. So over any interval
// two backlogged customers get places in the ratio of their weights, give or
// take one request each.
//
// Classes are served in order, but each lower class earns a small share of
// every place given, and is served when that makes a whole place: a flood of
// interactive requests slows batch work down and never stops it.
//
// Cost: push and remove O(log n), pop and aheadOf O(customers waiting). Memory:
// one entry a request; idle flows are forgotten once virtual time has passed
// them.

#ifndef HAWTHORNROAD_ROUTING_FAIRQUEUE_H
#define HAWTHORNROAD_ROUTING_FAIRQUEUE_H

#include "hawthornroad/base/Types.h"

#include <array>
#include <deque>
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
    bool operator==(const Item &) const = default;
  };

  // Weight is the customer's, above 0.
  void push(Item I, double Weight);
  std::optional<Item> pop();
  // Gives back the place that pop() gave: I is its customer's next again.
  void unpop(Item I, double Weight);
  // Takes a request out; false when it is not here.
  bool remove(const Item &I);

  // Requests that would get a place before one more of this customer.
  double aheadOf(const Customer &C, Priority P, double Weight) const;
  // The latest request, in the lowest class, of the customer whose backlog is
  // largest for its weight, counting one more of Newcomer's. Nothing when that
  // is the newcomer itself.
  std::optional<Item> victimFor(const Item &Newcomer, double Weight) const;

  std::vector<Item> items() const;
  std::size_t size() const { return Size_; }
  bool empty() const { return Size_ == 0; }

private:
  static constexpr std::size_t ClassCount = 3;
  struct Flow {
    double Weight_ = 1;
    // Virtual start of the first waiting request, or of the next to come.
    double Start_ = 0;
    std::deque<Item> Waiting_;
  };
  struct Class {
    double VirtualTime_ = 0;
    // Part of a place this class has earned while others were served.
    double Earned_ = 0;
    std::size_t Size_ = 0;
    std::map<Customer, Flow> Flows_;
  };

  std::size_t nextClass();
  void forgetIdle(Class &C);

  std::array<Class, ClassCount> Classes_;
  std::size_t Size_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_FAIRQUEUE_H
