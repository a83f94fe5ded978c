#include "bench/ProcessUse.h"

#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <unistd.h>

namespace hawthornroad {

namespace {
std::string procFile(int Pid, const std::string &Name) {
  return "/proc/" + std::to_string(Pid) + "/" + Name;
}
} // namespace

double cpuSeconds(int Pid) {
  std::ifstream File(procFile(Pid, "stat"));
  std::string Text((std::istreambuf_iterator<char>(File)), {});
  if (Text.empty())
    return 0;
  // Fields are counted after the name, which stands in parentheses and may
  // contain spaces.
  constexpr int UserField = 12;
  std::istringstream Fields(Text.substr(Text.rfind(')') + 1));
  std::string Skipped;
  for (int I = 1; I < UserField; ++I)
    Fields >> Skipped;
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  return (User + System) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

double residentKiB(int Pid) {
  std::ifstream File(procFile(Pid, "status"));
  std::string Word;
  while (File >> Word) {
    if (Word != "VmRSS:")
      continue;
    double KiB = 0;
    File >> KiB;
    return KiB;
  }
  return 0;
}

} // namespace hawthornroad
