// Reports each finished request: one log line, histograms per customer and
// priority, and counters per outcome and cause.
//
//   RequestReport Report(Metrics);
//   Report.done(Done);

#ifndef HAWTHORNROAD_RUNTIME_REQUESTREPORT_H
#define HAWTHORNROAD_RUNTIME_REQUESTREPORT_H

#include "hawthornroad/routing/RequestTypes.h"
#include "hawthornroad/runtime/Metrics.h"

namespace hawthornroad {

class RequestReport {
public:
  explicit RequestReport(Metrics &M) : Metrics_(M) {}
  void done(const RequestDone &Done);

private:
  Metrics &Metrics_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_REQUESTREPORT_H
