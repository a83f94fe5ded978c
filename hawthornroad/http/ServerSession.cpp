#include "hawthornroad/http/ServerSession.h"

#include "hawthornroad/base/HttpStatus.h"
#include "hawthornroad/base/TransferCoding.h"
#include "hawthornroad/http/HttpListener.h"

#include <algorithm>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <linux/sockios.h>
#include <sys/ioctl.h>

namespace hawthornroad {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {
// A request with its headers is about 1 KB; kept small, since every open
// connection has such a buffer.
constexpr std::size_t ReadSize = 4 * 1024;
// Bytes of following requests buffered while one is in progress.
constexpr std::size_t MaxReadAhead = 64 * 1024;
// How long a connection is read after its sending side was shut down, so that
// the caller receives the answer: many round trips between two regions.
constexpr Duration LingerTime = Seconds(1);

namespace status {
constexpr unsigned BadRequest = 400;
constexpr unsigned Timeout = 408;
constexpr unsigned TooLarge = 413;
constexpr unsigned HeadersTooLarge = 431;
constexpr unsigned NotImplemented = 501;
constexpr unsigned Unavailable = 503;
} // namespace status

template <typename Message> HeaderFields fieldsOf(const Message &M) {
  HeaderFields Out;
  for (const auto &Field : M)
    Out.push_back(
        {std::string(Field.name_string()), std::string(Field.value())});
  return Out;
}

unsigned statusOf(boost::system::error_code Code) {
  if (Code == http::error::body_limit)
    return status::TooLarge;
  if (Code == http::error::header_limit)
    return status::HeadersTooLarge;
  return status::BadRequest;
}
} // namespace

ServerSession::ServerSession(Socket S, std::shared_ptr<HttpListener> Owner)
    : Socket_(std::move(S)), Owner_(std::move(Owner)),
      StateSince_(Owner_->now()), SentAt_(StateSince_) {
  Owner_->Sessions_.insert(this);
}

ServerSession::~ServerSession() { Owner_->Sessions_.erase(this); }

void ServerSession::start() {
  boost::system::error_code Ignored;
  Socket_.set_option(tcp::no_delay(true), Ignored);
  read();
}

void ServerSession::read() {
  bool IsFull = !mayParse() && In_.size() >= MaxReadAhead;
  if (Reading_ || Closed_ || (IsFull && !SendShutdown_))
    return;
  Reading_ = true;
  Socket_.async_read_some(
      In_.prepare(ReadSize),
      [Self = shared_from_this()](boost::system::error_code Code,
                                  std::size_t Bytes) {
        Self->onRead(Code, Bytes);
      });
}

void ServerSession::onRead(boost::system::error_code Code, std::size_t Bytes) {
  Reading_ = false;
  if (Closed_)
    return;
  if (Code == asio::error::eof)
    return onDisconnect(SessionEnd::CallerClosed, "");
  if (Code)
    return onDisconnect(SessionEnd::ReceiveFailed, Code.message());
  if (ArrivedInTime_)
    *ArrivedInTime_ -= std::min(*ArrivedInTime_, Bytes);
  // After the shutdown, input is only discarded until the caller closes.
  if (!SendShutdown_)
    In_.commit(Bytes);
  if (mayParse())
    parse();
  read();
}

bool ServerSession::mayParse() const {
  return !InRequest_ && !SendShutdown_ && !EndAfterFlush_ && !Ending_ &&
         !HeldBack_;
}

std::size_t ServerSession::heldBytes() const {
  std::size_t Body = Parser_ ? Parser_->get().body().size() : 0;
  return unsentBytes() + In_.size() + Body;
}

// The caller closed its side or the connection failed. A half-closed caller
// counts as disconnected, even if it still reads: no caller does that.
void ServerSession::onDisconnect(SessionEnd Why, const std::string &Detail) {
  reportEnd(Why, Detail);
  if (InRequest_)
    Owner_->Handler_.onCallerDisconnected(*this);
  close();
}

void ServerSession::reportEnd(SessionEnd Why, const std::string &Detail) {
  // The end of a connection after its last answer is no event.
  if (SendShutdown_ || std::exchange(IsEndReported_, true))
    return;
  SessionEndReport R;
  R.Why_ = Why;
  R.IsReceiving_ = hasPartial();
  R.UnsentBytes_ = unsentBytes();
  R.IsAnswering_ = InRequest_ || R.UnsentBytes_ > 0;
  if (R.IsReceiving_)
    R.Headers_ = fieldsOf(Parser_->get());
  R.Age_ = Owner_->now() - StateSince_;
  R.Detail_ = Detail;
  Owner_->Handler_.onEnd(*this, R);
}

void ServerSession::parse() {
  if (In_.size() == 0)
    return;
  if (!Parser_) {
    Parser_.emplace();
    LeftBytes_ = 0;
    Parser_->header_limit(
        static_cast<std::uint32_t>(Owner_->Limits_.HeaderBytes_));
    Parser_->body_limit(Owner_->Limits_.BodyBytes_);
    Parser_->eager(true);
    StateSince_ = Owner_->now();
    ArrivedInTime_.reset();
    ContinueSent_ = false;
  }
  if (!canContinue(LeftBytes_, In_.size()))
    return;
  boost::system::error_code Code;
  std::size_t Used = Parser_->put(In_.data(), Code);
  In_.consume(Used);
  LeftBytes_ = Parser_->is_header_done() ? In_.size() : 0;
  if (Parser_->is_header_done() && !acceptsCoding())
    return;
  if (Code && Code != http::error::need_more)
    return refuse(statusOf(Code), SessionEnd::Malformed, Code.message());
  if (Parser_->is_done())
    return deliver();
  if (!acceptsPartial())
    return;
  if (Parser_->is_header_done() && !ContinueSent_) {
    ContinueSent_ = true;
    if (sameHeader(std::string(Parser_->get()[http::field::expect]),
                   "100-continue"))
      send("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

// The connection ends with the answer: what follows the head is no request.
bool ServerSession::acceptsCoding() {
  const auto &Message = Parser_->get();
  constexpr unsigned FirstWithCodings = 11;
  TransferCoding Coding = transferCodingOf(Message);
  bool IsKnown =
      Coding == TransferCoding::None || (Coding == TransferCoding::Chunked &&
                                         Message.version() >= FirstWithCodings);
  if (!IsKnown)
    refuse(Coding == TransferCoding::Unsupported ? status::NotImplemented
                                                 : status::BadRequest,
           SessionEnd::Malformed, "unsupported transfer coding");
  return IsKnown;
}

// The parser consumes a body as it arrives, so what it leaves after the headers
// is an incomplete chunk header or the trailers.
bool ServerSession::acceptsPartial() {
  if (!Parser_->is_header_done())
    return true;
  if (In_.size() > Owner_->Limits_.HeaderBytes_) {
    refuse(status::BadRequest, SessionEnd::Malformed,
           "too many bytes of framing in the body");
    return false;
  }
  if (!Owner_->Handler_.refusesBodies())
    return true;
  const auto &Message = Parser_->get();
  IsHead_ = Message.method() == http::verb::head;
  RefusedRequest R{std::string(Message.method_string()),
                   std::string(Message.target()), fieldsOf(Message)};
  reportEnd(SessionEnd::BuffersFull, "");
  Parser_.reset();
  KeepOpen_ = false;
  InRequest_ = true;
  Owner_->Handler_.onBodyRefused(*this, R);
  if (InRequest_)
    respond(status::Unavailable, {}, "");
  return false;
}

void ServerSession::deliver() {
  auto Message = Parser_->release();
  Parser_.reset();
  InRequest_ = true;
  Streaming_ = false;
  KeepOpen_ = Message.keep_alive() && !Owner_->Draining_;
  CanChunk_ = Message.version() >= 11;
  IsHead_ = Message.method() == http::verb::head;
  InboundRequest R;
  R.Method_ = std::string(Message.method_string());
  R.Target_ = std::string(Message.target());
  R.Headers_ = fieldsOf(Message);
  R.Body_ = std::move(Message.body());
  Owner_->Handler_.onRequest(shared_from_this(), std::move(R));
}

void ServerSession::refuse(unsigned Status, SessionEnd Why,
                           const std::string &Detail) {
  reportEnd(Why, Detail);
  KeepOpen_ = false;
  InRequest_ = true;
  respond(Status, {}, "");
}

void ServerSession::respond(unsigned Status, const HeaderFields &Fields,
                            std::string Body) {
  if (!isOpen() || !InRequest_)
    return;
  KeepOpen_ = KeepOpen_ && !Owner_->Draining_;
  std::string Text =
      responseHead(Status, Fields, BodyFraming::Length, Body.size(), KeepOpen_);
  if (!IsHead_)
    Text += Body;
  send(std::move(Text));
  onAnswerSent();
}

void ServerSession::begin(unsigned Status, const HeaderFields &Fields) {
  if (!isOpen() || !InRequest_)
    return;
  Streaming_ = true;
  KeepOpen_ = KeepOpen_ && CanChunk_ && !Owner_->Draining_;
  if (CanChunk_)
    return send(
        responseHead(Status, Fields, BodyFraming::Chunked, 0, KeepOpen_));
  // HTTP/1.0 has no chunked encoding: the end of the connection ends the body.
  std::string Text =
      "HTTP/1.1 " + std::to_string(writableStatus(Status)) + " \r\n";
  for (const HeaderField &Each : Fields)
    Text += Each.Name_ + ": " + Each.Value_ + "\r\n";
  send(Text + "Connection: close\r\n\r\n");
}

void ServerSession::write(std::string_view Bytes) {
  if (!isOpen() || !Streaming_ || Bytes.empty())
    return;
  send(CanChunk_ ? chunkText(Bytes) : std::string(Bytes));
}

void ServerSession::finish() {
  if (!isOpen() || !Streaming_)
    return;
  if (CanChunk_)
    send(std::string(LastChunk));
  onAnswerSent();
}

void ServerSession::abort() {
  if (Closed_)
    return;
  boost::system::error_code Ignored;
  Socket_.set_option(asio::socket_base::linger(true, 0), Ignored);
  close();
}

void ServerSession::onAnswerSent() {
  if (!isOpen())
    return;
  InRequest_ = false;
  Streaming_ = false;
  StateSince_ = Owner_->now();
  if (!KeepOpen_) {
    EndAfterFlush_ = true;
    flush();
    return;
  }
  parseNext();
}

// A following request may have arrived meanwhile; it is parsed from the event
// loop, not from within the answer to the previous one.
void ServerSession::parseNext() {
  if (In_.size() > 0)
    asio::post(Socket_.get_executor(), [Self = shared_from_this()] {
      if (!Self->Closed_ && Self->mayParse())
        Self->parse();
      Self->read();
    });
}

void ServerSession::send(std::string Text) {
  if (unsentBytes() == 0)
    SentAt_ = Owner_->now();
  if (Out_.empty())
    Out_ = std::move(Text);
  else
    Out_ += Text;
  if (Out_.size() > Owner_->Limits_.MaxBacklog_ && Streaming_)
    return endLater(SessionEnd::Backlog, "");
  flush();
  if (unsentBytes() >= Owner_->Limits_.HoldBackAt_)
    HeldBack_ = true;
}

// The caller has taken bytes.
void ServerSession::noteSent() {
  SentAt_ = Owner_->now();
  IsStalled_ = false;
}

// Most answers fit into the socket's buffer: they are written directly, which
// saves a pass of the event loop.
void ServerSession::flush() {
  if (!isOpen() || !Writing_.empty())
    return;
  if (Out_.empty()) {
    if (EndAfterFlush_)
      shutdownSending();
    return;
  }
  boost::system::error_code Code;
  Socket_.non_blocking(true, Code);
  std::size_t Sent = Socket_.write_some(asio::buffer(Out_), Code);
  if (Code && Code != asio::error::would_block)
    return endLater(SessionEnd::SendFailed, Code.message());
  if (!Code && Sent == Out_.size()) {
    Out_.clear();
    if (EndAfterFlush_)
      shutdownSending();
    return;
  }
  Writing_.swap(Out_);
  Writing_.erase(0, Code ? 0 : Sent);
  Out_.clear();
  // A caller that takes its answer slowly is not idle.
  auto NoteProgress = [Self = shared_from_this()](
                          boost::system::error_code Error, std::size_t Bytes) {
    if (Bytes > 0)
      Self->noteSent();
    if (!Self->InRequest_ && !Self->hasPartial())
      Self->StateSince_ = Self->Owner_->now();
    return asio::transfer_all()(Error, Bytes);
  };
  asio::async_write(Socket_, asio::buffer(Writing_), NoteProgress,
                    [Self = shared_from_this()](boost::system::error_code Error,
                                                std::size_t) {
                      Self->Writing_.clear();
                      if (Self->Closed_)
                        return;
                      if (Error)
                        return Self->onDisconnect(SessionEnd::SendFailed,
                                                  Error.message());
                      Self->flush();
                      Self->release();
                    });
}

void ServerSession::release() {
  if (Closed_ || !HeldBack_ || unsentBytes() > Owner_->Limits_.ResumeAt_)
    return;
  HeldBack_ = false;
  if (InRequest_)
    return Owner_->Handler_.onDrained(*this);
  parseNext();
  read();
}

void ServerSession::endLater(SessionEnd Why, const std::string &Detail) {
  Ending_ = true;
  Out_.clear();
  asio::post(Socket_.get_executor(), [Self = shared_from_this(), Why, Detail] {
    if (Self->Closed_)
      return;
    Self->reportEnd(Why, Detail);
    if (Self->InRequest_)
      Self->Owner_->Handler_.onCallerDisconnected(*Self);
    Why == SessionEnd::SendFailed ? Self->close() : Self->abort();
  });
}

void ServerSession::shutdownSending() {
  if (SendShutdown_)
    return;
  SendShutdown_ = true;
  StateSince_ = Owner_->now();
  ArrivedInTime_.reset();
  boost::system::error_code Ignored;
  Socket_.shutdown(tcp::socket::shutdown_send, Ignored);
  read();
}

// A connection that has just been answered stays open for LingerTime: its
// caller may not know of the shutdown, and a request that it has already sent
// gets an answer. A request that crosses a later close stays unread, which its
// caller can detect.
void ServerSession::closeIfIdle() {
  if (Closed_ || InRequest_ || SendShutdown_ || hasPartial() || In_.size() > 0)
    return;
  if (Out_.empty() && Writing_.empty() && unread() == 0 &&
      Owner_->now() - StateSince_ > LingerTime) {
    reportEnd(SessionEnd::Drained, "");
    close();
  }
}

void ServerSession::stop() {
  reportEnd(SessionEnd::Stopped, "");
  close();
}

std::size_t ServerSession::unread() const {
  boost::system::error_code Ignored;
  return Socket_.available(Ignored);
}

// Bytes that arrive after a limit has passed do not count, so a slow sender
// gains no time by them.
bool ServerSession::isOver(Duration Age, Duration Limit) {
  if (Age < Limit) {
    ArrivedInTime_.reset();
    return false;
  }
  if (!ArrivedInTime_)
    ArrivedInTime_ = unread();
  return *ArrivedInTime_ == 0;
}

void ServerSession::close() {
  if (Closed_)
    return;
  Closed_ = true;
  boost::system::error_code Ignored;
  Socket_.close(Ignored);
}

// After a pause of this process the bytes that the caller took meanwhile are
// noted between two checks, so the limit must have passed at both.
void ServerSession::checkStall(TimePoint Now) {
  // A caller that reads slowly empties the kernel's queue for seconds before
  // that accepts more bytes.
  int Queued = 0;
  if (!Closed_ && ::ioctl(Socket_.native_handle(), SIOCOUTQ, &Queued) == 0 &&
      std::exchange(KernelQueued_, Queued) > Queued)
    noteSent();
  bool IsOver = !Ending_ && unsentBytes() > 0 &&
                Now - SentAt_ >= Owner_->Limits_.StallLimit_;
  if (!IsOver) {
    IsStalled_ = false;
    return;
  }
  if (std::exchange(IsStalled_, true))
    endLater(SessionEnd::Stalled, "");
}

void ServerSession::check(TimePoint Now) {
  if (Closed_)
    return;
  if (InRequest_)
    return checkStall(Now);
  Duration Age = Now - StateSince_;
  if (SendShutdown_) {
    if (isOver(Age, LingerTime))
      close();
    return;
  }
  const SessionLimits &L = Owner_->Limits_;
  if (hasPartial()) {
    bool HeaderDone = Parser_->is_header_done();
    if (isOver(Age, HeaderDone ? L.BodyTimeout_ : L.HeaderTimeout_))
      refuse(status::Timeout,
             HeaderDone ? SessionEnd::BodyTimeout : SessionEnd::HeaderTimeout,
             "");
    return;
  }
  if (Age >= L.IdleTimeout_ && (unread() == 0 || unsentBytes() > 0)) {
    reportEnd(SessionEnd::Idle, "");
    close();
  }
}

} // namespace hawthornroad
