// Answers that arrive while their request is still being written.

#include "hawthornroad/http/HttpCalls.h"
#include "hawthornroad/runtime/Io.h"
#include "tests/unit/RawSocket.h"

#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace hawthornroad;

namespace {
constexpr auto WaitLimit = std::chrono::seconds(5);
constexpr std::size_t UploadBytes = 4'100'000;
constexpr int SmallBuffer = 16 * 1024;
// Long enough for the client to have noticed what was sent before it.
constexpr auto Pause = std::chrono::milliseconds(60);

// How the server ends its answer, which it sends once it has the request's
// head.
enum class Ending {
  Reset,
  // Shuts down its side and keeps the connection.
  Shutdown,
  // Shuts down its side and resets the connection afterwards.
  ShutdownThenReset,
  // Closes with bytes unread, which the kernel makes a reset.
  CloseUnread
};

struct Outcome {
  bool IsComplete_ = false;
  bool IsFailed_ = false;
  std::string Body_;
};

struct EarlyAnswerFixture {
  std::uint16_t Port_ = 0;
  RawSocket Listener_ = RawSocket::listenAt(Port_);
  std::promise<void> ClientDone_;
  std::thread Server_;
  IoThread Io_{"test", 64};

  EarlyAnswerFixture() { Listener_.setReceiveBuffer(SmallBuffer); }
  ~EarlyAnswerFixture() {
    Io_.stop();
    if (Server_.joinable())
      Server_.join();
  }
  std::string address() const { return "127.0.0.1:" + std::to_string(Port_); }

  // Answers one request early and ends the answer so after Delay.
  void serve(const std::string &Answer, Ending How,
             std::chrono::milliseconds Delay = Pause) {
    Server_ = std::thread([=, this, Done = ClientDone_.get_future()]() mutable {
      RawSocket S = Listener_.accept();
      std::string Head(512, '\0');
      S.readSome(Head);
      S.send(Answer);
      if (How == Ending::Shutdown || How == Ending::ShutdownThenReset)
        ::shutdown(S.handle(), SHUT_WR);
      std::this_thread::sleep_for(Delay);
      if (How == Ending::Reset || How == Ending::ShutdownThenReset)
        S.reset();
      if (How == Ending::CloseUnread)
        S.close();
      Done.wait_for(WaitLimit);
    });
  }

  // Uploads and returns how the answer ended. ReadLater: the answer is not read
  // between its head and a time when the write has failed.
  Outcome upload(bool ReadLater = false) {
    auto Out = std::make_shared<Outcome>();
    auto Done = std::make_shared<std::promise<void>>();
    auto Ended = Done->get_future();
    Io_.submit([=, this] {
      auto L = std::make_shared<ClientLink>(Io_.context(), address(),
                                            ClientLink::Options{});
      ClientLink::Events E;
      E.OnHead_ = [=, this](unsigned, const HeaderFields &) {
        if (!ReadLater)
          return;
        L->pause();
        Io_.after(5 * Pause, [L] { L->resume(); });
      };
      E.OnBody_ = [=](const std::string &Bytes) { Out->Body_ += Bytes; };
      E.OnEnd_ = [=](bool) {
        Out->IsComplete_ = true;
        Done->set_value();
      };
      E.OnFail_ = [=](const LinkFailure &) {
        Out->IsFailed_ = true;
        Done->set_value();
      };
      L->send("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                  std::to_string(UploadBytes) + "\r\n\r\n" +
                  std::string(UploadBytes, 'u'),
              E);
    });
    REQUIRE(Ended.wait_for(WaitLimit) == std::future_status::ready);
    ClientDone_.set_value();
    return *Out;
  }
};

const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string Unframed = Ok + "\r\nabcd";
} // namespace

// Guards against a part of an answer that counts as whole: the failed write of
// the upload takes the connection's error, and the read sees an ordinary end.
TEST_CASE_METHOD(EarlyAnswerFixture,
                 "client link, whose early answer without a length is reset, "
                 "fails it",
                 "[early]") {
  auto ReadLater = GENERATE(false, true);
  auto How = GENERATE(Ending::Reset, Ending::CloseUnread);
  auto Delay =
      GENERATE(std::chrono::milliseconds(50), std::chrono::milliseconds(400));
  CAPTURE(ReadLater, static_cast<int>(How), Delay.count());
  serve(Unframed, How, Delay);
  Outcome O = upload(ReadLater);
  CHECK(O.IsFailed_);
  CHECK_FALSE(O.IsComplete_);
}

// Guards against whole answers that are thrown away: a server may answer early,
// end its side in order and not want the rest of the upload.
TEST_CASE_METHOD(EarlyAnswerFixture,
                 "client link, whose early answer without a length ends in "
                 "order, before or after the write has failed, passes it whole",
                 "[early]") {
  auto ReadLater = GENERATE(false, true);
  auto How = GENERATE(Ending::Shutdown, Ending::ShutdownThenReset);
  CAPTURE(ReadLater, static_cast<int>(How));
  serve(Unframed, How);
  Outcome O = upload(ReadLater);
  CHECK(O.IsComplete_);
  CHECK(O.Body_ == "abcd");
}

// Guards against a framed answer that is judged by the end of its connection.
TEST_CASE_METHOD(EarlyAnswerFixture,
                 "client link, whose early answer is framed and reset, passes "
                 "it if it is complete and fails it otherwise",
                 "[early]") {
  struct Row {
    std::string Name_, Answer_;
    bool IsComplete_ = false;
  };
  const Row R = GENERATE_COPY(values<Row>(
      {{"length", Ok + "Content-Length: 4\r\n\r\nabcd", true},
       {"short of its length", Ok + "Content-Length: 8\r\n\r\nabcd", false},
       {"chunked",
        Ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n", true},
       {"without last chunk",
        Ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n", false}}));
  CAPTURE(R.Name_);
  serve(R.Answer_, Ending::Reset);
  Outcome O = upload();
  CHECK(O.IsComplete_ == R.IsComplete_);
  CHECK(O.IsFailed_ != R.IsComplete_);
}

// Guards against calls that collect a part of an answer, such as rows of the
// store, and take it for whole.
TEST_CASE_METHOD(EarlyAnswerFixture,
                 "calls to one server, whose early answer without a length is "
                 "reset, fail",
                 "[early]") {
  serve(Unframed, Ending::Reset);
  HttpCalls Calls(Io_.context(), address(), {});
  std::promise<HttpCalls::Result> Got;
  auto Ended = Got.get_future();
  Io_.submit([&] {
    HttpMessage M;
    M.Method_ = "POST";
    M.Target_ = "/";
    M.Body_ = std::string(UploadBytes, 'u');
    Calls.call(M, {WaitLimit, 1024},
               [&](HttpCalls::Result R) { Got.set_value(std::move(R)); });
  });
  REQUIRE(Ended.wait_for(WaitLimit) == std::future_status::ready);
  HttpCalls::Result R = Ended.get();
  ClientDone_.set_value();
  CHECK(std::holds_alternative<LinkFailure>(R));
}
