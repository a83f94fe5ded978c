#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include "tests/integration/Process.h"

namespace hawthornroad {

namespace {
bool Failed = false;

// Records a failed assertion until the test case's processes have ended, so
// that their logs are also printed after a failed CHECK, which continues the
// test.
class FailureListener : public Catch::TestEventListenerBase {
public:
  using TestEventListenerBase::TestEventListenerBase;

  void testCaseStarting(const Catch::TestCaseInfo &) override {
    Failed = false;
  }
  bool assertionEnded(const Catch::AssertionStats &Stats) override {
    Failed = Failed || !Stats.assertionResult.isOk();
    return false;
  }
};
} // namespace

bool testHasFailed() { return Failed; }

CATCH_REGISTER_LISTENER(FailureListener)

} // namespace hawthornroad
