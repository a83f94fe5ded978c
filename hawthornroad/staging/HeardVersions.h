// The last weight versions that this process heard of, with the times, also
// those that newer ones have superseded: each version has its own bound, and a
// process that has just started finds only the newest in the operators' table.
//
//   HeardVersions H;
//   H.note({"m", 2}, Now);
//   for (const HeardVersions::Entry &Each : H.all()) ...
//
// Limits: the last MaxEntries versions are kept.

#ifndef HAWTHORNROAD_STAGING_HEARDVERSIONS_H
#define HAWTHORNROAD_STAGING_HEARDVERSIONS_H

#include "hawthornroad/staging/EngineUpdater.h"

#include <algorithm>
#include <deque>

namespace hawthornroad {

class HeardVersions {
public:
  static constexpr std::size_t MaxEntries = 8;
  struct Entry {
    ModelVersion Version_;
    TimePoint At_;
    bool operator==(const Entry &) const = default;
  };

  // The first time of a version counts.
  void note(const ModelVersion &V, TimePoint At) {
    bool IsKnown =
        std::any_of(Entries_.begin(), Entries_.end(),
                    [&](const Entry &Each) { return Each.Version_ == V; });
    if (IsKnown)
      return;
    Entries_.push_back({V, At});
    if (Entries_.size() > MaxEntries)
      Entries_.pop_front();
  }
  // Oldest first.
  const std::deque<Entry> &all() const { return Entries_; }

private:
  std::deque<Entry> Entries_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_STAGING_HEARDVERSIONS_H
