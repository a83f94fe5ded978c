// A bounded queue between threads. When it is full, tryPush() returns false and
// leaves the item with the caller, which then applies back pressure (refuses a
// request, pauses reading) instead of blocking or dropping the item.
//
//   Ring<Event> Events(4096);
//   if (!Events.tryPush(std::move(E)))
//     refuse();
//   while (std::optional<Event> Next = Events.tryPop())
//     handle(*Next);
//
// Any number of producers and consumers. Invariant: at most capacity() items
// are held. Cost: one allocation per item and no lock.

#ifndef HAWTHORNROAD_BASE_RING_H
#define HAWTHORNROAD_BASE_RING_H

#include <atomic>
#include <boost/lockfree/queue.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <utility>

namespace hawthornroad {

template <class T> class Ring {
public:
  // Capacity is at least 1 and at most MaxCapacity.
  static constexpr std::size_t MaxCapacity = 65000;

  explicit Ring(std::size_t Capacity) : Capacity_(Capacity), Items_(Capacity) {}

  ~Ring() {
    while (tryPop())
      ;
  }

  Ring(const Ring &) = delete;
  Ring &operator=(const Ring &) = delete;

  // Moves Item in and returns true, or returns false with Item untouched.
  bool tryPush(T &&Item) {
    if (Size_.fetch_add(1, std::memory_order_acq_rel) >= Capacity_) {
      Size_.fetch_sub(1, std::memory_order_acq_rel);
      return false;
    }
    auto Holder = std::make_unique<T>(std::move(Item));
    Items_.push(Holder.get());
    static_cast<void>(Holder.release());
    return true;
  }

  std::optional<T> tryPop() {
    T *Raw = nullptr;
    if (!Items_.pop(Raw))
      return std::nullopt;
    std::unique_ptr<T> Holder(Raw);
    Size_.fetch_sub(1, std::memory_order_acq_rel);
    return std::optional<T>(std::move(*Holder));
  }

  std::size_t size() const { return Size_.load(std::memory_order_acquire); }
  std::size_t capacity() const { return Capacity_; }

private:
  std::size_t Capacity_;
  std::atomic<std::size_t> Size_{0};
  // Nodes for Capacity_ items are allocated up front; Size_ enforces the bound.
  boost::lockfree::queue<T *> Items_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_BASE_RING_H
