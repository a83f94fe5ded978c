#include "hawthornroad/peers/PeerNet.h"

#include "hawthornroad/peers/PeerConnection.h"
#include "hawthornroad/runtime/Address.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <future>

namespace hawthornroad {

namespace asio = boost::asio;
using asio::ip::tcp;

FrameBuffer PeerNet::State::hello(Lane L) const {
  wire::HelloT Hello;
  Hello.process = Self_.Process_.str();
  Hello.incarnation = Self_.Incarnation_;
  Hello.zone = Self_.Zone_.str();
  Hello.role = Self_.Role_;
  Hello.address = ListenAddress_;
  Hello.revision = Revision_.load();
  Hello.lane = static_cast<std::uint8_t>(L);
  return makeFrame(std::move(Hello));
}

asio::awaitable<void> PeerNet::State::acceptLoop() {
  auto Keep = shared_from_this();
  while (!Closing_) {
    boost::system::error_code Code;
    tcp::socket Socket = co_await Acceptor_->async_accept(
        asio::redirect_error(asio::use_awaitable, Code));
    if (Closing_ || !Acceptor_->is_open())
      co_return;
    if (Code)
      continue;
    PeerContext Context;
    Context.Connection_ = NextId_++;
    tcp::endpoint Remote = Socket.remote_endpoint(Code);
    if (Code)
      continue;
    Context.Address_ = PeerAddress(formatAddress(Remote));
    auto Connection = std::make_shared<PeerConnection>(Keep, std::move(Socket),
                                                       Context, false);
    ById_[Context.Connection_] = Connection;
    Connection->start(std::nullopt);
  }
}

std::shared_ptr<PeerConnection> PeerNet::State::dial(const Key &K) {
  PeerContext Context;
  Context.Connection_ = NextId_++;
  Context.Address_ = K.first;
  Context.Lane_ = K.second;
  tcp::endpoint Target;
  try {
    Target = parseAddress(K.first.str(), Step::Connect);
  } catch (const Error &E) {
    if (Callbacks_.OnLost_)
      Callbacks_.OnLost_(Context, E);
    return nullptr;
  }
  auto Connection = std::make_shared<PeerConnection>(
      shared_from_this(), tcp::socket(Io_.context()), Context, true);
  Dialled_[K] = Connection;
  ById_[Context.Connection_] = Connection;
  Connection->start(Target);
  return Connection;
}

void PeerNet::State::sendNow(const Key &K, const FrameBuffer &Frame,
                             bool OnNewConnection) {
  if (Closing_)
    return;
  auto Found = Dialled_.find(K);
  std::shared_ptr<PeerConnection> Current =
      Found == Dialled_.end() ? nullptr : Found->second;
  if (OnNewConnection && Current) {
    Current->close(Step::Send, "replaced by a fresh connection");
    Current = nullptr;
  }
  if (Current && Current->isClosedByPeer()) {
    Current->close(Step::Receive, "closed by the peer");
    Current = nullptr;
  }
  if (!Current)
    Current = dial(K);
  if (Current)
    Current->send(Frame);
}

void PeerNet::State::forget(PeerConnection &C) {
  ById_.erase(C.context().Connection_);
  auto Found = Dialled_.find({C.context().Address_, C.context().Lane_});
  if (Found != Dialled_.end() && Found->second.get() == &C)
    Dialled_.erase(Found);
}

PeerNet::PeerNet(IoThread &Io, Self S, Limits L, Callbacks C)
    : State_(std::make_shared<State>(Io, std::move(S), L, std::move(C))) {}

PeerNet::~PeerNet() {
  // Connections and this state refer to each other; closing all connections
  // breaks the cycle.
  auto Close = [S = State_] {
    S->Closing_ = true;
    boost::system::error_code Ignored;
    if (S->Acceptor_)
      S->Acceptor_->close(Ignored);
    auto Open = S->ById_;
    for (auto &[Id, Each] : Open)
      Each->close(Step::Send, "shutting down");
  };
  // A stopped IoThread runs no more work, so it is done here.
  if (State_->Io_.stopped() || State_->Io_.onThisThread()) {
    Close();
    return;
  }
  // Callbacks use parts of the owner that are destroyed next.
  auto Closed = std::make_shared<std::promise<void>>();
  asio::post(State_->Io_.context(), [Close, Closed] {
    Close();
    Closed->set_value();
  });
  Closed->get_future().wait();
}

std::uint16_t PeerNet::listen(const std::string &Ip, std::uint16_t Port) {
  auto S = State_;
  S->Acceptor_.emplace(openAcceptor(S->Io_.context(), Ip, Port));
  tcp::endpoint Bound = S->Acceptor_->local_endpoint();
  S->ListenAddress_ =
      S->Self_.Advertise_.empty() ? formatAddress(Bound) : S->Self_.Advertise_;
  asio::co_spawn(S->Io_.context(), S->acceptLoop(), asio::detached);
  return Bound.port();
}

void PeerNet::closeListener() {
  asio::post(State_->Io_.context(), [S = State_] {
    boost::system::error_code Ignored;
    if (S->Acceptor_)
      S->Acceptor_->close(Ignored);
  });
}

bool PeerNet::send(const PeerAddress &To, Lane L, FrameBuffer Frame,
                   std::function<void()> OnQueued) {
  return State_->Io_.submit([S = State_, To, L, Frame = std::move(Frame),
                             OnQueued = std::move(OnQueued)] {
    if (S->Closing_)
      return;
    S->sendNow({To, L}, Frame, false);
    if (OnQueued)
      OnQueued();
  });
}

bool PeerNet::sendOnNewConnection(const PeerAddress &To, Lane L,
                                  FrameBuffer Frame) {
  return State_->Io_.submit([S = State_, To, L, Frame = std::move(Frame)] {
    S->sendNow({To, L}, Frame, true);
  });
}

bool PeerNet::reply(ConnectionId To, FrameBuffer Frame) {
  return State_->Io_.submit([S = State_, To, Frame = std::move(Frame)] {
    auto Found = S->ById_.find(To);
    if (Found != S->ById_.end())
      Found->second->send(Frame);
  });
}

std::size_t PeerNet::backlog(ConnectionId Id) const {
  auto Found = State_->ById_.find(Id);
  return Found == State_->ById_.end() ? 0 : Found->second->backlog();
}

std::optional<Duration> PeerNet::silence(const PeerAddress &To, Lane L) const {
  auto Found = State_->Dialled_.find({To, L});
  if (Found == State_->Dialled_.end() || !Found->second->isConnected())
    return std::nullopt;
  return Found->second->silence();
}

void PeerNet::setRevision(Revision R) { State_->Revision_.store(R); }

std::uint64_t PeerNet::bytesSent(Lane L) const {
  return State_->Sent_[indexOf(L)].load();
}

std::uint64_t PeerNet::bytesReceived(Lane L) const {
  return State_->Received_[indexOf(L)].load();
}

void PeerNet::updateByteMetrics(Metrics &M, Lane L) const {
  static constexpr std::array<const char *, LaneCount> Names = {
      "control", "requests", "weights"};
  Metrics::Labels Labels = {{"lane", Names[indexOf(L)]}};
  M.set("hawthornroad_peer_bytes_sent_total", static_cast<double>(bytesSent(L)),
        Labels);
  M.set("hawthornroad_peer_bytes_received_total",
        static_cast<double>(bytesReceived(L)), Labels);
}

} // namespace hawthornroad
