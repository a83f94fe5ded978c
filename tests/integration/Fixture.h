// Base of the integration tests, which run real processes on loopback.
//
//   TEST_CASE_METHOD(FakesFixture, "table, ..., ...") {
//     Fake &Table = fake("table");
//     Table.setFaults(R"({"lose_answers":1})");
//     eventually([&] { return counter(Table.counters(), "writes") == 1; },
//                "the write is counted");
//   }
//
// Process.h starts and ends processes, HttpHelpers.h sends HTTP requests,
// Fakes.h runs stand-ins and proxies, Fleet.h builds a whole fleet. A process
// never outlives its test: its object's destructor kills it, or the kernel does
// when the test program ends. When a test fails, the standard error output of
// its processes is printed.

#ifndef HAWTHORNROAD_TESTS_INTEGRATION_FIXTURE_H
#define HAWTHORNROAD_TESTS_INTEGRATION_FIXTURE_H

#include "tests/integration/Eventually.h"
#include "tests/integration/Fakes.h"
#include "tests/integration/HttpHelpers.h"
#include "tests/integration/Process.h"

#include <deque>
#include <string>
#include <vector>

namespace hawthornroad {

// Stand-ins for one test, in one temporary folder.
class FakesFixture {
public:
  Fake &fake(const std::string &Kind,
             const std::vector<std::string> &Options = {}) {
    return Fakes_.emplace_back(Folder_, Kind, Options);
  }
  // A proxy in front of Target, which may be empty until Proxy::setTarget.
  Proxy &proxy(const std::string &Target) {
    return Proxies_.emplace_back(Folder_, Target);
  }
  TemporaryFolder &folder() { return Folder_; }

private:
  TemporaryFolder Folder_;
  // Deques, so that references to their elements stay valid.
  std::deque<Fake> Fakes_;
  std::deque<Proxy> Proxies_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_INTEGRATION_FIXTURE_H
