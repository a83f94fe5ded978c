#include "tests/soak/SoakFaults.h"

#include "hawthornroad/base/Random.h"

#include <algorithm>
#include <array>
#include <optional>
#include <span>
#include <sstream>
#include <utility>

namespace hawthornroad {

namespace {
// The entry that loses the store: the first one, which the others read from and
// which reads from no other entry.
constexpr std::size_t StoreLossEntry = 0;
constexpr Duration StoreLossFrom = Milliseconds(2000);
constexpr Duration StoreLossFor = Milliseconds(9000);
constexpr Duration KeyRemovedAfter = Milliseconds(500);
// Longer than the bound on revoked keys.
constexpr Duration NoCustomersFor = Milliseconds(6500);
constexpr std::array KilledWithoutCustomers = {Milliseconds(1000),
                                               Milliseconds(2500)};

enum class Target { Entry, Agent, Endpoint, Zone, Service, OriginLoss };
// Silent, or refusing connections.
constexpr std::size_t OriginLosses = 2;

struct KindRow {
  SoakFaultKind Kind_;
  const char *Name_;
  Target Target_;
  // Relative probability of being drawn.
  unsigned Weight_;
};
constexpr std::array Faults = {
    KindRow{SoakFaultKind::StorePath, "store path", Target::Entry, 4},
    KindRow{SoakFaultKind::EndpointPath, "endpoint path", Target::Endpoint, 4},
    KindRow{SoakFaultKind::Freeze, "freeze", Target::Entry, 3},
    KindRow{SoakFaultKind::Kill, "kill", Target::Entry, 2},
    KindRow{SoakFaultKind::Stop, "stop", Target::Entry, 1},
    KindRow{SoakFaultKind::Reload, "reload", Target::Entry, 1},
    KindRow{SoakFaultKind::StoreRefuses, "store refuses", Target::Entry, 1},
    KindRow{SoakFaultKind::StoreSilent, "store silent", Target::Entry, 1},
    KindRow{SoakFaultKind::HistoryLost, "history lost", Target::Entry, 1},
    KindRow{SoakFaultKind::AnswersLost, "answers lost", Target::Endpoint, 2},
    KindRow{SoakFaultKind::NotRun, "not run", Target::Endpoint, 2},
    KindRow{SoakFaultKind::StreamsBroken, "streams broken", Target::Endpoint,
            2},
    KindRow{SoakFaultKind::KeyRemoved, "key removed", Target::Entry, 2},
    KindRow{SoakFaultKind::RouteAdded, "route added", Target::Entry, 4}};
constexpr std::array PlannedWork = {
    KindRow{SoakFaultKind::Stop, "stop", Target::Entry, 4},
    KindRow{SoakFaultKind::StopTwice, "stop twice", Target::Entry, 1},
    KindRow{SoakFaultKind::StopAndReload, "stop and reload", Target::Entry, 2},
    KindRow{SoakFaultKind::Reload, "reload", Target::Entry, 2},
    KindRow{SoakFaultKind::Pauses, "pauses", Target::Endpoint, 3},
    KindRow{SoakFaultKind::Leaves, "leaves", Target::Endpoint, 2},
    KindRow{SoakFaultKind::AgentStop, "agent stop", Target::Agent, 1}};
constexpr std::array Configurations = {
    KindRow{SoakFaultKind::Configured, "configured", Target::Entry, 1}};
constexpr std::array Versions = {KindRow{SoakFaultKind::VersionDeclared,
                                         "version declared", Target::Agent, 1}};
constexpr std::array Surges = {
    KindRow{SoakFaultKind::Surge, "surge", Target::Entry, 1}};
constexpr std::array ColdMoments = {
    KindRow{SoakFaultKind::BecomesCold, "becomes cold", Target::Endpoint, 1},
    KindRow{SoakFaultKind::EngineBecomesCold, "engine becomes cold",
            Target::Agent, 1}};
constexpr std::array EngineRestarts = {
    KindRow{SoakFaultKind::EngineRestarts, "engine restarts, a piece spoilt",
            Target::Agent, 1}};
constexpr std::array Evacuations = {
    KindRow{SoakFaultKind::Evacuated, "evacuated", Target::Zone, 1}};
constexpr std::array ForeignRows = {
    KindRow{SoakFaultKind::ForeignRow, "foreign row", Target::Entry, 1}};
constexpr std::array EndlessAnswers = {
    KindRow{SoakFaultKind::Endless, "endless answers", Target::Zone, 1}};

constexpr std::array OriginMoves = {KindRow{SoakFaultKind::OriginLost,
                                            "origin lost, then moved",
                                            Target::OriginLoss, 1}};

constexpr std::array ServiceFailures = {
    KindRow{SoakFaultKind::ServiceLosesAnswers, "service loses answers",
            Target::Service, 3},
    KindRow{SoakFaultKind::ServiceRejects, "service rejects", Target::Service,
            1},
    KindRow{SoakFaultKind::ServiceHolds, "service holds", Target::Service, 2}};
constexpr std::array EntrySeries = {
    KindRow{SoakFaultKind::EntriesKilled, "entries killed", Target::Entry, 3},
    KindRow{SoakFaultKind::EntriesFrozen, "entries frozen", Target::Entry, 3},
    KindRow{SoakFaultKind::EntriesStopped, "entries stopped", Target::Entry, 1},
    KindRow{SoakFaultKind::EntryAdded, "entry added", Target::Entry, 1}};
constexpr std::array NotDrawn = {
    KindRow{SoakFaultKind::HalfKilled, "half of the entries killed",
            Target::Entry, 1},
    KindRow{SoakFaultKind::ServiceLosesLate, "service loses answers late",
            Target::Service, 1},
    KindRow{SoakFaultKind::EntriesSlowed, "entries slowed", Target::Entry, 1},
    KindRow{SoakFaultKind::ServiceRejectsPart, "service rejects a part",
            Target::Service, 1},
    KindRow{SoakFaultKind::CallersHeld, "callers held", Target::Entry, 1},
    KindRow{SoakFaultKind::CallersNarrowed, "callers' path narrowed",
            Target::Entry, 1},
    KindRow{SoakFaultKind::CallersImpatient, "callers leave early",
            Target::Entry, 1},
    KindRow{SoakFaultKind::CrashingPartSent, "crashing part sent",
            Target::Entry, 1},
    KindRow{SoakFaultKind::EnginesCrash, "engines crash", Target::Entry, 1},
    KindRow{SoakFaultKind::AgentsStopped, "agents stopped", Target::Agent, 1},
    KindRow{SoakFaultKind::CustomersRemoved, "all customers removed",
            Target::Entry, 1}};

constexpr std::uint64_t MaxSeries = 4;

// A sequence of faults, each with a length and a pause after it.
struct Series {
  std::span<const KindRow> Kinds_;
  std::size_t Count_ = 1;
  int ShortestMs_ = 0;
  int LongestMs_ = 1;
  int ShortestPauseMs_ = 0;
  int LongestPauseMs_ = 1;
};
constexpr std::array FaultSeries = {Series{Faults, 4, 200, 4500, 0, 1500}};
constexpr std::array PlannedSeries = {
    Series{PlannedWork, 2, 300, 3000, 0, 1500},
    Series{Configurations, 1, 0, 1, 1000, 2000},
    Series{Versions, 1, 0, 1, 4000, 8000},
    Series{Surges, 1, 600, 1500, 800, 2000},
    Series{ColdMoments, 1, 0, 1, 1000, 2500},
    Series{Evacuations, 1, 3000, 8000, 500, 2500},
    Series{ForeignRows, 1, 500, 2500, 0, 500},
    Series{EndlessAnswers, 1, 500, 1500, 3000, 8000},
    Series{EngineRestarts, 1, 0, 1, 4000, 9000},
    Series{OriginMoves, 1, 400, 1500, 2000, 5000}};

// A link of 50 KB/s carries about 50 stand-in answers per second.
constexpr std::array PathFaultTexts = {
    R"({"blackhole":true})", R"({"refuse":true,"reset":true})",
    R"({"delay_ms":400})",   R"({"silent_existing":true})",
    R"({"reset":true})",     R"({"delay_ms":60,"jitter_ms":60})",
    R"({"rate":50000})",     R"({"blackhole":true,"silent_existing":true})"};

const KindRow &draw(Random &R, std::span<const KindRow> Kinds) {
  unsigned Sum = 0;
  for (const KindRow &Each : Kinds)
    Sum += Each.Weight_;
  std::uint64_t Remaining = R.below(Sum);
  for (const KindRow &Each : Kinds) {
    if (Remaining < Each.Weight_)
      return Each;
    Remaining -= Each.Weight_;
  }
  return Kinds.back();
}

Duration between(Random &R, int FromMs, int ToMs) {
  return Milliseconds(FromMs + static_cast<int>(R.below(ToMs - FromMs)));
}

std::size_t targets(const SoakPlan &P, Target T) {
  return T == Target::Entry     ? P.Entries_
         : T == Target::Agent   ? P.Agents_
         : T == Target::Zone    ? P.Zones_
         : T == Target::Service ? (P.Agents_ > 0 ? StrainedServices.size() : 1)
         : T == Target::OriginLoss ? (P.Agents_ > 0 ? OriginLosses : 0)
                                   : P.Endpoints_;
}

void addSeries(const SoakPlan &P, const Series &S, Random R,
               std::vector<SoakFault> &Out) {
  for (Duration At = between(R, 0, S.LongestPauseMs_); At < P.Length_;) {
    const KindRow &Row = draw(R, S.Kinds_);
    SoakFault F;
    F.Kind_ = Row.Kind_;
    F.Target_ = R.below(targets(P, Row.Target_));
    F.Path_ = PathFaultTexts[R.below(PathFaultTexts.size())];
    F.From_ = At;
    F.To_ = std::min(P.Length_, At + between(R, S.ShortestMs_, S.LongestMs_));
    At = F.To_ + between(R, S.ShortestPauseMs_, S.LongestPauseMs_);
    if (targets(P, Row.Target_) > 0)
      Out.push_back(std::move(F));
  }
}

// At the end of the plan, since no request is served meanwhile.
void addCustomerRemoval(const SoakPlan &P, std::vector<SoakFault> &Out) {
  Out.push_back({SoakFaultKind::CustomersRemoved, 0, "", P.Length_,
                 P.Length_ + NoCustomersFor});
  if (P.IsPlannedOnly_)
    return;
  for (std::size_t I = 0; I < KilledWithoutCustomers.size(); ++I) {
    Duration At = P.Length_ + KilledWithoutCustomers.at(I);
    Out.push_back({SoakFaultKind::HalfKilled, I, "", At, At});
  }
}
} // namespace

std::vector<SoakFault> planFaults(const SoakPlan &P) {
  std::vector<SoakFault> Out;
  // Keeps the random numbers of planned work apart from those of faults.
  constexpr std::uint64_t PlannedWorkSeed = 0x9E3779B97F4A7C15;
  auto Add = [&](std::span<const Series> All, std::uint64_t Base) {
    for (const Series &Each : All)
      for (std::size_t I = 0; I < Each.Count_; ++I)
        addSeries(P, Each, Random(Base + P.Seed_ * MaxSeries + I), Out);
  };
  std::uint64_t Base = PlannedWorkSeed;
  for (const Series &Each : PlannedSeries)
    Add({&Each, 1}, Base++ * PlannedWorkSeed);
  if (!P.IsPlannedOnly_)
    Add(FaultSeries, 0);
  Out.push_back({SoakFaultKind::StorePath, StoreLossEntry,
                 R"({"blackhole":true})", StoreLossFrom,
                 StoreLossFrom + StoreLossFor});
  Out.push_back({SoakFaultKind::KeyRemoved, StoreLossEntry, "",
                 StoreLossFrom + KeyRemovedAfter,
                 StoreLossFrom + StoreLossFor});
  addCustomerRemoval(P, Out);
  std::sort(Out.begin(), Out.end(), [](const SoakFault &A, const SoakFault &B) {
    return A.From_ < B.From_;
  });
  return Out;
}

namespace {
// Longer than the window in which repeats are limited.
constexpr Duration FailureFor = Seconds(18);
constexpr Duration HoldFor = Seconds(8);
constexpr Duration FrozenFor = Seconds(6);
// How long answers have been lost when the entries are killed or frozen.
constexpr Duration LostBefore = Milliseconds(1800);
// Shorter than two attempts whose answers are lost late, for each endpoint.
constexpr Duration LeaveEvery = Milliseconds(200);
constexpr Duration PartialKillEvery = Milliseconds(1500);
constexpr std::size_t PartialKills = 10;
constexpr Duration StoreAwayFor = Seconds(6);
// In which requests reach the entries late.
constexpr Duration LateFor = Seconds(7);
// How long callers have been held back when entries are killed.
constexpr Duration KilledAfterCut = Milliseconds(200);
constexpr Duration HalfKilledAfterCut = Milliseconds(500);
// Less than the delay of LatePath.
constexpr Duration KilledAfterSending = Milliseconds(4600);
// Less than is sent to a plain endpoint, in bytes a second.
constexpr const char *NarrowPath = R"({"rate":10000})";
constexpr const char *LatePath = R"({"delay_ms":5000})";
constexpr std::array StrainFailureNames = {
    std::pair{"loss-and-kill", StrainFailure::LossAndKill},
    std::pair{"loss-and-freeze", StrainFailure::LossAndFreeze},
    std::pair{"hold-and-kill", StrainFailure::HoldAndKill},
    std::pair{"loss-and-slowness", StrainFailure::LossAndSlowness},
    std::pair{"loss-and-callers-held", StrainFailure::LossAndCallersHeld},
    std::pair{"engine-loss", StrainFailure::EngineLoss},
    std::pair{"loss-and-leaves", StrainFailure::LossAndLeaves},
    std::pair{"loss-and-partial-kills", StrainFailure::LossAndPartialKills},
    std::pair{"loss-without-store", StrainFailure::LossWithoutStore},
    std::pair{"loss-on-narrow-paths", StrainFailure::LossOnNarrowPaths},
    std::pair{"loss-behind-narrow-path", StrainFailure::LossBehindNarrowPath},
    std::pair{"loss-and-returns", StrainFailure::LossAndReturns},
    std::pair{"rejections-and-returns", StrainFailure::RejectionsAndReturns},
    std::pair{"callers-held-and-kill", StrainFailure::HeldAndKill},
    std::pair{"callers-held-and-partial-kills",
              StrainFailure::HeldAndPartialKills},
    std::pair{"all-held-and-kill", StrainFailure::AllHeldAndKill},
    std::pair{"late-paths-and-kill", StrainFailure::LatePathsAndKill},
    std::pair{"crashes", StrainFailure::Crashes},
    std::pair{"crashes-and-restarts", StrainFailure::CrashesAndRestarts},
    std::pair{"crashes-before-head", StrainFailure::CrashesBeforeHead},
    std::pair{"crashes-of-sound", StrainFailure::CrashesOfSound}};

StrainFailure failureOf(const SoakPlan &P) {
  constexpr std::array BySeed = {StrainFailure::HoldAndKill,
                                 StrainFailure::LossAndKill,
                                 StrainFailure::LossAndFreeze};
  return P.Failure_.value_or(BySeed[P.Seed_ % BySeed.size()]);
}

// What happens to the entries, their callers or the store in the failure.
void addCommonFaults(StrainFailure F, std::vector<SoakFault> &Out) {
  constexpr Duration At = CalmFor + LostBefore;
  auto Add = [&Out](SoakFaultKind Kind, Duration From, Duration For,
                    std::size_t Target = 0) {
    Out.push_back({Kind, Target, "", From, From + For});
  };
  switch (F) {
  case StrainFailure::LossAndLeaves:
  case StrainFailure::LossOnNarrowPaths:
  case StrainFailure::Crashes:
  case StrainFailure::CrashesAndRestarts:
  case StrainFailure::CrashesBeforeHead:
  case StrainFailure::CrashesOfSound:
    return;
  case StrainFailure::LossAndFreeze:
    return Add(SoakFaultKind::EntriesFrozen, At, FrozenFor);
  case StrainFailure::LossAndSlowness:
    return Add(SoakFaultKind::EntriesSlowed, At, LateFor);
  case StrainFailure::LossAndCallersHeld:
    return Add(SoakFaultKind::CallersHeld, At, LateFor);
  case StrainFailure::HeldAndKill:
    Add(SoakFaultKind::CallersHeld, At, LateFor);
    return Add(SoakFaultKind::EntriesKilled, At + KilledAfterCut, {});
  case StrainFailure::HeldAndPartialKills:
    Add(SoakFaultKind::CallersHeld, At, LateFor);
    Add(SoakFaultKind::HalfKilled, At + HalfKilledAfterCut, {}, 0);
    return Add(SoakFaultKind::HalfKilled, At + 3 * HalfKilledAfterCut, {}, 1);
  case StrainFailure::AllHeldAndKill:
    Add(SoakFaultKind::CallersHeld, At, LateFor);
    [[fallthrough]];
  case StrainFailure::HoldAndKill:
    return Add(SoakFaultKind::EntriesKilled, CalmFor + HoldFor, {});
  case StrainFailure::LatePathsAndKill:
    return Add(SoakFaultKind::EntriesKilled, CalmFor + KilledAfterSending, {});
  case StrainFailure::LossBehindNarrowPath:
    Add(SoakFaultKind::CallersNarrowed, CalmFor, HoldFor);
    return Add(SoakFaultKind::EntriesKilled, CalmFor + HoldFor, {});
  case StrainFailure::LossAndReturns:
  case StrainFailure::RejectionsAndReturns:
    Add(SoakFaultKind::CallersImpatient, CalmFor, FailureFor);
    [[fallthrough]];
  case StrainFailure::LossAndPartialKills:
    for (std::size_t I = 0; I < PartialKills; ++I)
      Add(SoakFaultKind::HalfKilled, At + I * PartialKillEvery, {}, I % 2);
    return;
  case StrainFailure::LossWithoutStore:
    Add(SoakFaultKind::StoreRefuses, At, StoreAwayFor);
    [[fallthrough]];
  case StrainFailure::LossAndKill:
  case StrainFailure::EngineLoss:
    return Add(SoakFaultKind::EntriesKilled, At, {});
  }
}

// Like addSeries(), from From on; for one target if it is given.
void addSeriesFrom(Duration From, SoakPlan P, const Series &S, Random R,
                   std::optional<std::size_t> Target,
                   std::vector<SoakFault> &Out) {
  P.Length_ -= From;
  std::size_t First = Out.size();
  addSeries(P, S, R, Out);
  for (std::size_t I = First; I < Out.size(); ++I) {
    Out[I].From_ += From;
    Out[I].To_ += From;
    Out[I].Target_ = Target.value_or(Out[I].Target_);
  }
}

// Plain endpoints leave one after the other while their answers are lost.
void addLeaves(const SoakPlan &P, std::vector<SoakFault> &Out) {
  Out.push_back(
      {SoakFaultKind::ServiceLosesLate, 0, "", CalmFor, CalmFor + FailureFor});
  std::size_t Next = 0;
  for (Duration At = CalmFor + LeaveEvery; At < CalmFor + FailureFor;
       At += LeaveEvery)
    Out.push_back({SoakFaultKind::Leaves, Next++ % P.Endpoints_, "", At, At});
}

// On the paths to all plain endpoints.
void addPathFault(const SoakPlan &P, const char *Path,
                  std::vector<SoakFault> &Out) {
  for (std::size_t I = 0; I < P.Endpoints_; ++I)
    Out.push_back(
        {SoakFaultKind::EndpointPath, I, Path, CalmFor, CalmFor + HoldFor});
}

// The failure of all services at once, and what happens to all entries in it.
void addCommonFailure(const SoakPlan &P, std::size_t Services,
                      std::vector<SoakFault> &Out) {
  StrainFailure Failure = failureOf(P);
  if (Failure == StrainFailure::LossAndLeaves)
    return addLeaves(P, Out);
  if (Failure == StrainFailure::LossOnNarrowPaths)
    addPathFault(P, NarrowPath, Out);
  if (Failure == StrainFailure::LatePathsAndKill)
    addPathFault(P, LatePath, Out);
  bool IsHeld = Failure == StrainFailure::HoldAndKill ||
                Failure == StrainFailure::AllHeldAndKill;
  Duration LossAt = IsHeld ? CalmFor + HoldFor : CalmFor;
  SoakFaultKind Kind = Failure == StrainFailure::RejectionsAndReturns
                           ? SoakFaultKind::ServiceRejectsPart
                           : SoakFaultKind::ServiceLosesAnswers;
  // Engines are the last service.
  std::size_t First = Failure == StrainFailure::EngineLoss ? Services - 1 : 0;
  for (std::size_t I = First; I < Services; ++I) {
    if (IsHeld)
      Out.push_back({SoakFaultKind::ServiceHolds, I, "", CalmFor, LossAt});
    Out.push_back({Kind, I, "", LossAt, CalmFor + FailureFor});
  }
  addCommonFaults(Failure, Out);
}
} // namespace

std::optional<StrainFailure> parseStrainFailure(const std::string &Name) {
  for (const auto &[Text, Failure] : StrainFailureNames)
    if (Name == Text)
      return Failure;
  return std::nullopt;
}

std::vector<SoakFault> planRepeatStrain(const SoakPlan &P) {
  constexpr Series Services{ServiceFailures, 1, 3000, 9000, 0, 2000};
  constexpr Series Entries{EntrySeries, 1, 300, 4000, 300, 3000};
  constexpr Duration SeriesFrom = CalmFor + FailureFor;
  std::vector<SoakFault> Out;
  std::size_t Count = targets(P, Target::Service);
  addCommonFailure(P, Count, Out);
  for (std::size_t I = 0; I < Count; ++I)
    addSeriesFrom(SeriesFrom, P, Services, Random(P.Seed_ * MaxSeries + I), I,
                  Out);
  addSeriesFrom(SeriesFrom, P, Entries, Random(~P.Seed_), std::nullopt, Out);
  std::sort(Out.begin(), Out.end(), [](const SoakFault &A, const SoakFault &B) {
    return A.From_ < B.From_;
  });
  return Out;
}

bool isOfCrashes(StrainFailure F) {
  return F == StrainFailure::Crashes ||
         F == StrainFailure::CrashesAndRestarts ||
         F == StrainFailure::CrashesBeforeHead ||
         F == StrainFailure::CrashesOfSound;
}

std::vector<SoakFault> planCrashes(const SoakPlan &P) {
  constexpr Duration RestartsAt = CrashesFrom + Seconds(16);
  constexpr Duration KillAfterStop = Milliseconds(200);
  StrainFailure Failure = P.Failure_.value_or(StrainFailure::Crashes);
  bool IsSentBefore = Failure == StrainFailure::CrashesOfSound;
  bool HasHead = Failure != StrainFailure::CrashesBeforeHead;
  std::vector<SoakFault> Out = {{SoakFaultKind::CrashingPartSent, 0, "",
                                 IsSentBefore ? Duration::zero() : CrashesFrom,
                                 P.Length_},
                                {SoakFaultKind::EnginesCrash, HasHead ? 1U : 0U,
                                 "", CrashesFrom, P.Length_}};
  if (Failure != StrainFailure::CrashesAndRestarts)
    return Out;
  Out.push_back({SoakFaultKind::AgentsStopped, 0, "", RestartsAt, RestartsAt});
  Out.push_back({SoakFaultKind::EntriesKilled, 0, "",
                 RestartsAt + KillAfterStop, RestartsAt + KillAfterStop});
  return Out;
}

std::string describe(const SoakFault &F) {
  const char *Name = "";
  for (std::span<const KindRow> Kinds :
       {std::span<const KindRow>(Faults), std::span<const KindRow>(PlannedWork),
        std::span<const KindRow>(Configurations),
        std::span<const KindRow>(Versions), std::span<const KindRow>(Surges),
        std::span<const KindRow>(ColdMoments),
        std::span<const KindRow>(Evacuations),
        std::span<const KindRow>(ForeignRows),
        std::span<const KindRow>(EndlessAnswers),
        std::span<const KindRow>(EngineRestarts),
        std::span<const KindRow>(OriginMoves),
        std::span<const KindRow>(ServiceFailures),
        std::span<const KindRow>(EntrySeries),
        std::span<const KindRow>(NotDrawn)})
    for (const KindRow &Each : Kinds)
      if (Each.Kind_ == F.Kind_)
        Name = Each.Name_;
  std::ostringstream Out;
  Out << F.From_ / Milliseconds(1) << " to " << F.To_ / Milliseconds(1)
      << " ms: " << Name << ' ' << F.Target_;
  if (F.Kind_ == SoakFaultKind::StorePath ||
      F.Kind_ == SoakFaultKind::EndpointPath)
    Out << ' ' << F.Path_;
  return Out.str();
}

} // namespace hawthornroad
