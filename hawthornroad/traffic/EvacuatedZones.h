// The zones whose endpoints receive no requests, by the operators' table, and
// since when.
//
//   EvacuatedZones Z;
//   auto C = Z.changeBy({.IsWhole_ = true, .Rows_ = {{Zone}}});
//   for (const AvailabilityZone &Each : C.Evacuated_) Z.evacuate(Each, Now);
//   for (const AvailabilityZone &Each : C.Restored_) Z.restore(Each);
//   if (Z.contains(Zone)) leaveOut();
//
// A zone is evacuated while its row exists. A whole listing replaces what is
// known: a zone that it lacks is restored. Changes are taken in their order, so
// the last row of a zone decides.
//
// Guards against requests that are sent for one moment to a zone whose row is
// written again at once: a zone whose row is removed and written within one
// update stays evacuated without a gap. A zone whose row is written and removed
// within one update counts as restored, since other processes may have sent
// nothing to its endpoints meanwhile.
//
// No I/O, no clock, no threads. Cost: one map lookup per row and query.

#ifndef HAWTHORNROAD_TRAFFIC_EVACUATEDZONES_H
#define HAWTHORNROAD_TRAFFIC_EVACUATEDZONES_H

#include "hawthornroad/base/Types.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hawthornroad {

class EvacuatedZones {
public:
  struct Row {
    AvailabilityZone Zone_;
    bool IsRemoved_ = false;
  };
  struct Update {
    // Whether Rows_ is the whole table; otherwise the changes in order.
    bool IsWhole_ = false;
    std::vector<Row> Rows_;
  };
  struct Change {
    std::set<AvailabilityZone> Evacuated_;
    std::set<AvailabilityZone> Restored_;
  };

  // What the update changes; it is not applied.
  Change changeBy(const Update &U) const;
  // Keeps the earlier time of a zone that is evacuated already.
  void evacuate(const AvailabilityZone &Zone, TimePoint Now) {
    Since_.try_emplace(Zone, Now);
  }
  void restore(const AvailabilityZone &Zone) { Since_.erase(Zone); }

  bool contains(const AvailabilityZone &Zone) const {
    return Since_.contains(Zone);
  }
  // When this process first knew of the evacuation; unset when there is none.
  std::optional<TimePoint> since(const AvailabilityZone &Zone) const;
  std::set<AvailabilityZone> all() const;
  bool empty() const { return Since_.empty(); }

private:
  std::map<AvailabilityZone, TimePoint> Since_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_EVACUATEDZONES_H
