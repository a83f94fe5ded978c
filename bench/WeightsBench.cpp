// Measures weight transfer in model time (time to N staged replicas, copies
// sent by the origin, upload balance and cost) against baselines and the lower
// bound.
//
//   WeightsBench [--max-vms 128] [--zones 3] [--dead 0.05] [--json FILE]
//
// Prints a table; --json also writes the figures to a file.

#include "bench/WeightsModel.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <set>

using namespace hawthornroad;
namespace po = boost::program_options;

namespace {
constexpr std::size_t FleetSizes[] = {8, 16, 32, 64, 128, 256, 820};

struct Row {
  std::string Plan_;
  ModelSetup Setup_;
  TransferResult Result_;
};

void printHeader() {
  std::printf("%-16s %5s %5s %5s %8s %8s %8s %6s %7s %7s %8s %8s %7s\n", "plan",
              "vms", "zones", "dead", "N/2 s", "N-1 s", "N s", "/bound",
              "origin", "up m/m", "msgs/vm", "KB/vm", "cpu ms");
}

void printRow(const Row &R) {
  const TransferResult &M = R.Result_;
  std::printf(
      "%-16s %5zu %5zu %5zu %8.1f %8.1f %8.1f %6.3f %7.3f %7.2f %8.0f %8.0f "
      "%7.1f%s\n",
      R.Plan_.c_str(), R.Setup_.Vms_, R.Setup_.Zones_,
      R.Setup_.Vms_ - M.Survivors_, M.HalfSeconds_, M.AllButOneSeconds_,
      M.AllSeconds_, M.AllSeconds_ / M.BoundSeconds_, M.OriginCopies_,
      M.UploadMaxOverMean_, M.Messages_, M.MessageBytes_ / 1024,
      M.CpuMilliseconds_, M.Staged_ < M.Survivors_ ? "  STUCK" : "");
  std::fflush(stdout);
}

boost::json::object toJson(const Row &R) {
  const TransferResult &M = R.Result_;
  return {{"plan", R.Plan_},
          {"vms", R.Setup_.Vms_},
          {"zones", R.Setup_.Zones_},
          {"chunks", R.Setup_.Chunks_},
          {"window_s", std::chrono::duration<double>(R.Setup_.Window_).count()},
          {"survivors", M.Survivors_},
          {"staged", M.Staged_},
          {"half_s", M.HalfSeconds_},
          {"all_but_one_s", M.AllButOneSeconds_},
          {"all_s", M.AllSeconds_},
          {"bound_s", M.BoundSeconds_},
          {"origin_copies", M.OriginCopies_},
          {"upload_max_over_mean", M.UploadMaxOverMean_},
          {"messages_per_vm", M.Messages_},
          {"message_bytes_per_vm", M.MessageBytes_},
          {"cpu_ms_per_vm", M.CpuMilliseconds_}};
}

class Report {
public:
  void add(Row R) {
    printRow(R);
    Rows_.push_back(toJson(R));
  }
  void write(const std::string &File) const {
    std::ofstream Out(File);
    Out << boost::json::serialize(Rows_) << '\n';
  }

private:
  boost::json::array Rows_;
};

void measureBaselines(Report &Out, const ModelSetup &S) {
  Out.add({"all-from-origin", S, runBaseline(S, Baseline::AllFromOrigin)});
  Out.add({"chain", S, runBaseline(S, Baseline::Chain)});
  if (S.Zones_ < S.Vms_)
    Out.add({"seed-per-zone", S, runBaseline(S, Baseline::SeedPerZone)});
}

void measureSwarm(Report &Out, ModelSetup S, double Dead) {
  for (double Share : std::set<double>{0.0, Dead}) {
    S.DeadShare_ = Share;
    S.Preference_ = RolloutPreference::Time;
    S.Budget_ = 3.3;
    Out.add({"swarm time", S, runSwarm(S)});
    S.Preference_ = RolloutPreference::OriginBytes;
    S.Budget_ = 1.1;
    Out.add({"swarm origin", S, runSwarm(S)});
  }
}
// A version of 2.36 MB that the origin sends in 4.3 s and a VM in 2.6 s, over
// links of 4.38 and 7.3 Mbit/s. Small fleets have three zones, large ones five.
void measureNarrowOrigin(Report &Out, std::uint64_t Seed, double Dead) {
  struct Fleet {
    std::size_t Vms_;
    std::size_t Zones_;
  };
  constexpr Fleet Fleets[] = {{9, 3}, {58, 3}, {265, 5}, {820, 5}};
  for (const Fleet &F : Fleets)
    for (double Share : std::set<double>{0.0, Dead}) {
      ModelSetup S;
      S.Vms_ = F.Vms_;
      S.Zones_ = F.Zones_;
      S.Chunks_ = 96;
      S.HasNarrowOrigin_ = true;
      S.Window_ = Milliseconds(4310);
      S.OriginCopies_ = 1;
      S.LinkCopies_ = 4.31 / 2.59;
      S.DeadShare_ = Share;
      S.Seed_ = Seed;
      Out.add({"narrow origin", S, runSwarm(S)});
    }
}
} // namespace

int main(int Count, char **Words) {
  std::size_t MaxVms = 0;
  std::size_t MinVms = 0;
  ModelSetup Base;
  double Dead = 0;
  std::vector<std::size_t> Zones;
  std::string Json;
  po::options_description Options("WeightsBench");
  auto Add = Options.add_options();
  Add("help", "this text");
  Add("min-vms", po::value(&MinVms)->default_value(8), "smallest fleet");
  Add("max-vms", po::value(&MaxVms)->default_value(820), "largest fleet");
  Add("chunks", po::value(&Base.Chunks_)->default_value(2048), "chunks");
  Add("zones", po::value(&Zones)->multitoken()->default_value({3, 16}, "3 16"),
      "availability zones");
  Add("dead", po::value(&Dead)->default_value(0.05), "share of VMs that die");
  Add("seed", po::value(&Base.Seed_)->default_value(1), "seed");
  Add("json", po::value(&Json), "file for the figures");
  std::size_t TellMs = 100;
  Add("in-flight", po::value(&Base.Plan_.InFlight_)->default_value(8),
      "requests of a VM at once");
  Add("per-peer", po::value(&Base.Plan_.PerPeer_)->default_value(2),
      "of these, to one peer");
  Add("tell-ms", po::value(&TellMs)->default_value(100),
      "period of news to one watcher");
  Add("swarm-only", "leave out the baselines");
  Add("narrow-origin",
      "a version of 96 chunks due within seconds, as engines' agents bring it");
  po::variables_map Given;
  po::store(po::parse_command_line(Count, Words, Options), Given);
  po::notify(Given);
  if (Given.contains("help")) {
    std::cout << Options;
    return 0;
  }
  Base.Exchange_.UpdatePeriod_ = Milliseconds(TellMs);
  Report Out;
  printHeader();
  if (Given.contains("narrow-origin"))
    measureNarrowOrigin(Out, Base.Seed_, Dead);
  else
    for (std::size_t Z : Zones)
      for (std::size_t Vms : FleetSizes) {
        if (Vms < MinVms || Vms > MaxVms)
          continue;
        Base.Vms_ = Vms;
        Base.Zones_ = Z;
        if (!Given.contains("swarm-only"))
          measureBaselines(Out, Base);
        measureSwarm(Out, Base, Dead);
      }
  if (!Json.empty())
    Out.write(Json);
  return 0;
}
