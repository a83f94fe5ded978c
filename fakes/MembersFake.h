// Fake of the platform's list of live and leaving VMs, which lags behind the
// actual state: GET /members returns the list that was PUT at least Lag ago.

#ifndef HAWTHORNROAD_FAKES_MEMBERSFAKE_H
#define HAWTHORNROAD_FAKES_MEMBERSFAKE_H

#include "fakes/FakeServer.h"
#include "fakes/Lagged.h"

namespace hawthornroad {

class MembersFake {
public:
  explicit MembersFake(Duration Lag);

  void handle(const HttpRequest &R, const ExchangePtr &X);
  void setFaults(const Faults &) {}
  boost::json::object counters() const;

private:
  Lagged<std::string> List_;
  std::uint64_t Reads_ = 0;
  std::uint64_t Writes_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_MEMBERSFAKE_H
