#include "hawthornroad/ctl/Ctl.h"

#include <exception>
#include <iostream>

int main(int Argc, char **Argv) {
  try {
    return hawthornroad::runCtl({Argv + 1, Argv + Argc}, std::cout, std::cerr);
  } catch (const std::exception &E) {
    std::cerr << "hawthornroadctl: " << E.what() << "\n";
    return static_cast<int>(hawthornroad::CtlExit::Failed);
  }
}
