// Converts "IP:port" strings to and from Asio endpoints. Host names are not
// resolved: the system uses IP addresses only.
//
//   auto Endpoint = parseAddress("127.0.0.1:8080", Step::Connect);
//   std::string Text = formatAddress(Endpoint);  // "127.0.0.1:8080"

#ifndef HAWTHORNROAD_RUNTIME_ADDRESS_H
#define HAWTHORNROAD_RUNTIME_ADDRESS_H

#include "hawthornroad/base/Error.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace hawthornroad {

// Throws Error(Where, Address, ...) when Address is not "IP:port".
boost::asio::ip::tcp::endpoint parseAddress(const std::string &Address,
                                            Step Where);
// The parts of an address. Both throw the errors of parseAddress().
std::string ipOf(const std::string &Address, Step Where = Step::Settings);
std::uint16_t portOf(const std::string &Address, Step Where = Step::Settings);
std::string formatAddress(const boost::asio::ip::tcp::endpoint &Endpoint);

// Opens a listening socket on Ip:Port; with port 0 the kernel picks a free
// port. Throws Error(Step::Listen).
boost::asio::ip::tcp::acceptor openAcceptor(boost::asio::io_context &Context,
                                            const std::string &Ip,
                                            std::uint16_t Port);

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_ADDRESS_H
