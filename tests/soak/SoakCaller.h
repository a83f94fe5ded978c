// An HTTP caller that keeps one connection per address open until it ends.
//
//   SoakCaller C;
//   SoakOutcome O = C.call("127.0.0.1:8001", "/safe/x", R);
//
// Sends one request at a time and reports how it ended, with what had arrived.
// The connection is dropped after an answer that says that it closes.

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKCALLER_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKCALLER_H

#include "tests/soak/SoakRequest.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <map>
#include <memory>

namespace hawthornroad {

// The request as it is sent.
boost::beast::http::request<boost::beast::http::string_body>
messageOf(const SoakRequest &R, const std::string &Target);
// Sets what has arrived of the answer.
void setAnswer(SoakOutcome &O, const boost::beast::http::response<
                                   boost::beast::http::string_body> &Answer);

class SoakCaller {
public:
  SoakOutcome call(const std::string &Address, const std::string &Target,
                   const SoakRequest &R);

private:
  bool connect(const std::string &Address, const SoakRequest &R,
               SoakOutcome &O);
  // Returns whether the connection may carry another request.
  bool exchange(boost::beast::tcp_stream &Stream, const std::string &Target,
                const SoakRequest &R, SoakOutcome &O);

  boost::asio::io_context Io_;
  // By address.
  std::map<std::string, std::unique_ptr<boost::beast::tcp_stream>> Connections_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKCALLER_H
