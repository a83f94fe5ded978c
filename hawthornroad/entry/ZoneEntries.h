// The entries of one zone, as their rows in the store tell, and the order in
// which they are asked.
//
//   ZoneEntries Z(Store, Log, Zone, Self, Clock, [](auto Before) {...});
//   Z.lookAgain(Now);   // one of those before this one was not there
//   Z.tick(Now);
//
// An entry writes its row once, when it starts and the row is not there yet. A
// row outlives its process: a source that does not answer is passed over, which
// costs one refused connection now and then, and nothing has to be renewed or
// removed (each write is a call).
//
// Order: wider links first, then by name. The first one passes each change on
// to all others, so it should be one of the strong VMs.

#ifndef HAWTHORNROAD_ENTRY_ZONEENTRIES_H
#define HAWTHORNROAD_ENTRY_ZONEENTRIES_H

#include "hawthornroad/runtime/EventLog.h"
#include "hawthornroad/store/StoreClient.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hawthornroad {

struct ZoneEntry {
  std::string Process_;
  PeerAddress Address_;
  double LinkMbps_ = 0;
  bool operator==(const ZoneEntry &) const = default;
};

// Of a row's value; encodes what an entry writes of itself.
std::string encodePresence(const ZoneEntry &E);
// Throws Error(Step::Table) when the value is not a presence.
ZoneEntry decodePresence(const std::string &Value);

// The entries of a zone that have said where they can be asked. Rows that
// cannot be read are logged and left out. Unset: the store did not answer.
using PresencesDone =
    std::function<void(std::optional<std::vector<ZoneEntry>>)>;
void listPresences(StoreClient &Store, EventLog &Log,
                   const AvailabilityZone &Zone, PresencesDone D);

// The addresses of those that come before Self, first ones first.
std::vector<PeerAddress> entriesBefore(const ZoneEntry &Self,
                                       std::vector<ZoneEntry> All);

// When to list the zone's entries again. After the first time soon, whatever
// that showed: it shows only those that had written their rows by then, and an
// entry's index in the whole list decides whether it reads the store itself
// when its source fails. Eleven entries that each knew of two before them all
// took themselves for backups, read a configuration of 252 KB together, and had
// the next one 7 s later.
Duration nextLookAfter(bool WasFirst);

class ZoneEntries {
public:
  using Handler = std::function<void(std::vector<PeerAddress> Before)>;

  ZoneEntries(StoreClient &Store, EventLog &Log, AvailabilityZone Zone,
              ZoneEntry Self, std::function<TimePoint()> Clock, Handler H);
  ~ZoneEntries();

  void tick(TimePoint Now);
  // Rows may be missing or their owners gone.
  void lookAgain(TimePoint Now);
  // Asks the store for this entry's own row: a few hundred bytes that show
  // whether it answers.
  void probe(std::function<void(bool Ok)> Done);

private:
  std::string ownKey() const { return Zone_.str() + "/" + Self_.Process_; }
  void list();
  void onEntries(std::vector<ZoneEntry> All);
  void write();

  StoreClient &Store_;
  EventLog &Log_;
  AvailabilityZone Zone_;
  ZoneEntry Self_;
  std::function<TimePoint()> Clock_;
  Handler Handler_;
  bool UnderWay_ = false;
  // The first listing is asked for at once.
  TimePoint ListAt_{};
  TimePoint ListedAt_{};
  // Answers that come after the end of this object find it gone.
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ENTRY_ZONEENTRIES_H
