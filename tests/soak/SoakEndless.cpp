#include "tests/soak/SoakEndless.h"

#include "tests/soak/SoakEndpoint.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/serialize.hpp>

namespace hawthornroad {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;

namespace {
constexpr std::size_t PartBytes = 16 * 1024;

TimePoint now() { return std::chrono::steady_clock::now(); }

// A chunk whose bytes complete no event.
std::string chunk() {
  std::ostringstream Out;
  Out << std::hex << PartBytes << "\r\n"
      << std::string(PartBytes, 'x') << "\r\n";
  return Out.str();
}
} // namespace

struct SoakEndless::Session {
  explicit Session(asio::ip::tcp::socket S) : Socket_(std::move(S)) {}

  asio::ip::tcp::socket Socket_;
  beast::flat_buffer Buffer_;
  http::request<http::string_body> Request_;
  // What is sent next, and what follows over and over.
  std::string Text_;
  std::string Rest_;
};

SoakEndless::SoakEndless(Options O, SoakRecord &Record)
    : Options_(std::move(O)), Record_(Record), Random_(Options_.Seed_),
      Acceptor_(Io_.context(), {asio::ip::make_address("127.0.0.1"), 0}) {
  Address_ = "127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port());
  Io_.submit([this] { accept(); });
}

SoakEndless::~SoakEndless() {
  Record_.endpointEnds(id(), now());
  Io_.stop();
}

std::string SoakEndless::row() const {
  return json::serialize(json::object{{"service", "api"},
                                      {"address", Address_},
                                      {"zone", Options_.Zone_},
                                      {"version", "v1"},
                                      {"slots", SoakEndpoint::Slots},
                                      {"state", "ready"},
                                      {"seq", 1}});
}

void SoakEndless::accept() {
  Acceptor_.async_accept(
      [this](beast::error_code Code, asio::ip::tcp::socket Socket) {
        if (!Code)
          read(std::make_shared<Session>(std::move(Socket)));
        accept();
      });
}

void SoakEndless::read(const SessionPtr &S) {
  http::async_read(S->Socket_, S->Buffer_, S->Request_,
                   [this, S](beast::error_code Code, std::size_t) {
                     if (!Code)
                       answer(S);
                   });
}

void SoakEndless::answer(const SessionPtr &S) {
  std::string Id = S->Request_["X-Hawthornroad-Request-Id"];
  TimePoint Now = now();
  SoakRun Run{.Endpoint_ = id(), .Zone_ = Options_.Zone_, .From_ = Now};
  std::string Left = S->Request_["X-Hawthornroad-Deadline-Ms"];
  if (!Left.empty())
    Run.Left_ = Milliseconds(std::stoi(Left));
  Record_.endRun(Id, Record_.beginRun(Id, std::move(Run)),
                 SoakRun::End::BrokenOff, Now);
  S->Text_ = "HTTP/1.1 200 OK\r\nX-Hawthornroad-Server-Stamp: stamp-" + id() +
             "\r\nX-Hawthornroad-Instance-Id: " + id() +
             "\r\nX-Hawthornroad-Request-Id: " + Id +
             "\r\nX-Hawthornroad-Cold-Ms: 0\r\n";
  if (Random_.below(2) == 0) {
    S->Text_ += "X-Filler: ";
    S->Rest_ = std::string(PartBytes, 'x');
  } else {
    bool IsStream = S->Request_.target().starts_with("/stream");
    S->Text_ += "Content-Type: ";
    S->Text_ += IsStream ? "text/event-stream" : "text/plain";
    S->Text_ += "\r\nTransfer-Encoding: chunked\r\n\r\n";
    S->Rest_ = chunk();
  }
  writeOn(S);
}

// Ends when the connection does.
void SoakEndless::writeOn(const SessionPtr &S) {
  asio::async_write(S->Socket_, asio::buffer(S->Text_),
                    [this, S](beast::error_code Code, std::size_t) {
                      if (Code)
                        return;
                      S->Text_ = S->Rest_;
                      writeOn(S);
                    });
}

} // namespace hawthornroad
