#include "hawthornroad/ctl/LogReader.h"

#include <algorithm>
#include <array>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <set>

namespace hawthornroad {

namespace json = boost::json;

namespace {
constexpr double MillisPerSecond = 1000;
constexpr unsigned MinErrorStatus = 400;

double numberOf(const json::object &O, std::string_view Key) {
  const json::value *V = O.if_contains({Key.data(), Key.size()});
  return V != nullptr && V->is_number() ? V->to_number<double>() : 0;
}

// Whether the event reports the state of the process, endpoints excluded.
bool isProcessState(const std::string &Kind) {
  static const std::set<std::string> Kinds = {
      "config",     "ready",          "not_ready", "store_lost",
      "store_back", "version_wanted", "start",     "stopping"};
  return Kinds.contains(Kind);
}

// Whether the event concerns one endpoint or engine.
bool isEndpointEvent(const std::string &Kind) {
  return Kind == "endpoint" || Kind == "endpoint_changed" ||
         Kind == "endpoint_gone" || Kind == "engine_told";
}
} // namespace

std::string LogEvent::text(std::string_view Key) const {
  const json::value *V = Fields_.if_contains({Key.data(), Key.size()});
  if (V == nullptr)
    return {};
  if (V->is_string())
    return {V->get_string().data(), V->get_string().size()};
  if (V->is_double()) {
    std::array<char, 32> Text{};
    std::snprintf(Text.data(), Text.size(), "%.7g", V->get_double());
    return Text.data();
  }
  return json::serialize(*V);
}

double LogEvent::number(std::string_view Key) const {
  return numberOf(Fields_, Key);
}

void LogTimeline::read(std::istream &In) {
  for (std::string Line; std::getline(In, Line);) {
    // Log collectors may prefix a line.
    std::size_t From = Line.find('{');
    boost::system::error_code Code;
    json::value Parsed;
    if (From != std::string::npos)
      Parsed = json::parse(Line.substr(From), Code);
    bool IsEvent = !Code && Parsed.is_object() &&
                   Parsed.get_object().contains("event") &&
                   Parsed.get_object().contains("t") &&
                   Parsed.get_object().contains("process");
    if (!IsEvent) {
      ++BadLines_;
      continue;
    }
    LogEvent E;
    E.Fields_ = std::move(Parsed.get_object());
    E.Process_ = E.text("process");
    E.MonotonicTime_ = numberOf(E.Fields_, "t");
    Start &S = Starts_[E.Process_];
    if (E.kind() == "start")
      S = {S.Run_ + 1,
           numberOf(E.Fields_, "wall_ms") / MillisPerSecond - E.MonotonicTime_};
    E.Run_ = S.Run_;
    if (S.Run_ > 0)
      E.WallTime_ = E.MonotonicTime_ + S.Offset_;
    if (E.kind() == "log_dropped")
      Dropped_ += static_cast<std::uint64_t>(numberOf(E.Fields_, "lines"));
    Events_.push_back(std::move(E));
  }
}

void LogTimeline::addPrecedingState(const LogEvent &First,
                                    const std::vector<LogEvent> &RequestEvents,
                                    std::vector<LogEvent> &Out) const {
  std::set<std::string> Endpoints;
  for (const LogEvent &E : RequestEvents) {
    Endpoints.insert(E.text("endpoint"));
    Endpoints.insert(E.text("address"));
  }
  Endpoints.erase("");
  // The last event of each kind, and of each kind and endpoint.
  std::map<std::string, const LogEvent *> Last;
  for (const LogEvent &E : Events_) {
    if (E.Process_ != First.Process_ || E.Run_ != First.Run_ ||
        E.MonotonicTime_ > First.MonotonicTime_)
      continue;
    std::string Kind = E.kind();
    if (isProcessState(Kind))
      Last[Kind + E.text("table")] = &E;
    else if (isEndpointEvent(Kind) && (Endpoints.contains(E.text("endpoint")) ||
                                       Endpoints.contains(E.text("address"))))
      Last[Kind + E.text("endpoint") + E.text("address")] = &E;
  }
  for (const auto &[Key, E] : Last)
    Out.push_back(*E);
}

std::vector<std::vector<LogEvent>>
LogTimeline::linesOfRequest(const std::string &Id) const {
  std::map<std::pair<std::string, unsigned>, std::vector<LogEvent>> ByRun;
  for (const LogEvent &E : Events_)
    if (E.text("request") == Id)
      ByRun[{E.Process_, E.Run_}].push_back(E);
  std::vector<std::vector<LogEvent>> Out;
  for (auto &[Run, Lines] : ByRun) {
    std::stable_sort(Lines.begin(), Lines.end(),
                     [](const LogEvent &A, const LogEvent &B) {
                       return A.MonotonicTime_ < B.MonotonicTime_;
                     });
    Out.push_back(std::move(Lines));
  }
  return Out;
}

std::vector<const LogEvent *>
LogTimeline::endOfRun(const LogEvent &From) const {
  std::vector<const LogEvent *> Out;
  const LogEvent *NextStart = nullptr;
  for (const LogEvent &E : Events_) {
    if (E.Process_ != From.Process_)
      continue;
    std::string Kind = E.kind();
    bool IsEnd = Kind == "stopping" || Kind == "stop";
    if (IsEnd && E.Run_ == From.Run_ && E.MonotonicTime_ >= From.MonotonicTime_)
      Out.push_back(&E);
    // Files may be read in any order, so runs are compared by time.
    if (Kind != "start" || E.Run_ == From.Run_ || E.WallTime_ < From.WallTime_)
      continue;
    if (NextStart == nullptr || E.WallTime_ < NextStart->WallTime_)
      NextStart = &E;
  }
  if (NextStart != nullptr)
    Out.push_back(NextStart);
  return Out;
}

void LogTimeline::addLaterState(const std::vector<LogEvent> &RequestEvents,
                                std::vector<LogEvent> &Out) const {
  const LogEvent &First = RequestEvents.front();
  double Begin = First.MonotonicTime_;
  double End = RequestEvents.back().MonotonicTime_;
  bool HasEnded = false;
  for (const LogEvent &E : RequestEvents)
    if (E.kind() == "request") {
      HasEnded = true;
      Begin = std::min(Begin, E.MonotonicTime_ -
                                  E.number("whole_ms") / MillisPerSecond);
    }
  for (const LogEvent &E : Events_) {
    if (E.Process_ != First.Process_ || E.Run_ != First.Run_ ||
        E.kind() != "paused")
      continue;
    double PausedAt = E.MonotonicTime_ - E.number("gap_ms") / MillisPerSecond;
    if (E.MonotonicTime_ >= Begin && (!HasEnded || PausedAt <= End))
      Out.push_back(E);
  }
  if (HasEnded)
    return;
  for (const LogEvent *E : endOfRun(RequestEvents.back()))
    Out.push_back(*E);
}

std::vector<LogEvent>
LogTimeline::eventsOfRequest(const std::string &Id) const {
  std::vector<LogEvent> Out;
  for (const std::vector<LogEvent> &Lines : linesOfRequest(Id)) {
    addPrecedingState(Lines.front(), Lines, Out);
    Out.insert(Out.end(), Lines.begin(), Lines.end());
    addLaterState(Lines, Out);
  }
  std::stable_sort(Out.begin(), Out.end(),
                   [](const LogEvent &A, const LogEvent &B) {
                     if (A.Process_ == B.Process_ && A.Run_ == B.Run_)
                       return A.MonotonicTime_ < B.MonotonicTime_;
                     return A.WallTime_ < B.WallTime_;
                   });
  return Out;
}

std::map<std::string, LogTimeline::CauseCount> LogTimeline::refusals() const {
  std::map<std::string, CauseCount> Out;
  for (const LogEvent &E : Events_) {
    if (E.kind() != "request")
      continue;
    bool IsFailure = numberOf(E.Fields_, "status") >= MinErrorStatus ||
                     E.text("cause") != "none";
    if (!IsFailure)
      continue;
    CauseCount &C = Out[E.text("status") + " " + E.text("cause")];
    ++C.Count_;
    if (C.Example_.empty())
      C.Example_ = E.text("request");
  }
  return Out;
}

std::size_t LogTimeline::requests() const {
  return static_cast<std::size_t>(
      std::count_if(Events_.begin(), Events_.end(),
                    [](const LogEvent &E) { return E.kind() == "request"; }));
}

std::string describe(const LogEvent &E) {
  std::array<char, 32> At{};
  std::snprintf(At.data(), At.size(), "%.3f",
                E.WallTime_ != 0 ? E.WallTime_ : E.MonotonicTime_);
  std::string Out = std::string(At.data()) + " " + E.Process_ + " " + E.kind();
  static const std::set<std::string, std::less<>> Shown = {"t", "process",
                                                           "event"};
  for (const auto &Field : E.Fields_) {
    std::string Key(Field.key().data(), Field.key().size());
    if (!Shown.contains(Key))
      Out += " " + Key + "=" + E.text(Key);
  }
  return Out;
}

} // namespace hawthornroad
