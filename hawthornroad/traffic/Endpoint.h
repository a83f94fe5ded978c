// A running endpoint of a service as listed by the platform, and the set of
// endpoints that may receive requests.
//
//   EndpointSet Set;
//   Set.listed(Rows, Now);            // a whole listing
//   Set.changed(Row, Now);            // one entry changed
//   Set.removed(Ids, Now);            // entries removed together
//   Set.storeLost(Now); Set.storeRestored(Now);
//
// Endpoints are identified by id. Each start normally has a new id, and an
// address may belong to another service a moment later. An endpoint may also
// restart under the same id, which another Born_ shows. Of two rows the one
// that the store wrote later is in force; the endpoint's clock may be set back
// between two starts. Nothing is sent to an address whose entry was
// removed, with one exception: entries that lapse because the store was down
// and their owners could not renew them. Those are kept until RestoreGrace
// after the store is back, by when running owners have renewed.
//
// This process cannot tell whether the store was down for all or for itself
// only, and an endpoint that left meanwhile must soon get no more requests. The
// number of removed entries distinguishes the cases: a store outage removes
// most entries of a service, while endpoints leave a few at a time. Entries
// therefore count as lapsed when at least half of their service's entries are
// removed together.

#ifndef HAWTHORNROAD_TRAFFIC_ENDPOINT_H
#define HAWTHORNROAD_TRAFFIC_ENDPOINT_H

#include "hawthornroad/base/Types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hawthornroad {

using EndpointId = Name<struct EndpointIdTag>;

// Version number of a model's weights; 0 means none.
using WeightVersion = std::uint64_t;

struct Endpoint {
  EndpointId Id_;
  ServiceName Service_;
  std::string Address_;
  AvailabilityZone Zone_;
  // Start time by its own clock, Unix milliseconds; 0 when not stated. An
  // endpoint may restart under its id and keeps no state from before that time.
  std::uint64_t Born_ = 0;
  // The store's version of the row that states all this; 0 when not known. Of
  // two rows, one of them without a version, the one with the later Born_
  // counts as newer.
  std::uint64_t RowVersion_ = 0;
  // Requests served concurrently; 0 when not stated.
  unsigned Slots_ = 0;
  // How long it stays cold, as of the time at which its row was written; zero
  // when it is not, or when that is not stated.
  Duration ColdLeft_ = Duration::zero();
  // Shutting down gracefully; takes no new requests.
  bool IsDraining_ = false;
  // Whether it serves a model; Version_ is then the loaded version.
  bool HasModel_ = false;
  std::string Model_;
  WeightVersion Version_ = 0;
  bool operator==(const Endpoint &) const = default;

  bool isOlderThan(const Endpoint &Other) const;
  // Whether both rows state the same, whenever they were written.
  bool statesSame(const Endpoint &Other) const;
};

// Where and when a request was sent.
struct EndpointUse {
  EndpointId Id_;
  // See Endpoint::Born_.
  std::uint64_t Born_ = 0;
  std::string Address_;
  TimePoint At_;
  bool operator==(const EndpointUse &) const = default;
};

class EndpointSet {
public:
  // Running endpoints renew within about two seconds of the store's return; the
  // rest covers the read delay.
  static constexpr Duration RestoreGrace = Milliseconds(2600);

  struct Entry {
    Endpoint Endpoint_;
    // The entry lapsed because the store was down.
    bool IsLapsed_ = false;
    // When its row was read last.
    TimePoint SeenAt_ = {};
    // Since when it has been listed without a break.
    TimePoint ListedAt_ = {};
  };

  // Replaces all entries. Missing ones are removed, unless the store was down.
  void listed(const std::vector<Endpoint> &All, TimePoint Now);
  void changed(const Endpoint &E, TimePoint Now);
  void removed(const std::vector<EndpointId> &Ids, TimePoint Now);

  // The address refuses connections: a lapsed entry is removed. True when an
  // entry was removed.
  bool refused(const EndpointId &Id);

  // This process lost contact with the store.
  void storeLost(TimePoint Now);
  void storeRestored(TimePoint Now);
  // Removes lapsed entries whose grace period is over; true when any were
  // removed.
  bool tick(TimePoint Now);

  // Endpoints of a service that may receive requests.
  std::vector<const Endpoint *> of(const ServiceName &Service) const;
  // Null when the entry was removed.
  const Endpoint *find(const EndpointId &Id) const;
  // Whether the endpoint is known to have ended since: it has started again, or
  // another one has been listed at its address. A missing entry does not show
  // it, since endpoints that leave, or whose entries lapse, work on.
  bool hasEnded(const EndpointUse &U) const;
  const std::map<EndpointId, Entry> &all() const { return Entries_; }

private:
  bool isWithinGrace(TimePoint Now) const;

  std::map<EndpointId, Entry> Entries_;
  bool StoreLost_ = false;
  std::optional<TimePoint> RestoredAt_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_ENDPOINT_H
