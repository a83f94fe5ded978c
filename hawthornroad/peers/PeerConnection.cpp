#include "hawthornroad/peers/PeerConnection.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <cerrno>
#include <sys/socket.h>

namespace hawthornroad {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {
constexpr std::size_t LengthBytes = 4;
using LengthField = std::array<unsigned char, LengthBytes>;
} // namespace

bool PeerConnection::isClosedByPeer() {
  if (!Connected_)
    return false;
  char Next = 0;
  ssize_t Got = ::recv(Socket_.native_handle(), &Next, sizeof(Next),
                       MSG_PEEK | MSG_DONTWAIT);
  return Got == 0 || (Got < 0 && errno == ECONNRESET);
}

void PeerConnection::start(std::optional<tcp::endpoint> Target) {
  asio::co_spawn(
      Net_->Io_.context(),
      [Self = shared_from_this(), Target] { return Self->run(Target); },
      asio::detached);
}

void PeerConnection::send(FrameBuffer Frame) {
  LastSent_ = std::chrono::steady_clock::now();
  if (!UnansweredSince_)
    UnansweredSince_ = LastSent_;
  enqueue(std::move(Frame));
}

void PeerConnection::enqueue(FrameBuffer Frame) {
  if (Closed_)
    return;
  Backlog_ += Frame->size() + LengthBytes;
  if (Backlog_ > Net_->Limits_.MaxBacklog_) {
    close(Step::Send, "peer does not take its frames: backlog full");
    return;
  }
  WriteQueue_.push_back(std::move(Frame));
  WriteSignal_.cancel();
}

void PeerConnection::close(Step Where, const std::string &Reason) {
  if (Closed_)
    return;
  Closed_ = true;
  boost::system::error_code Ignored;
  Socket_.close(Ignored);
  WriteSignal_.cancel();
  SilenceTimer_.cancel();
  auto Self = shared_from_this();
  Net_->forget(*this);
  if (Net_->Callbacks_.OnLost_ && !Net_->Closing_)
    Net_->Callbacks_.OnLost_(Context_,
                             Error(Where, Context_.Address_.str(), Reason));
}

asio::awaitable<void> PeerConnection::run(std::optional<tcp::endpoint> Target) {
  auto Self = shared_from_this();
  if (Target && !co_await connect(*Target))
    co_return;
  Connected_ = true;
  boost::system::error_code Ignored;
  Socket_.set_option(tcp::no_delay(true), Ignored);
  WriteQueue_.push_front(Net_->hello(Context_.Lane_));
  Backlog_ += WriteQueue_.front()->size() + LengthBytes;
  LastReceived_ = LastUsed_ = std::chrono::steady_clock::now();
  asio::co_spawn(
      Net_->Io_.context(), [Self] { return Self->writeLoop(); },
      asio::detached);
  scheduleSilenceCheck();
  co_await readLoop();
}

asio::awaitable<bool> PeerConnection::connect(tcp::endpoint Target) {
  boost::system::error_code Code;
  SilenceTimer_.expires_after(Net_->Limits_.ConnectTimeout_);
  SilenceTimer_.async_wait([Self = shared_from_this()](auto TimerCode) {
    if (!TimerCode)
      Self->close(Step::Connect, "no connection within the timeout");
  });
  co_await Socket_.async_connect(
      Target, asio::redirect_error(asio::use_awaitable, Code));
  if (Closed_)
    co_return false;
  SilenceTimer_.cancel();
  if (Code)
    close(Step::Connect, Code.message());
  co_return !Code;
}

asio::awaitable<void> PeerConnection::writeLoop() {
  auto Self = shared_from_this();
  while (!Closed_) {
    boost::system::error_code Code;
    if (WriteQueue_.empty()) {
      WriteSignal_.expires_at(TimePoint::max());
      co_await WriteSignal_.async_wait(
          asio::redirect_error(asio::use_awaitable, Code));
      continue;
    }
    FrameBuffer Frame = std::move(WriteQueue_.front());
    WriteQueue_.pop_front();
    LengthField Length;
    boost::endian::endian_store<std::uint32_t, LengthBytes,
                                boost::endian::order::little>(
        Length.data(), static_cast<std::uint32_t>(Frame->size()));
    std::array<asio::const_buffer, 2> Parts = {
        asio::buffer(Length), asio::buffer(Frame->data(), Frame->size())};
    co_await asio::async_write(Socket_, Parts,
                               asio::redirect_error(asio::use_awaitable, Code));
    std::size_t Bytes = Frame->size() + LengthBytes;
    Backlog_ -= Bytes;
    Net_->Sent_[indexOf(Context_.Lane_)].fetch_add(Bytes,
                                                   std::memory_order_relaxed);
    if (Code)
      close(Step::Send, Code.message());
  }
}

asio::awaitable<void> PeerConnection::readLoop() {
  std::vector<std::uint8_t> Bytes;
  while (!Closed_) {
    boost::system::error_code Code;
    LengthField Field;
    co_await asio::async_read(Socket_, asio::buffer(Field),
                              asio::redirect_error(asio::use_awaitable, Code));
    if (Code) {
      close(Step::Receive, Code.message());
      co_return;
    }
    auto Length =
        boost::endian::endian_load<std::uint32_t, LengthBytes,
                                   boost::endian::order::little>(Field.data());
    if (Length == 0 || Length > Net_->Limits_.MaxFrame_) {
      close(Step::Receive,
            "frame of " + std::to_string(Length) + " bytes is out of limits");
      co_return;
    }
    Bytes.resize(Length);
    // A read that had ended before close() still resumes after it.
    if (!co_await readBody(Bytes) || Closed_)
      co_return;
    bool IsValid = dispatch(Bytes);
    // After dispatch: an accepted connection learns its lane from the Hello.
    Net_->Received_[indexOf(Context_.Lane_)].fetch_add(
        Length + LengthBytes, std::memory_order_relaxed);
    if (!IsValid)
      close(Step::Receive, "frame is malformed");
  }
}

asio::awaitable<bool>
PeerConnection::readBody(std::vector<std::uint8_t> &Bytes) {
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
    recordReceived();
  }
  co_return true;
}

bool PeerConnection::dispatch(const std::vector<std::uint8_t> &Bytes) {
  flatbuffers::Verifier Verifier(Bytes.data(), Bytes.size());
  if (!wire::VerifyFrameBuffer(Verifier))
    return false;
  const wire::Frame &Frame = *wire::GetFrame(Bytes.data());
  recordReceived();
  switch (Frame.body_type()) {
  case wire::Body::Hello:
    applyHello(*Frame.body_as_Hello());
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
    LastUsed_ = LastReceived_;
    Net_->Callbacks_.OnFrame_(Context_, Frame);
    return true;
  }
}

void PeerConnection::recordReceived() {
  LastReceived_ = std::chrono::steady_clock::now();
  UnansweredSince_.reset();
}

void PeerConnection::applyHello(const wire::Hello &Hello) {
  Context_.Process_ = ProcessName(Hello.process()->str());
  Context_.Incarnation_ = Hello.incarnation();
  if (IsDialled_)
    return;
  if (Hello.address())
    Context_.Address_ = PeerAddress(Hello.address()->str());
  if (Hello.lane() <= static_cast<std::uint8_t>(Lane::Weights))
    Context_.Lane_ = static_cast<Lane>(Hello.lane());
}

void PeerConnection::scheduleSilenceCheck() {
  SilenceTimer_.expires_after(Net_->Limits_.PingAfter_);
  SilenceTimer_.async_wait([Self = shared_from_this()](auto Code) {
    if (Code || Self->Closed_)
      return;
    Self->checkSilence();
    if (!Self->Closed_)
      Self->scheduleSilenceCheck();
  });
}

void PeerConnection::checkSilence() {
  TimePoint Now = std::chrono::steady_clock::now();
  if (Context_.Lane_ == Lane::Control)
    return checkControlSilence(Now);
  if (Now - LastReceived_ >= Net_->Limits_.DeadAfter_) {
    close(Step::Receive, "connection went silent");
    return;
  }
  if (IsDialled_ && Now - LastUsed_ >= Net_->Limits_.IdleAfter_) {
    close(Step::Receive, "connection is idle");
    return;
  }
  if (Now - LastReceived_ >= Net_->Limits_.PingAfter_)
    ping();
}

void PeerConnection::checkControlSilence(TimePoint Now) {
  const Limits &L = Net_->Limits_;
  Duration Idle = Now - std::max(LastReceived_, LastSent_);
  if (!IsDialled_ && Now - LastReceived_ >= 2 * L.ControlIdleAfter_)
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

void PeerConnection::ping() {
  wire::PingT Ping;
  Ping.nonce = ++PingNonce_;
  enqueue(makeFrame(std::move(Ping)));
}

} // namespace hawthornroad
