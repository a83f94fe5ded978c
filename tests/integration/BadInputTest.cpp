#include "tests/integration/RequestFixture.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
// Sends raw bytes and reads until the server closes the connection.
std::string sendRaw(const std::string &Address, const std::string &Bytes) {
  namespace asio = boost::asio;
  asio::io_context Context;
  asio::ip::tcp::socket Socket(Context);
  std::size_t Colon = Address.find(':');
  auto Port = static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1)));
  Socket.connect({asio::ip::make_address(Address.substr(0, Colon)), Port});
  boost::system::error_code Code;
  asio::write(Socket, asio::buffer(Bytes), Code);
  std::string Out;
  asio::read(Socket, asio::dynamic_buffer(Out), Code);
  return Out;
}

std::string head(const std::string &More) {
  return "POST /billing-desk/x HTTP/1.1\r\nHost: h\r\n"
         "Hawthornroad-Customer: hp-travel\r\nConnection: close\r\n" +
         More;
}
} // namespace

TEST_CASE("caller that sends a malformed request gets a problem response, and "
          "others are still served") {
  struct Row {
    std::string Bytes_;
    std::string Status_;
  };
  const std::vector<Row> Rows = {
      {"nonsense\r\n\r\n", "400"},
      {head("Content-Length: 99999999\r\n\r\n"), "413"},
      {head("X: " + std::string(20000, 'x') + "\r\n\r\n"), "431"},
      {head("Content-Length: minus\r\n\r\n"), "400"},
      {head("Transfer-Encoding: chunked\r\n\r\nzz\r\n"), "400"},
      {head("Hawthornroad-Deadline-Ms: soon\r\n\r\n"), "400"},
      {"GET /no-such/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
       "Hawthornroad-Customer: hp-travel\r\n\r\n",
       "404"},
      {"GET /billing-desk/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
       "400"},
      {"GET /billing-desk/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
       "Hawthornroad-Customer: nobody-we-know\r\n\r\n",
       "403"},
  };
  auto F = buildPlainFleet(FleetBuilder().modelVms(0).plainVms(1));
  for (const Row &Each : Rows) {
    std::string Answer = sendRaw(F->entry(0).callers(), Each.Bytes_);
    INFO(Each.Bytes_.substr(0, 120) << "\n" << Answer);
    CHECK(Answer.rfind("HTTP/1.1 " + Each.Status_, 0) == 0);
    CHECK(Answer.find("application/problem+json") != std::string::npos);
    CHECK(Answer.find("Hawthornroad-Outcome: not-run") != std::string::npos);
    REQUIRE(outcome(invoice(F->entry(0), "")) == "answered");
  }
}
