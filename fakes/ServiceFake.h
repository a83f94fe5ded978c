// Fake of a plain service: accepts any call, takes a configured time, and
// counts runs per idempotency key, so that a test detects a call that ran
// twice.

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
  // What its answers say of the service's own state.
  HttpHeaders statements() const;

  IoThread &Io_;
  Options Options_;
  Duration Work_ = Options_.Work_;
  bool FailRequests_ = false;
  bool AbortDuringCall_ = false;
  // Requests a second; negative: no limit is stated.
  double RateLimit_ = -1;
  // Seconds of rest asked for with each refusal; negative: none is refused.
  double RetryAfter_ = -1;
  bool IsLeaving_ = false;
  std::map<std::string, std::uint64_t> RunsByKey_;
  std::uint64_t Total_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_SERVICEFAKE_H
