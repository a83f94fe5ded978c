#include "hawthornroad/entry/DirectEntryState.h"
#include "hawthornroad/entry/EvacuationRows.h"
#include "platform/Names.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// Subtracted from the bound of a version, so that requests already sent have
// begun before it.
constexpr Duration VersionMargin = Milliseconds(600);
// Time allowed for two messages to arrive: the one that names the version, and
// the one that cancels a request that still waits at an older engine.
constexpr Duration VersionHardMargin = Milliseconds(200);
// Upper limit on the time since a version was named: an entry's data is at most
// a second old while it follows another entry; otherwise it reads the store.
constexpr Duration MaxVersionAge = Milliseconds(1000);
} // namespace

// Of the changes of one update, evacuations come first and restorations last:
// taking a configuration begins attempts of queued requests.
void DirectEntry::State::onOperatorRows(const TableWatch::Update &U) {
  TimePoint Now = bootNow();
  EvacuationRows Evacuations = readEvacuationRows(U);
  for (const std::string &Key : Evacuations.Unreadable_)
    noteUnreadableEvacuation(Key);
  EvacuatedZones::Change Zones =
      Core_.evacuations().changeBy(Evacuations.Update_);
  Core_.evacuateZones(Zones.Evacuated_, Now);
  applyOperatorRows(U, Now);
  Core_.restoreZones(Zones.Restored_, Now);
}

void DirectEntry::State::applyOperatorRows(const TableWatch::Update &U,
                                           TimePoint Now) {
  for (const StoreRow &Row : U.Rows_) {
    if (Row.IsRemoved_)
      continue;
    try {
      if (Row.Key_ == platform::ConfigKey) {
        applyConfig(Row.Value_);
      } else if (auto V = platform::decodeVersionRow(Row.Key_, Row.Value_)) {
        TimePoint Named =
            earliestChange(Core_.lease().provenAt(), Now, MaxVersionAge);
        TimePoint Bound = Named + Settings_.Common_.VersionBound_;
        if (!Core_.requireVersion(V->Model_, V->Version_, Bound - VersionMargin,
                                  Bound - VersionHardMargin))
          continue;
        Log_.write(LogLine("version_wanted")
                       .text("model", V->Model_)
                       .count("version", V->Version_),
                   true);
        if (Notices_)
          Notices_->setNewestVersion(V->Model_, V->Version_);
      }
    } catch (const Error &E) {
      // The store accepts only valid texts, so this one has a newer format. The
      // configuration in force stays.
      Log_.write(LogLine("config_unreadable")
                     .text("key", Row.Key_)
                     .text("detail", E.what()),
                 true);
    }
  }
}

void DirectEntry::State::noteUnreadableEvacuation(const std::string &Key) {
  Metrics_.count("hawthornroad_evacuation_rows_unreadable_total");
  Log_.write(LogLine("evacuation_unreadable")
                 .text("key", Key)
                 .text("detail", "expected evacuate/ZONE, received no zone"),
             true);
}

void DirectEntry::State::applyConfig(const std::string &Text) {
  SharedConfig Config = RoutingConfig::build(platform::decodeConfig(Text));
  bool Taken = Core_.configure(Config, bootNow());
  Log_.write(LogLine("config")
                 .count("version", Config->version())
                 .flag("in_force", Taken)
                 .count("bytes", Text.size())
                 .count("routes", Config->parts().Routes_.size())
                 .count("customers", Config->parts().Customers_.size())
                 .text("source", Source_->sourceName())
                 .millis("proof_age_ms",
                         Core_.fence().age(bootNow()).value_or(Duration(0))),
             true);
  if (!Taken)
    return;
  const RequestLimits &L = Config->limits();
  SessionLimits Limits;
  Limits.HeaderBytes_ = L.HeaderBytes_;
  Limits.BodyBytes_ = L.BodyBytes_;
  Limits.HeaderTimeout_ = L.HeaderTimeout_;
  Limits.IdleTimeout_ = L.IdleTimeout_;
  Callers_->setLimits(Limits);
  Metrics_.set("hawthornroad_config_version",
               static_cast<double>(Config->version()));
}

void DirectEntry::State::onEndpointRows(const TableWatch::Update &U) {
  TimePoint Now = bootNow();
  EndpointsListed_ = true;
  std::vector<Endpoint> Listed;
  std::vector<EndpointId> Removed;
  for (const StoreRow &Row : U.Rows_) {
    EndpointId Id(Row.Key_);
    if (Row.IsRemoved_) {
      Log_.write(LogLine("endpoint_gone").text("endpoint", Row.Key_));
      Removed.push_back(Id);
      continue;
    }
    try {
      Endpoint E = platform::decodeEndpoint(Row.Key_, Row.Value_);
      const Endpoint *Known = Core_.endpoints().find(Id);
      E.RowVersion_ = Row.Version_;
      bool IsOutdated = Known != nullptr && E.isOlderThan(*Known);
      if (Known != nullptr && !IsOutdated && Known->Born_ != E.Born_)
        Links_.drop(Id.str());
      if (Known == nullptr || (!IsOutdated && !Known->statesSame(E)))
        Log_.write(LogLine(Known == nullptr ? "endpoint" : "endpoint_changed")
                       .text("endpoint", Row.Key_)
                       .text("service", E.Service_.str())
                       .text("address", E.Address_)
                       .text("zone", E.Zone_.str())
                       .flag("draining", E.IsDraining_)
                       .count("born", E.Born_)
                       .count("version", E.Version_));
      if (!U.IsWhole_)
        Core_.endpoints().changed(E, Now);
      Listed.push_back(std::move(E));
    } catch (const Error &E) {
      // The row no longer describes an endpoint, so a known one is removed.
      Removed.push_back(Id);
      Metrics_.count("hawthornroad_endpoint_rows_unreadable_total", {});
      if (RowFaults_.note(Row.Key_, E.message()))
        Log_.write(LogLine("endpoint_unreadable")
                       .text("endpoint", RowFaults::shortened(Row.Key_))
                       .text("detail", RowFaults::shortened(E.message())),
                   true);
    }
  }
  if (U.IsWhole_)
    Core_.endpoints().listed(Listed, Now);
  else
    Core_.endpoints().removed(Removed, Now);
  std::set<std::string> Present;
  for (const auto &[Id, Each] : Core_.endpoints().all())
    Present.insert(Id.str());
  Links_.retainOnly(Present);
  Core_.endpointsChanged(Now);
  updateWatchedEngines(Now);
}

void DirectEntry::State::updateWatchedEngines(TimePoint Now) {
  if (!Notices_)
    return;
  std::map<std::string, bool> Engines;
  for (const auto &[Id, Each] : Core_.endpoints().all())
    if (Each.Endpoint_.HasModel_)
      Engines[Each.Endpoint_.Address_] =
          Each.Endpoint_.Zone_ == Settings_.Common_.Zone_;
  Notices_->setConnectionHandler(
      [this](const AgentConnection &C) { onAgentConnection(C); });
  Notices_->setEngines(Engines, Now);
}

void DirectEntry::State::onAgentConnection(const AgentConnection &C) {
  LogLine L(C.IsLost_ ? "agent_lost" : "agent_back");
  L.text("agent", C.Agent_);
  if (C.IsLost_)
    L.text("why", C.Reason_).count("losses", C.Losses_);
  else
    L.millis("lost_ms", C.LostFor_);
  Log_.write(L);
}

void DirectEntry::State::onEngineUpdate(const EngineUpdate &T) {
  EngineUpdate &Last = LastUpdates_[T.Address_];
  bool IsAway = T.Phase_ != EnginePhase::Serving;
  if (Last.Phase_ != T.Phase_ || Last.Version_ != T.Version_)
    Log_.write(LogLine("engine_told")
                   .text("address", T.Address_)
                   .flag("away", IsAway)
                   .count("version", T.Version_));
  Last = T;
  Core_.noteEntries(T.Entries_);
  for (const EngineUpdate::Heard &Each : T.Heard_) {
    TimePoint Bound =
        Each.At_ - MaxVersionAge + Settings_.Common_.VersionBound_;
    if (Core_.correctVersion(Each.Model_, Each.Version_, Bound - VersionMargin,
                             Bound - VersionHardMargin))
      Log_.write(LogLine("version_corrected")
                     .text("model", Each.Model_)
                     .count("version", Each.Version_)
                     .text("address", T.Address_)
                     .millis("heard_ms", bootNow() - Each.At_),
                 true);
  }
  Core_.engineUpdated(T.Address_, IsAway, T.Version_, T.Load_, bootNow());
}

void DirectEntry::State::onOperatorCall(bool Ok) {
  if (Ok == !IsOperatorTableLost_)
    return;
  IsOperatorTableLost_ = !Ok;
  Log_.write(LogLine(Ok ? "store_back" : "store_lost")
                 .text("table", platform::OperatorTable),
             true);
}

void DirectEntry::State::onEndpointCall(bool Ok) {
  if (Ok == !IsEndpointTableLost_)
    return;
  IsEndpointTableLost_ = !Ok;
  TimePoint Now = bootNow();
  if (Ok)
    Core_.endpoints().storeRestored(Now);
  else
    Core_.endpoints().storeLost(Now);
  Log_.write(LogLine(Ok ? "store_back" : "store_lost")
                 .text("table", platform::EndpointTable),
             true);
}

} // namespace hawthornroad
