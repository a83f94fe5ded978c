// Which fault comes when, on what and for how long: a plan from a seed.
//
//   for (const SoakFault &F : planFaults(Seed, Seconds(30), Entries,
//   Endpoints))
//     ...
//
// Faults overlap: several series run side by side, each one fault after the
// other with a pause between, so that one often begins while another lasts.
//
// One fault is in every plan, for chance seldom makes it: the entry that reads
// the store for the others loses it for longer than the bound on taken-away
// keys, and a key is taken away meanwhile. Without it a lease that never ends
// went through seeds 1 to 4.

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKFAULTS_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKFAULTS_H

#include "hawthornroad/base/Types.h"

#include <string>
#include <vector>

namespace hawthornroad {

enum class SoakFaultKind {
  // Of the path between an entry and the store, and to an endpoint.
  StorePath,
  EndpointPath,
  // Of an entry's process.
  Freeze,
  Kill,
  Stop,
  Reload,
  // Of the store.
  StoreRefuses,
  StoreSilent,
  HistoryLost,
  // Of an endpoint.
  AnswersLost,
  NotRun,
  StreamsBroken,
  // What operators do.
  KeyRemoved,
  RouteAdded
};

struct SoakFault {
  SoakFaultKind Kind_ = SoakFaultKind::Freeze;
  // Entry or endpoint, by its place.
  std::size_t Target_ = 0;
  // What a path does, in the proxy's words.
  std::string Path_;
  Duration From_{};
  Duration To_{};
};

std::vector<SoakFault> planFaults(std::uint64_t Seed, Duration Length,
                                  std::size_t Entries, std::size_t Endpoints);
std::string describe(const SoakFault &F);

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKFAULTS_H
