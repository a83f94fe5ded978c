// A TCP proxy that injects network faults between two processes: silence, loss,
// delay, limited bandwidth, and connection cuts at a chosen frame.
//
//   ProxyFake Proxy(Io, "127.0.0.1:7001");
//   std::string Front = Proxy.listen("127.0.0.1:0");
//   FakeServer Control(Io, Proxy);
//
// Each direction of a connection is a queue between two sockets: data is
// written in order once its delay has passed. The queue is bounded, so a slow
// or silent side causes TCP back-pressure on the other.

#ifndef HAWTHORNROAD_FAKES_PROXYFAKE_H
#define HAWTHORNROAD_FAKES_PROXYFAKE_H

#include "fakes/FakeServer.h"

#include <memory>
#include <string>

namespace hawthornroad {

class ProxyFake {
public:
  // Target is "IP:port", or empty until PUT /target.
  ProxyFake(IoThread &Io, std::string Target);
  ~ProxyFake();
  ProxyFake(const ProxyFake &) = delete;
  ProxyFake &operator=(const ProxyFake &) = delete;

  // Binds "IP:port" and returns the bound address. Throws Error(Step::Listen).
  std::string listen(const std::string &Address);

  void handle(const HttpRequest &R, const ExchangePtr &X);
  void setFaults(const Faults &Set);
  boost::json::object counters() const;

  struct State;

private:
  std::shared_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_PROXYFAKE_H
