#include "hawthornroad/runtime/VmLock.h"

#include "hawthornroad/runtime/Address.h"

#include <boost/asio/io_context.hpp>
#include <optional>

namespace hawthornroad {

namespace asio = boost::asio;
using asio::ip::tcp;

struct VmLock::State {
  asio::io_context Context_;
  tcp::endpoint Endpoint_;
  std::optional<tcp::acceptor> Acceptor_;
};

VmLock::VmLock(const std::string &Address)
    : Address_(Address), State_(std::make_unique<State>()) {
  State_->Endpoint_ = parseAddress(Address, Step::Settings);
}

VmLock::~VmLock() = default;

bool VmLock::tryAcquire() {
  boost::system::error_code Code;
  tcp::acceptor Acceptor(State_->Context_);
  Acceptor.open(State_->Endpoint_.protocol(), Code);
  // Without SO_REUSEADDR, connections of a dead predecessor in TIME_WAIT would
  // block the port for a minute. A second listener is refused even with it.
  if (!Code)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Code);
  if (!Code)
    Acceptor.bind(State_->Endpoint_, Code);
  if (!Code)
    Acceptor.listen(asio::socket_base::max_listen_connections, Code);
  if (Code == asio::error::address_in_use)
    return false;
  if (Code)
    throw Error(Step::Listen, Address_, Code.message());
  State_->Acceptor_.emplace(std::move(Acceptor));
  return true;
}

} // namespace hawthornroad
