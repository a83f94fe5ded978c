#include "hawthornroad/routing/DrainState.h"

namespace hawthornroad {

namespace {
enum State : std::size_t { Serving, Draining, Lingering, Left };
enum Event : std::size_t { Stop, Idle, Limit, Acknowledged };
} // namespace

Chart drainChart(const std::string &Directory) {
  return Chart::load(Directory, "drain",
                     {.States_ = {"serving", "draining", "lingering", "left"},
                      .Events_ = {"stop", "idle", "limit", "acknowledged"},
                      .Guards_ = {},
                      .Actions_ = {"publish", "give_up_attempts", "leave"}});
}

DrainState::DrainState(Chart C, Limits L)
    : Chart_(std::move(C)), Limits_(L), State_(Chart_.initial()) {}

DrainActions DrainState::stop(TimePoint Now) { return fire(Stop, Now); }

DrainActions DrainState::tick(const Work &W, TimePoint Now) {
  Duration Elapsed = Now - Since_;
  if (State_ == Draining) {
    if (W.Running_ == 0)
      return fire(Idle, Now);
    if (Elapsed >= Limits_.Limit_)
      return fire(Limit, Now);
  }
  if (State_ == Lingering) {
    if (Elapsed >= Limits_.Linger_)
      return fire(Limit, Now);
    if (W.Unacknowledged_ == 0 && Elapsed >= Limits_.MinLinger_)
      return fire(Acknowledged, Now);
  }
  return {};
}

DrainActions DrainState::fire(std::size_t Event, TimePoint Now) {
  Chart::Step Taken =
      Chart_.fire(State_, Event, [](std::size_t) { return false; });
  if (Taken.Next_ != State_)
    Since_ = Now;
  State_ = Taken.Next_;
  DrainActions Out;
  for (std::size_t Each : Taken.Actions_)
    Out.push_back(static_cast<DrainAction>(Each));
  return Out;
}

bool DrainState::isServing() const { return State_ == Serving; }

bool DrainState::hasLeft() const { return Chart_.isFinal(State_); }

const std::string &DrainState::name() const {
  return Chart_.names().States_[State_];
}

} // namespace hawthornroad
