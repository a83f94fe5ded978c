// A caller that keeps its connections open until the process is gone.
//
//   SoakCaller C;
//   std::optional<SoakAnswer> A = C.call("127.0.0.1:8001", "POST", ...);
//
// One request at a time. Unset: no whole answer came, whatever the reason; then
// nothing is known of the request.

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
  // How long the caller waits; it tells the entry so.
  static constexpr Duration Patience = Milliseconds(3000);

  std::optional<SoakAnswer> call(const std::string &Address,
                                 const std::string &Target,
                                 const SoakRequest &R);

private:
  bool exchange(boost::beast::tcp_stream &Stream, const std::string &Target,
                const SoakRequest &R, SoakAnswer &A);

  boost::asio::io_context Io_;
  // By address; one that failed is dropped.
  std::map<std::string, std::unique_ptr<boost::beast::tcp_stream>> Open_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKCALLER_H
