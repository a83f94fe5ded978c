#include "hawthornroad/base/Error.h"
#include "hawthornroad/ctl/CtlCommands.h"
#include "hawthornroad/ctl/LogReader.h"

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

} // namespace hawthornroad
