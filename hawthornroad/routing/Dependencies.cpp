#include "hawthornroad/routing/Dependencies.h"

#include <set>
#include <vector>

namespace hawthornroad {

ServiceName firstDownDependency(
    const Declaration &D, const Service &S,
    const std::function<std::size_t(const ServiceName &)> &ReadyCount) {
  std::vector<ServiceName> Pending = S.DependsOn_;
  std::set<ServiceName> Seen;
  while (!Pending.empty()) {
    ServiceName Next = Pending.back();
    Pending.pop_back();
    if (!Seen.insert(Next).second)
      continue;
    const Service *Found = D.findService(Next);
    if (Found == nullptr || ReadyCount(Next) == 0)
      return Next;
    Pending.insert(Pending.end(), Found->DependsOn_.begin(),
                   Found->DependsOn_.end());
  }
  return {};
}

} // namespace hawthornroad
