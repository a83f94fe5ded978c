#include "hawthornroad/base/Error.h"
#include "hawthornroad/ctl/CtlCommands.h"
#include "hawthornroad/ctl/CutTable.h"
#include "hawthornroad/ctl/LogReader.h"
#include "hawthornroad/ctl/RequestStory.h"
#include "hawthornroad/ctl/StartTable.h"

#include <boost/json/array.hpp>
#include <fstream>

namespace hawthornroad {

namespace json = boost::json;

namespace {
LogTimeline readFiles(const std::vector<std::string> &Files) {
  LogTimeline Timeline;
  for (const std::string &File : Files) {
    std::ifstream In(File);
    if (!In)
      throw Error(Step::Settings, File, "cannot be opened");
    Timeline.read(In);
  }
  return Timeline;
}

void reportLineCounts(const LogTimeline &Timeline, CtlPrinter &P,
                      json::object &Result) {
  Result["lines"] = Timeline.lines();
  Result["bad_lines"] = Timeline.badLines();
  Result["dropped_lines"] = Timeline.droppedLines();
  if (Timeline.badLines() > 0)
    P.line(std::to_string(Timeline.badLines()) +
           " lines are not of this system's logs and were passed over");
  if (Timeline.droppedLines() > 0)
    P.line(std::to_string(Timeline.droppedLines()) +
           " lines were dropped by the processes that wrote them");
}

std::string_view endName(RequestEnd E) {
  switch (E) {
  case RequestEnd::Answered:
    return "answered";
  case RequestEnd::Cut:
    return "cut";
  case RequestEnd::ProcessStopped:
    return "process_stopped";
  case RequestEnd::ProcessEnded:
    return "process_ended";
  case RequestEnd::Unknown:
    break;
  }
  return "unknown";
}

json::object toJson(const AttemptSpan &A) {
  json::object Out{
      {"ordinal", A.Ordinal_},  {"endpoint", A.Endpoint_},
      {"begun_ms", A.BegunMs_}, {"end", A.End_},
      {"why", A.Why_},          {"beside_other", A.IsBesideOther_}};
  if (A.EndedMs_)
    Out["ended_ms"] = *A.EndedMs_;
  if (A.SilentMs_)
    Out["silent_ms"] = *A.SilentMs_;
  return Out;
}

json::array reportStories(const std::vector<RequestStory> &Stories,
                          CtlPrinter &P) {
  json::array Out;
  for (const RequestStory &S : Stories) {
    json::array Attempts;
    for (const AttemptSpan &A : S.Attempts_) {
      P.line(describe(A));
      Attempts.push_back(toJson(A));
    }
    P.line(describeEnd(S));
    Out.push_back(json::object{{"process", S.Process_},
                               {"attempts", std::move(Attempts)},
                               {"end", endName(S.End_)},
                               {"detail", S.Detail_}});
  }
  return Out;
}

json::object reportCuts(const std::map<std::string, CutCount> &ByReason,
                        CtlPrinter &P) {
  json::object Out;
  for (const auto &[Reason, C] : ByReason) {
    P.line("  " + describe(Reason, C));
    json::object Row{{"count", C.Count_},
                     {"paused", C.Paused_},
                     {"longest_pause_ms", C.LongestPauseMs_},
                     {"one", C.Example_}};
    if (C.MedianSilentMs_) {
      Row["median_silent_ms"] = *C.MedianSilentMs_;
      Row["max_silent_ms"] = *C.MaxSilentMs_;
    }
    Out[Reason] = std::move(Row);
  }
  return Out;
}
} // namespace

CtlExit ctlTrace(const CtlOptions &O, CtlPrinter &P) {
  const std::string &Id = O.Operands_.front();
  LogTimeline Timeline =
      readFiles({O.Operands_.begin() + 1, O.Operands_.end()});
  std::vector<LogEvent> Events = Timeline.eventsOfRequest(Id);
  json::object Result;
  json::array Out;
  for (const LogEvent &E : Events) {
    P.line(describe(E));
    Out.push_back(E.Fields_);
  }
  Result["request"] = Id;
  Result["events"] = std::move(Out);
  Result["stories"] = reportStories(storiesOf(Timeline, Id), P);
  reportLineCounts(Timeline, P, Result);
  if (Events.empty())
    P.line("no line names request " + Id);
  P.result(Result);
  return Events.empty() ? CtlExit::Failed : CtlExit::Done;
}

CtlExit ctlLogs(const CtlOptions &O, CtlPrinter &P) {
  LogTimeline Timeline = readFiles(O.Operands_);
  json::object Result;
  json::object Causes;
  P.line(std::to_string(Timeline.requests()) + " requests");
  for (const auto &[Cause, C] : Timeline.refusals()) {
    P.line("  " + std::to_string(C.Count_) + "  " + Cause +
           "  (one: " + C.Example_ + ")");
    Causes[Cause] = json::object{{"count", C.Count_}, {"one", C.Example_}};
  }
  Result["requests"] = Timeline.requests();
  Result["causes"] = std::move(Causes);
  reportLineCounts(Timeline, P, Result);
  P.result(Result);
  return CtlExit::Done;
}

CtlExit ctlCuts(const CtlOptions &O, CtlPrinter &P) {
  LogTimeline Timeline = readFiles(O.Operands_);
  CutTable Table = cutTableOf(Timeline);
  json::object Result;
  P.line(std::to_string(Table.answers()) + " answers cut");
  Result["answers_cut"] = reportCuts(Table.Answers_, P);
  P.line(std::to_string(Table.attempts()) + " attempts ended by the process");
  Result["attempts_ended"] = reportCuts(Table.Attempts_, P);
  reportLineCounts(Timeline, P, Result);
  P.result(Result);
  return CtlExit::Done;
}

CtlExit ctlStarts(const CtlOptions &O, CtlPrinter &P) {
  LogTimeline Timeline = readFiles(O.Operands_);
  json::object Result;
  json::array Groups;
  for (const auto &[Group, Steps] : startTableOf(Timeline)) {
    P.line(describe(Group, Steps));
    json::object Reached;
    for (const auto &[Name, Step] : Steps)
      Reached[Name] = json::object{{"count", Step.Count_},
                                   {"median_ms", Step.MedianMs_},
                                   {"last_ms", Step.LastMs_}};
    Groups.push_back(json::object{{"role", Group.Role_},
                                  {"zone", Group.Zone_},
                                  {"run", Group.Run_},
                                  {"steps", std::move(Reached)}});
  }
  Result["starts"] = std::move(Groups);
  reportLineCounts(Timeline, P, Result);
  P.result(Result);
  return CtlExit::Done;
}

} // namespace hawthornroad
