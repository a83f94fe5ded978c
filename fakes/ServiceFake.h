// A plain service: takes any call, works for a while, and counts each run by
// its idempotency key, so that a test sees a call that ran twice.

#ifndef HAWTHORNROAD_FAKES_SERVICEFAKE_H
#define HAWTHORNROAD_FAKES_SERVICEFAKE_H

#include "fakes/FakeServer.h"

#include <map>

namespace hawthornroad {

class ServiceFake {
public:
  struct Options {
    std::string Name_ = "service";
    Duration Work_ = Milliseconds(0);
  };

  ServiceFake(IoThread &Io, Options O) : Io_(Io), Options_(std::move(O)) {}

  void handle(const HttpRequest &R, const ExchangePtr &X);
  void setFaults(const Faults &Set);
  boost::json::object counters() const;

private:
  std::uint64_t countRun(const HttpRequest &R);

  IoThread &Io_;
  Options Options_;
  Duration Work_ = Options_.Work_;
  bool FailRequests_ = false;
  bool DieDuring_ = false;
  std::map<std::string, std::uint64_t> Runs_;
  std::uint64_t Total_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_SERVICEFAKE_H
