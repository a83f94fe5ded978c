#include "hawthornroad/runtime/Daemon.h"

#include "hawthornroad/base/Error.h"

#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <optional>
#include <pthread.h>
#include <thread>
#include <unistd.h>

namespace hawthornroad {

namespace po = boost::program_options;

namespace {

sigset_t stopSignals() {
  sigset_t Set;
  sigemptyset(&Set);
  sigaddset(&Set, SIGTERM);
  sigaddset(&Set, SIGINT);
  sigaddset(&Set, SIGHUP);
  return Set;
}

// Must run before any other thread starts, so that all inherit the mask.
void blockStopSignals() {
  sigset_t Set = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Set, nullptr);
  // A write to a connection that the peer closed returns an error code instead.
  std::signal(SIGPIPE, SIG_IGN);
}

void watchSignals(StopSignal &Stop, const std::function<void()> &Reload,
                  const std::function<void()> &StopRepeated) {
  sigset_t Set = stopSignals();
  for (;;) {
    int Number = 0;
    if (sigwait(&Set, &Number) != 0)
      continue;
    if (Number == SIGHUP) {
      if (Reload)
        Reload();
      continue;
    }
    if (Stop.request())
      continue;
    if (!StopRepeated)
      ::_exit(ExitKilled);
    StopRepeated();
  }
}

struct CommandLine {
  std::string Settings_;
  bool Check_ = false;
};

// Returns nullopt after handling --help or --version. Throws po::error.
std::optional<CommandLine> parseCommandLine(int Argc, char **Argv,
                                            const DaemonProgram &Program) {
  CommandLine Parsed;
  po::options_description Options("options");
  auto Add = Options.add_options();
  Add("help,h", "print this and exit");
  Add("version", "print the version and exit");
  Add("settings", po::value(&Parsed.Settings_)->value_name("FILE"),
      "settings, JSON with comments (required)");
  Add("check", po::bool_switch(&Parsed.Check_),
      "check the settings and state charts, then exit");
  po::variables_map Values;
  po::store(po::parse_command_line(Argc, Argv, Options), Values);
  po::notify(Values);
  if (Values.count("help") != 0) {
    std::cout << Program.Name_ << ": " << Program.Purpose_ << "\n\n"
              << Options << "\nexit codes: 0 planned stop, 1 failure, "
              << "2 bad usage, settings or charts"
              << (Program.StopRepeated_ ? "\n" : ", 143 second signal\n");
    return std::nullopt;
  }
  if (Values.count("version") != 0) {
    std::cout << Program.Name_ << " " << HAWTHORNROAD_VERSION << "\n";
    return std::nullopt;
  }
  if (Parsed.Settings_.empty())
    throw po::error("--settings FILE is required");
  return Parsed;
}

int reportError(const DaemonProgram &Program, const std::string &What,
                int Code) {
  std::cerr << Program.Name_ << ": " << What << std::endl;
  return Code;
}

} // namespace

void StopSignal::wait() {
  std::unique_lock Lock(Mutex_);
  Changed_.wait(Lock, [this] { return Requested_; });
}

bool StopSignal::request() {
  std::lock_guard Lock(Mutex_);
  if (Requested_)
    return false;
  Requested_ = true;
  Changed_.notify_all();
  return true;
}

int runDaemon(int Argc, char **Argv, const DaemonProgram &Program) {
  std::optional<CommandLine> Line;
  try {
    Line = parseCommandLine(Argc, Argv, Program);
  } catch (const po::error &E) {
    return reportError(Program, E.what(), ExitUsage);
  }
  if (!Line)
    return ExitOk;
  try {
    Program.Check_(Line->Settings_);
  } catch (const std::exception &E) {
    return reportError(Program, E.what(), ExitUsage);
  }
  if (Line->Check_)
    return ExitOk;
  blockStopSignals();
  // Static, because the detached signal thread may outlive main().
  static StopSignal Stop;
  std::function<void()> Reload;
  if (Program.Reload_)
    Reload = [Action = Program.Reload_, File = Line->Settings_] {
      Action(File);
    };
  std::thread(watchSignals, std::ref(Stop), std::move(Reload),
              Program.StopRepeated_)
      .detach();
  try {
    Program.Run_(Line->Settings_, Stop);
  } catch (const std::exception &E) {
    return reportError(Program, E.what(), ExitFailure);
  }
  return ExitOk;
}

void printReady(const boost::json::object &Line) {
  std::cout << boost::json::serialize(Line) << std::endl;
}

} // namespace hawthornroad
