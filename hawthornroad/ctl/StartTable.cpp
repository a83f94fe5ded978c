#include "hawthornroad/ctl/StartTable.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace hawthornroad {

namespace {
constexpr auto StartStepName = "start";
constexpr auto AnswerStepName = "answer";

// A start of a process, and the time of each step.
struct Run {
  StartGroup Group_;
  double StartedAt_ = 0;
  std::map<std::string, double> ReachedMs_;
};

std::optional<std::string> stepOf(const LogEvent &E) {
  static const std::set<std::string> States = {
      "config", "endpoint", "source", "ready", "engine", "version_wanted"};
  std::string Kind = E.kind();
  if (States.contains(Kind))
    return Kind;
  if (Kind == "request" && E.number("status") == 200)
    return AnswerStepName;
  return std::nullopt;
}

std::vector<Run> runsOf(const LogTimeline &Timeline) {
  std::map<std::pair<std::string, unsigned>, Run> Runs;
  for (const LogEvent &E : Timeline.events()) {
    std::pair Key(E.Process_, E.Run_);
    if (E.kind() == StartStepName)
      Runs[Key] = {{E.text("role"), E.text("zone"), E.Run_},
                   E.MonotonicTime_,
                   {{StartStepName, 0}}};
    auto Found = Runs.find(Key);
    auto Step = stepOf(E);
    if (Step && Found != Runs.end())
      Found->second.ReachedMs_.emplace(
          *Step, 1000 * (E.MonotonicTime_ - Found->second.StartedAt_));
  }
  std::vector<Run> Out;
  for (auto &[Key, R] : Runs)
    Out.push_back(std::move(R));
  return Out;
}

StartStep summarize(std::vector<double> Times) {
  std::sort(Times.begin(), Times.end());
  return {Times.size(), Times[(Times.size() - 1) / 2], Times.back()};
}

std::string describe(const std::string &Name, const StartStep &Step) {
  std::array<char, 64> Text{};
  std::snprintf(Text.data(), Text.size(), " %zu, %.0f ms (last %.0f ms)",
                Step.Count_, Step.MedianMs_, Step.LastMs_);
  return Name + Text.data();
}
} // namespace

StartTable startTableOf(const LogTimeline &Timeline) {
  std::map<StartGroup, std::map<std::string, std::vector<double>>> Times;
  for (const Run &R : runsOf(Timeline))
    for (const auto &[Step, Ms] : R.ReachedMs_)
      Times[R.Group_][Step].push_back(Ms);
  StartTable Out;
  for (auto &[Group, Steps] : Times)
    for (auto &[Step, Ms] : Steps)
      Out[Group][Step] = summarize(std::move(Ms));
  return Out;
}

std::string describe(const StartGroup &Group, const StartSteps &Steps) {
  std::vector<std::pair<std::string, StartStep>> Ordered;
  std::size_t Starts = 0;
  for (const auto &[Name, Step] : Steps)
    if (Name == StartStepName)
      Starts = Step.Count_;
    else
      Ordered.emplace_back(Name, Step);
  std::stable_sort(Ordered.begin(), Ordered.end(),
                   [](const auto &A, const auto &B) {
                     return A.second.MedianMs_ < B.second.MedianMs_;
                   });
  std::string Out = Group.Role_ + " " + Group.Zone_ + " start " +
                    std::to_string(Group.Run_) + ": " + std::to_string(Starts) +
                    " starts";
  for (const auto &[Name, Step] : Ordered)
    Out += "  " + describe(Name, Step);
  return Out;
}

} // namespace hawthornroad
