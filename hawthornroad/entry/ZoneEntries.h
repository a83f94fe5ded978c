// Lists the entries of one zone by their presence rows in the store, and gives
// the order in which they are used as sources.
//
//   ZoneEntries Z(Store, Log, Zone, Self, Clock, [](auto Before) {...});
//   Z.refreshSoon(Now);   // a preceding entry did not answer
//   Z.tick(Now);
//
// An entry writes its row when a listing, the first one at its start, lacks it.
// It uses that listing only once the other entries that start with it can have
// written theirs, WriteDelay later: with the rows of few others, all entries of
// a zone would count themselves among the first and read the store.
//
// Rows are neither renewed nor removed, since each write is a call to the
// store, so a row outlives its process. A source that does not answer is
// skipped, which costs an occasional refused connection.
//
// Order: higher link bandwidth first, then by name. The first entry relays each
// change to all others, so it should run on a VM with a fast link.

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

// The value of an entry's presence row.
std::string encodePresence(const ZoneEntry &E);
// Throws Error(Step::Table) when the value is not a presence row's.
ZoneEntry decodePresence(const std::string &Value);

// Lists the entries of a zone that have a presence row. Unreadable rows are
// logged and skipped. The handler gets nullopt when the store did not answer.
using PresencesHandler =
    std::function<void(std::optional<std::vector<ZoneEntry>>)>;
void listPresences(StoreClient &Store, EventLog &Log,
                   const AvailabilityZone &Zone, PresencesHandler D);

// The addresses of the entries that precede Self, in order.
std::vector<PeerAddress> precedingEntries(const ZoneEntry &Self,
                                          std::vector<ZoneEntry> All);

// The delay until the next listing of the zone's entries. It is short after the
// first listing, which shows only entries that had written their rows by then;
// an entry's index in the full list decides whether it reads the store itself
// when its source fails. With incomplete lists, eleven entries that each knew
// two preceding ones all acted as backups, read a configuration of 252 KB at
// the same time, and received the next one 7 s later.
Duration nextListingDelay(bool WasFirst);

class ZoneEntries {
public:
  using Handler = std::function<void(std::vector<PeerAddress> Before)>;

  ZoneEntries(StoreClient &Store, EventLog &Log, AvailabilityZone Zone,
              ZoneEntry Self, std::function<TimePoint()> Clock, Handler H);
  ~ZoneEntries();

  void tick(TimePoint Now);
  // Brings the next listing forward: rows may be missing or their owners gone.
  void refreshSoon(TimePoint Now);
  // Reads this entry's own row, a few hundred bytes, to see whether the store
  // answers.
  void probe(std::function<void(bool Ok)> Done);

private:
  std::string ownKey() const { return Zone_.str() + "/" + Self_.Process_; }
  void list();
  void onEntries(std::vector<ZoneEntry> All);
  // Whether the listing came too early to be used.
  bool isPremature(const std::vector<ZoneEntry> &All);
  void write();

  StoreClient &Store_;
  EventLog &Log_;
  AvailabilityZone Zone_;
  ZoneEntry Self_;
  std::function<TimePoint()> Clock_;
  Handler Handler_;
  bool IsListing_ = false;
  // The first listing starts at once.
  TimePoint ListAt_{};
  TimePoint ListedAt_{};
  bool HasWritten_ = false;
  // Lets answers that arrive after this object's destruction detect it.
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ENTRY_ZONEENTRIES_H
