// hawthornroadctl: the operators' tool. Reads and changes what is declared in
// the platform's table, and asks processes what is in force.
//
//   int main(int Argc, char **Argv) {
//     return runCtl({Argv + 1, Argv + Argc}, std::cout, std::cerr);
//   }
//
// Results go to Out, as text or, with --json, as one JSON object; errors go to
// Err as text (with --json to Out too, so that a pipeline reads one object in
// every case). Nothing is written before the text is known to be valid.

#ifndef HAWTHORNROAD_CTL_CTL_H
#define HAWTHORNROAD_CTL_CTL_H

#include <iosfwd>
#include <string>
#include <vector>

namespace hawthornroad {

enum class CtlExit {
  Done = 0,
  Failed = 1,      // refused or failed; nothing was changed
  Invalid = 2,     // wrong command line, or a text or file that is not valid
  Conflict = 3,    // other changes were accepted first
  Unavailable = 4, // platform or process cannot be reached
  Behind = 5,      // accepted, but processes are behind when --wait ends
  Unknown = 6      // a write may have taken effect
};

// Runs one command line and returns the exit code, a CtlExit.
int runCtl(const std::vector<std::string> &Arguments, std::ostream &Out,
           std::ostream &Err);

} // namespace hawthornroad

#endif // HAWTHORNROAD_CTL_CTL_H
