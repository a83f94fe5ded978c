#include "tests/integration/Fleet.h"

#include "hawthornroad/base/Hash.h"
#include "hawthornroad/base/Random.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <cstring>
#include <filesystem>
#include <fstream>

namespace hawthornroad {

namespace json = boost::json;

namespace {
constexpr const char *ModelService = "copywriter-lm";
constexpr const char *PlainService = "billing-desk";
constexpr std::size_t ChunkSize = 32 * 1024;
// Few, because a larger number of seeds would hide faults of gossip.
constexpr std::size_t MaxSeeds = 3;

std::string numbered(const std::string &Name, std::size_t Number) {
  return Name + "-" + std::to_string(Number);
}

void merge(json::object &Into, const json::object &From) {
  for (const auto &[Key, Value] : From) {
    json::value &Place = Into[Key];
    if (Place.is_object() && Value.is_object())
      merge(Place.get_object(), Value.get_object());
    else
      Place = Value;
  }
}

json::array toArray(const std::vector<std::string> &Texts) {
  return json::array(Texts.begin(), Texts.end());
}
} // namespace

std::string seededBytes(std::size_t Size, std::uint64_t Seed) {
  Random Source(Seed);
  std::string Bytes(Size, '\0');
  for (std::size_t At = 0; At < Size; At += sizeof(std::uint64_t)) {
    std::uint64_t Word = Source.next();
    std::memcpy(Bytes.data() + At, &Word, std::min(sizeof(Word), Size - At));
  }
  return Bytes;
}

std::string manifestText(const std::string &Model, const std::string &Blob,
                         const std::string &BlobPath, std::size_t ChunkSize) {
  json::array Chunks;
  for (std::size_t At = 0; At < Blob.size(); At += ChunkSize)
    Chunks.emplace_back(sha256(std::string_view(Blob).substr(At, ChunkSize)));
  return json::serialize(json::object{{"format", 1},
                                      {"model", Model},
                                      {"size", Blob.size()},
                                      {"chunk_size", ChunkSize},
                                      {"digest", sha256(Blob)},
                                      {"chunks", std::move(Chunks)},
                                      {"blob", BlobPath}});
}

std::string memberState(FleetProcess &Seen, const std::string &Process) {
  json::object Status = getJson(Seen.admin(), "/status");
  const json::object &Control = Status.at("control").as_object();
  for (const json::value &Each : Control.at("members").as_array())
    if (textAt(Each.as_object(), "process") == Process)
      return textAt(Each.as_object(), "state");
  return {};
}

int logLines(Fleet &F, const std::vector<std::string> &Texts) {
  int Found = 0;
  for (const auto &Each :
       std::filesystem::directory_iterator(F.folder().path())) {
    if (Each.path().extension() != ".log")
      continue;
    std::ifstream Log(Each.path());
    for (std::string Line; std::getline(Log, Line);)
      Found += std::all_of(Texts.begin(), Texts.end(), [&](const auto &Text) {
        return Line.find(Text) != std::string::npos;
      });
  }
  return Found;
}

std::string FleetProcess::peers() {
  return PeerProxy_ != nullptr ? PeerProxy_->address()
                               : Process_->readyText("peers");
}

Fleet::Fleet(FleetShape Shape) : Shape_(std::move(Shape)) {
  startPlatform();
  addProcesses();
  publishMembers();
}

Fleet::~Fleet() = default;

void Fleet::startPlatform() {
  std::vector<std::string> OriginOptions = {"--root",
                                            folder().path() / "origin"};
  OriginOptions.insert(OriginOptions.end(), Shape_.OriginOptions_.begin(),
                       Shape_.OriginOptions_.end());
  Table_ = &Stands_.fake("table");
  Objects_ = &Stands_.fake("objects");
  Members_ = &Stands_.fake("members");
  Origin_ = &Stands_.fake("origin", OriginOptions);
  for (std::size_t I = 0; I < Shape_.Zones_.size(); ++I) {
    PlatformPath &Path = Paths_.emplace_back();
    auto Reach = [&](const Fake &Target) {
      if (!Shape_.Proxies_)
        return Target.address();
      Path.Proxies_.push_back(&Stands_.proxy(Target.address()));
      return Path.Proxies_.back()->address();
    };
    Path.Table_ = Reach(*Table_);
    Path.Objects_ = Reach(*Objects_);
    Path.Members_ = Reach(*Members_);
    Path.Origin_ = Reach(*Origin_);
  }
}

void Fleet::addProcesses() {
  for (const std::string &Zone : Shape_.Zones_)
    for (std::size_t I = 0; I < Shape_.EntriesPerZone_; ++I)
      addProcess(Entries_,
                 {.Name_ = numbered(Zone + "-entry", I),
                  .Zone_ = Zone,
                  .Role_ = "entry",
                  .Program_ = "hawthornroad-entry"},
                 Shape_.EntrySettings_);
  for (std::size_t I = 0; I < Shape_.ModelVms_ + Shape_.PlainVms_; ++I) {
    bool Model = I < Shape_.ModelVms_;
    std::size_t Number = Model ? I : I - Shape_.ModelVms_;
    Vm Name(numbered(Model ? ModelService : PlainService, Number));
    Fake &Endpoint = Model ? Stands_.fake("engine", Shape_.EngineOptions_)
                           : Stands_.fake("service", Shape_.ServiceOptions_);
    addProcess(Agents_,
               {.Name_ = Name.str() + "-agent",
                .Zone_ = Shape_.Zones_[Number % Shape_.Zones_.size()],
                .Role_ = "agent",
                .Program_ = "hawthornroad-agent",
                .Vm_ = Name,
                .Endpoint_ = &Endpoint},
               Shape_.AgentSettings_);
  }
}

FleetProcess &Fleet::addProcess(std::deque<FleetProcess> &To, FleetProcess P,
                                json::object Changes) {
  FleetProcess &Added = To.emplace_back(std::move(P));
  if (Shape_.Proxies_)
    addProxies(Added);
  json::object Settings = commonSettings(Added);
  if (Added.Endpoint_ != nullptr)
    merge(Settings, agentSettings(Added));
  merge(Settings, Changes);
  Added.SettingsFile_ = folder().write("settings/" + Added.Name_ + ".json",
                                       json::serialize(Settings));
  start(Added);
  return Added;
}

void Fleet::addProxies(FleetProcess &P) {
  P.PeerProxy_ = &Stands_.proxy("");
  if (P.Endpoint_ == nullptr)
    return;
  P.WeightsProxy_ = &Stands_.proxy("");
  P.EndpointProxy_ = &Stands_.proxy(P.Endpoint_->address());
}

json::object Fleet::commonSettings(const FleetProcess &P) {
  const PlatformPath &Path = platformOf(P.Zone_);
  json::object Settings = {{"process", P.Name_},
                           {"zone", P.Zone_},
                           {"charts", std::string(SOURCE_DIR) + "/charts"},
                           {"seeds", toArray(seeds())},
                           {"random_seed", 1},
                           {"platform",
                            {{"table", Path.Table_},
                             {"objects", Path.Objects_},
                             {"members", Path.Members_}}}};
  if (P.PeerProxy_ != nullptr)
    Settings["peer_advertise"] = P.PeerProxy_->address();
  return Settings;
}

json::object Fleet::agentSettings(const FleetProcess &P) {
  const std::string &Endpoint = P.EndpointProxy_ != nullptr
                                    ? P.EndpointProxy_->address()
                                    : P.Endpoint_->address();
  json::object Settings = {
      {"vm", P.Vm_.str()},
      {"endpoint_address", Endpoint},
      {"weights_folder", (folder().path() / "weights" / P.Vm_.str()).string()},
      {"origin", platformOf(P.Zone_).Origin_}};
  if (P.WeightsProxy_ != nullptr)
    Settings["weights_advertise"] = P.WeightsProxy_->address();
  return Settings;
}

std::vector<std::string> Fleet::seeds() {
  std::vector<std::string> Seeds;
  for (auto *Group : {&Entries_, &Agents_})
    for (FleetProcess &Each : *Group)
      if (Each.Process_ && Seeds.size() < MaxSeeds)
        Seeds.push_back(Each.peers());
  return Seeds;
}

PlatformPath &Fleet::platformOf(const std::string &Zone) {
  auto Found = std::find(Shape_.Zones_.begin(), Shape_.Zones_.end(), Zone);
  return Paths_.at(static_cast<std::size_t>(Found - Shape_.Zones_.begin()));
}

std::vector<FleetProcess *> Fleet::modelAgents() {
  std::vector<FleetProcess *> Found;
  for (std::size_t I = 0; I < Shape_.ModelVms_; ++I)
    Found.push_back(&Agents_.at(I));
  return Found;
}

void Fleet::start(FleetProcess &P) {
  if (P.Endpoint_ != nullptr)
    std::filesystem::create_directories(folder().path() / "weights" /
                                        P.Vm_.str());
  P.Process_.emplace(Launch{.Name_ = P.Name_,
                            .Program_ = P.Program_,
                            .Arguments_ = {"--settings", P.SettingsFile_}},
                     folder());
  std::string Peers = P.Process_->readyText("peers");
  if (P.PeerProxy_ != nullptr)
    P.PeerProxy_->setTarget(Peers);
  if (P.WeightsProxy_ != nullptr)
    P.WeightsProxy_->setTarget(P.Process_->readyText("weights"));
}

void Fleet::kill(FleetProcess &P) { P.Process_.reset(); }

std::vector<Proxy *> Fleet::proxiesBetweenProcesses(const std::string &Zone) {
  std::vector<Proxy *> Found;
  for (auto *Group : {&Entries_, &Agents_})
    for (FleetProcess &Each : *Group)
      for (Proxy *Before : {Each.PeerProxy_, Each.WeightsProxy_})
        if (Each.Zone_ == Zone && Before != nullptr)
          Found.push_back(Before);
  return Found;
}

void Fleet::cutOff(const std::string &Zone, bool Platform) {
  auto Stop = [&](const std::string &At, json::array From) {
    json::object Faults = {{"blackhole_from", {{"zones", std::move(From)}}}};
    for (Proxy *Each : proxiesBetweenProcesses(At))
      Each->setFaults(json::serialize(Faults));
  };
  json::array Others;
  for (const std::string &Each : Shape_.Zones_)
    if (Each != Zone) {
      Others.emplace_back(Each);
      Stop(Each, json::array{Zone});
    }
  Stop(Zone, Others);
  if (Platform)
    for (Proxy *Each : platformOf(Zone).Proxies_)
      Each->setFaults(R"({"blackhole":true})");
}

void Fleet::heal() {
  for (const std::string &Zone : Shape_.Zones_) {
    for (Proxy *Each : proxiesBetweenProcesses(Zone))
      Each->setFaults("{}");
    for (Proxy *Each : platformOf(Zone).Proxies_)
      Each->setFaults("{}");
  }
}

void Fleet::publishMembers() {
  json::array Vms;
  for (auto *Group : {&Entries_, &Agents_})
    for (FleetProcess &Each : *Group)
      if (Each.Process_)
        Vms.push_back(
            json::object{{"vm", Each.Vm_.empty() ? Each.Name_ : Each.Vm_.str()},
                         {"zone", Each.Zone_},
                         {"role", Each.Role_},
                         {"peer", Each.peers()},
                         {"state", "live"}});
  putJson(Members_->address(), "/members", {{"vms", std::move(Vms)}});
}

WeightVersion Fleet::publishWeights(const std::string &Name, std::uint64_t Seed,
                                    std::size_t Size) {
  std::string Folder = std::string("/copywriter/") + Name;
  std::string Blob = seededBytes(Size, Seed);
  std::string Manifest =
      manifestText("copywriter", Blob, Folder + "/weights.bin", ChunkSize);
  folder().write("origin" + Folder + "/weights.bin", Blob);
  folder().write("origin" + Folder + "/manifest.json", Manifest);
  return {.ManifestPath_ = Folder + "/manifest.json",
          .Digest_ = VersionDigest(sha256(Manifest)),
          .BlobDigest_ = sha256(Blob),
          .Size_ = Size};
}

json::object Fleet::declaration(const WeightVersion &Version) const {
  json::object Zones;
  for (const std::string &Each : Shape_.Zones_)
    Zones[Each] = {{"region", "test"}};
  json::object Services;
  Services[ModelService] = {
      {"kind", "model"},
      {"vms", json::array{std::string(ModelService) + "-*"}},
      {"replicas", std::max<std::size_t>(Shape_.ModelVms_, 1)},
      {"model",
       {{"manifest", Version.ManifestPath_},
        {"version", Version.Digest_.str()}}}};
  if (Shape_.PlainVms_ > 0)
    Services[PlainService] = {
        {"kind", "plain"},
        {"vms", json::array{std::string(PlainService) + "-*"}},
        {"replicas", Shape_.PlainVms_},
        {"non_repeatable",
         json::array{json::object{{"method", "POST"}, {"path", "/invoices"}}}}};
  json::object Customers;
  Customers["hp-travel"] = {{"weight", 4}};
  return {{"format", 1},
          {"zones", std::move(Zones)},
          {"services", std::move(Services)},
          {"customers", std::move(Customers)}};
}

ToolResult Fleet::ctl(std::vector<std::string> Arguments) {
  Arguments.insert(Arguments.end(), {"--table", Table_->address(), "--charts",
                                     std::string(SOURCE_DIR) + "/charts"});
  return runTool("hawthornroadctl", Arguments, folder());
}

ToolResult Fleet::apply(const json::object &Text, const std::string &Reason) {
  std::string File = folder().write("fleet.jsonc", json::serialize(Text));
  return ctl({"apply", File, "--reason", Reason});
}

void Fleet::awaitReady() {
  for (auto *Group : {&Entries_, &Agents_})
    for (FleetProcess &Each : *Group)
      eventually([&] { return get(Each.admin(), "/readyz").Status_ == 200; },
                 Each.Name_ + " is ready");
}

void Fleet::awaitServing(const WeightVersion &Version) {
  for (FleetProcess *Each : modelAgents())
    eventually(
        [&] {
          auto Model = getJson(Each->Endpoint_->address(), "/admin/model");
          return textAt(Model, "state") == "ready" &&
                 textAt(Model, "version") == Version.Digest_.str();
        },
        Each->Name_ + "'s engine serves the version", 2 * AwaitTimeout);
  awaitReady();
}

FleetBuilder &FleetBuilder::zones(std::vector<std::string> Names) {
  Shape_.Zones_ = std::move(Names);
  return *this;
}

FleetBuilder &FleetBuilder::entriesPerZone(std::size_t Count) {
  Shape_.EntriesPerZone_ = Count;
  return *this;
}

FleetBuilder &FleetBuilder::modelVms(std::size_t Count) {
  Shape_.ModelVms_ = Count;
  return *this;
}

FleetBuilder &FleetBuilder::plainVms(std::size_t Count) {
  Shape_.PlainVms_ = Count;
  return *this;
}

FleetBuilder &FleetBuilder::withProxies() {
  Shape_.Proxies_ = true;
  return *this;
}

FleetBuilder &FleetBuilder::engineOptions(std::vector<std::string> Options) {
  Shape_.EngineOptions_ = std::move(Options);
  return *this;
}

FleetBuilder &FleetBuilder::serviceOptions(std::vector<std::string> Options) {
  Shape_.ServiceOptions_ = std::move(Options);
  return *this;
}

FleetBuilder &FleetBuilder::originOptions(std::vector<std::string> Options) {
  Shape_.OriginOptions_ = std::move(Options);
  return *this;
}

FleetBuilder &FleetBuilder::entrySettings(json::object Settings) {
  Shape_.EntrySettings_ = std::move(Settings);
  return *this;
}

FleetBuilder &FleetBuilder::agentSettings(json::object Settings) {
  Shape_.AgentSettings_ = std::move(Settings);
  return *this;
}

std::unique_ptr<Fleet> FleetBuilder::build() const {
  return std::make_unique<Fleet>(Shape_);
}

} // namespace hawthornroad
