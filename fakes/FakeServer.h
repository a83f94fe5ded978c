// What every stand-in shares: an HTTP server, faults set by tests, counters
// read by tests, and the ready line.
//
//   IoThread Io("fake", 4096);
//   StoreFake Table(StoreFake::Kind::Table);
//   FakeServer Server(Io, Table);
//   std::string Address = Server.listen("127.0.0.1:0");
//
// The server answers GET /healthz, GET /counters and POST /faults itself and
// applies the faults "down", "silent" and "delay_ms"; everything else goes to
// the stand-in. All of a stand-in runs on its IoThread, so none needs a lock.
// The paths tests read (/counters, /faults, /admin/record) are answered under
// every fault.

#ifndef HAWTHORNROAD_FAKES_FAKESERVER_H
#define HAWTHORNROAD_FAKES_FAKESERVER_H

#include "hawthornroad/runtime/Http.h"

#include <boost/json/object.hpp>
#include <concepts>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace hawthornroad {

using ExchangePtr = std::shared_ptr<HttpExchange>;

// The faults now set. A POST replaces them all; an absent one is off.
class Faults {
public:
  Faults() = default;
  explicit Faults(boost::json::object Values) : Values_(std::move(Values)) {}

  bool flag(std::string_view Name) const;
  // Throws Error(Step::Settings) when the value is no number.
  double number(std::string_view Name, double Default) const;
  std::int64_t integer(std::string_view Name, std::int64_t Default) const;
  // Null when absent.
  const boost::json::object *object(std::string_view Name) const;

private:
  boost::json::object Values_;
};

template <class T>
concept StandIn = requires(T &Fake, const T &Read, const HttpRequest &Request,
                           ExchangePtr Answer, const Faults &Set) {
  { Fake.handle(Request, Answer) } -> std::same_as<void>;
  { Fake.setFaults(Set) } -> std::same_as<void>;
  { Read.counters() } -> std::same_as<boost::json::object>;
};

class FakeServer {
public:
  // Fake must outlive the IoThread's run.
  template <StandIn T>
  FakeServer(IoThread &Io, T &Fake)
      : FakeServer(Io,
                   Hooks{[&Fake](const HttpRequest &R, ExchangePtr X) {
                           Fake.handle(R, std::move(X));
                         },
                         [&Fake](const Faults &Set) { Fake.setFaults(Set); },
                         [&Fake] { return std::as_const(Fake).counters(); }}) {}

  // Binds "IP:port" and returns the bound one. Throws Error(Step::Listen).
  std::string listen(const std::string &Address);

private:
  struct Hooks {
    std::function<void(const HttpRequest &, ExchangePtr)> Handle_;
    std::function<void(const Faults &)> SetFaults_;
    std::function<boost::json::object()> Counters_;
  };

  FakeServer(IoThread &Io, Hooks H);
  void dispatch(HttpRequest R, const ExchangePtr &X);
  bool answerTest(const HttpRequest &R, const ExchangePtr &X);
  void handle(const HttpRequest &R, const ExchangePtr &X);

  IoThread &Io_;
  Hooks Hooks_;
  Faults Faults_;
  HttpServer Server_;
};

// The path of a request's target, without its query.
std::string_view targetPath(std::string_view Target);
// The value of Name in a target's query, decoded; empty when absent.
std::string queryValue(std::string_view Target, std::string_view Name);
// Replaces %XX by the byte it stands for.
std::string percentDecode(std::string_view Text);

// Answers with an object.
void respondJson(const ExchangePtr &X, unsigned Status,
                 const boost::json::object &Body, HttpHeaders Headers = {});
// Answers {"error": Message}.
void respondError(const ExchangePtr &X, unsigned Status,
                  const std::string &Message);
// The body of a request as an object; throws Error(Step::Receive).
boost::json::object parseObject(const std::string &Body);

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_FAKESERVER_H
