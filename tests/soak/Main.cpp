// Entry point of the fault soak, which scripts/soak runs: for each seed, faults
// are injected according to the seed's plan and guarantees are checked (see
// README.md).

#include "tests/soak/SoakWorld.h"

#include <boost/program_options.hpp>
#include <iostream>

namespace po = boost::program_options;
using namespace hawthornroad;

namespace {
bool Failed = false;

// Of a repeat strain: as on deployments of this size.
constexpr double StrainPerSecond = 400;
constexpr double StrainRepeatRatio = 0.2;
constexpr double StrainRepeatSlack = 102;

bool runSeed(const SoakWorld::Options &O, const std::string &LogFolder) {
  std::string Seed = std::to_string(O.Layout_.Seed_);
  std::cout << "seed " << Seed << std::endl;
  SoakWorld W(O);
  W.run();
  std::cout << "seed " << Seed << ": " << W.checks().summary() << "; "
            << W.memory().summary() << "; " << W.copiesSummary() << std::endl;
  for (const std::string &Each : W.checks().violations())
    std::cout << "  BROKEN " << Each << std::endl;
  if (W.checks().violations().empty())
    return true;
  std::filesystem::path KeptLogs =
      std::filesystem::path(LogFolder) / ("seed-" + Seed);
  std::filesystem::create_directories(KeptLogs);
  std::filesystem::copy(W.logs(), KeptLogs,
                        std::filesystem::copy_options::recursive |
                            std::filesystem::copy_options::overwrite_existing);
  std::cout << "  logs: " << KeptLogs.string() << std::endl;
  for (const auto &[Id, Entry] : W.checks().lost())
    std::cout << "  hawthornroadctl trace " << Id << ' ' << KeptLogs.string()
              << '/' << Entry << "-*.log" << std::endl;
  return false;
}
} // namespace

namespace hawthornroad {
// The soak copies logs to files instead of printing them.
bool testHasFailed() { return false; }
} // namespace hawthornroad

int main(int Argc, char **Argv) {
  po::options_description Description("Usage: soak [options]");
  std::uint64_t Seed = 1;
  std::uint64_t Seeds = 1;
  int Length = 20;
  bool PlannedOnly = false;
  std::size_t Callers = 5;
  double Strain = 0;
  double EntryRepeatRatio = 0;
  double Crashing = 4;
  std::string Failure;
  SoakLayout::Options Layout;
  std::string Logs = "soak-logs";
  Description.add_options()("help", "this text")(
      "seed", po::value(&Seed)->default_value(Seed), "the first seed")(
      "seeds", po::value(&Seeds)->default_value(Seeds), "how many, one by one")(
      "seconds", po::value(&Length)->default_value(Length),
      "how long faults last, for each seed")(
      "entries", po::value(&Layout.Entries_)->default_value(Layout.Entries_),
      "entry processes; the first 16 have a proxy to the store")(
      "zones", po::value(&Layout.Zones_)->default_value(Layout.Zones_),
      "zones of the entries and endpoints")(
      "agents", po::value(&Layout.Agents_)->default_value(Layout.Agents_),
      "agent processes, each with an engine")(
      "entry-program", po::value(&Layout.EntryProgram_),
      "full path of a program to run as the entries")(
      "callers", po::value(&Callers)->default_value(Callers),
      "callers for each entry, at most 96 in all")(
      "planned-only", po::bool_switch(&PlannedOnly),
      "planned work only, without faults")(
      "repeat-strain", po::value(&Strain)->implicit_value(StrainPerSecond),
      "put a strain on the limit of repeats, with this many requests a second")(
      "strain-failure", po::value(&Failure),
      "how the strain begins, in place of the seed's choice: loss-and-kill, "
      "loss-and-freeze, hold-and-kill, loss-and-slowness, "
      "loss-and-callers-held, engine-loss, loss-and-leaves, "
      "loss-and-partial-kills, loss-without-store, loss-on-narrow-paths, "
      "loss-behind-narrow-path, loss-and-returns, rejections-and-returns, "
      "callers-held-and-kill, callers-held-and-partial-kills, "
      "all-held-and-kill, late-paths-and-kill, crashes, "
      "crashes-and-restarts, crashes-before-head, crashes-of-sound")(
      "crashing", po::value(&Crashing),
      "requests a second with a part of prompts that crashes engines, of those "
      "of a strain named crashes-...")(
      "entry-repeat-ratio", po::value(&EntryRepeatRatio),
      "the ratio that entries keep, in place of the operators'")(
      "logs", po::value(&Logs)->default_value(Logs),
      "where logs of seeds that failed are kept");
  po::variables_map Variables;
  try {
    po::store(po::parse_command_line(Argc, Argv, Description), Variables);
    po::notify(Variables);
  } catch (const po::error &E) {
    std::cerr << E.what() << '\n' << Description;
    return 2;
  }
  if (Variables.contains("help")) {
    std::cout << Description;
    return 0;
  }
  if (!Failure.empty() && !parseStrainFailure(Failure)) {
    std::cerr << "no such failure: " << Failure << '\n' << Description;
    return 2;
  }
  if (Strain > 0) {
    Layout.RepeatRatio_ = StrainRepeatRatio;
    Layout.RepeatSlack_ = StrainRepeatSlack;
  }
  if (EntryRepeatRatio > 0)
    Layout.EntryRepeatRatio_ = EntryRepeatRatio;
  for (std::uint64_t S = Seed; S < Seed + Seeds; ++S) {
    SoakWorld::Options O;
    O.Length_ = Seconds(Length);
    O.IsPlannedOnly_ = PlannedOnly;
    O.StrainPerSecond_ = Strain;
    O.StrainFailure_ = parseStrainFailure(Failure);
    if (O.StrainFailure_ && isOfCrashes(*O.StrainFailure_))
      O.CrashingPerSecond_ = Crashing;
    O.CallersPerEntry_ = Callers;
    O.Layout_ = Layout;
    O.Layout_.Seed_ = S;
    Failed |= !runSeed(O, Logs);
  }
  std::cout << (Failed ? "soak: broken" : "soak: all promises held")
            << std::endl;
  return Failed ? 1 : 0;
}
