// An endpoint that answers each request with bytes without end, in the head or
// in the body, until its caller closes the connection.
//
//   SoakEndless E({.Id_ = "endless-1", .Zone_ = "z0"}, Record);
//   Store.put("servers", E.id(), E.row());
//
// Its runs count as broken off when the endless part begins.

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKENDLESS_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKENDLESS_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/runtime/Io.h"
#include "tests/soak/SoakRecord.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

namespace hawthornroad {

class SoakEndless {
public:
  struct Options {
    std::string Id_;
    std::string Zone_;
    std::uint64_t Seed_ = 1;
  };

  SoakEndless(Options O, SoakRecord &Record);
  ~SoakEndless();
  SoakEndless(const SoakEndless &) = delete;
  SoakEndless &operator=(const SoakEndless &) = delete;

  const std::string &id() const { return Options_.Id_; }
  // Its entry in the store's list.
  std::string row() const;

private:
  struct Session;
  using SessionPtr = std::shared_ptr<Session>;

  void accept();
  void read(const SessionPtr &S);
  void answer(const SessionPtr &S);
  void writeOn(const SessionPtr &S);

  Options Options_;
  SoakRecord &Record_;
  Random Random_;
  IoThread Io_{"endless", 64};
  boost::asio::ip::tcp::acceptor Acceptor_;
  std::string Address_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKENDLESS_H
