// The ready endpoints of one service, availability zone and version, organised
// so that a choice examines only a few of them.
//
//   EndpointPool P(Slots, Zone, Version);
//   P.add(E, Limit, Now);
//   P.refresh(E, Limit, Now);         // its load or health has changed
//   PooledEndpoint *Drawn = P.draw(Rng, Excluded);
//
// Members are kept in an array whose first part has a free place ("open"); an
// endpoint moves between the parts by one swap when its estimate changes.
// Drawing at random from the open part therefore needs no scan, even with ten
// thousand members of which all but one are full. Estimates also change with
// time alone: each choice refreshes a few members in turn (refreshSome), so a
// full member is found to be open again without a timer.
//
// Cost: add and remove shift PrefixAffinity's array; all else is constant.

#ifndef HAWTHORNROAD_ROUTING_ENDPOINTPOOL_H
#define HAWTHORNROAD_ROUTING_ENDPOINTPOOL_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/base/Types.h"
#include "hawthornroad/membership/EndpointStatus.h"
#include "hawthornroad/routing/ConcurrencyWindow.h"
#include "hawthornroad/routing/LoadEstimate.h"
#include "hawthornroad/routing/OutlierEjection.h"
#include "hawthornroad/routing/PrefixAffinity.h"

#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace hawthornroad {

class EndpointPool;

// One entry's state of an endpoint.
struct PooledEndpoint {
  EndpointStatus Status_;
  std::uint64_t NameHash_ = 0;
  // Index in EndpointSlots while the endpoint is known.
  std::size_t Slot_ = 0;
  LoadEstimate Load_;
  OutlierEjection::Record Health_;
  // After a refusal for lack of a place the endpoint counts as full until this
  // time, whatever older reports say.
  TimePoint BusyUntil_;
  // Moving average of the time to the first byte.
  double FirstByteMs_ = 0;
  std::size_t FirstBytes_ = 0;
  TimePoint FirstByteAt_;
  // Null unless ready.
  EndpointPool *Pool_ = nullptr;
  // Failed or left. Kept while own attempts are in progress there, and so that
  // late reports of the same incarnation are recognised.
  bool Gone_ = false;

  // Maintained by the pool.
  std::size_t Position_ = 0;
  double Places_ = 0;
  double Taken_ = 0;
  double PooledOwn_ = 0;
  double PooledOthers_ = 0;
  double PooledLatest_ = 0;
  double PooledStepMs_ = 0;
  // When it is due for a probe, if it is ejected.
  std::optional<TimePoint> Due_;
};

using EndpointSlots = std::vector<std::unique_ptr<PooledEndpoint>>;

class EndpointPool {
public:
  // Slots outlives the pool.
  EndpointPool(const EndpointSlots &Slots, AvailabilityZone Zone,
               VersionDigest Version);

  const AvailabilityZone &zone() const { return Zone_; }
  const VersionDigest &version() const { return Version_; }
  bool serves(const VersionDigest &Version) const {
    return Version.empty() || Version == Version_;
  }

  // Limit is the declared number of attempts an endpoint runs at once.
  void add(PooledEndpoint &E, std::size_t Limit, TimePoint Now);
  void remove(PooledEndpoint &E);
  void refresh(PooledEndpoint &E, std::size_t Limit, TimePoint Now);
  void refreshAll(std::size_t Limit, TimePoint Now);
  // Refreshes a few members, more when none is open.
  void refreshSome(std::size_t Limit, TimePoint Now);

  // A random open endpoint; null when a bounded scan finds only excluded ones.
  PooledEndpoint *draw(Random &Rng, const std::set<Vm> &Excluded) const;
  // A random endpoint, full or not, that is neither ejected nor has just
  // refused.
  PooledEndpoint *drawForWaiting(Random &Rng, const std::set<Vm> &Excluded,
                                 TimePoint Now) const;
  // The endpoint expected to have the prefix in its cache, while its load is
  // within a bound of the mean; else null.
  PooledEndpoint *affinityEndpoint(std::uint64_t PrefixHash,
                                   const std::set<Vm> &Excluded) const;
  // An ejected endpoint that is due for a probe; null when none is.
  PooledEndpoint *dueProbe(TimePoint Now) const;
  // The ejected endpoint that is due first; null when none is ejected.
  PooledEndpoint *firstEjected() const;

  // Latency is from dispatch to the first byte of an answer of E.
  static void noteFirstByte(PooledEndpoint &E, Duration Latency, TimePoint Now);
  // An attempt at a member was answered, or refused for lack of a place.
  void noteAnswered() { Window_.answered(Own_); }
  void noteRefused() { Window_.refused(Own_); }

  // The ratio of E's step time to its peers'; 1 unless it is well above what
  // load explains.
  double slowness(const PooledEndpoint &E) const;
  // Neither slow nor failing, and so preferred to endpoints of another zone.
  bool isHealthy(const PooledEndpoint &E) const {
    return slowness(E) == 1 && failurePenalty(E) == 1;
  }
  // The expected relative duration of an attempt at E; lower is better.
  double cost(const PooledEndpoint &E) const;

  std::size_t size() const { return Members_.size(); }
  // Whether this entry may start no more attempts here.
  bool isFull() const;
  // The number of members with a free place; 0 while the pool is full.
  std::size_t open() const { return isFull() ? 0 : Open_; }
  // Whether places are free even if the estimate is slightly wrong.
  bool hasSpareCapacity() const;
  double places() const { return Places_; }
  double taken() const { return Taken_; }

private:
  // Ejected members in the order in which they may be probed.
  struct Due {
    TimePoint Until_;
    std::size_t Slot_ = 0;
    auto operator<=>(const Due &) const = default;
  };

  // All entries' attempts, by the latest reports.
  double inProgress() const;
  static double failurePenalty(const PooledEndpoint &E);
  static double stepMs(const PooledEndpoint &E, TimePoint Now);
  double typicalOthers() const;
  void swapMembers(std::size_t A, std::size_t B);
  void setOpen(PooledEndpoint &E, bool IsOpen);
  void addSums(const PooledEndpoint &E, double Sign);
  void noteEjection(PooledEndpoint &E);

  const EndpointSlots &Slots_;
  AvailabilityZone Zone_;
  VersionDigest Version_;
  // The first Open_ have a free place.
  std::vector<PooledEndpoint *> Members_;
  std::size_t Open_ = 0;
  PrefixAffinity Affinity_;
  std::set<Due> Ejected_;
  double Places_ = 0;
  double Taken_ = 0;
  double Own_ = 0;
  double Others_ = 0;
  double Latest_ = 0;
  double StepMs_ = 0;
  std::size_t Steps_ = 0;
  std::size_t Cursor_ = 0;
  ConcurrencyWindow Window_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_ENDPOINTPOOL_H
