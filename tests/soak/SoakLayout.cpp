#include "tests/soak/SoakLayout.h"

#include "tests/soak/SoakConfig.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/serialize.hpp>
#include <thread>

namespace hawthornroad {

namespace json = boost::json;

namespace {
constexpr std::array EndpointServices = {"api", "api", "api", "aux", "aux"};
// With more entries, the others reach the store directly.
constexpr std::size_t MaxStoreProxies = 16;
constexpr Duration ExitTimeout = Seconds(10);
// An endpoint serves on for so long after it was unlisted.
constexpr Duration ServeAfterLeaving =
    SoakLayout::DrainBound + Milliseconds(1000);

constexpr Duration MemorySamplePeriod = Milliseconds(200);
// Three answers in ten come twice.
constexpr auto SecondCopies = R"({"answer_copies":0.3})";
// What an endpoint has sent before its exit still arrives.
constexpr Duration PathLingers = Seconds(2);

TimePoint now() { return std::chrono::steady_clock::now(); }

long milliseconds(Duration D) { return D / Milliseconds(1); }

// Free at 127.0.0.1 and, for all that is known, at the engines' addresses.
std::uint16_t unusedPort() {
  boost::asio::io_context Io;
  boost::asio::ip::tcp::acceptor A(
      Io, {boost::asio::ip::make_address("127.0.0.1"), 0});
  return A.local_endpoint().port();
}

// Each engine has an address of its own: all agents listen on the same port.
std::string engineIp(std::size_t Index) {
  constexpr std::size_t HostsPerNet = 250;
  return "127.0." + std::to_string(1 + Index / HostsPerNet) + "." +
         std::to_string(1 + Index % HostsPerNet);
}

} // namespace

SoakLayout::SoakLayout(Options O, SoakRecord &Record, TemporaryFolder &Folder)
    : Options_(std::move(O)), Record_(Record), Folder_(Folder),
      Early_({.Id_ = "early-0", .Zone_ = zone(0), .Seed_ = Options_.Seed_},
             Record_),
      AgentPort_(unusedPort()) {
  Store_.put("servers", Early_.id(), Early_.row());
  for (std::size_t I = 0; I < EndpointServices.size(); ++I) {
    Endpoints_.push_back(makeEndpoint(EndpointServices[I], I));
    list(*Endpoints_.back().Server_);
  }
  for (std::size_t I = 0; I < Options_.Agents_; ++I)
    addAgent(I);
  for (std::size_t I = 0; I < Options_.Entries_; ++I)
    addEntry(I);
}

std::string SoakLayout::zone(std::size_t Index) const {
  return "z" + std::to_string(Index % Options_.Zones_);
}

SoakLayout::Endpoint SoakLayout::makeEndpoint(const std::string &Service,
                                              std::size_t Index) {
  std::uint64_t Number = NextEndpoint_++;
  Endpoint Out;
  Out.Server_ = std::make_unique<SoakEndpoint>(
      SoakEndpoint::Options{.Id_ = "i-" + std::to_string(Number),
                            .Service_ = Service,
                            .Zone_ = zone(Index),
                            .Seed_ = Options_.Seed_ + Number},
      Record_);
  Out.Path_.Proxy_ = std::make_unique<Proxy>(Folder_, Out.Server_->address());
  Out.Path_.StandingFault_ = SecondCopies;
  Out.Path_.Proxy_->setFaults(SecondCopies);
  Out.Server_->setListedAt(Out.Path_.Proxy_->address());
  return Out;
}

json::object SoakLayout::regions() const {
  json::object Out;
  for (std::size_t I = 0; I < Options_.Zones_; ++I)
    Out[zone(I)] = SoakConfig::regionOf(zone(I));
  return Out;
}

void SoakLayout::addAgent(std::size_t Index) {
  Agent A;
  std::string Name = "agent-" + std::to_string(Index + 1);
  A.Engine_ = std::make_unique<SoakEndpoint>(
      SoakEndpoint::Options{.Id_ = "e-" + std::to_string(Index),
                            .Service_ = "lm",
                            .Zone_ = zone(Index),
                            .Ip_ = engineIp(Index),
                            .Seed_ = ~Options_.Seed_ + Index,
                            .Model_ = "m"},
      Record_);
  json::object S = {
      {"process", Name},
      {"zone", zone(Index)},
      {"store", Store_.address()},
      {"engine_address", A.Engine_->address()},
      {"service", "lm"},
      {"peer_listen", A.Engine_->ip() + ":" + std::to_string(AgentPort_)},
      {"metrics_listen", "127.0.0.1:0"},
      {"version_bound_ms", milliseconds(VersionBound)},
      {"cold_factor", SoakConfig::ColdFactor},
      {"cold_slack", SoakConfig::ColdSlack},
      {"regions", regions()},
      {"memory_mb", AgentMegabytes},
      {"first_start", true}};
  A.Settings_ = Folder_.write(Name + ".jsonc", json::serialize(S));
  list(*A.Engine_);
  Agents_.push_back(std::move(A));
}

void SoakLayout::addEntry(std::size_t Index) {
  Entry &E = Entries_.emplace_back();
  E.Name_ = "entry-" + std::to_string(Index + 1);
  if (Index < MaxStoreProxies)
    E.StorePath_.Proxy_ = std::make_unique<Proxy>(Folder_, Store_.address());
  json::object S = {
      {"process", E.Name_},
      {"zone", zone(Index)},
      {"store",
       E.StorePath_.Proxy_ ? E.StorePath_.Proxy_->address() : Store_.address()},
      {"peer_listen", "127.0.0.1:0"},
      {"revoke_bound_ms", milliseconds(RevokeBound)},
      {"evacuate_bound_ms", milliseconds(EvacuateBound)},
      {"drain_bound_ms", milliseconds(DrainBound)},
      {"version_bound_ms", milliseconds(VersionBound)},
      {"stop_bound_s", StopBound / Seconds(1)},
      {"cold_factor", SoakConfig::ColdFactor},
      {"cold_slack", SoakConfig::ColdSlack},
      {"regions", regions()},
      {"repeat_ratio",
       Options_.EntryRepeatRatio_.value_or(Options_.RepeatRatio_)},
      {"repeat_slack", Options_.RepeatSlack_},
      {"memory_mb", EntryMegabytes},
      {"metrics_listen", "127.0.0.1:0"}};
  if (Options_.Agents_ > 0)
    S["agent_port"] = AgentPort_;
  E.Settings_ = Folder_.write(E.Name_ + ".jsonc", json::serialize(S));
}

void SoakLayout::list(const SoakEndpoint &E) {
  Store_.put("servers", E.id(), E.row());
}

std::size_t SoakLayout::running() const {
  std::lock_guard Lock(Mutex_);
  return Addresses_.size();
}

SoakLayout::Address SoakLayout::address(std::size_t Entry) const {
  std::lock_guard Lock(Mutex_);
  return Addresses_.at(Entry);
}

// ---- Processes --------------------------------------------------------------

void SoakLayout::start() {
  for (Agent &Each : Agents_)
    start(Each);
  for (Agent &Each : Agents_)
    eventually([&] { return Each.Engine_->loadedVersion() > 0; },
               "the engine has its first weights");
  for (Entry &Each : Entries_)
    start(Each);
  for (Entry &Each : Entries_)
    eventually([&] { return PlatformFixture::isReady(*Each.Process_); },
               Each.Name_ + " is ready");
}

void SoakLayout::start(Entry &E) {
  E.Process_.reset();
  E.Process_ = std::make_unique<Process>(
      Launch{.Name_ = E.Name_,
             .Program_ = Options_.EntryProgram_.empty()
                             ? "hawthornroad-store-entry"
                             : Options_.EntryProgram_,
             .Arguments_ = {"--settings", E.Settings_}},
      Folder_);
  E.Process_->ready();
  E.Process_->logOutput(Folder_);
  E.Frozen_ = 0;
  E.RestartAt_.reset();
  ++E.Starts_;
  Record_.endDisruption(E.Name_, now());
  auto Index = static_cast<std::size_t>(
      std::find_if(Entries_.begin(), Entries_.end(),
                   [&](const Entry &Each) { return &Each == &E; }) -
      Entries_.begin());
  std::lock_guard Lock(Mutex_);
  Addresses_.resize(std::max(Addresses_.size(), Index + 1));
  Addresses_[Index] = {E.Process_->readyText("callers"), E.process()};
}

void SoakLayout::start(Agent &A) {
  A.Process_.reset();
  A.Process_ = std::make_unique<Process>(
      Launch{.Name_ = "agent-" + A.Engine_->id(),
             .Program_ = "hawthornroad-store-agent",
             .Arguments_ = {"--settings", A.Settings_}},
      Folder_);
  A.Process_->ready();
  A.Process_->logOutput(Folder_);
  A.RestartAt_.reset();
  Record_.endDisruption(SoakRecord::Agents, now());
}

void SoakLayout::addEntry() {
  addEntry(Entries_.size());
  start(Entries_.back());
}

void SoakLayout::stop(Entry &E, TimePoint RestartAt) {
  TimePoint Now = now();
  Record_.stopSignal(E.process(), Now);
  E.Process_->terminate();
  if (E.RestartAt_)
    return;
  E.RestartAt_ = RestartAt;
  E.KillAt_ = Now + StopBound;
}

void SoakLayout::kill(Entry &E, TimePoint RestartAt) {
  Record_.beginDisruption(E.Name_, now());
  E.Process_->kill();
  E.RestartAt_ = std::max(E.RestartAt_.value_or(RestartAt), RestartAt);
  E.KillAt_ = now();
}

void SoakLayout::freeze(Entry &E) {
  Record_.beginDisruption(E.Name_, now());
  ++E.Frozen_;
  E.Process_->freeze();
}

void SoakLayout::resume(Entry &E) {
  if (E.Frozen_ == 0 || --E.Frozen_ > 0)
    return;
  E.Process_->resume();
  if (E.Process_->running())
    Record_.endDisruption(E.Name_, now());
}

void SoakLayout::slowEntries() {
  std::vector<pid_t> Processes;
  for (Entry &Each : Entries_)
    if (Each.Process_->running()) {
      Record_.beginDisruption(Each.Name_, now());
      Processes.push_back(Each.Process_->pid());
    }
  Slowdown_.emplace(std::move(Processes));
}

void SoakLayout::endSlowness() {
  if (!Slowdown_)
    return;
  Slowdown_.reset();
  for (Entry &Each : Entries_)
    if (Each.Process_->running())
      Record_.endDisruption(Each.Name_, now());
}

void SoakLayout::stop(Agent &A, TimePoint RestartAt) {
  A.RestartAt_ = RestartAt;
  if (std::all_of(Agents_.begin(), Agents_.end(),
                  [](const Agent &Each) { return Each.RestartAt_; }))
    Record_.beginDisruption(SoakRecord::Agents, now());
  A.Process_->terminate();
}

void SoakLayout::tick(TimePoint Now) {
  for (Entry &Each : Entries_) {
    if (!Each.RestartAt_)
      continue;
    if (Each.Process_->running() && Now >= Each.KillAt_)
      Each.Process_->kill();
    if (!Each.Process_->running() && Now >= *Each.RestartAt_)
      start(Each);
  }
  for (Agent &Each : Agents_) {
    if (Each.RestartAt_ && Now >= *Each.RestartAt_ && !Each.Process_->running())
      start(Each);
    if (Each.Engine_->hasNewRow())
      list(*Each.Engine_);
  }
  for (Endpoint &Each : Endpoints_)
    if (Each.Server_->hasNewRow())
      list(*Each.Server_);
  for (Endpoint &Each : Leaving_)
    if (Each.Server_ && Now >= Each.ExitAt_) {
      Store_.remove("servers", Each.Server_->id());
      Each.Server_.reset();
    }
  std::erase_if(Leaving_, [&](const Endpoint &Each) {
    return Now >= Each.ExitAt_ + PathLingers;
  });
  sampleMemory(Now);
}

void SoakLayout::sampleMemory(TimePoint Now) {
  if (Now < MemorySampledAt_ + MemorySamplePeriod)
    return;
  MemorySampledAt_ = Now;
  for (const Entry &Each : Entries_)
    Memory_.sample(Each.Name_, *Each.Process_, EntryMegabytes);
  for (const Agent &Each : Agents_)
    Memory_.sample("agent-" + Each.Engine_->id(), *Each.Process_,
                   AgentMegabytes);
}

// ---- Endpoints --------------------------------------------------------------

void SoakLayout::replace(Endpoint &E) {
  auto Index = static_cast<std::size_t>(
      std::find_if(Endpoints_.begin(), Endpoints_.end(),
                   [&](const Endpoint &Each) { return &Each == &E; }) -
      Endpoints_.begin());
  Endpoint Old = std::move(E);
  E = makeEndpoint(Old.Server_->service(), Index);
  E.Server_->setMode(Old.Server_->mode());
  list(*E.Server_);
  // Half of them leave the list without having been listed as draining.
  if (NextEndpoint_ % 2 == 0) {
    Old.Server_->setDraining();
    list(*Old.Server_);
  } else {
    Store_.remove("servers", Old.Server_->id());
  }
  Old.ExitAt_ = now() + ServeAfterLeaving;
  Leaving_.push_back(std::move(Old));
}

void SoakLayout::clearFaults() {
  setStoreMode(StoreStandIn::Mode::Normal);
  for (Endpoint &Each : Endpoints_) {
    Each.Path_.Faults_.clear();
    setDisruption(Each);
    Each.Server_->setMode(SoakEndpoint::Mode::Normal);
    Each.Server_->setPausing(false);
    Each.Server_->setHeld(false);
  }
  for (Agent &Each : Agents_) {
    Each.Engine_->setMode(SoakEndpoint::Mode::Normal);
    Each.Engine_->setHeld(false);
  }
  for (Entry &Each : Entries_) {
    Each.StorePath_.Faults_.clear();
    setDisruption(Each);
    while (Each.Frozen_ > 0)
      resume(Each);
    if (!Each.RestartAt_)
      continue;
    if (Each.Process_->running())
      std::this_thread::sleep_until(Each.KillAt_);
    Each.Process_->kill();
    Each.Process_->waitExit(ExitTimeout);
    start(Each);
  }
  for (Agent &Each : Agents_)
    if (Each.RestartAt_) {
      Each.Process_->waitExit(ExitTimeout);
      start(Each);
    }
}

} // namespace hawthornroad
