// A caller's connection: requests one after another, answers sent at once or
// streamed.
//
//   struct Handler : SessionHandler {
//     void onRequest(std::shared_ptr<ServerSession> S, InboundRequest R)
//     override; void onCallerDisconnected(ServerSession &S) override;
//   };
//   auto L = std::make_shared<HttpListener>(Context, Limits, Handler);
//   L->open("10.0.0.1:8005");
//   S->respond(200, Fields, Body);
//   S->begin(200, Fields); S->write(Bytes); S->finish();
//
// The connection is read also while a request is in progress, so that a
// disconnect is noticed at once; bytes of a following request are buffered.
// A refusal of a malformed request closes the connection, since the start of
// the next one is unknown.
//
// Closing: the kernel resets a connection that is closed with unread bytes, and
// the caller could lose the last answer. So an ended session shuts down its
// sending side and reads on until the caller closes or LingerTime is over.
// abort() resets on purpose, so that no caller takes the truncated answer for a
// complete one.
//
// This process may not have run for a while when a limit has passed. So a
// connection with unread bytes does not count as idle, and a limit takes effect
// after the bytes that had arrived by then have been read.
//
// Slow callers: the handler reads less from its source while heldBack() is
// true, and onDrained() tells it when to go on. A caller that takes nothing of
// its answer for StallLimit_ is disconnected, and so is one that leaves more
// than MaxBacklog_ bytes of a stream unread. A following request is not parsed
// while too much of the answers before it is unread.
//
// Single-threaded. Limits: SessionLimits; at most MaxReadAhead bytes of
// following requests are buffered, and HeaderBytes_ of a request's framing.

#ifndef HAWTHORNROAD_HTTP_SERVERSESSION_H
#define HAWTHORNROAD_HTTP_SERVERSESSION_H

#include "hawthornroad/base/Types.h"
#include "hawthornroad/http/Framing.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornroad {

struct InboundRequest {
  std::string Method_;
  // Path and query.
  std::string Target_;
  HeaderFields Headers_;
  std::string Body_;
};

class ServerSession;

// Why a session ends its connection.
enum class SessionEnd {
  Idle,
  // Idle in a planned stop.
  Drained,
  HeaderTimeout,
  BodyTimeout,
  Malformed,
  // The caller does not read its stream.
  Backlog,
  // The caller takes nothing of its answer.
  Stalled,
  // This process holds too many bytes for its callers and endpoints.
  BuffersFull,
  SendFailed,
  CallerClosed,
  ReceiveFailed,
  // The process ends.
  Stopped
};
std::string_view toString(SessionEnd E);
// Whether the connection had ended or failed before.
bool isCallersEnd(SessionEnd E);

struct SessionEndReport {
  SessionEnd Why_ = SessionEnd::Idle;
  // A request was being answered, or its answer is not written whole yet.
  bool IsAnswering_ = false;
  // A request was being received: what has arrived of its headers.
  bool IsReceiving_ = false;
  HeaderFields Headers_;
  // Since the request's first byte, or since the last answer.
  Duration Age_ = Duration::zero();
  std::size_t UnsentBytes_ = 0;
  // The error, if any.
  std::string Detail_;
};

// A request whose body is not read, since refusesBodies().
struct RefusedRequest {
  std::string Method_;
  std::string Target_;
  HeaderFields Headers_;
};

class SessionHandler {
public:
  virtual ~SessionHandler() = default;
  virtual void onRequest(const std::shared_ptr<ServerSession> &S,
                         InboundRequest R) = 0;
  // The caller of the request in progress has disconnected.
  virtual void onCallerDisconnected(ServerSession &S) = 0;
  // The caller has taken most of what was unread when heldBack() became true.
  virtual void onDrained(ServerSession &S) {}
  // Whether requests are refused whose bodies have not arrived whole.
  virtual bool refusesBodies() const { return false; }
  // Answers such a request; the connection closes after the answer. Without an
  // answer the request is refused without fields.
  virtual void onBodyRefused(ServerSession &S, const RefusedRequest &R) {}
  // The connection is about to end, other than after an answer that says so.
  // Comes before onCallerDisconnected(), once for each connection.
  virtual void onEnd(ServerSession &S, const SessionEndReport &R) {}
};

struct SessionLimits {
  std::size_t HeaderBytes_ = 16 * 1024;
  std::size_t BodyBytes_ = 4 * 1024 * 1024;
  // Longest time from a request's first byte to its last header, and to its
  // last body byte.
  Duration HeaderTimeout_ = Seconds(3);
  Duration BodyTimeout_ = Seconds(10);
  Duration IdleTimeout_ = Seconds(15);
  std::size_t Connections_ = 3000;
  // A stream is aborted when more than this many bytes are unread.
  std::size_t MaxBacklog_ = 1024 * 1024;
  // A stream is held back from this many unread bytes on, until the second
  // number is left. An event has a few hundred bytes, so this is several
  // seconds of a stream; connections that keep up have none.
  std::size_t HoldBackAt_ = 128 * 1024;
  std::size_t ResumeAt_ = 32 * 1024;
  // Longer than callers wait for the next event of a stream, and than several
  // retransmissions on a lossy link take.
  Duration StallLimit_ = Seconds(15);
  bool operator==(const SessionLimits &) const = default;
};

class HttpListener;

class ServerSession : public std::enable_shared_from_this<ServerSession> {
public:
  using Socket = boost::asio::ip::tcp::socket;

  ServerSession(Socket S, std::shared_ptr<HttpListener> Owner);
  ~ServerSession();
  ServerSession(const ServerSession &) = delete;
  ServerSession &operator=(const ServerSession &) = delete;

  void start();

  // Each does nothing once the caller has disconnected. None calls the handler:
  // a failure to send is reported from the event loop.
  void respond(unsigned Status, const HeaderFields &Fields, std::string Body);
  void begin(unsigned Status, const HeaderFields &Fields);
  void write(std::string_view Bytes);
  void finish();
  void abort();

  std::size_t unsentBytes() const { return Out_.size() + Writing_.size(); }
  bool heldBack() const { return HeldBack_; }
  // Unsent bytes and those of requests that are not delivered yet.
  std::size_t heldBytes() const;
  // Disconnects the caller because this process holds too many bytes.
  void endForBuffers() { endLater(SessionEnd::BuffersFull, ""); }

  bool isIdle() const { return !InRequest_ && !hasPartial(); }
  // For the handler: the tag of its request, and whether one is in progress.
  std::uint64_t tag() const { return Tag_; }
  void setTag(std::uint64_t T) { Tag_ = T; }
  bool inRequest() const { return InRequest_; }
  // The id of the latest request, for reports of the handler.
  const std::string &requestId() const { return RequestId_; }
  void setRequestId(std::string Id) { RequestId_ = std::move(Id); }
  // Closes a connection that has been idle for LingerTime; one in use closes
  // after its answer.
  void closeIfIdle();
  void close();
  // Closes the connection because the process ends.
  void stop();
  // Enforces the timeouts; called by the listener.
  void check(TimePoint Now);

private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  bool isOpen() const { return !Closed_ && !Ending_; }
  bool hasPartial() const { return Parser_ && Parser_->got_some(); }
  // Whether the next request may be parsed.
  bool mayParse() const;
  // A request in parts: its framing is within the limits, and its body is
  // wanted; else answers it.
  bool acceptsPartial();
  // The body of the request can be delimited; else answers it.
  bool acceptsCoding();
  void parseNext();
  void noteSent();
  // Ends the hold when enough has been sent.
  void release();
  void checkStall(TimePoint Now);
  // Bytes that have arrived and are not read yet.
  std::size_t unread() const;
  bool isOver(Duration Age, Duration Limit);
  void read();
  void onRead(boost::system::error_code Code, std::size_t Bytes);
  void parse();
  void onDisconnect(SessionEnd Why, const std::string &Detail);
  void reportEnd(SessionEnd Why, const std::string &Detail);
  void refuse(unsigned Status, SessionEnd Why, const std::string &Detail);
  void deliver();
  void send(std::string Text);
  void flush();
  void onAnswerSent();
  // Ends the connection after the current call.
  void endLater(SessionEnd Why, const std::string &Detail);
  void shutdownSending();

  Socket Socket_;
  std::shared_ptr<HttpListener> Owner_;
  boost::beast::flat_buffer In_;
  std::optional<Parser> Parser_;
  // Bytes of a body's framing that the parser has left for more to follow.
  std::size_t LeftBytes_ = 0;
  std::string Out_;
  std::string Writing_;
  std::uint64_t Tag_ = 0;
  std::string RequestId_;
  TimePoint StateSince_;
  // When the caller last took bytes of its answers, or there were none.
  TimePoint SentAt_;
  // Bytes in the kernel's queue at the last check.
  int KernelQueued_ = 0;
  // The limit of StallLimit_ had passed at the last check.
  bool IsStalled_ = false;
  bool HeldBack_ = false;
  // Set once a time limit has passed: how many of the bytes that had arrived by
  // then are still unread.
  std::optional<std::size_t> ArrivedInTime_;
  bool Reading_ = false;
  bool InRequest_ = false;
  bool KeepOpen_ = true;
  bool Streaming_ = false;
  bool CanChunk_ = true;
  bool IsHead_ = false;
  bool EndAfterFlush_ = false;
  bool SendShutdown_ = false;
  bool IsEndReported_ = false;
  bool Ending_ = false;
  bool Closed_ = false;
  bool ContinueSent_ = false;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_HTTP_SERVERSESSION_H
