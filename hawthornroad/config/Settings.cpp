#include "hawthornroad/config/Settings.h"
#include "hawthornroad/config/BoundReader.h"
#include "hawthornroad/config/JsonText.h"
#include "hawthornroad/config/Names.h"
#include "hawthornroad/config/ObjectReader.h"

#include <algorithm>
#include <limits>

namespace hawthornroad {

namespace {
constexpr std::int64_t MaxInteger = std::numeric_limits<std::int64_t>::max();
constexpr std::int64_t HourMs = 3600 * 1000;
constexpr std::int64_t DayMs = 24 * HourMs;
constexpr std::int64_t MaxBodyLimit = std::int64_t{1} << 30;
constexpr std::int64_t MaxCount = 1000000;
// The smallest bounds that can be kept: the time for two reads of the store
// with margins, and one read for changes that entries are notified of
// immediately.
constexpr Duration MinBound = Milliseconds(1000);
constexpr Duration MinNotifiedBound = Milliseconds(100);

std::int64_t millisecondsOf(Duration D) {
  return std::chrono::duration_cast<Milliseconds>(D).count();
}

// Replaces Value with the member at Key, from Min to Max milliseconds.
void readDuration(ObjectReader &R, std::string_view Key, std::int64_t Min,
                  std::int64_t Max, Duration &Value) {
  Value = R.milliseconds(Key, Min, Max, millisecondsOf(Value));
}

void readSize(ObjectReader &R, std::string_view Key, std::int64_t Min,
              std::int64_t Max, std::size_t &Value) {
  Value = static_cast<std::size_t>(
      R.integer(Key, Min, Max, static_cast<std::int64_t>(Value)));
}

void readBytes(ObjectReader &R, std::string_view Key, std::int64_t &Value) {
  Value = R.integer(Key, 0, MaxInteger, Value);
}

std::string readName(ObjectReader &R, std::string_view Key) {
  std::string Name = R.text(Key);
  if (!Name.empty() && !isName(Name))
    R.fault(Key, "expected letters, digits and \"._-\", at most " +
                     std::to_string(MaxName) + " characters");
  return Name;
}

void checkAddress(ObjectReader &R, std::string_view Key,
                  const std::string &Address, PortRule Rule) {
  if (Address.empty() || isAddress(Address, Rule))
    return;
  std::string Ports = Rule == PortRule::AnyPort ? "0 to 65535" : "1 to 65535";
  R.fault(Key, "\"" + Address +
                   "\": expected \"IP:port\" with an IP number and a port "
                   "from " +
                   Ports);
}

// Reads the address of a listener of this process; with port 0 the kernel
// chooses the port.
void readListenAddress(ObjectReader &R, std::string_view Key,
                       std::string &Value) {
  Value = R.text(Key, Value);
  checkAddress(R, Key, Value, PortRule::AnyPort);
}

// Reads the address of another process, which needs a port other than 0.
void readRemoteAddress(ObjectReader &R, std::string_view Key,
                       std::string &Value) {
  Value = R.text(Key, Value);
  checkAddress(R, Key, Value, PortRule::NotZero);
}

PlatformSettings readPlatform(ObjectReader &Top) {
  PlatformSettings P;
  ObjectReader R = Top.object("platform");
  readRemoteAddress(R, "table", P.Table_);
  readRemoteAddress(R, "objects", P.Objects_);
  readRemoteAddress(R, "members", P.Members_);
  readDuration(R, "timeout_ms", 10, HourMs, P.Timeout_);
  readDuration(R, "poll_period_ms", 10, HourMs, P.PollPeriod_);
  R.finish();
  return P;
}

ProcessSettings readCommon(ObjectReader &R) {
  ProcessSettings S;
  S.Process_ = ProcessName(readName(R, "process"));
  S.Zone_ = AvailabilityZone(readName(R, "zone"));
  readListenAddress(R, "peer_listen", S.PeerListen_);
  readListenAddress(R, "admin_listen", S.AdminListen_);
  readRemoteAddress(R, "peer_advertise", S.PeerAdvertise_);
  for (std::string &Each : R.texts("seeds")) {
    checkAddress(R, "seeds", Each, PortRule::NotZero);
    S.Seeds_.emplace_back(std::move(Each));
  }
  S.Platform_ = readPlatform(R);
  S.Charts_ = R.text("charts", S.Charts_);
  const std::vector<std::string> Levels = {"debug", "info", "warning", "error"};
  constexpr std::size_t Info = 1;
  S.LogLevel_ = Levels[R.choice("log_level", Levels, Info)];
  S.RandomSeed_ =
      static_cast<std::uint64_t>(R.integer("random_seed", 0, MaxInteger, 0));
  readDuration(R, "probe_period_ms", 10, HourMs, S.ProbePeriod_);
  readDuration(R, "probe_timeout_ms", 5, HourMs, S.ProbeTimeout_);
  readDuration(R, "suspicion_timeout_ms", 10, HourMs, S.SuspicionTimeout_);
  if (S.ProbeTimeout_ >= S.ProbePeriod_)
    R.fault("probe_timeout_ms",
            "expected less than probe_period_ms, " +
                std::to_string(millisecondsOf(S.ProbePeriod_)));
  return S;
}

EntrySettings readEntry(ObjectReader &R) {
  EntrySettings S;
  S.Common_ = readCommon(R);
  readListenAddress(R, "caller_listen", S.CallerListen_);
  readSize(R, "max_body", 1, MaxBodyLimit, S.MaxBody_);
  readSize(R, "max_connections", 1, MaxCount, S.MaxConnections_);
  readDuration(R, "default_deadline_ms", 1, DayMs, S.DefaultDeadline_);
  readDuration(R, "max_deadline_ms", 1, DayMs, S.MaxDeadline_);
  readDuration(R, "attempt_idle_ms", 10, HourMs, S.AttemptIdle_);
  readDuration(R, "drain_grace_ms", 0, HourMs, S.DrainGrace_);
  readDuration(R, "claim_keep_ms", 1000, 365 * DayMs, S.ClaimKeep_);
  if (S.DefaultDeadline_ > S.MaxDeadline_)
    R.fault("default_deadline_ms",
            "expected at most max_deadline_ms, " +
                std::to_string(millisecondsOf(S.MaxDeadline_)));
  return S;
}

AgentSettings readAgent(ObjectReader &R) {
  AgentSettings S;
  S.Common_ = readCommon(R);
  S.Vm_ = Vm(readName(R, "vm"));
  S.EndpointAddress_ = R.text("endpoint_address");
  checkAddress(R, "endpoint_address", S.EndpointAddress_, PortRule::NotZero);
  readListenAddress(R, "lock_listen", S.LockListen_);
  readListenAddress(R, "weights_listen", S.WeightsListen_);
  readRemoteAddress(R, "weights_advertise", S.WeightsAdvertise_);
  S.WeightsFolder_ = R.text("weights_folder", S.WeightsFolder_);
  readRemoteAddress(R, "origin", S.Origin_);
  readBytes(R, "keep_bytes", S.KeepBytes_);
  readBytes(R, "upload_rate", S.UploadRate_);
  readBytes(R, "download_rate", S.DownloadRate_);
  readSize(R, "capacity", 1, MaxCount, S.Capacity_);
  readSize(R, "attempt_buffer", 1024, MaxBodyLimit, S.AttemptBuffer_);
  readDuration(R, "attempt_keep_ms", 100, HourMs, S.AttemptKeep_);
  readDuration(R, "drain_limit_ms", 0, DayMs, S.DrainLimit_);
  readDuration(R, "report_period_ms", 10, HourMs, S.ReportPeriod_);
  readDuration(R, "endpoint_idle_ms", 10, DayMs, S.EndpointIdle_);
  return S;
}

// The region of each zone, by the zone's name.
void readRegions(ObjectReader &R, std::map<AvailabilityZone, Region> &Regions) {
  const JsonNode *Found = R.take("regions", false);
  if (Found == nullptr)
    return;
  if (!Found->isObject())
    return R.fault("regions", "expected an object");
  for (const JsonMember &Each : Found->Members_) {
    if (Each.Value_.Kind_ != JsonNode::Kind::String)
      R.fault("regions." + Each.Key_, "expected the name of a region");
    else
      Regions[AvailabilityZone(Each.Key_)] = Region(Each.Value_.String_);
  }
}

StoreProcessSettings readStoreProcess(ObjectReader &R) {
  StoreProcessSettings S;
  S.Process_ = ProcessName(readName(R, "process"));
  S.Zone_ = AvailabilityZone(readName(R, "zone"));
  S.Store_ = R.text("store");
  checkAddress(R, "store", S.Store_, PortRule::NotZero);
  S.MetricsListen_ = R.text("metrics_listen", "");
  checkAddress(R, "metrics_listen", S.MetricsListen_, PortRule::AnyPort);
  const std::vector<std::string> Levels = {"debug", "info", "warning", "error"};
  constexpr std::size_t Info = 1;
  S.LogLevel_ = Levels[R.choice("log_level", Levels, Info)];
  S.RandomSeed_ =
      static_cast<std::uint64_t>(R.integer("random_seed", 0, MaxInteger, 0));
  readBound(R, "revoke_bound", MinBound, S.RevokeBound_);
  readBound(R, "version_bound", MinBound, S.VersionBound_);
  readBound(R, "drain_bound", MinNotifiedBound, S.DrainBound_);
  readBound(R, "apply_bound", MinNotifiedBound, S.ApplyBound_);
  readBound(R, "evacuate_bound", MinNotifiedBound, S.EvacuateBound_);
  readBound(R, "stop_bound", MinBound, S.StopBound_);
  readAllowance(R, "cold_factor", S.ColdFactor_);
  readAllowance(R, "cold_slack", S.ColdSlack_);
  readRegions(R, S.Regions_);
  readAllowance(R, "memory_mb", S.MemoryMb_);
  return S;
}

EntryPolicy readEntryPolicy(ObjectReader &Top) {
  EntryPolicy P;
  ObjectReader R = Top.object("policy");
  P.FairByCustomer_ = R.boolean("fair_by_customer", P.FairByCustomer_);
  P.LateGoBehind_ = R.boolean("late_go_behind", P.LateGoBehind_);
  readDuration(R, "max_rest_ms", 1, HourMs, P.MaxRest_);
  P.AsksForPlaces_ = R.boolean("asks_for_places", P.AsksForPlaces_);
  P.LineShare_ = R.number("line_share", 0, 1, P.LineShare_);
  readDuration(R, "line_least_ms", 0, HourMs, P.LineLeast_);
  readDuration(R, "most_reading_ms", 1, HourMs, P.MostReading_);
  readDuration(R, "cross_zone_cost_ms", 0, HourMs, P.CrossZoneCost_);
  P.KeptFromLate_ = R.number("kept_from_late", 0, 1, P.KeptFromLate_);
  R.finish();
  return P;
}

StoreEntrySettings readStoreEntry(ObjectReader &R) {
  StoreEntrySettings S;
  S.Common_ = readStoreProcess(R);
  readListenAddress(R, "caller_listen", S.CallerListen_);
  readListenAddress(R, "ready_listen", S.ReadyListen_);
  constexpr std::int64_t MaxPort = 65535;
  S.AgentPort_ = R.integer("agent_port", 0, MaxPort, S.AgentPort_);
  S.PeerListen_ = R.text("peer_listen", "");
  checkAddress(R, "peer_listen", S.PeerListen_, PortRule::AnyPort);
  readRate(R, "link_mbps", S.LinkMbps_);
  S.Policy_ = readEntryPolicy(R);
  readAllowance(R, "repeat_ratio", S.RepeatRatio_);
  readBound(R, "repeat_window", MinNotifiedBound, S.RepeatWindow_);
  readAllowance(R, "repeat_slack", S.RepeatSlack_);
  return S;
}

AgentPolicy readAgentPolicy(ObjectReader &Top) {
  AgentPolicy P;
  ObjectReader R = Top.object("policy");
  readDuration(R, "most_reading_ms", 1, HourMs, P.MostReading_);
  P.PlacesKept_ = R.number("places_kept", 0, 0.9, P.PlacesKept_);
  P.KeptFromLate_ = R.number("kept_from_late", 0, 1, P.KeptFromLate_);
  R.finish();
  return P;
}

StoreAgentSettings readStoreAgent(ObjectReader &R) {
  StoreAgentSettings S;
  S.Common_ = readStoreProcess(R);
  readRemoteAddress(R, "engine_address", S.EngineAddress_);
  S.Service_ = ServiceName(readName(R, "service"));
  readListenAddress(R, "peer_listen", S.PeerListen_);
  readRate(R, "link_mbps", S.LinkMbps_);
  S.IsFirstStart_ = R.boolean("first_start", S.IsFirstStart_);
  S.Policy_ = readAgentPolicy(R);
  return S;
}

template <class Settings>
Settings parseSettings(std::string_view Text, const std::string &File,
                       Settings (*Read)(ObjectReader &)) {
  JsonNode Root = parseJsonText(Text, File, Step::Settings);
  std::vector<Fault> Faults;
  ObjectReader R(Root, "", Faults);
  Settings Parsed = Read(R);
  R.finish();
  if (Faults.empty())
    return Parsed;
  std::stable_sort(
      Faults.begin(), Faults.end(),
      [](const Fault &A, const Fault &B) { return A.Line_ < B.Line_; });
  throw TextError(Step::Settings, File, std::move(Faults));
}
} // namespace

EntrySettings EntrySettings::parse(std::string_view Text,
                                   const std::string &File) {
  return parseSettings(Text, File, readEntry);
}

EntrySettings EntrySettings::load(const std::string &File) {
  return parse(readTextFile(File, Step::Settings), File);
}

AgentSettings AgentSettings::parse(std::string_view Text,
                                   const std::string &File) {
  return parseSettings(Text, File, readAgent);
}

AgentSettings AgentSettings::load(const std::string &File) {
  return parse(readTextFile(File, Step::Settings), File);
}

StoreEntrySettings StoreEntrySettings::parse(std::string_view Text,
                                             const std::string &File) {
  return parseSettings(Text, File, readStoreEntry);
}

StoreEntrySettings StoreEntrySettings::load(const std::string &File) {
  return parse(readTextFile(File, Step::Settings), File);
}

StoreAgentSettings StoreAgentSettings::parse(std::string_view Text,
                                             const std::string &File) {
  return parseSettings(Text, File, readStoreAgent);
}

StoreAgentSettings StoreAgentSettings::load(const std::string &File) {
  return parse(readTextFile(File, Step::Settings), File);
}

} // namespace hawthornroad
