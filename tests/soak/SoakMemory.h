// The most memory that each process of a soak has used, of all its starts.
//
//   SoakMemory M;
//   M.sample("entry-1", Process, 260);
//   for (const std::string &Each : M.excesses()) ...
//
// The kernel forgets the peak when a process ends, so processes are sampled
// while they run.

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKMEMORY_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKMEMORY_H

#include "tests/integration/Process.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace hawthornroad {

class SoakMemory {
public:
  // MachineMegabytes: what the VM of the process has.
  void sample(const std::string &Name, Process &P,
              std::size_t MachineMegabytes) {
    Use &Each = Uses_[Name];
    Each.Peak_ = std::max(Each.Peak_, P.peakMegabytes());
    Each.Machine_ = MachineMegabytes;
  }
  // Processes that used more than their VM has, described.
  std::vector<std::string> excesses() const {
    std::vector<std::string> Out;
    for (const auto &[Name, Each] : Uses_)
      if (Each.Peak_ > Each.Machine_)
        Out.push_back(Name + " used " + std::to_string(Each.Peak_) +
                      " MB of memory, its VM has " +
                      std::to_string(Each.Machine_));
    return Out;
  }
  // The process that came nearest to the memory of its VM.
  std::string summary() const {
    auto Most = std::max_element(Uses_.begin(), Uses_.end(),
                                 [](const auto &A, const auto &B) {
                                   return A.second.Peak_ * B.second.Machine_ <
                                          B.second.Peak_ * A.second.Machine_;
                                 });
    if (Most == Uses_.end())
      return "no process was sampled";
    return Most->first + " used " + std::to_string(Most->second.Peak_) +
           " of " + std::to_string(Most->second.Machine_) + " MB";
  }

private:
  struct Use {
    std::size_t Peak_ = 0;
    std::size_t Machine_ = 1;
  };
  std::map<std::string, Use> Uses_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKMEMORY_H
