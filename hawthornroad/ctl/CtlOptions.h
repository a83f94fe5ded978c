// The command line of hawthornroadctl, parsed and checked before a command
// runs: the command, its operands, and that each option belongs to it.
//
//   CtlOptions O = parseCtlOptions({"apply", "fleet.jsonc", "--table",
//                                   "10.0.0.1:7000"});   // throws UsageError

#ifndef HAWTHORNROAD_CTL_CTLOPTIONS_H
#define HAWTHORNROAD_CTL_CTLOPTIONS_H

#include "hawthornroad/base/Types.h"

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace hawthornroad {

struct CtlOptions {
  std::string Command_;
  std::vector<std::string> Operands_;
  // The platform, "IP:port".
  std::string Table_;
  std::string Objects_;
  // Admin listeners of processes, "IP:port".
  std::vector<std::string> Admins_;
  // Folder of the state charts; the default is searched for when empty.
  std::string Charts_;
  bool Json_ = false;
  bool Help_ = false;
  bool Version_ = false;
  // Time limit for one answer of the platform or a process.
  Duration Timeout_ = Seconds(2);
  // For commands that make a change.
  std::optional<Revision> Base_;
  std::string Change_;
  std::string Author_;
  std::string Reason_;
  std::optional<Duration> Wait_;
  // For history: the number of latest revisions to print.
  std::size_t Limit_ = 20;
  // For manifest.
  std::string Model_;
  std::string Blob_;
  std::string Path_;
  std::int64_t ChunkSize_ = 0;
  std::string Out_;
};

// An invalid command line.
class UsageError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

CtlOptions parseCtlOptions(const std::vector<std::string> &Arguments);
// The text of --help, including the exit codes.
std::string ctlHelp();

} // namespace hawthornroad

#endif // HAWTHORNROAD_CTL_CTLOPTIONS_H
