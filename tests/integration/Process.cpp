#include "tests/integration/Process.h"

#include "hawthornroad/base/Error.h"
#include "hawthornroad/config/JsonText.h"

#include <atomic>
#include <boost/json/parse.hpp>
#include <boost/process/args.hpp>
#include <boost/process/child.hpp>
#include <boost/process/exception.hpp>
#include <boost/process/extend.hpp>
#include <boost/process/io.hpp>
#include <boost/process/pipe.hpp>
#include <csignal>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <linux/close_range.h>
#include <poll.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace hawthornroad {

namespace process = boost::process;

namespace {
constexpr Duration PollPeriod = Milliseconds(10);
constexpr std::size_t MaxPrintedLog = 16 * 1024;

std::string programPath(const std::string &Program) {
  return std::filesystem::path(BINARY_DIR) / Program;
}

// Runs in the child. The kernel kills it when the test ends, even by a crash.
// It inherits no socket: an inherited one would keep a connection open that the
// test has closed.
void prepareChild() {
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
}

std::string tail(const std::filesystem::path &File) {
  std::string Text = readTextFile(File, Step::Receive);
  if (Text.size() <= MaxPrintedLog)
    return Text;
  return "...\n" + Text.substr(Text.size() - MaxPrintedLog);
}
} // namespace

void eventually(const std::function<bool()> &Condition, const std::string &What,
                Duration Bound) {
  auto End = std::chrono::steady_clock::now() + Bound;
  std::string Last;
  for (;;) {
    try {
      if (Condition())
        return;
      Last = "condition is false";
    } catch (const std::exception &E) {
      Last = E.what();
    }
    if (std::chrono::steady_clock::now() >= End)
      throw std::runtime_error("timed out waiting: " + What + ": " + Last);
    std::this_thread::sleep_for(PollPeriod);
  }
}

TemporaryFolder::TemporaryFolder() {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "hawthornroad-XXXXXX");
  if (::mkdtemp(Pattern.data()) == nullptr)
    throw std::runtime_error("cannot create a temporary folder");
  Path_ = Pattern;
}

TemporaryFolder::~TemporaryFolder() {
  if (testHasFailed() || std::uncaught_exceptions() > 0)
    printLogs();
  std::error_code Ignored;
  std::filesystem::remove_all(Path_, Ignored);
}

std::string TemporaryFolder::write(const std::string &Name,
                                   const std::string &Content) const {
  std::filesystem::path File = Path_ / Name;
  std::filesystem::create_directories(File.parent_path());
  std::ofstream Out(File, std::ios::binary);
  Out << Content;
  if (!Out.flush())
    throw std::runtime_error("cannot write " + File.string());
  return File;
}

std::filesystem::path TemporaryFolder::newLog(const std::string &Name) {
  std::string File = Name + "-" + std::to_string(Logs_.size()) + ".log";
  return Logs_.emplace_back(Path_ / File);
}

void TemporaryFolder::printLogs() const {
  for (const std::filesystem::path &Each : Logs_)
    if (std::filesystem::exists(Each) && std::filesystem::file_size(Each) > 0)
      std::cerr << "---- " << Each.filename().string() << "\n"
                << tail(Each) << "\n";
}

struct Process::State {
  process::pipe Output_;
  process::child Child_;
  std::string Unread_;
  // All that was read.
  std::string Printed_;
  std::thread Copier_;
  std::atomic<bool> HasEnded_{false};

  void copyOutput(const std::filesystem::path &File);
};

void Process::State::copyOutput(const std::filesystem::path &File) {
  std::ofstream Out(File, std::ios::binary);
  Out << Printed_;
  std::array<char, 16 * 1024> Buffer;
  for (;;) {
    // Read first: what the process printed last is still in the pipe.
    bool IsLast = HasEnded_;
    pollfd Wait{Output_.native_source(), POLLIN, 0};
    int Ready = ::poll(&Wait, 1, IsLast ? 0 : 100);
    ssize_t Got = 0;
    if (Ready > 0)
      Got = ::read(Wait.fd, Buffer.data(), Buffer.size());
    if (Got > 0)
      Out.write(Buffer.data(), Got);
    else if (Ready > 0 || IsLast)
      return;
    Out.flush();
  }
}

Process::Process(Launch L, TemporaryFolder &Folder)
    : Launch_(std::move(L)), State_(std::make_unique<State>()) {
  std::string Log = Folder.newLog(Launch_.Name_);
  State_->Child_ = process::child(
      programPath(Launch_.Program_), process::args(Launch_.Arguments_),
      process::std_in<process::null, process::std_out> State_->Output_,
      process::std_err > Log,
      process::extend::on_exec_setup([](auto &) { prepareChild(); }));
}

Process::Process(Process &&) noexcept = default;

Process::~Process() {
  if (!State_ || !State_->Child_.valid())
    return;
  // SIGKILL also ends a stopped process.
  kill();
  std::error_code Ignored;
  State_->Child_.wait(Ignored);
  State_->HasEnded_ = true;
  if (State_->Copier_.joinable())
    State_->Copier_.join();
}

void Process::logOutput(TemporaryFolder &Folder) {
  State_->Copier_ = std::thread(
      [S = State_.get(), File = Folder.newLog(Launch_.Name_ + "-out")] {
        S->copyOutput(File);
      });
}

int Process::pid() const { return State_->Child_.id(); }

bool Process::running() {
  std::error_code Ignored;
  return State_->Child_.running(Ignored);
}

std::size_t Process::peakMegabytes() {
  if (!running())
    return 0;
  std::ifstream Status("/proc/" + std::to_string(pid()) + "/status");
  std::string Name;
  for (std::size_t Kilobytes = 0; Status >> Name;)
    if (Name == "VmHWM:" && Status >> Kilobytes)
      return Kilobytes / 1024;
  return 0;
}

// Signals are sent by pid only while the child has not been waited for: until
// then the kernel cannot reuse its pid.
void Process::terminate() {
  if (running())
    ::kill(pid(), SIGTERM);
}

void Process::kill() {
  if (running())
    ::kill(pid(), SIGKILL);
}

void Process::freeze() {
  if (running())
    ::kill(pid(), SIGSTOP);
}

void Process::resume() {
  if (running())
    ::kill(pid(), SIGCONT);
}

int Process::waitExit(Duration Bound) {
  eventually([this] { return !running(); }, name() + " has ended", Bound);
  int Status = State_->Child_.native_exit_code();
  return WIFSIGNALED(Status) ? -WTERMSIG(Status) : WEXITSTATUS(Status);
}

std::string Process::restOfOutput() {
  std::string &Text = State_->Unread_;
  std::array<char, 4096> Buffer;
  for (;;) {
    pollfd Wait{State_->Output_.native_source(), POLLIN, 0};
    ssize_t Got = ::poll(&Wait, 1, 0) > 0
                      ? ::read(Wait.fd, Buffer.data(), Buffer.size())
                      : 0;
    if (Got <= 0)
      return std::exchange(Text, {});
    Text.append(Buffer.data(), static_cast<std::size_t>(Got));
    State_->Printed_.append(Buffer.data(), static_cast<std::size_t>(Got));
  }
}

const std::string &Process::printed() {
  restOfOutput();
  return State_->Printed_;
}

std::string Process::readLine() {
  auto End = std::chrono::steady_clock::now() + AwaitTimeout;
  std::string &Text = State_->Unread_;
  while (Text.find('\n') == std::string::npos) {
    pollfd Wait{State_->Output_.native_source(), POLLIN, 0};
    int Ready = ::poll(&Wait, 1, 100);
    if (Ready > 0) {
      std::array<char, 1024> Buffer;
      ssize_t Got = ::read(Wait.fd, Buffer.data(), Buffer.size());
      if (Got <= 0)
        throw std::runtime_error(name() + " ended before its ready line");
      Text.append(Buffer.data(), static_cast<std::size_t>(Got));
      State_->Printed_.append(Buffer.data(), static_cast<std::size_t>(Got));
    }
    if (std::chrono::steady_clock::now() >= End)
      throw std::runtime_error(name() + " printed no ready line");
  }
  std::string Line = Text.substr(0, Text.find('\n'));
  Text.erase(0, Line.size() + 1);
  return Line;
}

const boost::json::object &Process::ready() {
  // Processes that log to standard output may have printed other lines before.
  while (!Ready_) {
    auto Line = boost::json::parse(readLine()).as_object();
    if (Line.contains("ready"))
      Ready_ = std::move(Line);
  }
  return *Ready_;
}

std::string Process::readyText(const std::string &Key) {
  return std::string(ready().at(Key).as_string());
}

ToolResult runTool(const std::string &Program,
                   const std::vector<std::string> &Arguments,
                   TemporaryFolder &Folder) {
  std::string Output = Folder.newLog(Program + "-out");
  std::string Errors = Folder.newLog(Program + "-err");
  process::child Child(
      programPath(Program), process::args(Arguments),
      process::std_in<process::null, process::std_out> Output,
      process::std_err > Errors,
      process::extend::on_exec_setup([](auto &) { prepareChild(); }));
  try {
    eventually([&] { return !Child.running(); }, Program + " has ended",
               2 * AwaitTimeout);
  } catch (...) {
    Child.terminate();
    throw;
  }
  return {.ExitCode_ = Child.exit_code(),
          .Output_ = readTextFile(Output, Step::Receive),
          .Errors_ = readTextFile(Errors, Step::Receive)};
}

} // namespace hawthornroad
