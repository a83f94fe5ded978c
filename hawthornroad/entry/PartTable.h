// Keeps what is known of prompt parts in the platform's store, where it
// outlives the processes that know it.
//
//   PartTable T(Transport, Owner, Random);
//   T.read(Now);                            // at a start
//   T.changed(Parts.takeChanged(), Now);    // in a process that writes
//   T.tick(Now);
//
// One row a part, with all that is known of it. Only parts that several
// endpoints have crashed under, or that were blocked, have one: one crash says
// nothing, and its batch has some tens of parts.
//
// A row is written in three steps: the table is listed, what it has is merged
// into the owner's knowledge, and a row that lacks some of that is replaced
// unless somebody else has written it meanwhile; then all is done again. So
// processes that know different things never undo each other's rows, and one
// that knows of a later whole answer corrects a row by reading it.
//
// Calls: one at a read, two for a change, which waits for WriteDelay for
// others to come with it. A call that fails is repeated after RetryDelay,
// doubled for each further failure up to MaxRetryDelay.
//
// Rows are not removed; one of a part that was found sound since says so.

#ifndef HAWTHORNROAD_ENTRY_PARTTABLE_H
#define HAWTHORNROAD_ENTRY_PARTTABLE_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/entry/RowFaults.h"
#include "hawthornroad/runtime/EventLog.h"
#include "hawthornroad/store/StoreClient.h"
#include "hawthornroad/traffic/CrashingParts.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hawthornroad {

class PartTable {
public:
  struct Transport {
    using Done = std::function<void(const StoreReply &)>;
    // Lists the table from a key on.
    std::function<void(const std::string &Table, const std::string &FromKey,
                       Done)>
        List_;
    std::function<void(const StoreTransaction &, Done)> Write_;
    std::function<TimePoint()> Clock_;
  };
  struct Owner {
    // Takes what the table has.
    std::function<void(const std::vector<PartEvidence> &)> Merge_;
    // Null when nothing is known of the part.
    std::function<const PartEvidence *(PromptPart)> Find_;
    // A row that could not be decoded, and why. May be empty.
    std::function<void(const std::string &Key, const std::string &Why)>
        OnUnreadable_;
  };
  static constexpr Duration WriteDelay = Milliseconds(60);
  static constexpr Duration RetryDelay = Milliseconds(250);
  static constexpr Duration MaxRetryDelay = Seconds(4);
  // Crashes of a part that has a row.
  static constexpr std::size_t MinCrashes = 2;
  // Rows of one transaction.
  static constexpr std::size_t MaxRows = 50;

  PartTable(Transport T, Owner O, Random R);
  ~PartTable();

  // Reads the table once, however often it is called.
  void read(TimePoint Now);
  bool isRead() const { return IsRead_; }
  void changed(const std::vector<PartEvidence> &Parts, TimePoint Now);
  void tick(TimePoint Now);

private:
  void list(const std::string &FromKey);
  void onList(const StoreReply &R);
  void take(const StoreRows &Rows, TimePoint Now);
  std::vector<PartEvidence> decode(const StoreRows &Rows, TimePoint Now);
  void write(TimePoint Now);
  void onWritten(const StoreReply &R, const std::set<PromptPart> &Parts);
  void retryLater(TimePoint Now);
  // Whether the row has all that is known here.
  bool isUpToDate(const PartEvidence &Known) const;

  struct Row {
    StoreVersion Version_ = 0;
    PartEvidence Evidence_;
  };
  Transport Transport_;
  Owner Owner_;
  Random Random_;
  bool IsRead_ = false;
  // A call is in progress.
  bool IsBusy_ = false;
  // When the table is listed next; unset when there is no reason to.
  std::optional<TimePoint> ListAt_;
  Duration RetryDelay_ = RetryDelay;
  // The next page is the first of a listing.
  bool IsFirstPage_ = true;
  // As of the last listing, and empty ones for those written since.
  std::map<PromptPart, Row> Rows_;
  std::optional<Milliseconds> StoreClock_;
  TimePoint ListedAt_;
  // Parts whose rows may lack something.
  std::set<PromptPart> Changed_;
  // Lets answers that arrive after this object's destruction detect it.
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

// Logs each unreadable row and fault once.
std::function<void(const std::string &Key, const std::string &Why)>
logUnreadableParts(EventLog &Log, RowFaults &Faults);

// The transport of a process: calls by Store.
PartTable::Transport partTransport(StoreClient &Store,
                                   std::function<TimePoint()> Clock);

} // namespace hawthornroad

#endif // HAWTHORNROAD_ENTRY_PARTTABLE_H
