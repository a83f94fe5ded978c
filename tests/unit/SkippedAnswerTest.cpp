// Late copies of earlier answers on a connection to an endpoint: they are read
// and dropped, and the request's own answer follows.

#include "hawthornroad/http/ClientLink.h"
#include "hawthornroad/runtime/Io.h"
#include "tests/unit/RawSocket.h"

#include <catch2/catch.hpp>
#include <future>
#include <thread>
#include <vector>

using namespace hawthornroad;

namespace {
struct SkipOutcome {
  std::vector<std::string> Stated_;
  std::string Body_;
  bool IsComplete_ = false;
  bool Failed_ = false;
  bool Reusable_ = false;
};

// Sends one request and skips the answers that state "copy".
SkipOutcome sendSkippingCopies(const std::vector<std::string> &Parts) {
  std::uint16_t Port = 0;
  RawSocket Listener = RawSocket::listenAt(Port);
  IoThread Io("test", 64);
  auto L = std::make_shared<ClientLink>(
      Io.context(), "127.0.0.1:" + std::to_string(Port), ClientLink::Options{});
  std::thread Server([&] {
    RawSocket S = Listener.accept();
    S.readUntil("hi");
    for (const std::string &Each : Parts) {
      S.trySend(Each);
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
  });
  SkipOutcome Out;
  std::promise<void> Ended;
  ClientLink::Events E;
  E.OnHead_ = [&](unsigned, const HeaderFields &Fields) {
    const std::string *Stated = findField(Fields, "X-Stated");
    Out.Stated_.push_back(Stated != nullptr ? *Stated : "");
    if (Out.Stated_.back() == "copy")
      L->skipAnswer();
  };
  E.OnBody_ = [&](const std::string &Bytes) { Out.Body_ += Bytes; };
  E.OnEnd_ = [&](bool) {
    Out.IsComplete_ = true;
    Out.Reusable_ = L->isFree();
    Ended.set_value();
  };
  E.OnFail_ = [&](const LinkFailure &) {
    Out.Failed_ = true;
    Ended.set_value();
  };
  Io.submit([&] { L->send("POST / HTTP/1.1\r\n\r\nhi", std::move(E)); });
  Ended.get_future().wait();
  std::promise<void> Abandoned;
  Io.submit([&] {
    L->abandon();
    Abandoned.set_value();
  });
  Abandoned.get_future().wait();
  Server.join();
  return Out;
}
} // namespace

// Guards against a late copy of an earlier answer whose bytes are taken for the
// request's own, wherever they are split.
TEST_CASE(
    "client link, told to skip an answer, delivers the next one alone and "
    "is not reused",
    "[http]") {
  const std::string Copy = "HTTP/1.1 503 -\r\nX-Stated: copy\r\n"
                           "Content-Length: 3\r\n\r\nold";
  const std::string Chunked = "HTTP/1.1 200 -\r\nX-Stated: copy\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n"
                              "3\r\nold\r\n0\r\n\r\n";
  const std::string Own = "HTTP/1.1 200 -\r\nX-Stated: own\r\n"
                          "Content-Length: 3\r\n\r\nnew";
  auto First = GENERATE_COPY(as<std::string>(), Copy, Chunked);
  const std::string All = First + Own;
  auto SplitAt = GENERATE(0U, 1U, 20U, 48U, 55U, 70U, 90U, 110U, 1000U);
  std::size_t At = std::min<std::size_t>(SplitAt, All.size());
  CAPTURE(First, At);
  SkipOutcome Out = sendSkippingCopies({All.substr(0, At), All.substr(At)});
  CHECK(Out.Stated_ == std::vector<std::string>{"copy", "own"});
  CHECK(Out.IsComplete_);
  CHECK(Out.Body_ == "new");
  CHECK_FALSE(Out.Reusable_);
}

// Guards against an attempt without an end: no answer can follow.
TEST_CASE("client link, told to skip an answer that ends its connection, fails",
          "[http]") {
  auto Framing = GENERATE(as<std::string>(),
                          "Connection: close\r\n"
                          "Content-Length: 3\r\n",
                          "Connection: close\r\n");
  SkipOutcome Out = sendSkippingCopies(
      {"HTTP/1.1 503 -\r\nX-Stated: copy\r\n" + Framing + "\r\nold"});
  CHECK(Out.Failed_);
  CHECK(Out.Body_.empty());
}
