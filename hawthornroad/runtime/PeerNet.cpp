#include "hawthornroad/runtime/PeerNet.h"

#include "hawthornroad/runtime/Address.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <cerrno>
#include <deque>
#include <map>
#include <sys/socket.h>
#include <unordered_map>

namespace hawthornroad {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {
constexpr std::size_t LengthBytes = 4;
using LengthField = std::array<unsigned char, LengthBytes>;
using Key = std::pair<PeerAddress, Lane>;
constexpr std::size_t LaneCount = 3;

std::size_t indexOf(Lane L) { return static_cast<std::size_t>(L); }

class Connection;
} // namespace

struct PeerNet::State : std::enable_shared_from_this<PeerNet::State> {
  State(IoThread &Io, Self S, Limits L, Callbacks C)
      : Io_(Io), Self_(std::move(S)), Limits_(L), Callbacks_(std::move(C)) {}

  asio::awaitable<void> acceptLoop();
  std::shared_ptr<Connection> dial(const Key &K);
  void sendNow(const Key &K, const FrameBuffer &Frame, bool Fresh);
  void forget(Connection &C);
  FrameBuffer hello(Lane L) const;

  IoThread &Io_;
  Self Self_;
  Limits Limits_;
  Callbacks Callbacks_;
  std::string ListenAddress_;
  std::optional<tcp::acceptor> Acceptor_;
  bool Closing_ = false;
  ConnectionId NextId_ = 1;
  std::atomic<Revision> Revision_{0};
  std::array<std::atomic<std::uint64_t>, LaneCount> Sent_{};
  std::array<std::atomic<std::uint64_t>, LaneCount> Received_{};
  std::map<Key, std::shared_ptr<Connection>> Dialled_;
  std::unordered_map<ConnectionId, std::shared_ptr<Connection>> ById_;
};

namespace {

// One framed TCP connection; lives on the IoThread.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  using NetState = PeerNet::State;
  using Limits = PeerNet::Limits;

  Connection(std::shared_ptr<NetState> Net, tcp::socket Socket,
             PeerContext Context, bool Dialled)
      : Net_(std::move(Net)), Socket_(std::move(Socket)),
        Signal_(Net_->Io_.context(), TimePoint::max()),
        Watch_(Net_->Io_.context()), Context_(std::move(Context)),
        IsDialled_(Dialled) {}

  PeerContext &context() { return Context_; }
  bool isDialled() const { return IsDialled_; }
  std::size_t backlog() const { return Backlog_; }

  // Whether the peer's end is already here, unread. A process that dies closes
  // its sockets at once, but the end waits its turn on a busy IoThread; a frame
  // written before that turn goes to nobody, and its sender could only say that
  // it may have been read. Peers close both directions together, so after the
  // end nothing is read there any more. Cost: one system call.
  bool hasEnded() {
    if (!Connected_)
      return false;
    char Next = 0;
    ssize_t Got = ::recv(Socket_.native_handle(), &Next, sizeof(Next),
                         MSG_PEEK | MSG_DONTWAIT);
    return Got == 0 || (Got < 0 && errno == ECONNRESET);
  }

  void start(std::optional<tcp::endpoint> Target) {
    asio::co_spawn(
        Net_->Io_.context(),
        [Self = shared_from_this(), Target] { return Self->run(Target); },
        asio::detached);
  }

  // A frame of the owner's, unlike this class's own pings and answers.
  void send(FrameBuffer Frame) {
    LastSent_ = std::chrono::steady_clock::now();
    if (!UnansweredSince_)
      UnansweredSince_ = LastSent_;
    enqueue(std::move(Frame));
  }

  void enqueue(FrameBuffer Frame) {
    if (Closed_)
      return;
    Backlog_ += Frame->size() + LengthBytes;
    if (Backlog_ > Net_->Limits_.MaxBacklog_) {
      close(Step::Send, "peer does not take its frames: backlog full");
      return;
    }
    Out_.push_back(std::move(Frame));
    Signal_.cancel();
  }

  void close(Step Where, const std::string &Why) {
    if (Closed_)
      return;
    Closed_ = true;
    boost::system::error_code Ignored;
    Socket_.close(Ignored);
    Signal_.cancel();
    Watch_.cancel();
    auto Self = shared_from_this();
    Net_->forget(*this);
    if (Net_->Callbacks_.OnLost_ && !Net_->Closing_)
      Net_->Callbacks_.OnLost_(Context_,
                               Error(Where, Context_.Address_.str(), Why));
  }

private:
  asio::awaitable<void> run(std::optional<tcp::endpoint> Target) {
    auto Self = shared_from_this();
    if (Target && !co_await connect(*Target))
      co_return;
    Connected_ = true;
    boost::system::error_code Ignored;
    Socket_.set_option(tcp::no_delay(true), Ignored);
    Out_.push_front(Net_->hello(Context_.Lane_));
    Backlog_ += Out_.front()->size() + LengthBytes;
    LastHeard_ = LastUsed_ = std::chrono::steady_clock::now();
    asio::co_spawn(
        Net_->Io_.context(), [Self] { return Self->writeLoop(); },
        asio::detached);
    watch();
    co_await readLoop();
  }

  asio::awaitable<bool> connect(tcp::endpoint Target) {
    boost::system::error_code Code;
    Watch_.expires_after(Net_->Limits_.ConnectTimeout_);
    Watch_.async_wait([Self = shared_from_this()](auto TimerCode) {
      if (!TimerCode)
        Self->close(Step::Connect, "no connection within the timeout");
    });
    co_await Socket_.async_connect(
        Target, asio::redirect_error(asio::use_awaitable, Code));
    if (Closed_)
      co_return false;
    Watch_.cancel();
    if (Code)
      close(Step::Connect, Code.message());
    co_return !Code;
  }

  asio::awaitable<void> writeLoop() {
    auto Self = shared_from_this();
    while (!Closed_) {
      boost::system::error_code Code;
      if (Out_.empty()) {
        Signal_.expires_at(TimePoint::max());
        co_await Signal_.async_wait(
            asio::redirect_error(asio::use_awaitable, Code));
        continue;
      }
      FrameBuffer Frame = std::move(Out_.front());
      Out_.pop_front();
      LengthField Length;
      boost::endian::endian_store<std::uint32_t, LengthBytes,
                                  boost::endian::order::little>(
          Length.data(), static_cast<std::uint32_t>(Frame->size()));
      std::array<asio::const_buffer, 2> Parts = {
          asio::buffer(Length), asio::buffer(Frame->data(), Frame->size())};
      co_await asio::async_write(
          Socket_, Parts, asio::redirect_error(asio::use_awaitable, Code));
      std::size_t Bytes = Frame->size() + LengthBytes;
      Backlog_ -= Bytes;
      Net_->Sent_[indexOf(Context_.Lane_)].fetch_add(Bytes,
                                                     std::memory_order_relaxed);
      if (Code)
        close(Step::Send, Code.message());
    }
  }

  asio::awaitable<void> readLoop() {
    std::vector<std::uint8_t> Bytes;
    while (!Closed_) {
      boost::system::error_code Code;
      LengthField Field;
      co_await asio::async_read(
          Socket_, asio::buffer(Field),
          asio::redirect_error(asio::use_awaitable, Code));
      if (Code) {
        close(Step::Receive, Code.message());
        co_return;
      }
      auto Length = boost::endian::endian_load<std::uint32_t, LengthBytes,
                                               boost::endian::order::little>(
          Field.data());
      if (Length == 0 || Length > Net_->Limits_.MaxFrame_) {
        close(Step::Receive,
              "frame of " + std::to_string(Length) + " bytes is out of limits");
        co_return;
      }
      Bytes.resize(Length);
      if (!co_await readBody(Bytes))
        co_return;
      bool Fine = dispatch(Bytes);
      // After dispatch: an accepted connection learns its lane from the Hello.
      Net_->Received_[indexOf(Context_.Lane_)].fetch_add(
          Length + LengthBytes, std::memory_order_relaxed);
      if (!Fine)
        close(Step::Receive, "frame is malformed");
    }
  }

  // Reads piecewise, so that a large frame on a slow link counts as word from
  // the peer while it is still arriving.
  asio::awaitable<bool> readBody(std::vector<std::uint8_t> &Bytes) {
    std::size_t Got = 0;
    while (Got < Bytes.size()) {
      boost::system::error_code Code;
      Got += co_await Socket_.async_read_some(
          asio::buffer(Bytes.data() + Got, Bytes.size() - Got),
          asio::redirect_error(asio::use_awaitable, Code));
      if (Code) {
        close(Step::Receive, Code.message());
        co_return false;
      }
      noteHeard();
    }
    co_return true;
  }

  bool dispatch(const std::vector<std::uint8_t> &Bytes) {
    flatbuffers::Verifier Verifier(Bytes.data(), Bytes.size());
    if (!wire::VerifyFrameBuffer(Verifier))
      return false;
    const wire::Frame &Frame = *wire::GetFrame(Bytes.data());
    noteHeard();
    switch (Frame.body_type()) {
    case wire::Body::Hello:
      noteHello(*Frame.body_as_Hello());
      return true;
    case wire::Body::Ping: {
      wire::PongT Pong;
      Pong.nonce = Frame.body_as_Ping()->nonce();
      enqueue(makeFrame(std::move(Pong)));
      return true;
    }
    case wire::Body::Pong:
    case wire::Body::NONE:
      return true;
    default:
      LastUsed_ = LastHeard_;
      Net_->Callbacks_.OnFrame_(Context_, Frame);
      return true;
    }
  }

  void noteHeard() {
    LastHeard_ = std::chrono::steady_clock::now();
    UnansweredSince_.reset();
  }

  void noteHello(const wire::Hello &Hello) {
    Context_.Process_ = ProcessName(Hello.process()->str());
    Context_.Incarnation_ = Hello.incarnation();
    if (IsDialled_)
      return;
    if (Hello.address())
      Context_.Address_ = PeerAddress(Hello.address()->str());
    if (Hello.lane() <= static_cast<std::uint8_t>(Lane::Weights))
      Context_.Lane_ = static_cast<Lane>(Hello.lane());
  }

  // Guards against a path that has gone silent for good: TCP would go on
  // retransmitting for minutes. Word is asked for after PingAfter, and its
  // absence for DeadAfter closes the connection.
  void watch() {
    Watch_.expires_after(Net_->Limits_.PingAfter_);
    Watch_.async_wait([Self = shared_from_this()](auto Code) {
      if (Code || Self->Closed_)
        return;
      Self->checkSilence();
      if (!Self->Closed_)
        Self->watch();
    });
  }

  void checkSilence() {
    TimePoint Now = std::chrono::steady_clock::now();
    if (Context_.Lane_ == Lane::Control)
      return checkControlSilence(Now);
    if (Now - LastHeard_ >= Net_->Limits_.DeadAfter_) {
      close(Step::Receive, "connection went silent");
      return;
    }
    if (IsDialled_ && Now - LastUsed_ >= Net_->Limits_.IdleAfter_) {
      close(Step::Receive, "connection is idle");
      return;
    }
    if (Now - LastHeard_ >= Net_->Limits_.PingAfter_)
      ping();
  }

  // Probes leave connections to many members behind; asking for word on each
  // would cost a process more the more members there are. So only the dialling
  // side asks, and only for word of what it sent: a push or report into a
  // forgotten path is still noticed in DeadAfter. The accepting side waits
  // longer than the dialling one, for a peer that vanished without a close.
  void checkControlSilence(TimePoint Now) {
    const Limits &L = Net_->Limits_;
    Duration Idle = Now - std::max(LastHeard_, LastSent_);
    if (!IsDialled_ && Now - LastHeard_ >= 2 * L.ControlIdleAfter_)
      return close(Step::Receive, "connection is idle");
    if (!IsDialled_)
      return;
    if (Idle >= L.ControlIdleAfter_)
      return close(Step::Receive, "connection is idle");
    if (!UnansweredSince_)
      return;
    Duration Silent = Now - *UnansweredSince_;
    if (Silent >= L.DeadAfter_)
      close(Step::Receive, "connection went silent");
    else if (Silent >= L.PingAfter_)
      ping();
  }

  void ping() {
    wire::PingT Ping;
    Ping.nonce = ++PingNonce_;
    enqueue(makeFrame(std::move(Ping)));
  }

  std::shared_ptr<NetState> Net_;
  tcp::socket Socket_;
  asio::steady_timer Signal_;
  asio::steady_timer Watch_;
  PeerContext Context_;
  bool IsDialled_;
  bool Connected_ = false;
  bool Closed_ = false;
  std::deque<FrameBuffer> Out_;
  std::size_t Backlog_ = 0;
  std::uint64_t PingNonce_ = 0;
  TimePoint LastHeard_;
  TimePoint LastUsed_;
  TimePoint LastSent_{};
  // When the first frame was sent that nothing was heard after.
  std::optional<TimePoint> UnansweredSince_;
};

} // namespace

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
    auto Made =
        std::make_shared<Connection>(Keep, std::move(Socket), Context, false);
    ById_[Context.Connection_] = Made;
    Made->start(std::nullopt);
  }
}

std::shared_ptr<Connection> PeerNet::State::dial(const Key &K) {
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
  auto Made = std::make_shared<Connection>(
      shared_from_this(), tcp::socket(Io_.context()), Context, true);
  Dialled_[K] = Made;
  ById_[Context.Connection_] = Made;
  Made->start(Target);
  return Made;
}

void PeerNet::State::sendNow(const Key &K, const FrameBuffer &Frame,
                             bool Fresh) {
  if (Closing_)
    return;
  auto Found = Dialled_.find(K);
  std::shared_ptr<Connection> Current =
      Found == Dialled_.end() ? nullptr : Found->second;
  if (Fresh && Current) {
    Current->close(Step::Send, "replaced by a fresh connection");
    Current = nullptr;
  }
  if (Current && Current->hasEnded()) {
    Current->close(Step::Receive, "closed by the peer");
    Current = nullptr;
  }
  if (!Current)
    Current = dial(K);
  if (Current)
    Current->send(Frame);
}

void PeerNet::State::forget(Connection &C) {
  ById_.erase(C.context().Connection_);
  auto Found = Dialled_.find({C.context().Address_, C.context().Lane_});
  if (Found != Dialled_.end() && Found->second.get() == &C)
    Dialled_.erase(Found);
}

PeerNet::PeerNet(IoThread &Io, Self S, Limits L, Callbacks C)
    : State_(std::make_shared<State>(Io, std::move(S), L, std::move(C))) {}

PeerNet::~PeerNet() {
  // Connections and this state refer to each other; closing them all breaks
  // the cycle. A stopped IoThread runs nothing any more, so it is done here.
  auto Close = [S = State_] {
    S->Closing_ = true;
    boost::system::error_code Ignored;
    if (S->Acceptor_)
      S->Acceptor_->close(Ignored);
    auto Open = S->ById_;
    for (auto &[Id, Each] : Open)
      Each->close(Step::Send, "shutting down");
  };
  if (State_->Io_.stopped())
    Close();
  else
    asio::post(State_->Io_.context(), Close);
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
                   std::function<void()> WhenPut) {
  return State_->Io_.submit([S = State_, To, L, Frame = std::move(Frame),
                             WhenPut = std::move(WhenPut)] {
    S->sendNow({To, L}, Frame, false);
    if (WhenPut)
      WhenPut();
  });
}

bool PeerNet::sendFresh(const PeerAddress &To, Lane L, FrameBuffer Frame) {
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

void PeerNet::setRevision(Revision R) { State_->Revision_.store(R); }

std::uint64_t PeerNet::bytesSent(Lane L) const {
  return State_->Sent_[indexOf(L)].load();
}

std::uint64_t PeerNet::bytesReceived(Lane L) const {
  return State_->Received_[indexOf(L)].load();
}

void PeerNet::showBytes(Metrics &M, Lane L) const {
  static constexpr std::array<const char *, LaneCount> Names = {
      "control", "requests", "weights"};
  Metrics::Labels Labels = {{"lane", Names[indexOf(L)]}};
  M.set("hawthornroad_peer_bytes_sent_total", static_cast<double>(bytesSent(L)),
        Labels);
  M.set("hawthornroad_peer_bytes_received_total",
        static_cast<double>(bytesReceived(L)), Labels);
}

} // namespace hawthornroad
