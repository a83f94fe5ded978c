// The HTTP server common to all fakes, with faults set by tests and counters
// read by tests.
//
//   IoThread Io("fake", 4096);
//   StoreFake Table(StoreFake::Kind::Table);
//   FakeServer Server(Io, Table);
//   std::string Address = Server.listen("127.0.0.1:0");
//
// The server answers GET /healthz, GET /counters and POST /faults itself and
// applies the faults "down", "silent" and "delay_ms"; it passes all other
// requests to the fake. A fake runs entirely on its IoThread and needs no lock.
// The control paths used by tests (/counters, /faults, /admin/record) are
// answered under every fault.

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

// The active faults. A POST replaces all of them; an absent fault is off.
class Faults {
public:
  Faults() = default;
  explicit Faults(boost::json::object Values) : Values_(std::move(Values)) {}

  bool flag(std::string_view Name) const;
  // Throws Error(Step::Settings) when the value is not a number.
  double number(std::string_view Name, double Default) const;
  std::int64_t integer(std::string_view Name, std::int64_t Default) const;
  // Null when absent.
  const boost::json::object *object(std::string_view Name) const;

private:
  boost::json::object Values_;
};

template <class T>
concept FakeHandler = requires(T &Fake, const T &Read,
                               const HttpRequest &Request, ExchangePtr Answer,
                               const Faults &Set) {
  { Fake.handle(Request, Answer) } -> std::same_as<void>;
  { Fake.setFaults(Set) } -> std::same_as<void>;
  { Read.counters() } -> std::same_as<boost::json::object>;
};

class FakeServer {
public:
  // Fake must outlive the run of the IoThread.
  template <FakeHandler T>
  FakeServer(IoThread &Io, T &Fake)
      : FakeServer(Io,
                   Hooks{[&Fake](const HttpRequest &R, ExchangePtr X) {
                           Fake.handle(R, std::move(X));
                         },
                         [&Fake](const Faults &Set) { Fake.setFaults(Set); },
                         [&Fake] { return std::as_const(Fake).counters(); }}) {}

  // Binds "IP:port" and returns the bound address. Throws Error(Step::Listen).
  std::string listen(const std::string &Address);

private:
  struct Hooks {
    std::function<void(const HttpRequest &, ExchangePtr)> Handle_;
    std::function<void(const Faults &)> SetFaults_;
    std::function<boost::json::object()> Counters_;
  };

  FakeServer(IoThread &Io, Hooks H);
  void dispatch(HttpRequest R, const ExchangePtr &X);
  bool answerControlRequest(const HttpRequest &R, const ExchangePtr &X);
  void handle(const HttpRequest &R, const ExchangePtr &X);

  IoThread &Io_;
  Hooks Hooks_;
  Faults Faults_;
  HttpServer Server_;
};

// The path of a request target, without the query.
std::string_view targetPath(std::string_view Target);
// The decoded value of query parameter Name; empty when absent.
std::string queryValue(std::string_view Target, std::string_view Name);
// Decodes %XX sequences.
std::string percentDecode(std::string_view Text);

// Responds with a JSON object.
void respondJson(const ExchangePtr &X, unsigned Status,
                 const boost::json::object &Body, HttpHeaders Headers = {});
// Responds with {"error": Message}.
void respondError(const ExchangePtr &X, unsigned Status,
                  const std::string &Message);
// Parses a request body as a JSON object; throws Error(Step::Receive).
boost::json::object parseObject(const std::string &Body);

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_FAKESERVER_H
