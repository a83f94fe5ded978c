#include "hawthornroad/routing/FairQueue.h"

#include <catch2/catch.hpp>
#include <string>

using namespace hawthornroad;

namespace {
const Customer Large("hp-travel");
const Customer Small("zet-office");

struct FairQueueFixture {
  FairQueue Q_;
  std::uint64_t NextId_ = 1;

  FairQueue::Item make(const Customer &C, Priority P = Priority::Normal) {
    return {RequestId{0, NextId_++}, C, P, TimePoint(Seconds(9))};
  }
  void push(const Customer &C, double Weight, std::size_t Count = 1,
            Priority P = Priority::Normal) {
    for (std::size_t I = 0; I < Count; ++I)
      Q_.push(make(C, P), Weight);
  }
  std::size_t popped(std::size_t Count, const Customer &C) {
    std::size_t Out = 0;
    for (std::size_t I = 0; I < Count; ++I)
      Out += Q_.pop()->Customer_ == C ? 1 : 0;
    return Out;
  }
};
} // namespace

TEST_CASE_METHOD(FairQueueFixture,
                 "fair queue, two customers waiting, serves them by weight",
                 "[fairqueue]") {
  push(Large, 3, 90);
  push(Small, 1, 90);
  REQUIRE(popped(40, Large) == 30);
  REQUIRE(popped(40, Large) == 30);
}

TEST_CASE_METHOD(
    FairQueueFixture,
    "customer, active after idling, is neither penalised nor credited",
    "[fairqueue]") {
  push(Small, 1, 1);
  push(Large, 1, 100);
  REQUIRE(popped(51, Small) == 1);
  push(Small, 1, 20);
  // It gets half of the places from now on, not all of the next twenty.
  std::size_t Got = popped(20, Small);
  REQUIRE(Got >= 9);
  REQUIRE(Got <= 11);
}

TEST_CASE_METHOD(
    FairQueueFixture,
    "lower classes, under a flood of interactive, keep their share",
    "[fairqueue]") {
  push(Large, 1, 200, Priority::Interactive);
  push(Small, 1, 50, Priority::Normal);
  push(Small, 1, 50, Priority::Batch);
  std::array<int, 3> Got{};
  for (int I = 0; I < 100; ++I)
    ++Got[static_cast<std::size_t>(Q_.pop()->Priority_)];
  REQUIRE(Got[0] >= 84);
  REQUIRE(Got[1] >= 9);
  REQUIRE(Got[2] >= 4);
}

TEST_CASE_METHOD(FairQueueFixture,
                 "request, asked how many are ahead, is told what then happens",
                 "[fairqueue]") {
  push(Large, 4, 40);
  push(Small, 1, 2);
  push(Customer("c"), 2, 7);
  double Told = Q_.aheadOf(Small, Priority::Normal, 1);
  FairQueue::Item Mine = make(Small);
  Q_.push(Mine, 1);
  double Ahead = 0;
  while (Q_.pop()->Id_ != Mine.Id_)
    ++Ahead;
  REQUIRE(std::abs(Told - Ahead) <= 2);
}

TEST_CASE_METHOD(FairQueueFixture,
                 "full queue, needing a victim, names the largest weighted "
                 "backlog's latest",
                 "[fairqueue]") {
  push(Large, 4, 8);                  // 2 per unit of weight
  push(Small, 1, 3);                  // 3 per unit of weight
  push(Small, 1, 1, Priority::Batch); // 4
  FairQueue::Item Newcomer = make(Large);
  auto Victim = Q_.victimFor(Newcomer, 4);
  REQUIRE(Victim);
  REQUIRE(Victim->Customer_ == Small);
  REQUIRE(Victim->Priority_ == Priority::Batch);
  REQUIRE(Q_.remove(*Victim));
  REQUIRE_FALSE(Q_.remove(*Victim));
  // The newcomer of the customer with the largest backlog is its latest
  // request.
  REQUIRE_FALSE(Q_.victimFor(make(Small), 1));
  // Unless that customer has a queued request of a lower class.
  push(Small, 1, 1, Priority::Batch);
  auto Own = Q_.victimFor(make(Small), 1);
  REQUIRE(Own);
  REQUIRE(Own->Priority_ == Priority::Batch);
}

TEST_CASE_METHOD(FairQueueFixture,
                 "queue, after removals in any order, holds the rest once",
                 "[fairqueue]") {
  push(Large, 2, 10);
  push(Small, 1, 10, Priority::Interactive);
  auto Items = Q_.items();
  REQUIRE(Items.size() == 20);
  for (std::size_t I = 0; I < 20; I += 2)
    REQUIRE(Q_.remove(Items[I]));
  REQUIRE(Q_.size() == 10);
  for (std::size_t I = 0; I < 10; ++I)
    REQUIRE(Q_.pop());
  REQUIRE_FALSE(Q_.pop());
  REQUIRE(Q_.empty());
}

// Guards against requests that lose their turn while others, which can be
// served elsewhere, pass them.
TEST_CASE_METHOD(FairQueueFixture,
                 "fair queue, asked for some requests only, pops the first of "
                 "them and keeps the order of the others",
                 "[fairqueue]") {
  push(Large, 1, 3);                        // 1 to 3
  push(Small, 1, 2);                        // 4 and 5
  push(Small, 1, 1, Priority::Batch);       // 6
  push(Large, 1, 1, Priority::Interactive); // 7
  auto PopIf = [&](std::uint64_t A, std::uint64_t B) {
    auto Item = Q_.popIf([&](const FairQueue::Item &I) {
      return I.Id_.Lo_ == A || I.Id_.Lo_ == B;
    });
    return Item ? Item->Id_.Lo_ : 0;
  };
  CHECK(PopIf(9, 9) == 0);
  CHECK(Q_.size() == 7);
  CHECK(PopIf(6, 7) == 7);
  CHECK(PopIf(6, 2) == 2);
  CHECK(PopIf(6, 6) == 6);
  // Large has been served once more, so Small is next.
  std::vector<std::uint64_t> Rest;
  while (auto Item = Q_.pop())
    Rest.push_back(Item->Id_.Lo_);
  CHECK(Rest == std::vector<std::uint64_t>{4, 1, 5, 3});
}

// Guards against requests that are overtaken by later ones of their customer:
// a later one that can be served elsewhere finds no place there either, and
// returned to the front of the queue.
TEST_CASE_METHOD(FairQueueFixture,
                 "fair queue, given back a request that was not its customer's "
                 "first, keeps the order of arrival",
                 "[fairqueue]") {
  push(Large, 1, 4);
  auto First = Q_.pop();
  auto Third =
      Q_.popIf([](const FairQueue::Item &I) { return I.Id_.Lo_ == 3; });
  REQUIRE(First);
  REQUIRE(Third);
  Q_.unpop(*Third, 1);
  Q_.unpop(*First, 1);
  std::vector<std::uint64_t> Order;
  while (auto Item = Q_.pop())
    Order.push_back(Item->Id_.Lo_);
  CHECK(Order == std::vector<std::uint64_t>{1, 2, 3, 4});
}
