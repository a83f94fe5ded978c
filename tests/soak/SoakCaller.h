// An HTTP caller that keeps one connection per address open until it fails.
//
//   SoakCaller C;
//   std::optional<SoakAnswer> A = C.call("127.0.0.1:8001", "POST", ...);
//
// Sends one request at a time. An unset result means that no complete answer
// arrived, for whatever reason; whether the request ran is then unknown.

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKCALLER_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKCALLER_H

#include "tests/soak/SoakChecks.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <map>
#include <memory>
#include <optional>

namespace hawthornroad {

class SoakCaller {
public:
  // How long the caller waits; sent to the entry as the request's deadline.
  static constexpr Duration RequestTimeout = Milliseconds(3000);

  std::optional<SoakAnswer> call(const std::string &Address,
                                 const std::string &Target,
                                 const SoakRequest &R);

private:
  bool exchange(boost::beast::tcp_stream &Stream, const std::string &Target,
                const SoakRequest &R, SoakAnswer &A);

  boost::asio::io_context Io_;
  // By address; a failed connection is removed.
  std::map<std::string, std::unique_ptr<boost::beast::tcp_stream>> Connections_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKCALLER_H
