#include "tests/soak/SoakCaller.h"

#include "hawthornroad/runtime/Address.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace hawthornroad {

namespace beast = boost::beast;
namespace http = beast::http;

std::optional<SoakAnswer> SoakCaller::call(const std::string &Address,
                                           const std::string &Target,
                                           const SoakRequest &R) {
  auto &Stream = Connections_[Address];
  if (!Stream) {
    Stream = std::make_unique<beast::tcp_stream>(Io_);
    Stream->expires_after(RequestTimeout);
    beast::error_code Code;
    Stream->async_connect(parseAddress(Address, Step::Connect),
                          [&](beast::error_code C) { Code = C; });
    Io_.restart();
    Io_.run();
    if (Code) {
      Stream.reset();
      return std::nullopt;
    }
  }
  SoakAnswer A;
  if (exchange(*Stream, Target, R, A))
    return A;
  Stream.reset();
  return std::nullopt;
}

bool SoakCaller::exchange(beast::tcp_stream &Stream, const std::string &Target,
                          const SoakRequest &R, SoakAnswer &A) {
  http::request<http::string_body> Request(http::verb::post, Target, 11);
  Request.set(http::field::host, "127.0.0.1");
  Request.set("X-Hawthornroad-Request-Id", R.Id_);
  Request.set("X-Hawthornroad-Deadline-Ms",
              std::to_string(RequestTimeout / Milliseconds(1)));
  Request.set(http::field::authorization, "Token " + R.Key_);
  Request.body() = "{}";
  Request.prepare_payload();
  http::response<http::string_body> Answer;
  beast::flat_buffer Buffer;
  beast::error_code Code;
  Stream.expires_after(RequestTimeout);
  http::async_write(Stream, Request, [&](beast::error_code C, std::size_t) {
    Code = C;
    if (!C)
      http::async_read(Stream, Buffer, Answer,
                       [&](beast::error_code E, std::size_t) { Code = E; });
  });
  Io_.restart();
  Io_.run();
  if (Code)
    return false;
  A.At_ =
      std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
  A.Status_ = Answer.result_int();
  A.Stamp_ = Answer["X-Hawthornroad-Server-Stamp"];
  A.EchoedId_ = Answer["X-Hawthornroad-Request-Id"];
  A.Body_ = Answer.body();
  return Answer.keep_alive();
}

} // namespace hawthornroad
