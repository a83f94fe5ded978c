// Child processes of a test, and the folder they write to.
//
//   TemporaryFolder Folder;
//   Process Agent({.Name_ = "agent-1", .Program_ = "hawthornroad-agent",
//                  .Arguments_ = {Settings}}, Folder);
//   std::string Peers = Agent.readyText("peers");
//   Agent.freeze();
//
// No orphans: the destructor kills the process, and the kernel kills it when
// the thread that started it ends. So start processes on the test's own thread.

#ifndef HAWTHORNROAD_TESTS_INTEGRATION_PROCESS_H
#define HAWTHORNROAD_TESTS_INTEGRATION_PROCESS_H

#include "tests/integration/Eventually.h"

#include <boost/json/object.hpp>
#include <filesystem>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hawthornroad {

// A new folder, removed on destruction. When the test has failed, the logs in
// it are printed first.
class TemporaryFolder {
public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;

  const std::filesystem::path &path() const { return Path_; }
  // Writes a file, its folders included, and returns its full path.
  std::string write(const std::string &Name, const std::string &Content) const;
  // A new log file's path for a process called Name.
  std::filesystem::path newLog(const std::string &Name);

private:
  void printLogs() const;

  std::filesystem::path Path_;
  std::vector<std::filesystem::path> Logs_;
};

struct Launch {
  // For logs and messages.
  std::string Name_;
  // A program of the build folder, or a full path.
  std::string Program_;
  std::vector<std::string> Arguments_;
};

class Process {
public:
  // Starts at once; throws when the program cannot be run.
  Process(Launch L, TemporaryFolder &Folder);
  ~Process();
  Process(Process &&) noexcept;
  Process &operator=(Process &&) = delete;

  const std::string &name() const { return Launch_.Name_; }
  // The ready line, awaited on first use. Throws when the process ends without
  // printing it or does not print it in time.
  const boost::json::object &ready();
  std::string readyText(const std::string &Key);
  // From now on its standard output, what was printed so far included, is
  // copied to a log of its own. Call after ready().
  void logOutput(TemporaryFolder &Folder);

  int pid() const;
  bool running();
  // The most memory that it has used so far; 0 once it has ended.
  std::size_t peakMegabytes();
  void terminate();
  void kill();
  // SIGSTOP and SIGCONT: a pause that the process cannot detect while stopped.
  void freeze();
  void resume();
  // The exit code once the process has ended, minus the signal when one ended
  // it; throws after Bound.
  int waitExit(Duration Bound = AwaitTimeout);
  // All that it printed and that was not read yet. Call after waitExit().
  std::string restOfOutput();
  // All that it has printed so far, also after its end; without logOutput().
  const std::string &printed();

private:
  struct State;
  std::string readLine();

  Launch Launch_;
  std::unique_ptr<State> State_;
  std::optional<boost::json::object> Ready_;
};

struct ToolResult {
  int ExitCode_ = 0;
  std::string Output_;
  std::string Errors_;
};

// Runs a program of the build folder to its end.
ToolResult runTool(const std::string &Program,
                   const std::vector<std::string> &Arguments,
                   TemporaryFolder &Folder);

// Whether an assertion of the running test case has failed; see Main.cpp.
bool testHasFailed();

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_INTEGRATION_PROCESS_H
