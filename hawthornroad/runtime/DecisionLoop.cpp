#include "hawthornroad/runtime/DecisionLoop.h"

namespace hawthornroad {

DecisionLoop::DecisionLoop(ActorSystem &System, std::string Name,
                           Duration TickPeriod, std::size_t Capacity)
    : Ring_(Capacity),
      Actor_(System, {.Name_ = std::move(Name),
                      .TickPeriod_ = TickPeriod,
                      .OnWake_ = [this](TimePoint Now) { drain(Now); },
                      .OnTick_ =
                          [this](TimePoint Now) {
                            for (std::size_t I = 0; I < Ticks_.size(); ++I)
                              Ticks_[I](Now);
                          }}) {}

bool DecisionLoop::post(Work W) {
  if (!Ring_.tryPush(std::move(W)))
    return false;
  Actor_.wake();
  return true;
}

void DecisionLoop::onTick(Work W) {
  // Ticks_ is accessed only on the actor's thread.
  post([this, W = std::move(W)](TimePoint) { Ticks_.push_back(W); });
}

void DecisionLoop::drain(TimePoint Now) {
  // Runs only the items queued at the start, so that ticks are not starved.
  for (std::size_t Left = Ring_.size(); Left > 0; --Left) {
    std::optional<Work> Next = Ring_.tryPop();
    if (!Next)
      return;
    (*Next)(Now);
  }
  if (Ring_.size() > 0)
    Actor_.wake();
}

} // namespace hawthornroad
