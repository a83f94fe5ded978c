// Requests whose Transfer-Encoding fields name other codings than chunked.

#include "hawthornroad/base/TransferCoding.h"

#include "hawthornroad/runtime/Http.h"
#include "tests/unit/ListenerFixture.h"

#include <boost/beast/http/fields.hpp>
#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
constexpr std::string_view Hidden =
    "POST /hidden HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n";

// Fields of codings that no server of this project can delimit.
const std::vector<std::string> Unsupported = {
    "gzip",     "chunked, gzip",    "gzip, chunked",
    "identity", "chunked, chunked", "xchunked",
    ""};

std::string requestWith(const std::string &Codings) {
  return "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " + Codings +
         "\r\n\r\n" + std::string(Hidden);
}

// A server of the runtime that counts what it was given.
struct RuntimeServerFixture {
  std::atomic<int> Requests_{0};
  IoThread Io_{"test", 64};
  HttpServer Server_{
      Io_, HttpServer::Limits{},
      [this](const HttpRequest &, const std::shared_ptr<HttpExchange> &X) {
        ++Requests_;
        X->respond({.Status_ = 200});
      }};
  std::uint16_t Port_ = Server_.listen("127.0.0.1", 0);

  ~RuntimeServerFixture() { Io_.stop(); }
};
} // namespace

// Guards against a body that runs as a request of its own.
TEST_CASE_METHOD(ListenerFixture,
                 "server session, given a request in an unsupported transfer "
                 "coding, runs nothing and closes",
                 "[coding]") {
  std::string Codings = GENERATE(from_range(Unsupported));
  CAPTURE(Codings);
  RawSocket S = RawSocket::connectTo(Port_);
  S.send(requestWith(Codings));
  std::string Answer = S.readUntil("never");
  CHECK(Answer.starts_with("HTTP/1.1 501 "));
  CHECK(Answer.find("Connection: close\r\n") != std::string::npos);
  CHECK(Answer.find("HTTP/1.1", 1) == std::string::npos);
  CHECK(Handler_.Requests_ == 0);
}

TEST_CASE_METHOD(ListenerFixture,
                 "server session, given transfer codings from HTTP/1.0 or in "
                 "two fields, refuses the request as malformed",
                 "[coding]") {
  std::string Head =
      GENERATE("POST /x HTTP/1.0\r\n", "POST /x HTTP/1.1\r\nHost: h\r\n"
                                       "Transfer-Encoding: chunked\r\n");
  std::string Coding = Head.ends_with("1.0\r\n") ? "chunked" : "gzip";
  RawSocket S = RawSocket::connectTo(Port_);
  S.send(Head + "Transfer-Encoding: " + Coding + "\r\n\r\n0\r\n\r\n" +
         std::string(Hidden));
  CHECK(S.readUntil("never").starts_with("HTTP/1.1 400 "));
  CHECK(Handler_.Requests_ == 0);
}

TEST_CASE_METHOD(ListenerFixture,
                 "server session, given chunked in any case and with blanks, "
                 "runs the request once",
                 "[coding]") {
  std::string Codings =
      GENERATE("chunked", "Chunked", " chunked ,", ", CHUNKED");
  CAPTURE(Codings);
  RawSocket S = RawSocket::connectTo(Port_);
  S.send("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " + Codings +
         "\r\nConnection: close\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
  std::string Answer = S.readUntil("never");
  CHECK(Answer.starts_with("HTTP/1.1 200 "));
  CHECK(Answer.ends_with("\r\n\r\nhi"));
  CHECK(Handler_.Requests_ == 1);
}

TEST_CASE_METHOD(RuntimeServerFixture,
                 "HTTP server, given a request in an unsupported transfer "
                 "coding, runs nothing and closes",
                 "[coding]") {
  std::string Codings = GENERATE(from_range(Unsupported));
  CAPTURE(Codings);
  RawSocket S = RawSocket::connectTo(Port_);
  S.send(requestWith(Codings));
  CHECK(S.readUntil("never").starts_with("HTTP/1.1 501 "));
  CHECK(Requests_ == 0);
}
