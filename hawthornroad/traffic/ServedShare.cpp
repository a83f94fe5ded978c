#include "hawthornroad/traffic/ServedShare.h"

#include <algorithm>
#include <cmath>

namespace hawthornroad {

ServedShare::Count ServedShare::Count::decayed(Duration Memory,
                                               TimePoint Now) const {
  if (Now <= At_)
    return *this;
  double Factor = std::exp(-std::chrono::duration<double>(Now - At_).count() /
                           std::chrono::duration<double>(Memory).count());
  return {Arrived_ * Factor, Begun_ * Factor, Now};
}

void ServedShare::dropLeast(Table &T, Duration Memory, TimePoint Now) const {
  auto Least = std::min_element(
      T.ByKey_.begin(), T.ByKey_.end(), [&](const auto &A, const auto &B) {
        return A.second.decayed(Memory, Now).Arrived_ <
               B.second.decayed(Memory, Now).Arrived_;
      });
  if (Least != T.ByKey_.end())
    T.ByKey_.erase(Least);
}

void ServedShare::add(Table &T, const std::string &Key, Duration Memory,
                      bool IsBegun, TimePoint Now) const {
  auto Add = [&](Count &C) {
    C = C.decayed(Memory, Now);
    (IsBegun ? C.Begun_ : C.Arrived_) += 1;
  };
  Add(T.All_);
  auto Found = T.ByKey_.find(Key);
  if (Found == T.ByKey_.end()) {
    // It was dropped after the request had arrived.
    if (IsBegun)
      return;
    if (T.ByKey_.size() >= Options_.MaxKeys_)
      dropLeast(T, Memory, Now);
    Found = T.ByKey_.emplace(Key, Count()).first;
  }
  Add(Found->second);
}

void ServedShare::arrived(const std::string &Route, const Customer &C,
                          TimePoint Now) {
  add(Routes_, Route, Options_.RouteMemory_, false, Now);
  if (!C.str().empty())
    add(Customers_, C.str(), Options_.CustomerMemory_, false, Now);
}

void ServedShare::begun(const std::string &Route, const Customer &C,
                        TimePoint Now) {
  add(Routes_, Route, Options_.RouteMemory_, true, Now);
  if (!C.str().empty())
    add(Customers_, C.str(), Options_.CustomerMemory_, true, Now);
}

bool ServedShare::isBelow(const Table &T, const std::string &Key,
                          Duration Memory, TimePoint Now) const {
  auto Found = T.ByKey_.find(Key);
  if (Found == T.ByKey_.end())
    return false;
  Count Own = Found->second.decayed(Memory, Now);
  if (Own.Arrived_ < Options_.MinArrived_)
    return false;
  Count All = T.All_.decayed(Memory, Now);
  return Own.Begun_ * All.Arrived_ <
         Options_.OwedBelow_ * All.Begun_ * Own.Arrived_;
}

bool ServedShare::isOwed(const std::string &Route, const Customer &C,
                         TimePoint Now) const {
  return isBelow(Routes_, Route, Options_.RouteMemory_, Now) ||
         isBelow(Customers_, C.str(), Options_.CustomerMemory_, Now);
}

} // namespace hawthornroad
