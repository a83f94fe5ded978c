// What operators and other writers do to the store of a soak, besides
// configurations and versions of weights.
//
//   SoakOperators O(Store, Record);
//   O.evacuate("z1"); ... O.restore("z1");

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKOPERATORS_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKOPERATORS_H

#include "tests/integration/PlatformFixture.h"
#include "tests/soak/SoakRecord.h"

namespace hawthornroad {

class SoakOperators {
public:
  SoakOperators(StoreStandIn &Store, SoakRecord &Record)
      : Store_(Store), Record_(Record) {}

  void evacuate(const std::string &Zone);
  void restore(const std::string &Zone);

private:
  StoreStandIn &Store_;
  SoakRecord &Record_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKOPERATORS_H
