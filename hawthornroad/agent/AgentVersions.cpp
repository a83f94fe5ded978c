#include "hawthornroad/agent/StoreAgentState.h"
#include "platform/Names.h"

#include <algorithm>

namespace hawthornroad {

namespace {
constexpr WeightVersion FirstVersion = 1;
// Interval at which an agent reads the versions while no entry is connected to
// it. With its jitter, it learns of a version within 18.2 s. Entries tell
// connected agents at once.
constexpr Duration VersionPollInterval = Seconds(13);
constexpr Duration OperatorRetryDelay = Milliseconds(400);
// Each consecutive failure doubles the delay, up to 3.2 s: when the store
// fails, as many agents retry as there are engines.
constexpr unsigned MaxBackoffDoublings = 3;
constexpr double OperatorJitter = 0.4;
// A version published this long after the one in progress waits for it.
constexpr Duration SwitchWindow = Milliseconds(1200);
} // namespace

// The configuration is large and changes often, and an agent needs little of
// it. When every agent read every change, the links between zones were
// saturated and entries received theirs late. So an agent reads it at start and
// again when the origin cannot be reached, and reads it from an entry. Versions
// come from entries; an agent that no entry is connected to polls the store for
// them.
void StoreAgent::State::refreshOperatorTable(TimePoint Now) {
  if (OperatorPending_ || Now < OperatorNotBefore_)
    return;
  if (MustListOperators_ || pace() == nullptr)
    return listOperatorTable();
  if (!hasWatchers() || newestKnown() < HeardVersion_)
    return listVersions();
  OperatorNotBefore_ =
      Now + Random_.jitter(VersionPollInterval, OperatorJitter);
}

void StoreAgent::State::listOperatorTable() {
  OperatorPending_ = true;
  Reader_.list(std::string(platform::OperatorTable), bootNow(),
               [this](const StoreReply &R) { onOperatorReply(true, R); });
}

void StoreAgent::State::listVersions() {
  OperatorPending_ = true;
  platform::KeyRange Keys = platform::versionKeyRange();
  Store_.list(std::string(platform::OperatorTable), Keys.From_, Keys.To_,
              [this](const StoreReply &R) { onOperatorReply(false, R); });
}

void StoreAgent::State::onOperatorReply(bool IsFullTable, const StoreReply &R) {
  TimePoint Now = bootNow();
  OperatorPending_ = false;
  const auto *Rows = std::get_if<StoreRows>(&R);
  OperatorFailures_ = Rows == nullptr ? OperatorFailures_ + 1 : 0;
  auto Doubled = std::min(OperatorFailures_, MaxBackoffDoublings);
  OperatorNotBefore_ =
      Now + Random_.jitter(OperatorRetryDelay * (1 << Doubled), OperatorJitter);
  if (Rows == nullptr)
    return;
  if (IsFullTable)
    MustListOperators_ = false;
  onOperatorRows(*Rows);
  bool IsBehind = newestKnown() < HeardVersion_;
  if (!IsBehind && pace() != nullptr)
    OperatorNotBefore_ =
        Now + Random_.jitter(VersionPollInterval, OperatorJitter);
}

WeightVersion StoreAgent::State::newestKnown() const {
  WeightVersion Known = Updater_.wanted() ? Updater_.wanted()->Version_ : 0;
  return Next_ ? std::max(Known, Next_->Version_.Version_) : Known;
}

void StoreAgent::State::onOperatorRows(const StoreRows &Rows) {
  TimePoint Now = bootNow();
  for (const StoreRow &Row : Rows.Rows_) {
    if (Row.IsRemoved_)
      continue;
    try {
      if (Row.Key_ == platform::ConfigKey) {
        Config_ = RoutingConfig::build(platform::decodeConfig(Row.Value_));
        if (const ServiceConfig *Origin = Config_->origin())
          takeOrigin(*Origin);
      } else if (auto V = platform::decodeVersionRow(Row.Key_, Row.Value_)) {
        takeVersion({V->Model_, V->Version_}, Now);
      }
    } catch (const Error &E) {
      Log_.write(LogLine("config_unreadable")
                     .text("key", Row.Key_)
                     .text("detail", E.what()),
                 true);
    }
  }
  takeFirstVersion(Now);
}

void StoreAgent::State::lookUpOrigin() {
  MustListOperators_ = true;
  OperatorNotBefore_ = TimePoint();
}

// A transfer goes on with the new origin and the pieces that it holds.
void StoreAgent::State::takeOrigin(const ServiceConfig &Origin) {
  if (Origin_.address() == Origin.OriginAddress_ &&
      OriginZone_ == Origin.OriginZone_)
    return;
  Log_.write(LogLine("origin")
                 .text("address", Origin.OriginAddress_)
                 .text("zone", Origin.OriginZone_.str())
                 .text("before", Origin_.address()));
  OriginZone_ = Origin.OriginZone_;
  Origin_.setAddress(Origin.OriginAddress_);
  TimePoint Now = bootNow();
  for (const auto &T : transfers())
    T->onOriginMoved(OriginZone_, Now);
  // Where the digests come from depends on the origin's zone.
  for (const auto &P : {Current_, Next_})
    if (P)
      P->Tree_.reset();
}

// Until operators publish a version, the first one counts as wanted: an added
// engine would otherwise stay empty.
void StoreAgent::State::takeFirstVersion(TimePoint Now) {
  const EngineProfile *Pace = pace();
  if (!Updater_.wanted() && Pace != nullptr && !Pace->Model_.empty())
    takeVersion({Pace->Model_, FirstVersion}, Now);
}

const EngineProfile *StoreAgent::State::pace() const {
  const ServiceConfig *S =
      Config_ ? Config_->findService(Settings_.Service_) : nullptr;
  return S != nullptr && S->Engine_ ? &*S->Engine_ : nullptr;
}

void StoreAgent::State::takeVersion(const ModelVersion &V, TimePoint Now) {
  // A VM has one engine with one model; versions of other models are ignored.
  if (pace() != nullptr && !pace()->Model_.empty() &&
      pace()->Model_ != V.Model_)
    return;
  if (Updater_.wanted() && V.Version_ <= Updater_.wanted()->Version_)
    return;
  auto P = std::make_shared<VersionUpdate>();
  P->Version_ = V;
  P->HeardAt_ = Now;
  Heard_.note(V, Now);
  Log_.write(LogLine("version_wanted")
                 .text("model", V.Model_)
                 .count("version", V.Version_),
             true);
  // Each version has its own bound: an update that is nearly finished is
  // completed first, or requests would have no engine that may serve them.
  bool IsNearlyDone = isBusy() && !OrderBegun_ && Current_ &&
                      Now - Current_->HeardAt_ >= SwitchWindow;
  if (!IsNearlyDone)
    return startUpdate(std::move(P));
  if (!Next_ || Next_->Version_.Version_ < V.Version_)
    Next_ = std::move(P);
  step(Now);
}

void StoreAgent::State::startUpdate(std::shared_ptr<VersionUpdate> P) {
  if (!Updater_.setWanted(P->Version_))
    return;
  Current_ = std::move(P);
  Updater_.setObsoleteAt(Current_->HeardAt_ + Settings_.Common_.VersionBound_ -
                         BoundMargin);
  OrderBegun_ = false;
  LoadedAt_.reset();
  if (Current_->Transfer_) {
    Current_->Transfer_->setReadsOrigin(true);
    if (Current_->Transfer_->isComplete())
      Updater_.setStaged(true);
  }
  step(bootNow());
}

void StoreAgent::State::startNextUpdate() {
  if (Next_)
    startUpdate(std::exchange(Next_, nullptr));
}

} // namespace hawthornroad
