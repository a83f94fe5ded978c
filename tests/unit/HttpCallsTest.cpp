// Whole calls to one server, which answers as slowly as a full link makes it.

#include "hawthornroad/http/HttpCalls.h"
#include "hawthornroad/runtime/Io.h"
#include "tests/unit/RawSocket.h"

#include <atomic>
#include <future>
#include <thread>

using namespace hawthornroad;

namespace {
constexpr auto Patience = std::chrono::seconds(5);
} // namespace

// Thirty entries read one long configuration over one link between regions.
// Each answer came steadily, but not whole within the limit: readers gave up
// and began anew. One had the store back 17 s after the store had returned.
TEST_CASE("calls to one server, given an answer that comes slowly, bound each "
          "silence and the whole apart",
          "[http]") {
  using std::chrono::milliseconds;
  struct Row {
    std::string Name_;
    milliseconds Whole_;
    int Sent_;
    bool IsWhole_;
  };
  constexpr int Pieces = 5;
  constexpr milliseconds Gap(120);
  constexpr milliseconds Limit(300);
  for (const Row &R : std::vector<Row>{
           {"limit on the whole", milliseconds(0), Pieces, false},
           {"limit on each silence", milliseconds(4000), Pieces, true},
           {"silent midway", milliseconds(4000), 2, false},
           {"whole takes too long", milliseconds(400), Pieces, false}}) {
    INFO(R.Name_);
    std::uint16_t Port = 0;
    RawSocket Listener = RawSocket::listenAt(Port);
    IoThread Io("test", 64);
    HttpCalls::Options O;
    O.WholeLimit_ = R.Whole_;
    HttpCalls Calls(Io.context(), "127.0.0.1:" + std::to_string(Port), O);
    std::promise<void> Told;
    std::thread Server([&] {
      RawSocket S = Listener.accept();
      S.readUntil("\r\n\r\n");
      S.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Pieces) +
             "\r\n\r\n");
      for (int I = 0; I < R.Sent_; ++I) {
        std::this_thread::sleep_for(Gap);
        S.trySend("x");
      }
      Told.get_future().wait_for(Patience);
    });
    std::promise<HttpCalls::Result> Got;
    Io.submit([&] {
      HttpMessage M;
      M.Method_ = "GET";
      M.Target_ = "/";
      Calls.call(M, Limit, [&](HttpCalls::Result Answer) {
        Got.set_value(std::move(Answer));
      });
    });
    auto Future = Got.get_future();
    REQUIRE(Future.wait_for(Patience) == std::future_status::ready);
    HttpCalls::Result Answer = Future.get();
    Told.set_value();
    Server.join();
    Io.stop();
    const auto *Whole = std::get_if<HttpAnswer>(&Answer);
    REQUIRE((Whole != nullptr) == R.IsWhole_);
    if (Whole != nullptr)
      REQUIRE(Whole->Body_ == std::string(Pieces, 'x'));
  }
}

// Guards against long answers that nobody waits for any more and that fill the
// link: the server must see its connection end.
TEST_CASE("calls to one server, cancelled while the answer comes, close the "
          "connection and give no result",
          "[http]") {
  std::uint16_t Port = 0;
  RawSocket Listener = RawSocket::listenAt(Port);
  IoThread Io("test", 64);
  HttpCalls Calls(Io.context(), "127.0.0.1:" + std::to_string(Port), {});
  std::promise<void> Begun;
  std::promise<bool> SawEnd;
  std::thread Server([&] {
    RawSocket S = Listener.accept();
    S.readUntil("\r\n\r\n");
    S.send("HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nx");
    Begun.set_value();
    SawEnd.set_value(S.readUntil("never").empty());
  });
  std::atomic<bool> HasResult{false};
  HttpCalls::Cancel Cancel;
  Io.submit([&] {
    HttpMessage M;
    M.Method_ = "GET";
    M.Target_ = "/";
    Cancel = Calls.call(M, Patience,
                        [&](const HttpCalls::Result &) { HasResult = true; });
  });
  Begun.get_future().wait();
  std::promise<void> Done;
  Io.submit([&] {
    Cancel();
    Cancel();
    Done.set_value();
  });
  Done.get_future().wait();
  auto End = SawEnd.get_future();
  // The socket's own limit on reading is longer than this.
  REQUIRE(End.wait_for(std::chrono::seconds(2)) == std::future_status::ready);
  REQUIRE(End.get());
  Server.join();
  Io.stop();
  REQUIRE_FALSE(HasResult);
}
