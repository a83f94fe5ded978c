// Derives a plan from a seed: each fault or piece of planned work with its
// kind, target, start and end.
//
//   for (const SoakFault &F : planFaults({.Seed_ = 7, .Length_ = Seconds(30)}))
//     ...
//
// Faults overlap: several series run in parallel, each a sequence of faults
// with pauses between them, so that one fault often begins while another is
// active. Planned work has series of its own: signals to entries and agents,
// endpoints that leave, configurations, and versions of weights, as have surges
// of requests, endpoints that become cold, evacuations, rows of another writer,
// and endpoints that answer without end.
//
// Every plan holds one fixed combination that random draws rarely produce: the
// entry that reads the store for the others loses the store for longer than the
// bound on revoked keys, and a key is removed in the meantime. Without it,
// seeds 1 to 4 did not detect a key lease that never expires. After all else
// the list of customers is empty for longer than that bound, and in the
// meantime entries are killed, so some have never seen a customer.

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKFAULTS_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKFAULTS_H

#include "hawthornroad/base/Types.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace hawthornroad {

enum class SoakFaultKind {
  // On the path from an entry to the store, or to an endpoint.
  StorePath,
  EndpointPath,
  // On an entry's process.
  Freeze,
  Kill,
  // On the store.
  StoreRefuses,
  StoreSilent,
  HistoryLost,
  // On an endpoint.
  AnswersLost,
  NotRun,
  StreamsBroken,
  // Planned work on an entry's process; a stop is followed by a restart.
  Stop,
  StopTwice,
  StopAndReload,
  Reload,
  AgentStop,
  // On an endpoint: it pauses between events, or another one replaces it.
  Pauses,
  Leaves,
  // Another endpoint that answers without end.
  Endless,
  // A row that names no endpoint, by another writer.
  ForeignRow,
  // Operator actions; an evacuation ends with the removal of its row.
  Evacuated,
  KeyRemoved,
  RouteAdded,
  Configured,
  VersionDeclared,
  // A version is declared, and while it is transferred the origin of weights is
  // lost, silent (target 0) or refusing connections (1). At the end it is
  // configured at another address.
  OriginLost,
  // The configuration lists no customer until the end.
  CustomersRemoved,
  // Many short requests.
  Surge,
  // Without a statement but in its answers, until its row follows.
  BecomesCold,
  EngineBecomesCold,
  // After one of its staged pieces has turned bad.
  EngineRestarts,
  // All endpoints of a service lose answers, at once or late, reject all or a
  // part, or read nothing.
  ServiceLosesAnswers,
  ServiceLosesLate,
  ServiceRejects,
  ServiceRejectsPart,
  ServiceHolds,
  // Every other entry.
  HalfKilled,
  // On all entries at once.
  EntriesKilled,
  EntriesFrozen,
  // They lack processor time: they run for short moments only.
  EntriesSlowed,
  // What callers send reaches no entry until the end.
  CallersHeld,
  // It arrives slowly, one request after the other.
  CallersNarrowed,
  // Callers leave early and come again at once.
  CallersImpatient,
  // Callers send requests with the crashing part; engines crash at it, before
  // (target 0) or after (1) the head of their answer has left them.
  CrashingPartSent,
  EnginesCrash,
  // Planned work on all agents at once.
  AgentsStopped,
  // Planned work on every other entry; an entry more.
  EntriesStopped,
  EntryAdded
};

struct SoakFault {
  SoakFaultKind Kind_ = SoakFaultKind::Freeze;
  // Index of the entry, agent, endpoint, zone or service, or another choice.
  std::size_t Target_ = 0;
  // For path faults: the proxy's fault settings, as JSON.
  std::string Path_;
  Duration From_{};
  Duration To_{};
};

// How a repeat strain begins, see planRepeatStrain().
enum class StrainFailure {
  LossAndKill,
  LossAndFreeze,
  HoldAndKill,
  // Entries lack processor time, or what callers send is held back, in the
  // middle of the loss.
  LossAndSlowness,
  LossAndCallersHeld,
  // Only engines lose answers.
  EngineLoss,
  // Answers are lost late, and endpoints leave and are replaced meanwhile.
  LossAndLeaves,
  // Every other entry is killed, again and again.
  LossAndPartialKills,
  // The store refuses while all entries are killed and after it.
  LossWithoutStore,
  // The paths to plain endpoints are narrow, so what is sent arrives late.
  LossOnNarrowPaths,
  // The path from callers to entries is narrow, and entries are killed as it
  // widens.
  LossBehindNarrowPath,
  // Callers leave early and come again, while half of the entries are killed
  // again and again. In the second one endpoints reject a part of the requests.
  LossAndReturns,
  RejectionsAndReturns,
  // Entries are killed while what callers send is held back: all at once, or
  // one half after the other.
  HeldAndKill,
  HeldAndPartialKills,
  // Endpoints hold requests back as well; entries are killed as they go on.
  AllHeldAndKill,
  // What is sent to plain endpoints arrives seconds later, most of it after its
  // entry was killed.
  LatePathsAndKill,
  // See planCrashes().
  Crashes,
  CrashesAndRestarts,
  CrashesBeforeHead,
  CrashesOfSound
};
// By name: "loss-and-kill", ..., "crashes-of-sound".
std::optional<StrainFailure> parseStrainFailure(const std::string &Name);

struct SoakPlan {
  std::uint64_t Seed_ = 1;
  Duration Length_{};
  std::size_t Entries_ = 1;
  std::size_t Agents_ = 0;
  std::size_t Endpoints_ = 1;
  std::size_t Zones_ = 1;
  // Without the series of faults.
  bool IsPlannedOnly_ = false;
  // Of a repeat strain; unset: by the seed.
  std::optional<StrainFailure> Failure_;
};

std::vector<SoakFault> planFaults(const SoakPlan &P);
// Puts a strain on the limit of repeats: after CalmFor, all services fail for
// longer than a window, as Failure_ says or in one of three ways by the seed.
// They lose answers while all entries are killed (1, 4, ...) or frozen (2, 5,
// ...), or hold requests back until all entries are killed (3, 6, ...). Then
// the endpoints of each service fail in series, and the entries are killed,
// frozen, stopped and added in a series of its own.
std::vector<SoakFault> planRepeatStrain(const SoakPlan &P);
// Engines crash at a part of prompts from CrashesFrom on, and nothing else
// fails; all agents and entries restart long after the fifth crash; they crash
// before the head of their answer has left them; or the part was sound until
// then.
std::vector<SoakFault> planCrashes(const SoakPlan &P);
bool isOfCrashes(StrainFailure F);
inline constexpr Duration CrashesFrom = Seconds(4);
// Longer than the window in which repeats are limited.
inline constexpr Duration CalmFor = Seconds(12);
// The services of a repeat strain, by index.
inline constexpr std::array StrainedServices = {"api", "lm"};
std::string describe(const SoakFault &F);

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKFAULTS_H
