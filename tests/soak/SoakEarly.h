// An endpoint that answers each upload once it has its head, without a length,
// and does not read the rest.
//
//   SoakEarly E({.Id_ = "early-1", .Zone_ = "z0"}, Record);
//   Store.put("servers", E.id(), E.row());
//
// Half of the answers end in order, with all of the body; the others break off
// after a part of it, with a reset while the upload is still being written.

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKEARLY_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKEARLY_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/runtime/Io.h"
#include "tests/soak/SoakRecord.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string>

namespace hawthornroad {

class SoakEarly {
public:
  static constexpr auto Service = "early";
  // More than both kernels take of an upload that is not read.
  static constexpr std::size_t UploadBytes = 4'300'000;

  struct Options {
    std::string Id_;
    std::string Zone_;
    std::uint64_t Seed_ = 1;
  };

  SoakEarly(Options O, SoakRecord &Record);
  ~SoakEarly();
  SoakEarly(const SoakEarly &) = delete;
  SoakEarly &operator=(const SoakEarly &) = delete;

  const std::string &id() const { return Options_.Id_; }
  // Its entry in the store's list.
  std::string row() const;

private:
  struct Session;
  using SessionPtr = std::shared_ptr<Session>;

  void accept();
  void read(const SessionPtr &S);
  void answer(const SessionPtr &S);
  void answerHealth(const SessionPtr &S);
  // Sends Text, ends the sending side if IsWhole, and resets the connection
  // after the delay.
  void send(const SessionPtr &S, std::string Text, bool IsWhole,
            Duration ResetAfter);

  Options Options_;
  SoakRecord &Record_;
  Random Random_;
  IoThread Io_{"early", 64};
  boost::asio::ip::tcp::acceptor Acceptor_;
  std::string Address_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKEARLY_H
