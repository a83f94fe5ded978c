#include "tests/soak/SoakCaller.h"

#include "hawthornroad/runtime/Address.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace hawthornroad {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {
TimePoint now() { return std::chrono::steady_clock::now(); }

void setError(SoakOutcome &O, beast::error_code Code, SoakOutcome::End End) {
  O.End_ = Code == beast::error::timeout ? SoakOutcome::End::TimedOut : End;
  O.Error_ = Code.message();
}
} // namespace

http::request<http::string_body> messageOf(const SoakRequest &R,
                                           const std::string &Target) {
  http::request<http::string_body> Out(http::verb::post, Target, 11);
  Out.set(http::field::host, "127.0.0.1");
  Out.set("X-Hawthornroad-Request-Id", R.Id_);
  Out.set("X-Hawthornroad-Deadline-Ms",
          std::to_string(R.Deadline_ / Milliseconds(1)));
  Out.set(http::field::authorization, "Token " + R.Key_);
  if (!R.Model_.empty()) {
    Out.set("X-Hawthornroad-Model", R.Model_);
    Out.set("X-Hawthornroad-Token-Usage", "200,24");
  }
  if (!R.Parts_.empty())
    Out.set("X-Hawthornroad-Prompt-Prefix", R.Parts_);
  Out.body() = "{}" + std::string(R.BodyBytes_ - 2, ' ');
  Out.prepare_payload();
  return Out;
}

void setAnswer(SoakOutcome &O,
               const http::response<http::string_body> &Answer) {
  O.Answer_.Status_ = Answer.result_int();
  O.Answer_.Stamp_ = Answer["X-Hawthornroad-Server-Stamp"];
  O.Answer_.EchoedId_ = Answer["X-Hawthornroad-Request-Id"];
  O.Answer_.Body_ = Answer.body();
}

SoakOutcome SoakCaller::call(const std::string &Address,
                             const std::string &Target, const SoakRequest &R) {
  SoakOutcome O;
  O.IsKept_ = Connections_.contains(Address);
  bool IsOpen = O.IsKept_ || connect(Address, R, O);
  if (IsOpen && !exchange(*Connections_.at(Address), Target, R, O))
    Connections_.erase(Address);
  O.EndedAt_ = now();
  O.Answer_.At_ = O.EndedAt_;
  return O;
}

bool SoakCaller::connect(const std::string &Address, const SoakRequest &R,
                         SoakOutcome &O) {
  auto Stream = std::make_unique<beast::tcp_stream>(Io_);
  beast::error_code Code;
  Stream->expires_at(R.SentAt_ + R.Deadline_);
  Stream->async_connect(parseAddress(Address, Step::Connect),
                        [&](beast::error_code C) { Code = C; });
  Io_.restart();
  Io_.run();
  if (Code) {
    O.End_ = SoakOutcome::End::Refused;
    O.Error_ = Code.message();
    return false;
  }
  Connections_[Address] = std::move(Stream);
  return true;
}

bool SoakCaller::exchange(beast::tcp_stream &Stream, const std::string &Target,
                          const SoakRequest &R, SoakOutcome &O) {
  http::request<http::string_body> Request = messageOf(R, Target);
  http::response_parser<http::string_body> Parser;
  beast::flat_buffer Buffer;
  beast::error_code Code;
  Stream.expires_at(R.SentAt_ + R.Deadline_);
  http::async_write(Stream, Request, [&](beast::error_code C, std::size_t) {
    Code = C;
    if (C)
      return;
    O.WrittenAt_ = now();
    http::async_read(Stream, Buffer, Parser,
                     [&](beast::error_code E, std::size_t) { Code = E; });
  });
  Io_.restart();
  Io_.run();
  const auto &Answer = Parser.get();
  if (Parser.is_header_done())
    setAnswer(O, Answer);
  if (Code) {
    setError(O, Code, SoakOutcome::End::Closed);
    return false;
  }
  O.End_ = SoakOutcome::End::Whole;
  bool StaysOpen = Answer.keep_alive();
  return StaysOpen;
}

} // namespace hawthornroad
