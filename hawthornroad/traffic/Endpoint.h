// One running endpoint of a service, as the platform lists it, and the set of
// those that may be sent requests.
//
//   EndpointSet Set;
//   Set.listed(Rows, Now);            // a whole listing
//   Set.changed(Row, Now);            // one entry changed
//   Set.removed(Ids, Now);            // entries that went together
//   Set.storeLost(Now); Set.storeBack(Now);
//
// An endpoint is named by its id; each start has a new one, and its address may
// belong to another service a moment later. It may also start again under the
// same id, which Born_ tells: word of an earlier start never replaces that of a
// later one. So nothing is sent to an address
// whose entry is gone, with one exception: entries that lapse because the store
// was away and their owners could not renew them. Those are kept until
// ReturnGrace after the store is back, by when living owners have renewed.
//
// Whether the store was away for all or for this process only cannot be seen
// from here; an endpoint that left meanwhile must get nothing soon after. What
// tells the two apart is how many go: a store that was away takes most of a
// service's entries with it, endpoints leave a few at a time. So entries are
// taken for lapsed when at least half of their service's go together.

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

// A number that names a version of a model's weights; 0 means none.
using WeightVersion = std::uint64_t;

struct Endpoint {
  EndpointId Id_;
  ServiceName Service_;
  std::string Address_;
  AvailabilityZone Zone_;
  // When it started, Unix milliseconds. An endpoint may start again under its
  // id; it holds and knows nothing of before then. 0: not told.
  std::uint64_t Born_ = 0;
  // Requests served at once; 0 when not told.
  unsigned Slots_ = 0;
  // Leaves on purpose: takes no new requests.
  bool IsDraining_ = false;
  // Whether it serves a model; then Version_ is what it has loaded.
  bool HasModel_ = false;
  std::string Model_;
  WeightVersion Version_ = 0;
  bool operator==(const Endpoint &) const = default;
};

class EndpointSet {
public:
  // Living endpoints renew within about two seconds of the store's return;
  // the rest is the delay of the reading.
  static constexpr Duration ReturnGrace = Milliseconds(2600);

  struct Entry {
    Endpoint Endpoint_;
    // Its entry lapsed because the store was away.
    bool IsLapsed_ = false;
  };

  // Replaces all. Entries that are missing are gone, unless the store was away.
  void listed(const std::vector<Endpoint> &All, TimePoint Now);
  void changed(const Endpoint &E, TimePoint Now);
  void removed(const std::vector<EndpointId> &Ids, TimePoint Now);

  // Its address takes no connections: if its entry has lapsed, it is gone. True
  // when that is news.
  bool refused(const EndpointId &Id);

  // This process no longer reaches the store.
  void storeLost(TimePoint Now);
  void storeBack(TimePoint Now);
  // Forgets lapsed entries whose grace is over; true when any went.
  bool tick(TimePoint Now);

  // Endpoints of a service that may be sent requests.
  std::vector<const Endpoint *> of(const ServiceName &Service) const;
  // Null when it is gone.
  const Endpoint *find(const EndpointId &Id) const;
  const std::map<EndpointId, Entry> &all() const { return Entries_; }

private:
  bool isExcused(TimePoint Now) const;

  std::map<EndpointId, Entry> Entries_;
  bool StoreAway_ = false;
  std::optional<TimePoint> BackAt_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_ENDPOINT_H
