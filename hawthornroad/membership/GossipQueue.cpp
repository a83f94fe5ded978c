#include "hawthornroad/membership/GossipQueue.h"

#include <algorithm>

namespace hawthornroad {

void GossipQueue::add(const ProcessName &Process, UpdateRank Rank,
                      bool WithReport) {
  auto [Found, Added] = Items_.try_emplace(Process);
  Item &I = Found->second;
  if (!Added) {
    Rank = std::min(Rank, std::get<UpdateRank>(I.Key_));
    Order_.erase(I.Key_);
  }
  I.WithReport_ = I.WithReport_ || WithReport;
  I.Key_ = {Rank, 0, NextAge_--};
  Order_.emplace(I.Key_, Process);
  if (Items_.size() <= Limits_.Capacity_)
    return;
  auto Last = std::prev(Order_.end());
  Items_.erase(Last->second);
  Order_.erase(Last);
}

std::vector<GossipQueue::Pick> GossipQueue::pick(std::size_t Budget,
                                                 std::size_t Transmits,
                                                 const SizeFn &SizeOf) {
  std::vector<Pick> Out;
  std::size_t Used = 0;
  auto Next = Order_.begin();
  while (Next != Order_.end() && Used < Budget) {
    Pick P{Next->second, Items_.at(Next->second).WithReport_};
    std::size_t Size = SizeOf(P);
    if (Size == 0) {
      Items_.erase(Next->second);
      Next = Order_.erase(Next);
      continue;
    }
    if (!Out.empty() && Used + Size > Budget)
      break;
    Used += Size;
    Out.push_back(std::move(P));
    ++Next;
  }
  for (const Pick &Each : Out) {
    auto Found = Items_.find(Each.Process_);
    auto [Rank, Sent, Age] = Found->second.Key_;
    Order_.erase(Found->second.Key_);
    if (Sent + 1 >= Transmits) {
      Items_.erase(Found);
      continue;
    }
    Found->second.Key_ = {Rank, Sent + 1, Age};
    Order_.emplace(Found->second.Key_, Each.Process_);
  }
  return Out;
}

bool GossipQueue::hasUnsent(UpdateRank Rank) const {
  for (std::size_t R = 0; R <= static_cast<std::size_t>(Rank); ++R) {
    auto First = Order_.lower_bound({static_cast<UpdateRank>(R), 0, 0});
    if (First == Order_.end())
      return false;
    const auto &[ItemRank, Sent, Age] = First->first;
    if (static_cast<std::size_t>(ItemRank) == R && Sent == 0)
      return true;
  }
  return false;
}

} // namespace hawthornroad
