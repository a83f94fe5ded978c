#include "hawthornroad/base/HttpStatus.h"
#include "hawthornroad/runtime/Address.h"
#include "hawthornroad/runtime/Http.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <future>
#include <optional>

namespace hawthornroad {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr std::size_t ReadBuffer = 64 * 1024;
// Of a call by a command-line program, which has no other clients' requests.
constexpr std::size_t MaxFetched = 256 * 1024 * 1024;

http::request<http::string_body> makeMessage(const std::string &Address,
                                             HttpRequest R) {
  http::request<http::string_body> Message;
  Message.method_string(R.Method_);
  Message.target(R.Target_);
  Message.version(11);
  Message.set(http::field::host, Address);
  for (const HttpHeader &Each : R.Headers_)
    Message.insert(Each.Name_, Each.Value_);
  // One connection per call.
  Message.set(http::field::connection, "close");
  Message.body() = std::move(R.Body_);
  Message.prepare_payload();
  return Message;
}

class Call final : public HttpCall, public std::enable_shared_from_this<Call> {
public:
  Call(IoThread &Io, std::string Address, HttpRequest R, HttpClient::Options O,
       HttpClient::Callbacks C)
      : Io_(Io), Address_(std::move(Address)), Request_(std::move(R)),
        Options_(O), Callbacks_(std::move(C)), Stream_(Io.context()),
        TotalTimer_(Io.context()),
        ResumeTimer_(Io.context(), TimePoint::max()) {}

  void start() {
    asio::co_spawn(
        Io_.context(), [Self = shared_from_this()] { return Self->run(); },
        asio::detached);
  }

  void cancel() override {
    onIoThread([Self = shared_from_this()] { Self->close(); });
  }

  void pause() override {
    onIoThread([Self = shared_from_this()] { Self->Paused_ = true; });
  }

  void resume() override {
    onIoThread([Self = shared_from_this()] {
      Self->Paused_ = false;
      Self->ResumeTimer_.cancel();
    });
  }

private:
  template <class F> void onIoThread(F Work) {
    if (Io_.onThisThread())
      Work();
    else
      asio::post(Io_.context(), std::move(Work));
  }

  void close() {
    Cancelled_ = true;
    TotalTimer_.cancel();
    ResumeTimer_.cancel();
    boost::system::error_code Ignored;
    Stream_.socket().close(Ignored);
  }

  void startTotalTimer() {
    if (Options_.Timeout_ == Duration::zero())
      return;
    TotalTimer_.expires_after(Options_.Timeout_);
    TotalTimer_.async_wait(
        [Self = shared_from_this()](boost::system::error_code Code) {
          if (Code)
            return;
          Self->TimedOut_ = true;
          Self->ResumeTimer_.cancel();
          boost::system::error_code Ignored;
          Self->Stream_.socket().close(Ignored);
        });
  }

  void fail(Step Where, const std::string &Message) {
    HttpResult Result;
    Result.Error_.emplace(Where, Address_,
                          TimedOut_ ? "no answer within the timeout" : Message);
    Result.Sent_ = Sent_;
    done(std::move(Result));
  }

  void done(HttpResult Result) {
    TotalTimer_.cancel();
    if (!Cancelled_ && Callbacks_.OnDone_)
      Callbacks_.OnDone_(std::move(Result));
    Callbacks_ = {};
  }

  asio::awaitable<void> run() {
    startTotalTimer();
    tcp::endpoint Endpoint;
    std::string BadAddress;
    try {
      Endpoint = parseAddress(Address_, Step::Connect);
    } catch (const Error &E) {
      BadAddress = E.message();
    }
    if (!BadAddress.empty()) {
      fail(Step::Connect, BadAddress);
      co_return;
    }
    boost::system::error_code Code;
    Stream_.expires_after(Options_.ConnectTimeout_);
    co_await Stream_.async_connect(
        Endpoint, asio::redirect_error(asio::use_awaitable, Code));
    if (Code || Cancelled_) {
      fail(Step::Connect, Code.message());
      co_return;
    }
    Stream_.socket().set_option(tcp::no_delay(true), Code);
    auto Message = makeMessage(Address_, std::move(Request_));
    bool HeadOnly = Message.method() == http::verb::head;
    // Set before the first write: a failed write may still have delivered some
    // bytes.
    Sent_ = true;
    Stream_.expires_after(Options_.IdleTimeout_);
    co_await http::async_write(Stream_, Message,
                               asio::redirect_error(asio::use_awaitable, Code));
    if (Code || Cancelled_) {
      fail(Step::Send, Code.message());
      co_return;
    }
    co_await readResponse(HeadOnly);
  }

  using Parser = http::response_parser<http::buffer_body>;

  // Reads past interim (1xx) answers; false when the call has failed.
  asio::awaitable<bool> readFinalHead(bool HeadOnly, beast::flat_buffer &Buffer,
                                      std::optional<Parser> &Out) {
    boost::system::error_code Code;
    for (unsigned Interim = 0; Interim <= MaxInterimAnswers; ++Interim) {
      Out.emplace();
      Out->body_limit(Options_.MaxBody_);
      Out->skip(HeadOnly);
      Stream_.expires_after(Options_.IdleTimeout_);
      co_await http::async_read_header(
          Stream_, Buffer, *Out,
          asio::redirect_error(asio::use_awaitable, Code));
      if (Code || Cancelled_) {
        fail(Step::Receive, Code.message());
        co_return false;
      }
      unsigned Status = Out->get().result_int();
      if (isFinalStatus(Status))
        co_return true;
      if (!isInterimStatus(Status)) {
        fail(Step::Receive,
             "status " + std::to_string(Status) + " is no final one");
        co_return false;
      }
    }
    fail(Step::Receive, "too many interim answers");
    co_return false;
  }

  asio::awaitable<void> readResponse(bool HeadOnly) {
    boost::system::error_code Code;
    beast::flat_buffer Buffer;
    std::optional<Parser> FinalParser;
    if (!co_await readFinalHead(HeadOnly, Buffer, FinalParser))
      co_return;
    auto &Parser = *FinalParser;
    HttpResponse Response;
    Response.Status_ = Parser.get().result_int();
    for (const auto &Field : Parser.get())
      Response.Headers_.push_back(
          {std::string(Field.name_string()), std::string(Field.value())});
    // A body delimited only by the end of the connection looks the same as one
    // truncated by a crash, so it is never accepted as complete.
    if (!Parser.is_done() && Parser.need_eof()) {
      fail(Step::Receive, "response declares no length");
      co_return;
    }
    if (Callbacks_.OnHead_)
      Callbacks_.OnHead_(Response);
    std::vector<char> Chunk(ReadBuffer);
    while (!Parser.is_done() && !Cancelled_) {
      co_await waitWhilePaused();
      Parser.get().body().data = Chunk.data();
      Parser.get().body().size = Chunk.size();
      Stream_.expires_after(Options_.IdleTimeout_);
      co_await http::async_read_some(
          Stream_, Buffer, Parser,
          asio::redirect_error(asio::use_awaitable, Code));
      if (Code == http::error::need_buffer)
        Code = {};
      std::size_t Received = Chunk.size() - Parser.get().body().size;
      if (Received > 0 && !Cancelled_)
        deliver(Response, {Chunk.data(), Received});
      if (Code || Cancelled_) {
        fail(Step::Receive, Code.message());
        co_return;
      }
    }
    HttpResult Result;
    Result.Response_ = std::move(Response);
    Result.Sent_ = true;
    done(std::move(Result));
  }

  asio::awaitable<void> waitWhilePaused() {
    while (Paused_ && !Cancelled_ && !TimedOut_) {
      boost::system::error_code Ignored;
      ResumeTimer_.expires_at(TimePoint::max());
      co_await ResumeTimer_.async_wait(
          asio::redirect_error(asio::use_awaitable, Ignored));
    }
  }

  void deliver(HttpResponse &Response, std::string_view Bytes) {
    if (Callbacks_.OnData_)
      Callbacks_.OnData_(Bytes);
    else
      Response.Body_.append(Bytes);
  }

  IoThread &Io_;
  std::string Address_;
  HttpRequest Request_;
  HttpClient::Options Options_;
  HttpClient::Callbacks Callbacks_;
  beast::tcp_stream Stream_;
  asio::steady_timer TotalTimer_;
  asio::steady_timer ResumeTimer_;
  bool Paused_ = false;
  bool Sent_ = false;
  bool Cancelled_ = false;
  bool TimedOut_ = false;
};

} // namespace

struct HttpClient::State {
  explicit State(IoThread &Io) : Io_(Io) {}
  IoThread &Io_;
};

HttpClient::HttpClient(IoThread &Io) : State_(std::make_shared<State>(Io)) {}
HttpClient::~HttpClient() = default;

std::shared_ptr<HttpCall> HttpClient::call(const std::string &Address,
                                           HttpRequest R, Options O,
                                           Callbacks C) {
  auto NewCall = std::make_shared<Call>(State_->Io_, Address, std::move(R), O,
                                        std::move(C));
  NewCall->start();
  return NewCall;
}

HttpResponse httpFetch(const std::string &Address, const HttpRequest &R,
                       Duration Timeout) {
  std::promise<HttpResult> Promise;
  auto Future = Promise.get_future();
  IoThread Io("http-fetch", 16);
  HttpClient Client(Io);
  HttpClient::Options Options;
  Options.Timeout_ = Timeout;
  Options.IdleTimeout_ = Timeout;
  Options.MaxBody_ = MaxFetched;
  HttpClient::Callbacks Callbacks;
  Callbacks.OnDone_ = [&](HttpResult Result) {
    Promise.set_value(std::move(Result));
  };
  auto Call = Client.call(Address, R, Options, std::move(Callbacks));
  HttpResult Result = Future.get();
  Io.stop();
  if (Result.Error_)
    throw *Result.Error_;
  return std::move(*Result.Response_);
}

} // namespace hawthornroad
