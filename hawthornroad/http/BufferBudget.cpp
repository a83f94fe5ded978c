#include "hawthornroad/http/BufferBudget.h"

#include <algorithm>

namespace hawthornroad {

namespace {
constexpr double Mega = 1e6;
constexpr double DefaultMemoryMb = 160;
constexpr double LimitShare = 0.25;
// A single request with a whole answer must fit, else it would stay paused.
constexpr std::size_t LeastLimit = 20 * 1024 * 1024;
} // namespace

std::size_t BufferBudget::limitFor(double MemoryMb) {
  double Mb = MemoryMb > 0 ? MemoryMb : DefaultMemoryMb;
  return std::max(LeastLimit, static_cast<std::size_t>(Mb * Mega * LimitShare));
}

bool BufferBudget::update(std::size_t Total) {
  auto Resume =
      static_cast<std::size_t>(ResumeShare * static_cast<double>(Limit_));
  bool WasFull = IsFull_;
  IsFull_ = Total > (IsFull_ ? Resume : Limit_);
  return IsFull_ != WasFull;
}

BufferBudget::Choice BufferBudget::choose(std::vector<Holder> All) const {
  Choice Out;
  if (!IsFull_)
    return Out;
  std::sort(All.begin(), All.end(), [](const Holder &A, const Holder &B) {
    return A.Bytes_ != B.Bytes_ ? A.Bytes_ > B.Bytes_ : A.Id_ < B.Id_;
  });
  double Total = 0;
  for (const Holder &Each : All)
    Total += static_cast<double>(Each.Bytes_);
  auto Limit = static_cast<double>(Limit_);
  for (const Holder &Each : All) {
    if (Total > EndShare * Limit)
      Out.Ended_.push_back(Each.Id_);
    else if (Total > ResumeShare * Limit)
      Out.Paused_.insert(Each.Id_);
    else
      break;
    Total -= static_cast<double>(Each.Bytes_);
  }
  return Out;
}

} // namespace hawthornroad
