// Measures rollouts of one service over N endpoints in zones, in model time:
// the time until all serve the new version, the lowest number of ready
// endpoints, and how often more than MaxUnavailable are out of service at once
// while reports are delayed and lost. Each endpoint runs the production
// decision module (RolloutTurn).
//
//   RolloutBench [--seeds 20] [--charts charts] [--max-vms 128]
//
// Deterministic for a given set of options. Modelled: reports every 500 ms and
// on change, to each other endpoint of the zone, each with its own lag
// (uniform, 0 to twice the mean) and loss; engines that load in 8 s and are
// polled every 300 ms; drains of 2 s; staging spread over 10 s. Not modelled:
// the redundant paths of gossip for a lost report (so losses have more effect
// here), and the transfer itself.

#include "hawthornroad/rollout/RolloutTurn.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <memory>
#include <queue>

using namespace hawthornroad;
namespace po = boost::program_options;

namespace {

constexpr Duration ModelStep = Milliseconds(50);
constexpr Duration ReportPeriod = Milliseconds(500);
constexpr Duration ReadPeriod = Milliseconds(300);
constexpr Duration LoadTime = Seconds(8);
constexpr Duration DrainTime = Seconds(2);
constexpr Duration StagingSpread = Seconds(10);
// Uptime of the fleet when the new version is declared.
constexpr Duration WarmUp = Seconds(30);
constexpr Duration DeathNoticeDelay = Seconds(3);
constexpr Duration LongestRun = Seconds(7200);
const VersionDigest OldVersion("sha256:old");
const VersionDigest NewVersion("sha256:new");

enum class Plan {
  Turns,       // as in production
  AtOnce,      // each leaves service once it has staged the new version
  StopTheWorld // all leave service when the new version is declared
};

struct Scenario {
  std::string Name_;
  Plan Plan_ = Plan::Turns;
  std::size_t Vms_ = 16;
  std::size_t Zones_ = 3;
  std::size_t MaxUnavailable_ = 1;
  Duration Lag_ = Milliseconds(100);
  double Loss_ = 0;
  std::optional<Duration> Settle_;
  // Endpoints of odd and even number in a zone get no reports of each other.
  bool IsPartitioned_ = false;
  // One VM per zone dies during its turn.
  bool OneDies_ = false;
  // Share of the endpoints that serve the new version from the start.
  double UpdatedShare_ = 0;
};

struct Outcome {
  double AllSeconds_ = 0;
  // Lowest share of ready endpoints at any moment.
  double MinReady_ = 1;
  // Most endpoints of one zone out of service beyond MaxUnavailable, and for
  // how long.
  std::size_t Over_ = 0;
  double OverSeconds_ = 0;
  // Sum over all endpoints of the seconds out of service.
  double OutSeconds_ = 0;
};

using StatusReport = std::shared_ptr<const EndpointStatus>;

// One endpoint: decision module, engine, and reports received from its zone.
struct Member {
  std::size_t Zone_ = 0;
  std::unique_ptr<RolloutTurn> Turn_;
  EngineReading Engine_;
  std::optional<TimePoint> LoadedAt_;
  std::optional<TimePoint> DrainedAt_;
  TimePoint StagedAt_;
  bool IsStaged_ = false;
  bool IsDead_ = false;
  TimePoint NextRead_;
  TimePoint NextReport_;
  EndpointStatus LastReport_;
  std::map<Vm, StatusReport> Received_;
  bool HasNewReports_ = false;
};

struct Delivery {
  TimePoint At_;
  std::size_t To_ = 0;
  StatusReport Report_;
  // Sent in place of a report when the VM has died.
  bool IsDeathNotice_ = false;
  bool operator<(const Delivery &Other) const { return At_ > Other.At_; }
};

class Model {
public:
  Model(const Scenario &S, const Chart &C, std::uint64_t Seed);
  Outcome run();

private:
  void step();
  void deliver();
  void stepMember(std::size_t I);
  void stepEngine(Member &M);
  std::size_t runningAttempts(Member &M);
  void sendReport(std::size_t I);
  void send(std::size_t From, const StatusReport &W, bool IsDeathNotice);
  void killOne(std::size_t I);
  void measure();
  bool isReady(const Member &M) const {
    return !M.IsDead_ && M.Turn_->phase() == EndpointPhase::Ready;
  }
  bool isDone() const;

  Scenario Scenario_;
  Random Random_;
  Service Service_;
  TimePoint Begin_{Seconds(1000)};
  TimePoint Now_ = Begin_;
  std::vector<Member> Members_;
  std::vector<std::size_t> DeadInZone_;
  std::priority_queue<Delivery> InTransit_;
  Outcome Outcome_;
};

Model::Model(const Scenario &S, const Chart &C, std::uint64_t Seed)
    : Scenario_(S), Random_(Seed), DeadInZone_(S.Zones_, 0) {
  Service_.Name_ = ServiceName("copywriter-lm");
  Service_.Kind_ = ServiceKind::Model;
  Service_.Replicas_ = S.Vms_;
  Service_.Model_ = ModelDeclaration{"/m.json", NewVersion};
  Service_.Rollout_.MaxUnavailable_ = S.MaxUnavailable_;
  RolloutTurn::Limits Limits;
  if (S.Settle_)
    Limits.Turns_.Settle_ = *S.Settle_;
  if (S.Plan_ != Plan::Turns) {
    Service_.Rollout_.MaxUnavailable_ = S.Vms_;
    Limits.Turns_.Settle_ = Duration::zero();
  }
  for (std::size_t I = 0; I < S.Vms_; ++I) {
    Member M;
    M.Zone_ = I % S.Zones_;
    Vm Name("lm-" + std::to_string(I));
    AvailabilityZone Zone("zone-" + std::to_string(M.Zone_));
    M.Turn_ = std::make_unique<RolloutTurn>(
        RolloutTurn::Setup{Name, Zone, 0, Limits}, C, Random_);
    M.LastReport_.Vm_ = Name;
    M.LastReport_.Zone_ = Zone;
    M.LastReport_.Service_ = Service_.Name_;
    bool HasNewVersion =
        static_cast<double>(I) < S.UpdatedShare_ * static_cast<double>(S.Vms_);
    M.Engine_ = {
        EngineState::Ready, HasNewVersion ? NewVersion : OldVersion, {}, ""};
    M.StagedAt_ = Begin_ + Random_.jitter(StagingSpread / 2, 1.0);
    M.NextRead_ = Begin_ - WarmUp + Random_.jitter(ReadPeriod / 2, 1.0);
    M.NextReport_ = Begin_ - WarmUp + Random_.jitter(ReportPeriod / 2, 1.0);
    Members_.push_back(std::move(M));
  }
  // The fleet has been up for some time when the new version is declared.
  for (Now_ = Begin_ - WarmUp; Now_ < Begin_; Now_ += ModelStep)
    step();
  for (Member &M : Members_) {
    M.Turn_->declare(&Service_, 2, Now_);
    if (S.Plan_ == Plan::StopTheWorld)
      M.Engine_ = {};
  }
}

void Model::stepEngine(Member &M) {
  if (M.LoadedAt_ && Now_ >= *M.LoadedAt_) {
    M.Engine_.State_ = EngineState::Ready;
    M.LoadedAt_.reset();
  }
  if (Now_ < M.NextRead_)
    return;
  M.NextRead_ = Now_ + ReadPeriod;
  M.Turn_->onReading(M.Engine_, Now_);
}

// Requests end DrainTime after the endpoint stops accepting new ones.
std::size_t Model::runningAttempts(Member &M) {
  if (M.Turn_->state() != RolloutTurn::State::Draining) {
    M.DrainedAt_.reset();
    return 1;
  }
  if (!M.DrainedAt_)
    M.DrainedAt_ = Now_ + Random_.jitter(DrainTime, 0.5);
  return Now_ < *M.DrainedAt_ ? 1 : 0;
}

void Model::stepMember(std::size_t I) {
  Member &M = Members_[I];
  if (!M.IsStaged_ && Now_ >= M.StagedAt_) {
    M.IsStaged_ = true;
    M.Turn_->stage(NewVersion, "/w/new");
  }
  stepEngine(M);
  if (M.HasNewReports_) {
    std::vector<EndpointStatus> Fleet;
    for (const auto &[Name, W] : M.Received_)
      Fleet.push_back(*W);
    M.Turn_->setFleet(Fleet, Now_);
    M.HasNewReports_ = false;
  }
  if (auto Order = M.Turn_->tick(Now_, runningAttempts(M), Now_)) {
    M.Engine_ = {EngineState::Loading, Order->EngineTarget_.Version_,
                 Order->Fencing_, ""};
    M.LoadedAt_ = Now_ + Random_.jitter(LoadTime, 0.2);
    M.Turn_->onReply(Order->Fencing_, OrderReply::Accepted, Now_);
  }
  sendReport(I);
}

void Model::sendReport(std::size_t I) {
  Member &M = Members_[I];
  bool Changed = M.LastReport_.Phase_ != M.Turn_->phase() ||
                 M.LastReport_.Rollout_ != M.Turn_->stateName() ||
                 M.LastReport_.Version_ != M.Turn_->version();
  if (!Changed && Now_ < M.NextReport_)
    return;
  M.NextReport_ = Now_ + ReportPeriod;
  M.LastReport_.Phase_ = M.Turn_->phase();
  M.LastReport_.Rollout_ = M.Turn_->stateName();
  M.LastReport_.Version_ = M.Turn_->version();
  ++M.LastReport_.Sequence_;
  send(I, std::make_shared<EndpointStatus>(M.LastReport_), false);
}

void Model::send(std::size_t From, const StatusReport &W, bool IsDeathNotice) {
  for (std::size_t To = Members_[From].Zone_; To < Members_.size();
       To += Scenario_.Zones_) {
    bool IsUnreachable =
        Scenario_.IsPartitioned_ &&
        (From / Scenario_.Zones_) % 2 != (To / Scenario_.Zones_) % 2;
    if (To == From || IsUnreachable)
      continue;
    if (!IsDeathNotice && Random_.unit() < Scenario_.Loss_)
      continue;
    Duration Lag = IsDeathNotice ? Duration(DeathNoticeDelay)
                                 : Random_.jitter(Scenario_.Lag_, 1.0);
    InTransit_.push({Now_ + Lag, To, W, IsDeathNotice});
  }
}

void Model::deliver() {
  while (!InTransit_.empty() && InTransit_.top().At_ <= Now_) {
    Delivery D = InTransit_.top();
    InTransit_.pop();
    Member &M = Members_[D.To_];
    StatusReport &Known = M.Received_[D.Report_->Vm_];
    if (D.IsDeathNotice_)
      M.Received_.erase(D.Report_->Vm_);
    else if (!Known || D.Report_->supersedes(*Known))
      Known = D.Report_;
    M.HasNewReports_ = true;
  }
}

void Model::killOne(std::size_t I) {
  Member &M = Members_[I];
  if (!Scenario_.OneDies_ || DeadInZone_[M.Zone_] > 0 ||
      M.Turn_->state() != RolloutTurn::State::Loading)
    return;
  ++DeadInZone_[M.Zone_];
  M.IsDead_ = true;
  send(I, std::make_shared<EndpointStatus>(M.LastReport_), true);
}

void Model::step() {
  deliver();
  for (std::size_t I = 0; I < Members_.size(); ++I) {
    if (Members_[I].IsDead_)
      continue;
    stepMember(I);
    killOne(I);
  }
}

void Model::measure() {
  std::vector<std::size_t> Out(Scenario_.Zones_, 0);
  std::size_t Ready = 0;
  for (const Member &M : Members_) {
    Ready += isReady(M) ? 1 : 0;
    Out[M.Zone_] += !isReady(M) && !M.IsDead_ ? 1 : 0;
  }
  double Seconds = std::chrono::duration<double>(ModelStep).count();
  double Share =
      static_cast<double>(Ready) / static_cast<double>(Members_.size());
  Outcome_.MinReady_ = std::min(Outcome_.MinReady_, Share);
  Outcome_.OutSeconds_ +=
      Seconds * static_cast<double>(Members_.size() - Ready);
  for (std::size_t Each : Out) {
    if (Each <= Scenario_.MaxUnavailable_)
      continue;
    Outcome_.Over_ = std::max(Outcome_.Over_, Each - Scenario_.MaxUnavailable_);
    Outcome_.OverSeconds_ += Seconds;
  }
}

bool Model::isDone() const {
  return std::all_of(Members_.begin(), Members_.end(), [&](const Member &M) {
    return M.IsDead_ || (isReady(M) && M.Turn_->version() == NewVersion);
  });
}

Outcome Model::run() {
  while (!isDone() && Now_ - Begin_ < LongestRun) {
    step();
    measure();
    Now_ += ModelStep;
  }
  Outcome_.AllSeconds_ = std::chrono::duration<double>(Now_ - Begin_).count();
  return Outcome_;
}

void printHeader() {
  std::printf("%-34s %4s %5s %3s | %7s %7s | %9s | %9s %8s %7s | %9s\n",
              "scenario", "vms", "zones", "max", "all s", "worst", "min ready",
              "runs over", "most", "over s", "out s/vm");
}

void runScenario(const Scenario &S, const Chart &C, std::uint64_t Seeds) {
  std::vector<double> All;
  Outcome Worst;
  double Out = 0;
  std::uint64_t RunsOver = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    Outcome O = Model(S, C, Seed).run();
    All.push_back(O.AllSeconds_);
    Worst.MinReady_ = std::min(Worst.MinReady_, O.MinReady_);
    Worst.Over_ = std::max(Worst.Over_, O.Over_);
    Worst.OverSeconds_ += O.OverSeconds_;
    Out += O.OutSeconds_;
    RunsOver += O.Over_ > 0 ? 1 : 0;
  }
  std::sort(All.begin(), All.end());
  std::printf("%-34s %4zu %5zu %3zu | %7.1f %7.1f | %9.3f | %4lu/%-4lu %8zu "
              "%7.1f | %9.1f\n",
              S.Name_.c_str(), S.Vms_, S.Zones_, S.MaxUnavailable_,
              All[All.size() / 2], All.back(), Worst.MinReady_, RunsOver, Seeds,
              Worst.Over_, Worst.OverSeconds_,
              Out / static_cast<double>(Seeds * S.Vms_));
  std::fflush(stdout);
}

std::vector<Scenario> planScenarios(std::size_t MaxVms) {
  std::vector<Scenario> Made;
  auto Add = [&](std::string Name, Plan P, std::size_t Vms, std::size_t Max,
                 double Already) {
    Made.push_back({.Name_ = std::move(Name),
                    .Plan_ = P,
                    .Vms_ = Vms,
                    .MaxUnavailable_ = Max,
                    .UpdatedShare_ = Already});
  };
  for (std::size_t Vms : {std::size_t{9}, std::size_t{16}}) {
    Add("turns", Plan::Turns, Vms, 1, 0);
    Add("turns", Plan::Turns, Vms, 2, 0);
    Add("at once when staged", Plan::AtOnce, Vms, 1, 0);
    Add("stop the world", Plan::StopTheWorld, Vms, 1, 0);
    Add("turns, half already there", Plan::Turns, Vms, 1, 0.5);
    Add("stop the world, half there", Plan::StopTheWorld, Vms, 1, 0.5);
  }
  for (std::size_t Vms = 32; Vms <= MaxVms; Vms *= 2)
    Add("turns, an eighth of a zone", Plan::Turns, Vms, 1 + Vms / 24, 0);
  return Made;
}

std::vector<Scenario> faultScenarios() {
  std::vector<Scenario> Made;
  for (int Settle : {0, 500, 1000, 2000, 4400})
    Made.push_back(
        {.Name_ = "lag 1 s, loss 20%, settle " + std::to_string(Settle) + " ms",
         .Lag_ = Seconds(1),
         .Loss_ = 0.2,
         .Settle_ = Milliseconds(Settle)});
  for (double Loss : {0.0, 0.2, 0.5})
    Made.push_back({.Name_ = "lag 500 ms, loss " +
                             std::to_string(static_cast<int>(Loss * 100)) + "%",
                    .Lag_ = Milliseconds(500),
                    .Loss_ = Loss});
  Made.push_back({.Name_ = "each zone cut in two", .IsPartitioned_ = true});
  Made.push_back({.Name_ = "one VM a zone dies loading", .OneDies_ = true});
  return Made;
}

} // namespace

int main(int Argc, char **Argv) {
  po::options_description Options("RolloutBench");
  auto Add = Options.add_options();
  Add("help", "this text");
  Add("seeds", po::value<std::uint64_t>()->default_value(20), "runs each");
  Add("charts", po::value<std::string>()->default_value("charts"),
      "folder of the state charts");
  Add("max-vms", po::value<std::size_t>()->default_value(128), "largest fleet");
  po::variables_map Given;
  po::store(po::parse_command_line(Argc, Argv, Options), Given);
  if (Given.contains("help")) {
    std::cout << Options;
    return 0;
  }
  Chart C = Chart::load(Given["charts"].as<std::string>(), "rollout",
                        RolloutTurn::chartNames());
  auto Seeds = Given["seeds"].as<std::uint64_t>();
  printHeader();
  for (const Scenario &S : planScenarios(Given["max-vms"].as<std::size_t>()))
    runScenario(S, C, Seeds);
  for (const Scenario &S : faultScenarios())
    runScenario(S, C, Seeds);
  return 0;
}
