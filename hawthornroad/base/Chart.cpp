#include "hawthornroad/base/Chart.h"
#include "hawthornroad/base/Error.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>

namespace hawthornroad {

namespace json = boost::json;

// Builds the transition table from a chart file. All faults are collected and
// reported together; each text begins with the state or transition that it
// concerns.
class ChartParser {
public:
  explicit ChartParser(ChartNames Names) { C_.Names_ = std::move(Names); }

  // Throws Error(Step::Chart, File) with all faults, separated by semicolons.
  Chart parse(std::string_view Text, const std::string &File) {
    C_.Final_.assign(C_.Names_.States_.size(), false);
    C_.Table_.resize(C_.Names_.States_.size() * C_.Names_.Events_.size());
    readDocument(Text);
    if (Faults_.empty())
      checkWhole();
    if (!Faults_.empty())
      throw Error(Step::Chart, File, joinFaults());
    return std::move(C_);
  }

private:
  static constexpr std::size_t Unknown = static_cast<std::size_t>(-1);
  using Used = std::set<std::size_t>;

  void fault(const std::string &Where, const std::string &Message) {
    Faults_.push_back(Where.empty() ? Message : Where + ": " + Message);
  }

  std::string joinFaults() const {
    std::string Out;
    for (const std::string &Each : Faults_)
      Out += (Out.empty() ? "" : "; ") + Each;
    return Out;
  }

  void readDocument(std::string_view Text) {
    json::parse_options Options;
    Options.allow_comments = true;
    Options.allow_trailing_commas = true;
    json::error_code Code;
    json::value Root = json::parse(Text, Code, {}, Options);
    if (Code) {
      fault("", "not JSON: " + Code.message());
      return;
    }
    const json::object *Top = Root.if_object();
    if (Top == nullptr) {
      fault("", "expected an object");
      return;
    }
    checkKeys(*Top, "", {"chart", "initial", "states"});
    readText(*Top, "chart", "");
    readInitial(*Top);
    readStates(*Top);
  }

  void checkKeys(const json::object &Object, const std::string &Where,
                 const std::vector<std::string> &Known) {
    for (const auto &Member : Object)
      if (std::find(Known.begin(), Known.end(), Member.key()) == Known.end())
        fault(Where, "unknown key \"" + std::string(Member.key()) + "\"");
  }

  std::optional<std::string> readText(const json::object &Object,
                                      const std::string &Key,
                                      const std::string &Where) {
    const json::value *Found = Object.if_contains(Key);
    if (Found != nullptr && Found->is_string())
      return std::string(Found->get_string());
    fault(Where, "\"" + Key + "\" must be a text");
    return std::nullopt;
  }

  // Returns the index of Name among the declared names and marks it as used.
  std::size_t indexOf(const std::string &Name, const std::string &Kind,
                      const std::vector<std::string> &Names,
                      const std::string &Where, Used &Seen) {
    auto At = std::find(Names.begin(), Names.end(), Name);
    if (At == Names.end()) {
      fault(Where, "unknown " + Kind + " \"" + Name + "\"");
      return Unknown;
    }
    std::size_t Index = static_cast<std::size_t>(At - Names.begin());
    Seen.insert(Index);
    return Index;
  }

  void readInitial(const json::object &Top) {
    std::optional<std::string> Name = readText(Top, "initial", "");
    if (!Name)
      return;
    Used Ignored;
    std::size_t Found =
        indexOf(*Name, "state", C_.Names_.States_, "initial", Ignored);
    if (Found != Unknown)
      C_.Initial_ = Found;
  }

  void readStates(const json::object &Top) {
    const json::value *States = Top.if_contains("states");
    if (States == nullptr || !States->is_object()) {
      fault("", "\"states\" must be an object");
      return;
    }
    for (const auto &Member : States->get_object()) {
      std::string Name(Member.key());
      std::string Where = "state \"" + Name + "\"";
      std::size_t State =
          indexOf(Name, "state", C_.Names_.States_, "states", States_);
      if (!Member.value().is_object())
        fault(Where, "expected an object");
      else
        readState(State, Member.value().get_object(), Where);
    }
  }

  void readState(std::size_t State, const json::object &Body,
                 const std::string &Where) {
    checkKeys(Body, Where, {"on", "final"});
    bool IsFinal = readFinal(Body, Where);
    if (State != Unknown)
      C_.Final_[State] = IsFinal;
    const json::value *On = Body.if_contains("on");
    if (On == nullptr)
      return;
    if (!On->is_object()) {
      fault(Where, "\"on\" must be an object");
      return;
    }
    if (IsFinal && !On->get_object().empty())
      fault(Where, "is final and has transitions");
    for (const auto &Member : On->get_object())
      readEvent(State, std::string(Member.key()), Member.value(), Where);
  }

  bool readFinal(const json::object &Body, const std::string &Where) {
    const json::value *Final = Body.if_contains("final");
    if (Final == nullptr)
      return false;
    if (!Final->is_bool())
      fault(Where, "\"final\" must be true or false");
    return Final->is_bool() && Final->get_bool();
  }

  void readEvent(std::size_t State, const std::string &Name,
                 const json::value &Body, const std::string &StateWhere) {
    std::string Where = StateWhere + ", event \"" + Name + "\"";
    std::size_t Event =
        indexOf(Name, "event", C_.Names_.Events_, StateWhere, Events_);
    json::array Choices =
        Body.is_array() ? Body.get_array() : json::array({Body});
    if (Choices.empty())
      fault(Where, "expected at least one transition");
    std::vector<Chart::Transition> Made;
    for (const json::value &Choice : Choices) {
      if (!Made.empty() && Made.back().Guard_ == Chart::NoGuard)
        fault(Where, "a transition after one without \"if\" is never taken");
      Made.push_back(readTransition(Choice, Where));
    }
    if (State != Unknown && Event != Unknown)
      C_.Table_[State * C_.Names_.Events_.size() + Event] = std::move(Made);
  }

  Chart::Transition readTransition(const json::value &Body,
                                   const std::string &Where) {
    Chart::Transition Made;
    const json::object *Object = Body.if_object();
    if (Object == nullptr) {
      fault(Where, "expected a transition object");
      return Made;
    }
    checkKeys(*Object, Where, {"if", "to", "do"});
    readGuard(*Object, Where, Made);
    Used Ignored;
    if (std::optional<std::string> To = readText(*Object, "to", Where))
      Made.To_ = indexOf(*To, "state", C_.Names_.States_, Where, Ignored);
    readActions(*Object, Where, Made);
    return Made;
  }

  void readGuard(const json::object &Object, const std::string &Where,
                 Chart::Transition &Made) {
    if (!Object.contains("if"))
      return;
    std::optional<std::string> Name = readText(Object, "if", Where);
    if (!Name)
      return;
    Made.Negated_ = !Name->empty() && Name->front() == '!';
    std::string Bare = Made.Negated_ ? Name->substr(1) : *Name;
    Made.Guard_ = indexOf(Bare, "guard", C_.Names_.Guards_, Where, Guards_);
  }

  void readActions(const json::object &Object, const std::string &Where,
                   Chart::Transition &Made) {
    const json::value *Do = Object.if_contains("do");
    if (Do == nullptr)
      return;
    if (!Do->is_array()) {
      fault(Where, "\"do\" must be a list of actions");
      return;
    }
    for (const json::value &Each : Do->get_array()) {
      if (!Each.is_string()) {
        fault(Where, "\"do\" must hold texts");
        continue;
      }
      Made.Actions_.push_back(indexOf(std::string(Each.get_string()), "action",
                                      C_.Names_.Actions_, Where, Actions_));
    }
  }

  // Checks that require all parts of the file to be valid.
  void checkWhole() {
    checkUsed("state", C_.Names_.States_, States_);
    checkUsed("event", C_.Names_.Events_, Events_);
    checkUsed("guard", C_.Names_.Guards_, Guards_);
    checkUsed("action", C_.Names_.Actions_, Actions_);
    Used Reached = reachable();
    for (std::size_t State : States_)
      if (!Reached.contains(State))
        fault("state \"" + C_.Names_.States_[State] + "\"",
              "cannot be reached from the initial state");
  }

  void checkUsed(const std::string &Kind, const std::vector<std::string> &Names,
                 const Used &Seen) {
    for (std::size_t I = 0; I < Names.size(); ++I)
      if (!Seen.contains(I))
        fault("", Kind + " \"" + Names[I] +
                      "\" is declared by the code but not used");
  }

  Used reachable() const {
    Used Reached = {C_.Initial_};
    std::vector<std::size_t> Frontier = {C_.Initial_};
    while (!Frontier.empty()) {
      std::size_t State = Frontier.back();
      Frontier.pop_back();
      for (std::size_t To : successors(State))
        if (Reached.insert(To).second)
          Frontier.push_back(To);
    }
    return Reached;
  }

  std::vector<std::size_t> successors(std::size_t State) const {
    std::vector<std::size_t> Out;
    std::size_t Width = C_.Names_.Events_.size();
    for (std::size_t Event = 0; Event < Width; ++Event)
      for (const Chart::Transition &T : C_.Table_[State * Width + Event])
        Out.push_back(T.To_);
    return Out;
  }

  Chart C_;
  std::vector<std::string> Faults_;
  Used States_;
  Used Events_;
  Used Guards_;
  Used Actions_;
};

Chart Chart::parse(std::string_view Text, const std::string &File,
                   ChartNames Names) {
  return ChartParser(std::move(Names)).parse(Text, File);
}

Chart Chart::load(const std::string &Directory, const std::string &Name,
                  ChartNames Names) {
  std::string File = Directory + "/" + Name + ".json";
  std::ifstream In(File, std::ios::binary);
  if (!In)
    throw Error(hawthornroad::Step::Chart, File, "cannot be opened");
  std::ostringstream Text;
  Text << In.rdbuf();
  return parse(Text.str(), File, std::move(Names));
}

Chart::Step Chart::fire(std::size_t State, std::size_t Event,
                        const GuardFn &Guard) const {
  for (const Transition &T : Table_[State * Names_.Events_.size() + Event]) {
    bool Holds = T.Guard_ == NoGuard || Guard(T.Guard_) != T.Negated_;
    if (Holds)
      return {.Next_ = T.To_, .Actions_ = T.Actions_, .Taken_ = true};
  }
  return {.Next_ = State, .Actions_ = {}, .Taken_ = false};
}

} // namespace hawthornroad
