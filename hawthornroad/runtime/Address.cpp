#include "hawthornroad/runtime/Address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace hawthornroad {

namespace asio = boost::asio;
using asio::ip::tcp;

tcp::endpoint parseAddress(const std::string &Address, Step Where) {
  std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    throw Error(Where, Address, "expected IP:port");
  std::string Host = Address.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    Host = Host.substr(1, Host.size() - 2);
  boost::system::error_code Code;
  asio::ip::address Ip = asio::ip::make_address(Host, Code);
  if (Code)
    throw Error(Where, Address, "expected an IP number");
  std::uint16_t Port = 0;
  const char *End = Address.data() + Address.size();
  auto Result = std::from_chars(Address.data() + Colon + 1, End, Port);
  if (Result.ec != std::errc() || Result.ptr != End)
    throw Error(Where, Address, "expected a port from 0 to 65535");
  return {Ip, Port};
}

std::string ipOf(const std::string &Address, Step Where) {
  return parseAddress(Address, Where).address().to_string();
}

std::uint16_t portOf(const std::string &Address, Step Where) {
  return parseAddress(Address, Where).port();
}

std::string formatAddress(const tcp::endpoint &Endpoint) {
  std::string Ip = Endpoint.address().to_string();
  if (Endpoint.address().is_v6())
    Ip = "[" + Ip + "]";
  return Ip + ":" + std::to_string(Endpoint.port());
}

tcp::acceptor openAcceptor(asio::io_context &Context, const std::string &Ip,
                           std::uint16_t Port) {
  std::string Address = Ip + ":" + std::to_string(Port);
  tcp::endpoint Endpoint = parseAddress(Address, Step::Listen);
  try {
    tcp::acceptor Acceptor(Context);
    Acceptor.open(Endpoint.protocol());
    Acceptor.set_option(asio::socket_base::reuse_address(true));
    Acceptor.bind(Endpoint);
    Acceptor.listen();
    return Acceptor;
  } catch (const boost::system::system_error &E) {
    throw Error(Step::Listen, Address, E.code().message());
  }
}

} // namespace hawthornroad
