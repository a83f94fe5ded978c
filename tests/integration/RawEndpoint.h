// A listed endpoint whose answers a test writes byte by byte, to send what a
// faulty endpoint may send.
//
//   RawEndpoint E("i-raw", "api", [&](const RawSocket &S) { serve(S); });
//   Store_.put("servers", E.id(), E.row());
//
// Each connection is served on a thread of its own, which ends when Serve
// returns. All have ended when the destructor returns.

#ifndef HAWTHORNROAD_TESTS_INTEGRATION_RAWENDPOINT_H
#define HAWTHORNROAD_TESTS_INTEGRATION_RAWENDPOINT_H

#include "tests/unit/RawSocket.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace hawthornroad {

class RawEndpoint {
public:
  using Serve = std::function<void(const RawSocket &)>;
  static constexpr auto EndOfHead = "\r\n\r\n";

  RawEndpoint(std::string Id, std::string Service, Serve S)
      : Id_(std::move(Id)), Service_(std::move(Service)), Serve_(std::move(S)),
        Listener_(RawSocket::listenAt(Port_)),
        Acceptor_([this] { acceptAll(); }) {}
  ~RawEndpoint() {
    ::shutdown(Listener_.handle(), SHUT_RDWR);
    Acceptor_.join();
    for (std::thread &Each : Connections_)
      Each.join();
  }
  RawEndpoint(const RawEndpoint &) = delete;
  RawEndpoint &operator=(const RawEndpoint &) = delete;

  const std::string &id() const { return Id_; }
  // Its entry in the store's list.
  std::string row() const {
    return boost::json::serialize(
        boost::json::object{{"service", Service_},
                            {"address", "127.0.0.1:" + std::to_string(Port_)},
                            {"zone", "z"},
                            {"slots", 8},
                            {"state", "ready"}});
  }
  // The next request's head and what came with it; empty at the end.
  static std::string readRequest(const RawSocket &S) {
    std::string Text = S.readUntil(EndOfHead);
    return Text.find(EndOfHead) == std::string::npos ? "" : Text;
  }
  static std::string requestId(const std::string &Request) {
    const std::string Name = "X-Hawthornroad-Request-Id: ";
    std::size_t At = Request.find(Name) + Name.size();
    return Request.substr(At, Request.find('\r', At) - At);
  }
  // An answer with a body of two bytes. Fields: whole lines.
  static std::string answer(unsigned Status, const std::string &Fields) {
    return "HTTP/1.1 " + std::to_string(Status) +
           " -\r\nContent-Length: 2\r\nKeep-Alive: timeout=5\r\n" + Fields +
           "\r\nok";
  }
  // The answer to a request, run or rejected.
  static std::string answerTo(unsigned Status, const std::string &RequestId) {
    return answer(Status,
                  "X-Hawthornroad-Request-Id: " + RequestId + "\r\n" +
                      (Status == 200 ? "X-Hawthornroad-Server-Stamp: s\r\n"
                                     : "X-Hawthornroad-Not-Executed: 1\r\n"));
  }

private:
  void acceptAll() {
    for (;;) {
      RawSocket S = Listener_.accept();
      if (S.handle() < 0)
        return;
      Connections_.emplace_back([this, S = std::move(S)] { Serve_(S); });
    }
  }

  std::string Id_;
  std::string Service_;
  Serve Serve_;
  std::uint16_t Port_ = 0;
  RawSocket Listener_;
  std::vector<std::thread> Connections_;
  std::thread Acceptor_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_INTEGRATION_RAWENDPOINT_H
