#include "hawthornroad/agent/StoreAgentState.h"
#include "platform/Names.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// Versions count up from here.
constexpr WeightVersion FirstVersion = 1;
// An agent that no entry is connected to reads the versions this often; with
// its spread it hears of one within 18.2 s. Entries tell the others at once.
constexpr Duration VersionPoll = Seconds(13);
constexpr Duration OperatorAgain = Milliseconds(400);
// Each further failure doubles it, up to 3.2 s: a store that is down meets as
// many agents as there are engines.
constexpr unsigned MostDoublings = 3;
constexpr double OperatorSpread = 0.4;
// A version named this much later than the one under way waits for it.
constexpr Duration SwitchBefore = Milliseconds(1200);

// The origin takes few connections from all VMs together, and those of a VM
// that lost its power count for long: none is kept while it is of no use.
//
// An origin that has gone away leaves its callers waiting, and one that is back
// is found by the next dial: a dial that is not answered within a few round
// trips is given up for a new one, long before the system would repeat its lost
// packet (one second).
HttpCalls::Options originOptions() {
  HttpCalls::Options O;
  O.SpareFor_ = Milliseconds(400);
  O.WholeLimit_ = OriginWholeLimit;
  O.QuickDial_ = Milliseconds(200);
  return O;
}
} // namespace

// The text of the configuration is large and changes often, and a VM's agent
// needs little of it: with every agent reading every change, the links between
// zones were full and entries got theirs late. So it is read at the start, and
// again when the origin cannot be reached, and from an entry. Versions come
// from entries, and are read now and then by an agent that no entry is
// connected to.
void StoreAgent::State::askOperators(TimePoint Now) {
  if (OperatorUnderWay_ || Now < OperatorNotBefore_)
    return;
  if (MustListOperators_ || pace() == nullptr)
    return listOperators();
  if (!isToldByEntries() || newestKnown() < LookedFor_)
    return listVersions();
  OperatorNotBefore_ = Now + Random_.jitter(VersionPoll, OperatorSpread);
}

void StoreAgent::State::listOperators() {
  OperatorUnderWay_ = true;
  Reader_.list(std::string(platform::OperatorTable), bootNow(),
               [this](const StoreReply &R) { onOperatorReply(true, R); });
}

void StoreAgent::State::listVersions() {
  OperatorUnderWay_ = true;
  platform::KeyRange Keys = platform::versionKeys();
  Store_.list(std::string(platform::OperatorTable), Keys.From_, Keys.To_,
              [this](const StoreReply &R) { onOperatorReply(false, R); });
}

void StoreAgent::State::onOperatorReply(bool IsWhole, const StoreReply &R) {
  TimePoint Now = bootNow();
  OperatorUnderWay_ = false;
  const auto *Rows = std::get_if<StoreRows>(&R);
  OperatorFailures_ = Rows == nullptr ? OperatorFailures_ + 1 : 0;
  auto Doubled = std::min(OperatorFailures_, MostDoublings);
  OperatorNotBefore_ =
      Now + Random_.jitter(OperatorAgain * (1 << Doubled), OperatorSpread);
  if (Rows == nullptr)
    return;
  if (IsWhole)
    MustListOperators_ = false;
  onOperatorRows(*Rows);
  bool IsBehind = newestKnown() < LookedFor_;
  if (!IsBehind && pace() != nullptr)
    OperatorNotBefore_ = Now + Random_.jitter(VersionPoll, OperatorSpread);
}

WeightVersion StoreAgent::State::newestKnown() const {
  WeightVersion Known = Duty_.wanted() ? Duty_.wanted()->Version_ : 0;
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
        const ServiceEntry *Origin = Config_->origin();
        if (Origin != nullptr &&
            (!Origin_ || Origin_->address() != Origin->OriginAddress_)) {
          Origin_ = std::make_unique<HttpCalls>(
              Io_.context(), Origin->OriginAddress_, originOptions());
          OriginZone_ = Origin->OriginZone_;
          Log_.write(LogLine("origin").text("address", Origin->OriginAddress_));
        }
      } else if (auto V = platform::decodeVersion(Row.Key_, Row.Value_)) {
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

// Until operators name a version, the first one counts as wanted: an engine
// that was added would otherwise stay empty.
void StoreAgent::State::takeFirstVersion(TimePoint Now) {
  const EnginePace *Pace = pace();
  if (!Duty_.wanted() && Pace != nullptr && !Pace->Model_.empty())
    takeVersion({Pace->Model_, FirstVersion}, Now);
}

const EnginePace *StoreAgent::State::pace() const {
  const ServiceEntry *S =
      Config_ ? Config_->findService(Settings_.Service_) : nullptr;
  return S != nullptr && S->Engine_ ? &*S->Engine_ : nullptr;
}

void StoreAgent::State::takeVersion(const ModelVersion &V, TimePoint Now) {
  // A VM has one engine with one model; others' versions are not its own.
  if (pace() != nullptr && !pace()->Model_.empty() &&
      pace()->Model_ != V.Model_)
    return;
  if (Duty_.wanted() && V.Version_ <= Duty_.wanted()->Version_)
    return;
  auto P = std::make_shared<Pursuit>();
  P->Version_ = V;
  P->HeardAt_ = Now;
  Log_.write(LogLine("version_wanted")
                 .text("model", V.Model_)
                 .count("version", V.Version_),
             true);
  // Each version has its own bound: one that is nearly there is finished first,
  // or requests would have no engine that may serve them.
  bool IsFar = isBusy() && !OrderBegun_ && Current_ &&
               Now - Current_->HeardAt_ >= SwitchBefore;
  if (!IsFar)
    return pursue(std::move(P));
  if (!Next_ || Next_->Version_.Version_ < V.Version_)
    Next_ = std::move(P);
  step(Now);
}

void StoreAgent::State::pursue(std::shared_ptr<Pursuit> P) {
  if (!Duty_.want(P->Version_))
    return;
  Current_ = std::move(P);
  Duty_.setUselessAt(Current_->HeardAt_ + Settings_.Common_.VersionBound_ -
                     BoundMargin);
  OrderBegun_ = false;
  LoadedAt_.reset();
  if (Current_->Transfer_) {
    Current_->Transfer_->setReadsOrigin(true);
    if (Current_->Transfer_->isWhole())
      Duty_.setStaged(true);
  }
  step(bootNow());
}

void StoreAgent::State::pursueNext() {
  if (Next_)
    pursue(std::exchange(Next_, nullptr));
}

} // namespace hawthornroad
