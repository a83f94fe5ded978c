#include "hawthornroad/base/Error.h"
#include "hawthornroad/ctl/CtlCommands.h"
#include "hawthornroad/ctl/LogReader.h"

#include <boost/json/array.hpp>
#include <fstream>

namespace hawthornroad {

namespace json = boost::json;

namespace {
LogStory readFiles(const std::vector<std::string> &Files) {
  LogStory Story;
  for (const std::string &File : Files) {
    std::ifstream In(File);
    if (!In)
      throw Error(Step::Settings, File, "cannot be opened");
    Story.read(In);
  }
  return Story;
}

void noteQuality(const LogStory &Story, CtlPrinter &P, json::object &Result) {
  Result["lines"] = Story.lines();
  Result["bad_lines"] = Story.badLines();
  Result["dropped_lines"] = Story.droppedLines();
  if (Story.badLines() > 0)
    P.line(std::to_string(Story.badLines()) +
           " lines are not of this system's logs and were passed over");
  if (Story.droppedLines() > 0)
    P.line(std::to_string(Story.droppedLines()) +
           " lines were dropped by the processes that wrote them");
}
} // namespace

CtlExit ctlTrace(const CtlOptions &O, CtlPrinter &P) {
  const std::string &Id = O.Operands_.front();
  LogStory Story = readFiles({O.Operands_.begin() + 1, O.Operands_.end()});
  std::vector<LogEvent> Events = Story.ofRequest(Id);
  json::object Result;
  json::array Out;
  for (const LogEvent &E : Events) {
    P.line(describe(E));
    Out.push_back(E.Fields_);
  }
  Result["request"] = Id;
  Result["events"] = std::move(Out);
  noteQuality(Story, P, Result);
  if (Events.empty())
    P.line("no line names request " + Id);
  P.result(Result);
  return Events.empty() ? CtlExit::Failed : CtlExit::Done;
}

CtlExit ctlLogs(const CtlOptions &O, CtlPrinter &P) {
  LogStory Story = readFiles(O.Operands_);
  json::object Result;
  json::object Causes;
  P.line(std::to_string(Story.requests()) + " requests");
  for (const auto &[Cause, C] : Story.refusals()) {
    P.line("  " + std::to_string(C.Count_) + "  " + Cause +
           "  (one: " + C.Example_ + ")");
    Causes[Cause] = json::object{{"count", C.Count_}, {"one", C.Example_}};
  }
  Result["requests"] = Story.requests();
  Result["causes"] = std::move(Causes);
  noteQuality(Story, P, Result);
  P.result(Result);
  return CtlExit::Done;
}

} // namespace hawthornroad
