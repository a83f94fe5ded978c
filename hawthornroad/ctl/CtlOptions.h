// The command line of hawthornroadctl, checked before anything is done: which
// command, its operands, and that every option given belongs to it.
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
  // Admin listeners of processes of the system, "IP:port".
  std::vector<std::string> Admins_;
  // Folder of the state charts; found beside the program when not given.
  std::string Charts_;
  bool Json_ = false;
  bool Help_ = false;
  bool Version_ = false;
  // Longest wait for one answer of the platform or a process.
  Duration Timeout_ = Seconds(2);
  // Of a change.
  std::optional<Revision> Base_;
  std::string Change_;
  std::string Author_;
  std::string Reason_;
  std::optional<Duration> Wait_;
  // Of history: the last so many revisions.
  std::size_t Limit_ = 20;
  // Of manifest.
  std::string Model_;
  std::string Blob_;
  std::string Path_;
  std::int64_t ChunkSize_ = 0;
  std::string Out_;
};

// A command line that asks for nothing the program can do.
class UsageError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

CtlOptions parseCtlOptions(const std::vector<std::string> &Arguments);
// The text of --help, exit codes included.
std::string ctlHelp();

} // namespace hawthornroad

#endif // HAWTHORNROAD_CTL_CTLOPTIONS_H
