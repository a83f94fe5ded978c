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

bool runSeed(const SoakWorld::Options &O, const std::string &LogFolder) {
  std::cout << "seed " << O.Seed_ << std::endl;
  SoakWorld W(O);
  W.run();
  std::cout << "seed " << O.Seed_ << ": " << W.checks().summary() << std::endl;
  for (const std::string &Each : W.checks().violations())
    std::cout << "  BROKEN " << Each << std::endl;
  if (W.checks().violations().empty())
    return true;
  std::filesystem::path KeptLogs =
      std::filesystem::path(LogFolder) / ("seed-" + std::to_string(O.Seed_));
  std::filesystem::create_directories(KeptLogs);
  std::filesystem::copy(W.logs(), KeptLogs,
                        std::filesystem::copy_options::recursive |
                            std::filesystem::copy_options::overwrite_existing);
  std::cout << "  logs: " << KeptLogs.string() << std::endl;
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
  std::size_t Entries = 4;
  std::string Logs = "soak-logs";
  Description.add_options()("help", "this text")(
      "seed", po::value(&Seed)->default_value(Seed), "the first seed")(
      "seeds", po::value(&Seeds)->default_value(Seeds), "how many, one by one")(
      "seconds", po::value(&Length)->default_value(Length),
      "how long faults last, for each seed")(
      "entries", po::value(&Entries)->default_value(Entries),
      "entry processes; there are as many proxies and three more")(
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
  for (std::uint64_t S = Seed; S < Seed + Seeds; ++S) {
    SoakWorld::Options O;
    O.Seed_ = S;
    O.Length_ = Seconds(Length);
    O.Entries_ = Entries;
    Failed |= !runSeed(O, Logs);
  }
  std::cout << (Failed ? "soak: broken" : "soak: all promises held")
            << std::endl;
  return Failed ? 1 : 0;
}
