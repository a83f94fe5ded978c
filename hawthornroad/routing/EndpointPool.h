// The ready endpoints of one service, availability zone and version, kept so
// that a choice looks at a few of them only.
//
//   EndpointPool P(Slots, Zone, Version);
//   P.add(E, Limit, Now);
//   P.refresh(E, Limit, Now);         // its load or health has changed
//   PooledEndpoint *Drawn = P.draw(Rng, Excluded);
//
// Members stand in an array whose first part has a free place ("open"); an
// endpoint crosses the border by one swap when its estimate says so. Drawing at
// random from the open part thus never scans for one, be there ten thousand and
// all but one full. Estimates also change by themselves, with time: each choice
// refreshes a few members in turn (refreshSome), so a closed one is seen to be
// open again without a timer.
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

// All that one entry knows of an endpoint.
struct PooledEndpoint {
  EndpointStatus Status_;
  std::uint64_t NameHash_ = 0;
  // Index in EndpointSlots, for as long as it is known.
  std::size_t Slot_ = 0;
  LoadEstimate Load_;
  OutlierEjection::Record Health_;
  // It refused an attempt for want of a place: full until then, whatever an
  // older report says.
  TimePoint BusyUntil_;
  // The mean time to the first byte, over the latest.
  double FirstByteMs_ = 0;
  std::size_t FirstBytes_ = 0;
  TimePoint FirstByteAt_;
  // Null unless ready.
  EndpointPool *Pool_ = nullptr;
  // Dead or left; kept while own attempts run there and so that late word of
  // the same incarnation is known to be late.
  bool Gone_ = false;

  // Kept by the pool.
  std::size_t Position_ = 0;
  double Places_ = 0;
  double Taken_ = 0;
  double PooledOwn_ = 0;
  double PooledOthers_ = 0;
  double PooledLatest_ = 0;
  double PooledStepMs_ = 0;
  // When it is due for a probe, if it stands among the ejected.
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
  // Refreshes a few, more when none is open.
  void refreshSome(std::size_t Limit, TimePoint Now);

  // One open endpoint, each alike; null when none but excluded ones was found
  // in a bounded look.
  PooledEndpoint *draw(Random &Rng, const std::set<Vm> &Excluded) const;
  // One endpoint of all but the ejected and those that just refused.
  PooledEndpoint *drawFull(Random &Rng, const std::set<Vm> &Excluded,
                           TimePoint Now) const;
  // The endpoint that should hold the prefix in its cache, while its load is
  // within a bound of the mean; else null.
  PooledEndpoint *holder(std::uint64_t PrefixHash,
                         const std::set<Vm> &Excluded) const;
  // An ejected endpoint that is due for a probe; null when none is.
  PooledEndpoint *dueProbe(TimePoint Now) const;
  // The ejected endpoint that is due first; null when none is ejected.
  PooledEndpoint *firstEjected() const;

  // Latency is from dispatch to the first byte of an answer of E.
  static void noteFirstByte(PooledEndpoint &E, Duration Latency, TimePoint Now);
  // An attempt ended at a member: whole, or refused for want of a place.
  void noteAnswered() { Window_.answered(Own_); }
  void noteRefused() { Window_.refused(Own_); }

  // How much slower than its peers' its tokens are; 1 unless well beyond what
  // load explains.
  double slowness(const PooledEndpoint &E) const;
  // Expected relative time of an attempt there; lower is better.
  double cost(const PooledEndpoint &E) const;

  std::size_t size() const { return Members_.size(); }
  // Whether this entry may have no more in progress here.
  bool isFull() const;
  // Members with a free place; none while the pool is full.
  std::size_t open() const { return isFull() ? 0 : Open_; }
  // Whether it has places to spare even if the estimate is a little off.
  bool isRoomy() const;
  double places() const { return Places_; }
  double taken() const { return Taken_; }

private:
  // Ejected members in the order in which they may be probed.
  struct Due {
    TimePoint Until_;
    std::size_t Slot_ = 0;
    auto operator<=>(const Due &) const = default;
  };

  // Everybody's attempts, by the latest reports.
  double inProgress() const;
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
