#include "hawthornroad/config/InForceSet.h"

#include "hawthornroad/base/Hash.h"

namespace hawthornroad {

std::uint32_t InForceSet::mark(const ProcessName &Process) {
  Fnv1a Hash;
  Hash.update(Process.str());
  return static_cast<std::uint32_t>(Hash.value() ^ (Hash.value() >> 32));
}

void InForceSet::begin(Revision R) {
  if (R <= Revision_)
    return;
  Revision_ = R;
  Marks_.clear();
  Queue_.clear();
}

bool InForceSet::add(std::uint32_t Mark) {
  if (!Marks_.insert(Mark).second)
    return false;
  Queue_.push_front({Mark, 0});
  return true;
}

std::vector<std::uint32_t> InForceSet::pick(std::size_t Count,
                                            std::size_t Transmits) {
  std::vector<std::uint32_t> Out;
  std::size_t Left = std::min(Count, Queue_.size());
  for (; Left > 0; --Left) {
    Item Next = Queue_.front();
    Queue_.pop_front();
    Out.push_back(Next.Mark_);
    if (++Next.Sent_ < Transmits)
      Queue_.push_back(Next);
  }
  return Out;
}

} // namespace hawthornroad
