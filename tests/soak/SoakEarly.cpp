#include "tests/soak/SoakEarly.h"

#include "tests/soak/SoakEndpoint.h"

#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/serialize.hpp>

namespace hawthornroad {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using asio::ip::tcp;

namespace {
constexpr int ReceiveBuffer = 16 * 1024;
constexpr std::size_t PartBytes = 4;
constexpr std::array ResetDelays = {Milliseconds(50), Milliseconds(400)};

TimePoint now() { return std::chrono::steady_clock::now(); }
} // namespace

struct SoakEarly::Session {
  Session(tcp::socket S)
      : Socket_(std::move(S)), Timer_(Socket_.get_executor()) {}

  tcp::socket Socket_;
  asio::steady_timer Timer_;
  beast::flat_buffer Buffer_;
  http::request_parser<http::empty_body> Parser_;
  std::string Text_;
};

SoakEarly::SoakEarly(Options O, SoakRecord &Record)
    : Options_(std::move(O)), Record_(Record), Random_(Options_.Seed_),
      Acceptor_(Io_.context()) {
  tcp::endpoint At(asio::ip::make_address("127.0.0.1"), 0);
  Acceptor_.open(At.protocol());
  // Inherited by connections: the kernel must not take the upload.
  Acceptor_.set_option(asio::socket_base::receive_buffer_size(ReceiveBuffer));
  Acceptor_.bind(At);
  Acceptor_.listen();
  Address_ = "127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port());
  Io_.submit([this] { accept(); });
}

SoakEarly::~SoakEarly() {
  Record_.endpointEnds(id(), now());
  Io_.stop();
}

std::string SoakEarly::row() const {
  return json::serialize(json::object{{"service", Service},
                                      {"address", Address_},
                                      {"zone", Options_.Zone_},
                                      {"version", "v1"},
                                      {"slots", SoakEndpoint::Slots},
                                      {"state", "ready"},
                                      {"seq", 1}});
}

void SoakEarly::accept() {
  Acceptor_.async_accept([this](beast::error_code Code, tcp::socket Socket) {
    if (!Code)
      read(std::make_shared<Session>(std::move(Socket)));
    accept();
  });
}

void SoakEarly::read(const SessionPtr &S) {
  S->Parser_.body_limit(2 * UploadBytes);
  http::async_read_header(S->Socket_, S->Buffer_, S->Parser_,
                          [this, S](beast::error_code Code, std::size_t) {
                            if (!Code)
                              answer(S);
                          });
}

void SoakEarly::answer(const SessionPtr &S) {
  const auto &Request = S->Parser_.get();
  if (Request.method() == http::verb::get)
    return answerHealth(S);
  std::string Id = Request["X-Hawthornroad-Request-Id"];
  std::string Body = "from " + id();
  bool IsWhole = Random_.below(2) == 0;
  TimePoint Now = now();
  SoakRun Run{.Endpoint_ = id(),
              .Service_ = Service,
              .Zone_ = Options_.Zone_,
              .From_ = Now};
  std::string Left = Request["X-Hawthornroad-Deadline-Ms"];
  if (!Left.empty())
    Run.Left_ = Milliseconds(std::stoi(Left));
  Record_.endRun(Id, Record_.beginRun(Id, std::move(Run)),
                 IsWhole ? SoakRun::End::Whole : SoakRun::End::BrokenOff, Now);
  send(S,
       "HTTP/1.1 200 OK\r\nX-Hawthornroad-Server-Stamp: stamp-" + id() +
           "\r\nX-Hawthornroad-Instance-Id: " + id() +
           "\r\nX-Hawthornroad-Request-Id: " + Id +
           "\r\nX-Hawthornroad-Cold-Ms: 0\r\n\r\n" +
           Body.substr(0, IsWhole ? Body.size() : PartBytes),
       IsWhole, ResetDelays[Random_.below(ResetDelays.size())]);
}

void SoakEarly::answerHealth(const SessionPtr &S) {
  send(S,
       "HTTP/1.1 200 OK\r\nX-Hawthornroad-Instance-Id: " + id() +
           "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
       true, ResetDelays.back());
}

void SoakEarly::send(const SessionPtr &S, std::string Text, bool IsWhole,
                     Duration ResetAfter) {
  S->Text_ = std::move(Text);
  asio::async_write(
      S->Socket_, asio::buffer(S->Text_),
      [S, IsWhole, ResetAfter](beast::error_code Code, std::size_t) {
        if (Code)
          return;
        boost::system::error_code Ignored;
        if (IsWhole)
          S->Socket_.shutdown(tcp::socket::shutdown_send, Ignored);
        S->Timer_.expires_after(ResetAfter);
        S->Timer_.async_wait([S](beast::error_code) {
          boost::system::error_code Unused;
          S->Socket_.set_option(asio::socket_base::linger(true, 0), Unused);
          S->Socket_.close(Unused);
        });
      });
}

} // namespace hawthornroad
