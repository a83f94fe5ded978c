#include "tests/soak/SoakWorld.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <iostream>

namespace hawthornroad {

namespace json = boost::json;

namespace {
// Longest time between sending a request and its run.
constexpr Duration RunSlack = SoakCallers::PlainDeadline;
constexpr Duration TickPeriod = Milliseconds(20);
// From a stop signal to the next signal to that process.
constexpr Duration SecondSignalDelay = Milliseconds(700);
// Of a version, before its origin is lost.
constexpr int PiecesBeforeLoss = 5;
constexpr unsigned Ok = 200;

TimePoint now() { return std::chrono::steady_clock::now(); }
} // namespace

SoakWorld::SoakWorld(Options O)
    : Options_(std::move(O)),
      Checks_(Record_, {.RevokeBound_ = SoakLayout::RevokeBound,
                        .EvacuateBound_ = SoakLayout::EvacuateBound,
                        .StopBound_ = SoakLayout::StopBound,
                        .Repeats_ = {.Ratio_ = Options_.Layout_.RepeatRatio_,
                                     .Slack_ = Options_.Layout_.RepeatSlack_},
                        .LimitsCold_ = !isStrain()}),
      Layout_(Options_.Layout_, Record_, Folder_),
      Operators_(Layout_.store(), Record_, Options_.Layout_.Seed_),
      Callers_(
          {.Seed_ = Options_.Layout_.Seed_,
           .Callers_ = Options_.CallersPerEntry_ * Layout_.entries().size(),
           .HasEngines_ = Options_.Layout_.Agents_ > 0},
          Layout_, Checks_),
      Load_({.Seed_ = Options_.Layout_.Seed_,
             .PerSecond_ = Options_.StrainPerSecond_,
             .HasEngines_ = Options_.Layout_.Agents_ > 0,
             .CrashingPerSecond_ = Options_.CrashingPerSecond_},
            Layout_, Checks_) {
  Config_.LimitsCold_ = !isStrain();
  Callers_.setKeys(RotatingKey_, RotatingKey_);
  if (Options_.Layout_.Agents_ > 0)
    Config_.Origin_ = Layout_.origin().address();
  configure();
  Layout_.start();
}

// Routes are only ever added, so a process that has served a route must never
// answer afterwards that it does not exist.
void SoakWorld::configure() {
  ++Config_.Version_;
  Config_.Keys_ = {SoakCallers::SteadyKey, RotatingKey_};
  Layout_.store().put("op", "config", Config_.text());
  Callers_.setNewestRoute(Config_.AddedRoutes_);
}

// ---- Faults and planned work ------------------------------------------------

void SoakWorld::removeKey() {
  std::string Old = RotatingKey_;
  RotatingKey_ = "rotating-" + std::to_string(Config_.Version_ + 1);
  Callers_.setKeys(Old, RotatingKey_);
  configure();
  Checks_.keyRemoved(Old, now());
}

void SoakWorld::removeCustomers() {
  Config_.HasCustomers_ = false;
  configure();
  for (const std::string &Each : SoakCallers::keys(RotatingKey_))
    Checks_.keyRemoved(Each, now());
}

void SoakWorld::addCustomers() {
  for (const std::string &Each : SoakCallers::keys(RotatingKey_))
    Checks_.keyAdded(Each, now());
  Config_.HasCustomers_ = true;
  configure();
}

void SoakWorld::moveOrigin() {
  Layout_.origin().move();
  Config_.Origin_ = Layout_.origin().address();
  configure();
}

void SoakWorld::declareVersion() {
  json::object Row = {{"model", "m"}, {"version", ++WeightVersion_}};
  Layout_.store().put("op", "version/m", json::serialize(Row));
}

void SoakWorld::begin(const SoakFault &F, TimePoint EndsAt) {
  auto &Entries = Layout_.entries();
  auto &Endpoints = Layout_.endpoints();
  SoakLayout::Entry &E = Entries[F.Target_ % Entries.size()];
  SoakLayout::Endpoint &A = Endpoints[F.Target_ % Endpoints.size()];
  switch (F.Kind_) {
  case SoakFaultKind::StorePath:
    return Layout_.beginFault(E, F.Path_);
  case SoakFaultKind::EndpointPath:
    return Layout_.beginFault(A, F.Path_);
  case SoakFaultKind::Freeze:
    return Layout_.freeze(E);
  case SoakFaultKind::Kill:
    return Layout_.kill(E, EndsAt);
  case SoakFaultKind::Stop:
    return Layout_.stop(E, EndsAt);
  case SoakFaultKind::StopTwice:
    Layout_.stop(E, EndsAt);
    tickUntil(now() + SecondSignalDelay);
    return Layout_.stop(E, EndsAt);
  case SoakFaultKind::StopAndReload:
    Layout_.stop(E, EndsAt);
    tickUntil(now() + SecondSignalDelay);
    [[fallthrough]];
  case SoakFaultKind::Reload:
    if (E.Process_->running())
      ::kill(E.Process_->pid(), SIGHUP);
    return;
  case SoakFaultKind::AgentStop:
    checkAgents();
    return Layout_.stop(Layout_.agents()[F.Target_], EndsAt);
  case SoakFaultKind::StoreRefuses:
    return Layout_.setStoreMode(StoreStandIn::Mode::Refuse);
  case SoakFaultKind::StoreSilent:
    return Layout_.setStoreMode(StoreStandIn::Mode::Silent);
  case SoakFaultKind::HistoryLost:
    return Layout_.store().dropHistory();
  case SoakFaultKind::AnswersLost:
    return A.Server_->setMode(SoakEndpoint::Mode::LoseAnswer);
  case SoakFaultKind::NotRun:
    return A.Server_->setMode(SoakEndpoint::Mode::NotRun);
  case SoakFaultKind::StreamsBroken:
    return A.Server_->setMode(SoakEndpoint::Mode::BreakStream);
  case SoakFaultKind::Pauses:
    return A.Server_->setPausing(true);
  case SoakFaultKind::Leaves:
    return Layout_.replace(A);
  case SoakFaultKind::KeyRemoved:
    return removeKey();
  case SoakFaultKind::RouteAdded:
    ++Config_.AddedRoutes_;
    return configure();
  case SoakFaultKind::Configured:
    Config_.IsMoved_ = !Config_.IsMoved_;
    Config_.AddedRoutes_ += Config_.Version_ % 2;
    Config_.UnusedRoutes_ =
        SoakConfig::FewestUnusedRoutes +
        F.Path_.size() * Config_.Version_ %
            (SoakConfig::MostUnusedRoutes - SoakConfig::FewestUnusedRoutes);
    return configure();
  case SoakFaultKind::VersionDeclared:
    return declareVersion();
  case SoakFaultKind::OriginLost:
    Layout_.origin().loseAfter(PiecesBeforeLoss, F.Target_ == 1);
    return declareVersion();
  case SoakFaultKind::CustomersRemoved:
    return removeCustomers();
  case SoakFaultKind::Endless:
    return Operators_.beginEndless(Layout_.zone(F.Target_));
  case SoakFaultKind::ForeignRow:
    return Operators_.putForeignRow();
  case SoakFaultKind::Evacuated:
    return Operators_.evacuate(Layout_.zone(F.Target_));
  case SoakFaultKind::Surge:
    return Callers_.setSurging(true);
  case SoakFaultKind::BecomesCold:
    return A.Server_->becomeCold(SoakEndpoint::ColdAgainFor);
  case SoakFaultKind::EngineBecomesCold:
    return Layout_.agents()[F.Target_].Engine_->becomeCold(
        SoakEndpoint::ColdAgainFor);
  case SoakFaultKind::EngineRestarts:
    return Layout_.agents()[F.Target_].Engine_->restartSpoilt();
  case SoakFaultKind::ServiceLosesAnswers:
    return forEachEndpoint(F.Target_, [](SoakEndpoint &Each) {
      Each.setMode(SoakEndpoint::Mode::LoseAnswer);
    });
  case SoakFaultKind::ServiceLosesLate:
    return forEachEndpoint(F.Target_, [](SoakEndpoint &Each) {
      Each.setMode(SoakEndpoint::Mode::LoseLate);
    });
  case SoakFaultKind::ServiceRejects:
    return forEachEndpoint(F.Target_, [](SoakEndpoint &Each) {
      Each.setMode(SoakEndpoint::Mode::NotRun);
    });
  case SoakFaultKind::ServiceRejectsPart:
    return forEachEndpoint(F.Target_, [](SoakEndpoint &Each) {
      Each.setMode(SoakEndpoint::Mode::RejectPart);
    });
  case SoakFaultKind::ServiceHolds:
    return forEachEndpoint(F.Target_,
                           [](SoakEndpoint &Each) { Each.setHeld(true); });
  case SoakFaultKind::HalfKilled:
    for (std::size_t I = F.Target_; I < Entries.size(); I += 2)
      Layout_.kill(Entries[I], now());
    return;
  case SoakFaultKind::EntriesKilled:
    for (SoakLayout::Entry &Each : Entries)
      Layout_.kill(Each, now());
    return;
  case SoakFaultKind::EntriesFrozen:
    for (SoakLayout::Entry &Each : Entries)
      Layout_.freeze(Each);
    return;
  case SoakFaultKind::EntriesSlowed:
    return Layout_.slowEntries();
  case SoakFaultKind::CallersHeld:
    return Load_.setHeld(true);
  case SoakFaultKind::CallersNarrowed:
    return Load_.setNarrowed(true);
  case SoakFaultKind::CallersImpatient:
    return Load_.setImpatient(true);
  case SoakFaultKind::CrashingPartSent:
    return Load_.setSendingCrashingPart(true);
  case SoakFaultKind::EnginesCrash:
    for (SoakLayout::Agent &Each : Layout_.agents())
      Each.Engine_->setCrashing(F.Target_ == 0
                                    ? SoakEndpoint::Crashes::BeforeHead
                                    : SoakEndpoint::Crashes::AfterHead);
    return;
  case SoakFaultKind::AgentsStopped:
    checkAgents();
    for (SoakLayout::Agent &Each : Layout_.agents())
      Layout_.stop(Each, now());
    return;
  case SoakFaultKind::EntriesStopped:
    for (std::size_t I = 0; I < Entries.size(); I += 2)
      Layout_.stop(Entries[I], EndsAt);
    return;
  case SoakFaultKind::EntryAdded:
    return Layout_.addEntry();
  }
}

void SoakWorld::forEachEndpoint(std::size_t Service,
                                const std::function<void(SoakEndpoint &)> &F) {
  std::string Name = StrainedServices.at(Service);
  for (SoakLayout::Endpoint &Each : Layout_.endpoints())
    if (Each.Server_->service() == Name)
      F(*Each.Server_);
  for (SoakLayout::Agent &Each : Layout_.agents())
    if (Each.Engine_->service() == Name)
      F(*Each.Engine_);
}

void SoakWorld::end(const SoakFault &F) {
  auto &Entries = Layout_.entries();
  auto &Endpoints = Layout_.endpoints();
  SoakLayout::Entry &E = Entries[F.Target_ % Entries.size()];
  SoakLayout::Endpoint &A = Endpoints[F.Target_ % Endpoints.size()];
  switch (F.Kind_) {
  case SoakFaultKind::StorePath:
    return Layout_.endFault(E, F.Path_);
  case SoakFaultKind::EndpointPath:
    return Layout_.endFault(A, F.Path_);
  case SoakFaultKind::Freeze:
    return Layout_.resume(E);
  case SoakFaultKind::StoreRefuses:
  case SoakFaultKind::StoreSilent:
    return Layout_.setStoreMode(StoreStandIn::Mode::Normal);
  case SoakFaultKind::AnswersLost:
  case SoakFaultKind::NotRun:
  case SoakFaultKind::StreamsBroken:
    return A.Server_->setMode(SoakEndpoint::Mode::Normal);
  case SoakFaultKind::Pauses:
    return A.Server_->setPausing(false);
  case SoakFaultKind::OriginLost:
    return moveOrigin();
  case SoakFaultKind::CustomersRemoved:
    return addCustomers();
  case SoakFaultKind::Endless:
    return Operators_.endEndless();
  case SoakFaultKind::ForeignRow:
    return Operators_.removeForeignRow();
  case SoakFaultKind::Evacuated:
    return Operators_.restore(Layout_.zone(F.Target_));
  case SoakFaultKind::Surge:
    return Callers_.setSurging(false);
  case SoakFaultKind::ServiceLosesAnswers:
  case SoakFaultKind::ServiceLosesLate:
  case SoakFaultKind::ServiceRejects:
  case SoakFaultKind::ServiceRejectsPart:
    return forEachEndpoint(F.Target_, [](SoakEndpoint &Each) {
      Each.setMode(SoakEndpoint::Mode::Normal);
    });
  case SoakFaultKind::ServiceHolds:
    return forEachEndpoint(F.Target_,
                           [](SoakEndpoint &Each) { Each.setHeld(false); });
  case SoakFaultKind::EntriesFrozen:
    for (SoakLayout::Entry &Each : Entries)
      Layout_.resume(Each);
    return;
  case SoakFaultKind::EntriesSlowed:
    return Layout_.endSlowness();
  case SoakFaultKind::CallersHeld:
    return Load_.setHeld(false);
  case SoakFaultKind::CallersNarrowed:
    return Load_.setNarrowed(false);
  case SoakFaultKind::CallersImpatient:
    return Load_.setImpatient(false);
  // The layout restarts processes.
  default:
    return;
  }
}

void SoakWorld::tickUntil(TimePoint End) {
  for (TimePoint Now = now(); Now < End; Now = now()) {
    Layout_.tick(Now);
    std::this_thread::sleep_until(std::min(End, now() + TickPeriod));
  }
}

std::vector<SoakFault> SoakWorld::plan() {
  SoakPlan P{.Seed_ = Options_.Layout_.Seed_,
             .Length_ = Options_.Length_,
             .Entries_ = Layout_.entries().size(),
             .Agents_ = Layout_.agents().size(),
             .Endpoints_ = Layout_.endpoints().size(),
             .Zones_ = Options_.Layout_.Zones_,
             .IsPlannedOnly_ = Options_.IsPlannedOnly_,
             .Failure_ = Options_.StrainFailure_};
  if (P.Failure_ && isOfCrashes(*P.Failure_))
    return planCrashes(P);
  return isStrain() ? planRepeatStrain(P) : planFaults(P);
}

void SoakWorld::runPlan() {
  std::vector<SoakFault> Plan = plan();
  struct Step {
    Duration At_{};
    bool IsEnd_ = false;
    const SoakFault *Fault_ = nullptr;
  };
  std::vector<Step> Steps;
  for (const SoakFault &F : Plan) {
    Steps.push_back({F.From_, false, &F});
    Steps.push_back({F.To_, true, &F});
  }
  std::stable_sort(Steps.begin(), Steps.end(),
                   [](const Step &A, const Step &B) { return A.At_ < B.At_; });
  TimePoint StartedAt = now();
  for (const Step &S : Steps) {
    tickUntil(StartedAt + S.At_);
    if (!S.IsEnd_)
      std::cout << "  " << describe(*S.Fault_) << std::endl;
    S.IsEnd_ ? end(*S.Fault_) : begin(*S.Fault_, StartedAt + S.Fault_->To_);
  }
}

void SoakWorld::run() {
  isStrain() ? Load_.start() : Callers_.start();
  runPlan();
  Callers_.setSurging(false);
  TimePoint CalmSince = now();
  checkRecovery();
  Callers_.stop();
  Load_.stop();
  std::this_thread::sleep_for(RunSlack);
  checkWeights(CalmSince);
  checkAgents();
  for (const std::string &Each : Layout_.memory().excesses())
    Checks_.violation(Each);
  if (Operators_.trapped() > 0)
    Checks_.violation(std::to_string(Operators_.trapped()) +
                      " requests at an address that only rows of another "
                      "writer name");
  Checks_.finish();
}

std::string SoakWorld::copiesSummary() const {
  return std::to_string(Layout_.answerCopies()) + " second copies, " +
         std::to_string(Layout_.rejectedChecks()) + " health checks rejected";
}

// ---- Recovery ---------------------------------------------------------------

void SoakWorld::checkRecovery() {
  Layout_.clearFaults();
  ++Config_.AddedRoutes_;
  configure();
  TimePoint Since = now();
  std::vector<std::thread> Threads;
  for (std::size_t I = 0; I < Layout_.entries().size(); ++I)
    Threads.emplace_back([this, I, Since] { checkRecovery(I, Since); });
  for (std::thread &Each : Threads)
    Each.join();
}

void SoakWorld::checkRecovery(std::size_t Entry, TimePoint Since) {
  SoakCaller Caller;
  SoakLayout::Address To = Layout_.address(Entry);
  Process &P = *Layout_.entries()[Entry].Process_;
  for (int N = 0; now() - Since < RecoverBound; ++N) {
    SoakRequest R{.Id_ =
                      "calm-" + std::to_string(Entry) + "-" + std::to_string(N),
                  .Kind_ = SoakKind::Safe,
                  .Key_ = SoakCallers::SteadyKey,
                  .Services_ = {"api"},
                  .SentAt_ = now(),
                  .Process_ = To.Process_,
                  .Deadline_ = SoakCallers::PlainDeadline,
                  .Timeout_ = SoakConfig::PlainTimeout};
    Checks_.sent(R);
    SoakOutcome O = Caller.call(
        To.Callers_, "/new" + std::to_string(Config_.AddedRoutes_) + "/x", R);
    Checks_.ended(R.Id_, O);
    bool IsServed =
        O.End_ == SoakOutcome::End::Whole && O.Answer_.Status_ == Ok;
    if (IsServed && PlatformFixture::isReady(P) && now() - Since < RecoverBound)
      return;
    std::this_thread::sleep_for(Milliseconds(100));
  }
  Checks_.violation(To.Process_ + " is not well again " +
                    std::to_string(RecoverBound / Seconds(1)) +
                    " s after all faults");
}

void SoakWorld::checkAgents() {
  for (const SoakLayout::Agent &Each : Layout_.agents())
    if (!Each.RestartAt_ && !Each.Process_->running())
      Checks_.violation("the agent of " + Each.Engine_->id() +
                        " has ended by itself");
}

void SoakWorld::checkWeights(TimePoint Since) {
  for (const SoakLayout::Agent &Each : Layout_.agents()) {
    const SoakEndpoint &Engine = *Each.Engine_;
    while (Engine.loadedVersion() != WeightVersion_ &&
           now() - Since < RecoverBound)
      std::this_thread::sleep_for(Milliseconds(50));
    if (Engine.loadedVersion() != WeightVersion_)
      Checks_.violation(Engine.id() + " has version " +
                        std::to_string(Engine.loadedVersion()) + ", not " +
                        std::to_string(WeightVersion_) + ", " +
                        std::to_string(RecoverBound / Seconds(1)) +
                        " s after all faults");
    if (!Engine.wasAlwaysWhole())
      Checks_.violation(Engine.id() +
                        " has loaded weights that were not whole");
  }
}

} // namespace hawthornroad
