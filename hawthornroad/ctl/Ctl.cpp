#include "hawthornroad/ctl/Ctl.h"
#include "hawthornroad/base/Error.h"
#include "hawthornroad/config/JsonText.h"
#include "hawthornroad/ctl/CtlCommands.h"

#include <array>
#include <boost/json/serialize.hpp>
#include <ctime>

namespace hawthornroad {

namespace json = boost::json;

void CtlPrinter::line(const std::string &Text) {
  if (!AsJson_)
    Out_ << Text << "\n";
}

void CtlPrinter::result(const json::object &Result) {
  if (AsJson_)
    Out_ << json::serialize(Result) << "\n";
}

std::string formatWallClock(std::int64_t Milliseconds) {
  std::time_t Whole = static_cast<std::time_t>(Milliseconds / 1000);
  std::tm Parts{};
  gmtime_r(&Whole, &Parts);
  std::array<char, 32> Text{};
  std::strftime(Text.data(), Text.size(), "%Y-%m-%d %H:%M:%SZ", &Parts);
  return Text.data();
}

namespace {
struct Command {
  std::string_view Name_;
  CtlExit (*Run_)(const CtlOptions &, CtlPrinter &);
};

constexpr std::array<Command, 13> Commands = {{{"validate", ctlValidate},
                                               {"diff", ctlDiff},
                                               {"apply", ctlApply},
                                               {"rollback", ctlRollback},
                                               {"history", ctlHistory},
                                               {"status", ctlStatus},
                                               {"explain", ctlExplain},
                                               {"drain", ctlDrain},
                                               {"manifest", ctlManifest},
                                               {"trace", ctlTrace},
                                               {"logs", ctlLogs},
                                               {"cuts", ctlCuts},
                                               {"starts", ctlStarts}}};

CtlExit runCommand(const CtlOptions &O, CtlPrinter &P) {
  for (const Command &Each : Commands)
    if (Each.Name_ == O.Command_)
      return Each.Run_(O, P);
  throw UsageError("unknown command \"" + O.Command_ + "\"");
}

CtlExit exitOf(const Error &E) {
  switch (E.step()) {
  case Step::Table:
  case Step::Connect:
  case Step::Send:
  case Step::Receive:
    return CtlExit::Unavailable;
  case Step::Declaration:
  case Step::Manifest:
  case Step::Chart:
    return CtlExit::Invalid;
  default:
    return CtlExit::Failed;
  }
}

json::array faultsOf(const TextError &E) {
  json::array Out;
  for (const Fault &Each : E.faults())
    Out.push_back(json::object{{"line", Each.Line_},
                               {"path", Each.Path_},
                               {"message", Each.Message_}});
  return Out;
}

// Prints an error as text and, with --json, as JSON.
int reportError(CtlExit Code, const std::string &Message, json::object Details,
                CtlPrinter &P, std::ostream &Err) {
  Details["outcome"] = "error";
  Details["exit"] = static_cast<int>(Code);
  Details["message"] = Message;
  P.result(Details);
  Err << "hawthornroadctl: " << Message << "\n";
  return static_cast<int>(Code);
}

int runChecked(const CtlOptions &O, CtlPrinter &P, std::ostream &Err) {
  try {
    return static_cast<int>(runCommand(O, P));
  } catch (const TextError &E) {
    return reportError(CtlExit::Invalid, E.what(),
                       {{"file", E.peer()}, {"faults", faultsOf(E)}}, P, Err);
  } catch (const Error &E) {
    return reportError(exitOf(E), E.what(),
                       {{"step", toString(E.step())}, {"peer", E.peer()}}, P,
                       Err);
  } catch (const UsageError &E) {
    return reportError(CtlExit::Invalid, E.what(), {}, P, Err);
  }
}
} // namespace

int runCtl(const std::vector<std::string> &Arguments, std::ostream &Out,
           std::ostream &Err) {
  try {
    CtlOptions O = parseCtlOptions(Arguments);
    CtlPrinter P(Out, O.Json_);
    if (O.Help_)
      Out << ctlHelp();
    else if (O.Version_)
      Out << "hawthornroadctl " << HAWTHORNROAD_VERSION << "\n";
    else
      return runChecked(O, P, Err);
    return static_cast<int>(CtlExit::Done);
  } catch (const UsageError &E) {
    Err << "hawthornroadctl: " << E.what() << "; see --help\n";
    return static_cast<int>(CtlExit::Invalid);
  }
}

} // namespace hawthornroad
