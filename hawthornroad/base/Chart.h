// State charts kept in JSON files (charts/*.json) and interpreted by the code.
//
//   enum class Phase { Waiting, Running, Done };
//   enum class Word { Accepted, Ended };
//   Chart C = Chart::parse(Text, "attempt.json",
//       {.States_ = {"waiting", "running", "done"},
//        .Events_ = {"accepted", "ended"},
//        .Guards_ = {"is_whole"}, .Actions_ = {"answer"}});
//   Chart::Step S = C.fire(State, Event, [&](std::size_t Guard) {...});
//   State = S.Next_;
//   for (std::size_t Action : S.Actions_) ...
//
// States, events, guards and actions are the indices of the names the code
// declares, so enums map to them by position. A file reads
//
//   {"chart": "attempt", "initial": "waiting",
//    "states": {
//      "waiting": {"on": {"accepted": {"to": "running"}}},
//      "running": {"on": {"ended": [{"if": "is_whole", "to": "done",
//                                    "do": ["answer"]},
//                                   {"to": "waiting"}]}},
//      "done": {"final": true}}}
//
// The first transition whose guard holds is taken ("!name" negates). An event
// without a transition leaves the state as it is and does nothing: events come
// late, twice and out of order, and a chart must say what it reacts to, not
// what it ignores. parse() refuses unknown names, names the code declares but
// the file never uses, unreachable states and final states with transitions.
// Cost of fire(): an array look-up and the guards.

#ifndef HAWTHORNROAD_BASE_CHART_H
#define HAWTHORNROAD_BASE_CHART_H

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornroad {

// The names a piece of code binds to a chart.
struct ChartNames {
  std::vector<std::string> States_;
  std::vector<std::string> Events_;
  std::vector<std::string> Guards_;
  std::vector<std::string> Actions_;
};

class Chart {
public:
  struct Step {
    std::size_t Next_ = 0;
    std::vector<std::size_t> Actions_;
    // Whether a transition was taken, be it to the same state.
    bool Taken_ = false;
  };
  using GuardFn = std::function<bool(std::size_t)>;

  // Throws Error(Step::Chart, File, ...) naming every fault.
  static Chart parse(std::string_view Text, const std::string &File,
                     ChartNames Names);
  // Reads Directory/Name.json, then as parse().
  static Chart load(const std::string &Directory, const std::string &Name,
                    ChartNames Names);

  std::size_t initial() const { return Initial_; }
  bool isFinal(std::size_t State) const { return Final_[State]; }
  Step fire(std::size_t State, std::size_t Event, const GuardFn &Guard) const;
  const ChartNames &names() const { return Names_; }

private:
  struct Transition {
    std::size_t Guard_ = NoGuard;
    bool Negated_ = false;
    std::size_t To_ = 0;
    std::vector<std::size_t> Actions_;
  };
  static constexpr std::size_t NoGuard = static_cast<std::size_t>(-1);
  friend class ChartParser;

  ChartNames Names_;
  std::size_t Initial_ = 0;
  std::vector<bool> Final_;
  // Indexed by State * number of events + Event.
  std::vector<std::vector<Transition>> Table_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_BASE_CHART_H
