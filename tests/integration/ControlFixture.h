// A fleet and helpers for the tests of configuration and membership.

#ifndef HAWTHORNROAD_TESTS_INTEGRATION_CONTROLFIXTURE_H
#define HAWTHORNROAD_TESTS_INTEGRATION_CONTROLFIXTURE_H

#include "tests/integration/Fleet.h"

#include <boost/json/object.hpp>
#include <memory>
#include <string>
#include <vector>

namespace hawthornroad {

class ControlFixture {
protected:
  // Two entries and two plain VMs in each of two zones.
  std::unique_ptr<Fleet> Fleet_ = FleetBuilder()
                                      .zones({"zone-a", "zone-b"})
                                      .entriesPerZone(2)
                                      .modelVms(0)
                                      .plainVms(4)
                                      .build();

  // Applies a declaration with this customer weight; returns its revision.
  std::int64_t accept(int Weight);
  std::vector<FleetProcess *> running();
  // The control plane's section of a process's status.
  static boost::json::object control(FleetProcess &P);
  static std::int64_t revision(FleetProcess &P);
  // The membership state of About as Viewer sees it; empty when unknown.
  static std::string stateAt(FleetProcess &Viewer, const FleetProcess &About);
  void awaitRevision(std::int64_t R, Duration Bound = AwaitTimeout);
  void awaitAllAlive();
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_INTEGRATION_CONTROLFIXTURE_H
