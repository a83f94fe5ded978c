// hawthornroadctl: the operators' command-line tool. Reads and changes the
// configuration in the platform's table, and queries processes for the
// revision that they have applied.
//
//   int main(int Argc, char **Argv) {
//     return runCtl({Argv + 1, Argv + Argc}, std::cout, std::cerr);
//   }
//
// Results go to Out, as text or, with --json, as one JSON object; errors go to
// Err as text (with --json to Out too, so that a pipeline always reads one
// object). A configuration is validated before anything is written.

#ifndef HAWTHORNROAD_CTL_CTL_H
#define HAWTHORNROAD_CTL_CTL_H

#include <iosfwd>
#include <string>
#include <vector>

namespace hawthornroad {

enum class CtlExit {
  Done = 0,
  Failed = 1,      // refused or failed; nothing was changed
  Invalid = 2,     // invalid command line, configuration or file
  Conflict = 3,    // other changes were accepted first
  Unavailable = 4, // platform or process is unreachable
  Behind = 5,      // accepted, but not applied everywhere when --wait ends
  Unknown = 6      // a write may have taken effect
};

// Runs one command line and returns the exit code, a CtlExit.
int runCtl(const std::vector<std::string> &Arguments, std::ostream &Out,
           std::ostream &Err);

} // namespace hawthornroad

#endif // HAWTHORNROAD_CTL_CTL_H
