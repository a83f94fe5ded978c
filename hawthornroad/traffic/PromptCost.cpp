#include "hawthornroad/traffic/PromptCost.h"

#include <chrono>

namespace hawthornroad {

PromptCost promptCost(const TokenCount &Stated, const EngineProfile &Engine) {
  bool IsUsable = Stated.Prompt_ > 0 && (Engine.KvCapacity_ == 0 ||
                                         Stated.Prompt_ <= Engine.KvCapacity_);
  double Ms = IsUsable ? Engine.firstTokenMs(Stated.Prompt_)
                       : Engine.meanFirstTokenMs();
  return {std::chrono::duration_cast<Duration>(
              std::chrono::duration<double, std::milli>(Ms)),
          IsUsable};
}

} // namespace hawthornroad
