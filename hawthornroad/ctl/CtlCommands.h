// The commands of hawthornroadctl. Each prints through a CtlPrinter and
// returns the exit code; errors are thrown, and reported by runCtl().

#ifndef HAWTHORNROAD_CTL_CTLCOMMANDS_H
#define HAWTHORNROAD_CTL_CTLCOMMANDS_H

#include "hawthornroad/ctl/Ctl.h"
#include "hawthornroad/ctl/CtlOptions.h"

#include <boost/json/object.hpp>
#include <cstdint>
#include <ostream>
#include <string>

namespace hawthornroad {

// Takes a command's result as text and as JSON, and prints the requested form.
class CtlPrinter {
public:
  CtlPrinter(std::ostream &Out, bool AsJson) : Out_(Out), AsJson_(AsJson) {}

  // Prints one line of text; nothing with --json.
  void line(const std::string &Text);
  // Prints the complete result as JSON; nothing without --json.
  void result(const boost::json::object &Result);

private:
  std::ostream &Out_;
  bool AsJson_;
};

// "2026-12-02 18:01:18Z" for milliseconds since the epoch.
std::string formatWallClock(std::int64_t Milliseconds);

CtlExit ctlValidate(const CtlOptions &O, CtlPrinter &P);
CtlExit ctlDiff(const CtlOptions &O, CtlPrinter &P);
CtlExit ctlApply(const CtlOptions &O, CtlPrinter &P);
CtlExit ctlRollback(const CtlOptions &O, CtlPrinter &P);
CtlExit ctlHistory(const CtlOptions &O, CtlPrinter &P);
CtlExit ctlStatus(const CtlOptions &O, CtlPrinter &P);
CtlExit ctlExplain(const CtlOptions &O, CtlPrinter &P);
CtlExit ctlDrain(const CtlOptions &O, CtlPrinter &P);
CtlExit ctlManifest(const CtlOptions &O, CtlPrinter &P);
// On the logs of store-based processes: ctlTrace prints the events of one
// request, ctlLogs counts failed requests by cause, ctlCuts answers cut and
// attempts ended by their process by reason, ctlStarts shows the steps of
// starts.
CtlExit ctlTrace(const CtlOptions &O, CtlPrinter &P);
CtlExit ctlLogs(const CtlOptions &O, CtlPrinter &P);
CtlExit ctlCuts(const CtlOptions &O, CtlPrinter &P);
CtlExit ctlStarts(const CtlOptions &O, CtlPrinter &P);

} // namespace hawthornroad

#endif // HAWTHORNROAD_CTL_CTLCOMMANDS_H
