// Servers whose answers have a status that is no final one of HTTP.

#include "hawthornroad/base/HttpStatus.h"
#include "hawthornroad/http/ClientLink.h"
#include "hawthornroad/http/Framing.h"
#include "hawthornroad/runtime/Http.h"
#include "tests/unit/RawSocket.h"

#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace hawthornroad;

namespace {
constexpr auto WaitLimit = std::chrono::seconds(4);

struct Body {
  const char *Name_;
  // After the status line.
  const char *Rest_;
};
constexpr std::array Bodies = {
    Body{"none", "\r\n"}, Body{"length", "Content-Length: 2\r\n\r\nok"},
    Body{"chunked", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
    Body{"end of the connection", "X-A: 1\r\n\r\nok"}};

std::string answerOf(const char *Status, const Body &B) {
  return "HTTP/1.1 " + std::string(Status) + " -\r\n" + B.Rest_;
}

// A server that answers one request and keeps its connection open until the
// client has ended it.
class StatusFixture {
protected:
  StatusFixture() : Listener_(RawSocket::listenAt(Port_)) {}

  std::string address() const { return "127.0.0.1:" + std::to_string(Port_); }

  std::thread serve(std::string Answer) {
    return std::thread([this, Answer = std::move(Answer)] {
      RawSocket S = Listener_.accept();
      S.readUntil("hi");
      S.trySend(Answer);
      S.readUntil("never sent");
    });
  }

  // Waits for a link's answer: the status of its head, 0 for a failure, and
  // nothing when neither comes.
  std::optional<unsigned> sendOver(const std::shared_ptr<ClientLink> &L) {
    auto Done = std::make_shared<std::promise<unsigned>>();
    auto Ended = Done->get_future();
    Io_.submit([=] {
      ClientLink::Events E;
      E.OnHead_ = [=](unsigned Status, const HeaderFields &) {
        Done->set_value(Status);
        L->abandon();
      };
      E.OnFail_ = [=](const LinkFailure &F) {
        Done->set_value(F.NeverSent_ ? 1 : 0);
      };
      L->send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi", E);
    });
    if (Ended.wait_for(WaitLimit) != std::future_status::ready)
      return std::nullopt;
    return Ended.get();
  }

  std::optional<HttpResult> call() {
    HttpClient Client(Io_);
    auto Done = std::make_shared<std::promise<HttpResult>>();
    auto Ended = Done->get_future();
    Io_.submit([&, Done] {
      Client.call(
          address(), {.Method_ = "POST", .Target_ = "/x", .Body_ = "hi"},
          {.Timeout_ = Seconds(10)},
          {.OnDone_ = [Done](HttpResult R) { Done->set_value(std::move(R)); }});
    });
    if (Ended.wait_for(WaitLimit) != std::future_status::ready)
      return std::nullopt;
    return Ended.get();
  }

  std::uint16_t Port_ = 0;
  RawSocket Listener_;
  IoThread Io_{"test", 64};
};

constexpr std::array NotFinal = {"000", "042", "099", "101",
                                 "600", "700", "999"};
} // namespace

// Guards against an answer that is none by HTTP and is passed on, or waited
// out.
TEST_CASE_METHOD(StatusFixture,
                 "client link, given a status that is no final one, fails the "
                 "request at once",
                 "[http][status]") {
  const char *Status = GENERATE(from_range(NotFinal));
  Body B = GENERATE(from_range(Bodies));
  CAPTURE(Status, B.Name_);
  std::thread Server = serve(answerOf(Status, B));
  auto L = std::make_shared<ClientLink>(Io_.context(), address(),
                                        ClientLink::Options{});
  std::optional<unsigned> Out = sendOver(L);
  Io_.submit([L] { L->abandon(); });
  Server.join();
  // Failed, and its request may have run.
  CHECK(Out == 0U);
}

// The same, for calls whose answers are read as a whole.
TEST_CASE_METHOD(StatusFixture,
                 "http client, given a status that is no final one, reports an "
                 "error at once",
                 "[http][status]") {
  const char *Status = GENERATE(from_range(NotFinal));
  Body B = GENERATE(from_range(Bodies));
  CAPTURE(Status, B.Name_);
  std::thread Server = serve(answerOf(Status, B));
  std::optional<HttpResult> Out = call();
  Server.join();
  REQUIRE(Out);
  REQUIRE(Out->Error_);
  CHECK(std::string(Out->Error_->what()).find("no final one") !=
        std::string::npos);
}

// Guards against a server that keeps a request open by interim answers.
TEST_CASE_METHOD(StatusFixture,
                 "client link, given more interim answers than are allowed, "
                 "fails the request at once",
                 "[http][status]") {
  auto [Count, Expected] = GENERATE(table<unsigned, unsigned>(
      {{MaxInterimAnswers, 200}, {MaxInterimAnswers + 1, 0}}));
  CAPTURE(Count);
  std::string Answer;
  for (unsigned I = 0; I < Count; ++I)
    Answer += "HTTP/1.1 103 Early Hints\r\n\r\n";
  Answer += "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  std::thread Server = serve(Answer);
  auto L = std::make_shared<ClientLink>(Io_.context(), address(),
                                        ClientLink::Options{});
  std::optional<unsigned> Out = sendOver(L);
  Io_.submit([L] { L->abandon(); });
  Server.join();
  CHECK(Out == Expected);
}

// Guards against a status line that callers cannot read.
TEST_CASE("response head, given a status that is no final one, has 502",
          "[http][status]") {
  unsigned Status = GENERATE(0U, 42U, 100U, 199U, 600U, 999U, 1000U);
  CAPTURE(Status);
  std::string Head = responseHead(Status, {}, BodyFraming::Length, 0, true);
  CHECK(Head.starts_with("HTTP/1.1 502 "));
  CHECK(responseHead(599, {}, BodyFraming::Length, 0, true)
            .starts_with("HTTP/1.1 599 "));
}
