#include "hawthornroad/http/ClientLink.h"

#include "hawthornroad/base/HttpStatus.h"
#include "hawthornroad/runtime/Address.h"
#include "hawthornroad/runtime/BootClock.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace hawthornroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {
// Kept small, since every open connection has such a buffer.
constexpr std::size_t ReadSize = 4 * 1024;

// Framing that a chunked body may have: a chunk of one byte has six bytes of
// it, and a server may pad sizes and send short extensions.
constexpr std::size_t FramingBase = 64 * 1024;
constexpr std::size_t FramingPerBodyByte = 16;

// Parses a Keep-Alive value such as "timeout=5, max=100": how long the server
// keeps an idle connection open.
std::optional<Duration> parseKeepAliveTimeout(std::string_view Value) {
  constexpr std::string_view Key = "timeout=";
  std::size_t At = Value.find(Key);
  if (At == std::string_view::npos)
    return std::nullopt;
  int TimeoutSeconds = 0;
  const char *First = Value.data() + At + Key.size();
  auto Result =
      std::from_chars(First, Value.data() + Value.size(), TimeoutSeconds);
  if (Result.ec != std::errc())
    return std::nullopt;
  return Seconds(TimeoutSeconds);
}
} // namespace

ClientLink::ClientLink(asio::io_context &Context, std::string Address,
                       Options O)
    : Socket_(Context), ConnectTimer_(Context), Address_(std::move(Address)),
      Options_(O) {}

void ClientLink::send(std::string Text, Events E,
                      std::optional<std::size_t> MaxBody) {
  MakeOut_ = nullptr;
  Out_ = std::move(Text);
  begin(std::move(E), MaxBody);
}

void ClientLink::sendOnceConnected(MakeText Make, Events E,
                                   std::optional<std::size_t> MaxBody) {
  MakeOut_ = std::move(Make);
  Out_.clear();
  begin(std::move(E), MaxBody);
}

void ClientLink::begin(Events E, std::optional<std::size_t> MaxBody) {
  Busy_ = true;
  MaxBody_ = MaxBody.value_or(Options_.MaxBody_);
  WriteStarted_ = Written_ = HeadDelivered_ = false;
  WriteError_ = {};
  Events_ = std::move(E);
  Paused_ = Skipping_ = IsSkipUsed_ = false;
  resetCounts();
  if (Connected_)
    write();
  else
    connect();
}

void ClientLink::resetCounts() {
  Interims_ = 0;
  InterimBytes_ = HeadBytes_ = WireBytes_ = BodyBytes_ = LeftBytes_ = 0;
}

void ClientLink::startParser() {
  Parser_.emplace();
  Parser_->header_limit(static_cast<std::uint32_t>(Options_.MaxHeader_));
  Parser_->body_limit(MaxBody_);
  Parser_->eager(true);
  Parser_->skip(HeadRequest_);
}

void ClientLink::connect() {
  tcp::endpoint Target;
  try {
    Target = parseAddress(Address_, Step::Connect);
  } catch (const Error &E) {
    asio::post(Socket_.get_executor(),
               [Self = shared_from_this(), Reason = E.message()] {
                 Self->fail(Step::Connect, Reason);
               });
    return;
  }
  Connecting_ = true;
  ConnectTimer_.expires_after(Options_.ConnectTimeout_);
  ConnectTimer_.async_wait(
      [Weak = weak_from_this()](boost::system::error_code Code) {
        auto Self = Weak.lock();
        if (!Code && Self && Self->Connecting_)
          Self->fail(Step::Connect, "no connection within the timeout");
      });
  Socket_.async_connect(Target, [Self = shared_from_this()](
                                    boost::system::error_code Code) {
    if (Self->Closed_)
      return;
    Self->Connecting_ = false;
    Self->ConnectTimer_.cancel();
    if (Code)
      return Self->fail(Step::Connect, Code.message(),
                        Code == asio::error::connection_refused);
    Self->Connected_ = true;
    boost::system::error_code Ignored;
    Self->Socket_.set_option(tcp::no_delay(true), Ignored);
    auto Limit =
        std::chrono::duration_cast<Milliseconds>(Self->Options_.UnackedLimit_)
            .count();
    auto Value = static_cast<unsigned>(Limit);
    ::setsockopt(Self->Socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                 &Value, sizeof(Value));
    if (Self->Options_.KeepAlive_)
      Self->probe();
    Self->write();
  });
}

void ClientLink::probe() {
  constexpr int On = 1;
  constexpr int FirstAfterSeconds = 2;
  constexpr int EachSeconds = 1;
  constexpr int Count = 2;
  int Handle = Socket_.native_handle();
  ::setsockopt(Handle, SOL_SOCKET, SO_KEEPALIVE, &On, sizeof(On));
  ::setsockopt(Handle, IPPROTO_TCP, TCP_KEEPIDLE, &FirstAfterSeconds,
               sizeof(FirstAfterSeconds));
  ::setsockopt(Handle, IPPROTO_TCP, TCP_KEEPINTVL, &EachSeconds,
               sizeof(EachSeconds));
  ::setsockopt(Handle, IPPROTO_TCP, TCP_KEEPCNT, &Count, sizeof(Count));
}

void ClientLink::write() {
  // Set before the first write: a write that fails half-way may still have
  // delivered bytes.
  WriteStarted_ = true;
  ++Sent_;
  if (MakeText Make = std::exchange(MakeOut_, nullptr))
    Out_ = Make();
  HeadRequest_ = Out_.starts_with("HEAD ");
  startParser();
  boost::system::error_code Code;
  Socket_.non_blocking(true, Code);
  std::size_t Done = Socket_.write_some(asio::buffer(Out_), Code);
  if (Code && Code != asio::error::would_block)
    return fail(Step::Send, Code.message());
  read();
  if (!Code && Done == Out_.size()) {
    Written_ = true;
    Out_.clear();
    return;
  }
  Out_.erase(0, Code ? 0 : Done);
  asio::async_write(Socket_, asio::buffer(Out_),
                    [Self = shared_from_this()](boost::system::error_code Error,
                                                std::size_t) {
                      if (Self->Closed_)
                        return;
                      // The answer may still arrive, or have arrived.
                      Self->WriteError_ = Error;
                      Self->Written_ = !Error;
                      Self->Out_ = {};
                    });
}

void ClientLink::resume() {
  // Before the request is written, nothing is read anyway.
  if (std::exchange(Paused_, false) && WriteStarted_)
    read();
}

void ClientLink::read() {
  if (Reading_ || Closed_ || Paused_)
    return;
  Reading_ = true;
  Socket_.async_read_some(
      In_.prepare(ReadSize),
      [Self = shared_from_this()](boost::system::error_code Code,
                                  std::size_t Bytes) {
        Self->Reading_ = false;
        if (!Self->Closed_)
          Self->onRead(Code, Bytes);
      });
}

void ClientLink::onRead(boost::system::error_code Code, std::size_t Bytes) {
  if (!Busy_) {
    // The server closed an idle connection or sent unsolicited bytes.
    auto Callback = std::exchange(IdleEnd_, nullptr);
    close();
    if (Callback)
      Callback();
    return;
  }
  if (Code == asio::error::eof) {
    boost::system::error_code EofError;
    bool NeedsEof = Parser_->is_header_done() && Parser_->need_eof();
    if (!NeedsEof || Skipping_)
      return fail(Step::Receive, "the connection ended within the answer");
    if (!isOrderlyEnd())
      return fail(Step::Receive, "the connection failed within the answer: " +
                                     WriteError_.message());
    Parser_->put_eof(EofError);
    return finishAnswer(false);
  }
  if (Code)
    return fail(Step::Receive, Code.message());
  In_.commit(Bytes);
  parse();
  if (!Closed_)
    read();
}

// The kernel reports a connection's error once: after a write has received it,
// a read sees an end like that of an orderly close. What a write receives tells
// the two apart: a reset that follows the server's own end is a broken pipe,
// and any other error came before such an end.
bool ClientLink::isOrderlyEnd() const {
  return !WriteError_ || WriteError_ == asio::error::broken_pipe;
}

void ClientLink::parse() {
  auto Self = shared_from_this();
  while (Busy_ && !Closed_ && canContinue(LeftBytes_, In_.size())) {
    boost::system::error_code Code;
    std::size_t Used = Parser_->put(In_.data(), Code);
    In_.consume(Used);
    if (Code && Code != http::error::need_more)
      return fail(Step::Receive, "not an answer: " + Code.message());
    if (!HeadDelivered_)
      HeadBytes_ += Used;
    if (Parser_->is_header_done() && !HeadDelivered_) {
      unsigned Status = Parser_->get().result_int();
      if (isInterimStatus(Status)) {
        InterimBytes_ += std::exchange(HeadBytes_, 0);
        if (++Interims_ > MaxInterimAnswers ||
            InterimBytes_ > Options_.MaxHeader_)
          return fail(Step::Receive, "too many interim answers");
        startParser();
        continue;
      }
      if (!isFinalStatus(Status))
        return fail(Step::Receive,
                    "status " + std::to_string(Status) + " is no final one");
      processHead();
    } else if (HeadDelivered_) {
      WireBytes_ += Used;
    }
    if (Closed_ || !Busy_)
      return;
    LeftBytes_ = HeadDelivered_ ? In_.size() : 0;
    deliverBody();
    if (Closed_ || !Busy_ || failsByFraming())
      return;
    if (Parser_->is_done() && !Skipping_)
      return finishAnswer(true);
    if (Parser_->is_done() && !expectNextAnswer())
      return fail(Step::Receive, "the connection ends after a skipped answer");
    if (Used == 0)
      return;
  }
}

// The parser consumes bytes of a body as they arrive, so what it leaves is an
// incomplete chunk header or the trailers.
bool ClientLink::failsByFraming() {
  bool IsLong =
      HeadDelivered_ && !Parser_->is_done() && In_.size() > Options_.MaxHeader_;
  bool IsMost = WireBytes_ > FramingBase + FramingPerBodyByte * BodyBytes_;
  if (IsLong || IsMost)
    fail(Step::Receive, "too many bytes of framing in the answer's body");
  return IsLong || IsMost;
}

void ClientLink::processHead() {
  HeadDelivered_ = true;
  HeaderFields Fields;
  for (const auto &Field : Parser_->get())
    Fields.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  if (const std::string *Value = findField(Fields, "Keep-Alive"))
    ServerIdleTimeout_ = parseKeepAliveTimeout(*Value);
  // The link may be abandoned within the call, which clears Events_.
  if (auto OnHead = Events_.OnHead_)
    OnHead(Parser_->get().result_int(), std::move(Fields));
}

void ClientLink::deliverBody() {
  std::string &Body = Parser_->get().body();
  if (Body.empty())
    return;
  std::string Bytes;
  Bytes.swap(Body);
  BodyBytes_ += Bytes.size();
  if (auto OnBody = Events_.OnBody_; OnBody && !Skipping_)
    OnBody(std::move(Bytes));
}

bool ClientLink::expectNextAnswer() {
  if (!Parser_->get().keep_alive())
    return false;
  Skipping_ = HeadDelivered_ = false;
  resetCounts();
  startParser();
  return true;
}

void ClientLink::finishAnswer(bool IsFramed) {
  bool KeepsOpen = IsFramed && Parser_->get().keep_alive() && Written_ &&
                   In_.size() == 0 && !IsSkipUsed_;
  Busy_ = Paused_ = false;
  IdleSince_ = bootNow();
  if (!KeepsOpen)
    close();
  Events E = std::exchange(Events_, {});
  if (E.OnEnd_)
    E.OnEnd_(IsFramed);
}

void ClientLink::fail(Step Where, const std::string &Message, bool IsRefused) {
  if (Closed_)
    return;
  Busy_ = false;
  bool NeverSent = !WriteStarted_;
  close();
  Events E = std::exchange(Events_, {});
  if (E.OnFail_)
    E.OnFail_({NeverSent, Where, Message, IsRefused});
}

void ClientLink::abandon() {
  Events_ = {};
  IdleEnd_ = nullptr;
  if (std::exchange(Busy_, false) && isUnacknowledged())
    resetOnClose();
  close();
}

bool ClientLink::isUnacknowledged() {
  int Bytes = 0;
  return Connected_ &&
         ::ioctl(Socket_.native_handle(), SIOCOUTQ, &Bytes) == 0 && Bytes > 0;
}

// An ordinary close lets the kernel go on sending what the peer has not
// received yet.
void ClientLink::resetOnClose() {
  boost::system::error_code Ignored;
  Socket_.set_option(asio::socket_base::linger(true, 0), Ignored);
}

void ClientLink::close() {
  if (Closed_)
    return;
  Closed_ = true;
  MakeOut_ = nullptr;
  Connected_ = Connecting_ = false;
  ConnectTimer_.cancel();
  boost::system::error_code Ignored;
  Socket_.close(Ignored);
}

} // namespace hawthornroad
