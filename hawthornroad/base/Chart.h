// State charts (state machines) that are stored as JSON files in charts/ and
// interpreted at run time.
//
//   enum class Phase { Waiting, Running, Done };
//   enum class Event { Accepted, Ended };
//   Chart C = Chart::parse(Text, "attempt.json",
//       {.States_ = {"waiting", "running", "done"},
//        .Events_ = {"accepted", "ended"},
//        .Guards_ = {"is_whole"}, .Actions_ = {"answer"}});
//   Chart::Step S = C.fire(State, Event, [&](std::size_t Guard) {...});
//   State = S.Next_;
//   for (std::size_t Action : S.Actions_) ...
//
// States, events, guards and actions are indices into the names that the code
// declares, so enums map to them by position. A file has this form:
//
//   {"chart": "attempt", "initial": "waiting",
//    "states": {
//      "waiting": {"on": {"accepted": {"to": "running"}}},
//      "running": {"on": {"ended": [{"if": "is_whole", "to": "done",
//                                    "do": ["answer"]},
//                                   {"to": "waiting"}]}},
//      "done": {"final": true}}}
//
// The first transition whose guard holds is taken ("!name" negates a guard). An
// event without a transition is ignored and leaves the state unchanged, because
// events can arrive late, duplicated or out of order; a chart lists only the
// events it reacts to. parse() rejects unknown names, names that the code
// declares but the file never uses, unreachable states, and final states with
// transitions. Cost of fire(): one array look-up and the guards.

#ifndef HAWTHORNROAD_BASE_CHART_H
#define HAWTHORNROAD_BASE_CHART_H

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornroad {

// The names that the code binds to a chart; a position is an enum value.
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
    // Whether a transition was taken, including one to the same state.
    bool Taken_ = false;
  };
  using GuardFn = std::function<bool(std::size_t)>;

  // Throws Error(Step::Chart, File, ...) that lists every fault.
  static Chart parse(std::string_view Text, const std::string &File,
                     ChartNames Names);
  // Reads Directory/Name.json and parses it like parse().
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
