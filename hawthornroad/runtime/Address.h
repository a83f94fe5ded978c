// "IP:port" strings to and from Asio endpoints. Names are not resolved: the
// system talks by IP numbers only.

#ifndef HAWTHORNROAD_RUNTIME_ADDRESS_H
#define HAWTHORNROAD_RUNTIME_ADDRESS_H

#include "hawthornroad/base/Error.h"

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace hawthornroad {

// Throws Error(Where, Address, ...) when Address is not "IP:port".
boost::asio::ip::tcp::endpoint parseAddress(const std::string &Address,
                                            Step Where);
// The parts of an address; throw as parseAddress does.
std::string ipOf(const std::string &Address, Step Where = Step::Settings);
std::uint16_t portOf(const std::string &Address, Step Where = Step::Settings);
std::string formatAddress(const boost::asio::ip::tcp::endpoint &Endpoint);

// Opens a listener on Ip:Port; port 0 lets the kernel choose. Throws
// Error(Step::Listen).
boost::asio::ip::tcp::acceptor openAcceptor(boost::asio::io_context &Context,
                                            const std::string &Ip,
                                            std::uint16_t Port);

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_ADDRESS_H
