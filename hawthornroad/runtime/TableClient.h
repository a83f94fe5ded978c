// Blocking calls to the platform's table for command-line programs: performs
// the calls that config/ApplyProtocol.h requests, and reads the history.
//
//   TableClient Table("10.0.0.1:7000", Seconds(2));
//   TableAnswer A = Table.perform(Call);
//   RevisionFold Now = Table.latest();    // throws Error(Step::Table)
//
// perform() never throws on network errors: a write that was sent but not
// answered is Lost, one that was never sent is NotSent.

#ifndef HAWTHORNROAD_RUNTIME_TABLECLIENT_H
#define HAWTHORNROAD_RUNTIME_TABLECLIENT_H

#include "hawthornroad/config/ApplyProtocol.h"
#include "hawthornroad/runtime/Http.h"
#include "hawthornroad/runtime/Io.h"

#include <string>
#include <vector>

namespace hawthornroad {

class TableClient {
public:
  TableClient(std::string Address, Duration Timeout);

  // Waits for Call.Delay_ before the call.
  TableAnswer perform(const TableCall &Call);

  // The latest text: the snapshot with the revisions after it applied.
  RevisionFold latest();
  // The text of revision N, or of the latest one when N is higher.
  RevisionFold textAt(Revision N);
  // All records after revision After, in order.
  std::vector<RevisionRecord> recordsAfter(Revision After);
  const std::string &address() const { return Address_; }
  // Why the last call failed, for error messages.
  const std::string &lastFailure() const { return LastFailure_; }

private:
  HttpResult send(HttpRequest R);
  TableAnswer read(const TableCall &Call);
  TableAnswer write(const TableCall &Call);
  TableAnswer readWithRetries(const TableCall &Call);
  RevisionFold snapshotUpTo(Revision N);

  std::string Address_;
  Duration Timeout_;
  std::string LastFailure_;
  IoThread Io_{"table", 64};
  HttpClient Client_{Io_};
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_TABLECLIENT_H
