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
  tcp::acceptor Made(State_->Context_);
  Made.open(State_->Endpoint_.protocol(), Code);
  // Without it, connections of a dead predecessor in TIME_WAIT would hold the
  // port for a minute; two listeners are refused all the same.
  if (!Code)
    Made.set_option(asio::socket_base::reuse_address(true), Code);
  if (!Code)
    Made.bind(State_->Endpoint_, Code);
  if (!Code)
    Made.listen(asio::socket_base::max_listen_connections, Code);
  if (Code == asio::error::address_in_use)
    return false;
  if (Code)
    throw Error(Step::Listen, Address_, Code.message());
  State_->Acceptor_.emplace(std::move(Made));
  return true;
}

} // namespace hawthornroad
