// Runs fakes and fault-injecting proxies as child processes of a test.

#ifndef HAWTHORNROAD_TESTS_INTEGRATION_FAKES_H
#define HAWTHORNROAD_TESTS_INTEGRATION_FAKES_H

#include "tests/integration/HttpHelpers.h"
#include "tests/integration/Process.h"

#include <string>
#include <vector>

namespace hawthornroad {

class Fake {
public:
  Fake(TemporaryFolder &Folder, const std::string &Kind,
       const std::vector<std::string> &Options = {});

  // The "IP:port" that it serves on.
  const std::string &address() const { return Address_; }
  // Replaces all faults; "{}" clears them.
  void setFaults(const std::string &JsonText) const;
  boost::json::object counters() const;
  Process &process() { return Process_; }

private:
  Process Process_;
  std::string Address_;
};

// A fault-injecting proxy in front of one listener.
class Proxy {
public:
  Proxy(TemporaryFolder &Folder, const std::string &Target);

  // The address that callers connect to instead of the target.
  const std::string &address() const { return Address_; }
  void setTarget(const std::string &Target) const;
  void setFaults(const std::string &JsonText) const;
  boost::json::object counters() const;

private:
  Process Process_;
  std::string Address_;
  std::string Control_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_INTEGRATION_FAKES_H
