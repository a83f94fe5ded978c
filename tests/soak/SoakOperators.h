// What operators and other writers do to the store of a soak, besides
// configurations and versions of weights.
//
//   SoakOperators O(Store, Record);
//   O.evacuate("z1"); ... O.restore("z1");
//   O.putForeignRow(); ... O.removeForeignRow();
//   O.beginEndless("z0"); ... O.endEndless();
//
// Rows of another writer name no endpoint: each lacks a field or has one of
// another type. Those with an address name one at which nothing may arrive.

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKOPERATORS_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKOPERATORS_H

#include "tests/integration/PlatformFixture.h"
#include "tests/soak/SoakEndless.h"
#include "tests/soak/SoakRecord.h"

namespace hawthornroad {

class SoakOperators {
public:
  SoakOperators(StoreStandIn &Store, SoakRecord &Record, std::uint64_t Seed);
  ~SoakOperators();
  SoakOperators(const SoakOperators &) = delete;
  SoakOperators &operator=(const SoakOperators &) = delete;

  void evacuate(const std::string &Zone);
  void restore(const std::string &Zone);
  // One at a time.
  void putForeignRow();
  void removeForeignRow();
  // Requests at the address that such rows name.
  int trapped() const { return Trapped_; }
  // An endpoint that answers without end, one at a time.
  void beginEndless(const std::string &Zone);
  void endEndless();

private:
  StoreStandIn &Store_;
  SoakRecord &Record_;
  std::uint64_t ForeignRows_ = 0;
  // Differs from seed to seed, since a run has time for few of them.
  std::uint64_t FirstForeignRow_ = 0;
  std::atomic<int> Trapped_{0};
  IoThread Io_{"trap", 64};
  std::unique_ptr<HttpServer> Trap_;
  std::string TrapAddress_;
  std::uint64_t EndlessEndpoints_ = 0;
  std::unique_ptr<SoakEndless> Endless_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKOPERATORS_H
