// Reads from an origin of weights whose address changes.

#include "hawthornroad/agent/OriginReader.h"

#include "hawthornroad/runtime/Io.h"
#include "tests/unit/RawSocket.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <future>
#include <thread>

using namespace hawthornroad;

namespace {
constexpr auto WaitLimit = std::chrono::seconds(5);

struct OriginReaderFixture {
  std::uint16_t SilentPort_ = 0;
  RawSocket Silent_ = RawSocket::listenAt(SilentPort_);
  std::uint16_t GoodPort_ = 0;
  RawSocket Good_ = RawSocket::listenAt(GoodPort_);
  // Answers one read.
  std::thread Server_;
  std::atomic<int> Doubts_{0};
  IoThread Io_{"test", 64};
  std::unique_ptr<OriginReader> Reader_ =
      std::make_unique<OriginReader>(Io_.context(), [this] { ++Doubts_; });

  ~OriginReaderFixture() {
    Io_.stop();
    if (Server_.joinable())
      Server_.join();
  }
  static std::string local(std::uint16_t Port) {
    return "127.0.0.1:" + std::to_string(Port);
  }
  void serveOnce(const std::string &Answer) {
    Server_ = std::thread([this, Answer] {
      RawSocket S = Good_.accept();
      S.readUntil("\r\n\r\n");
      S.trySend(Answer);
      S.readUntil("never");
    });
  }
  // Runs Do on the reader's thread.
  template <class Fn> void onThread(Fn Do) {
    std::promise<void> Ended;
    Io_.submit([&] {
      Do();
      Ended.set_value();
    });
    REQUIRE(Ended.get_future().wait_for(WaitLimit) ==
            std::future_status::ready);
  }
  static HttpMessage message() {
    HttpMessage M;
    M.Method_ = "GET";
    M.Target_ = "/";
    return M;
  }
  std::future<OriginReader::Result> read(bool IsUsable = true) {
    auto Got = std::make_shared<std::promise<OriginReader::Result>>();
    onThread([&] {
      Reader_->read(message(), {Seconds(2), 1024},
                    [Got, IsUsable](OriginReader::Result R) {
                      // Throws, and so ends the test, when called twice.
                      Got->set_value(std::move(R));
                      return IsUsable;
                    });
    });
    return Got->get_future();
  }
  static OriginReader::Result
  resultOf(std::future<OriginReader::Result> &Pending) {
    REQUIRE(Pending.wait_for(WaitLimit) == std::future_status::ready);
    return Pending.get();
  }
};
} // namespace

// Guards against reads of a former origin that end late, twice or never.
TEST_CASE_METHOD(OriginReaderFixture,
                 "origin reader, when the address changes, ends each read in "
                 "progress once and reads from the new address",
                 "[origin]") {
  onThread([&] { Reader_->setAddress(local(SilentPort_)); });
  auto First = read();
  auto Second = read();
  RawSocket Connected = Silent_.accept();
  Connected.readUntil("\r\n\r\n");
  serveOnce("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  onThread([&] { Reader_->setAddress(local(GoodPort_)); });
  CHECK(std::holds_alternative<OriginMoved>(resultOf(First)));
  CHECK(std::holds_alternative<OriginMoved>(resultOf(Second)));
  auto Third = read();
  OriginReader::Result R = resultOf(Third);
  REQUIRE(std::holds_alternative<HttpAnswer>(R));
  CHECK(std::get<HttpAnswer>(R).Body_ == "ok");
  CHECK(Reader_->address() == local(GoodPort_));
  CHECK(Doubts_ == 0);
}

// Guards against reads that are given up although nothing has changed.
TEST_CASE_METHOD(OriginReaderFixture,
                 "origin reader, given the address that it has, leaves reads "
                 "in progress alone",
                 "[origin]") {
  serveOnce("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  onThread([&] { Reader_->setAddress(local(GoodPort_)); });
  auto Pending = read();
  onThread([&] { Reader_->setAddress(local(GoodPort_)); });
  CHECK(std::holds_alternative<HttpAnswer>(resultOf(Pending)));
}

// Guards against an address that is looked up only when a version is named, and
// against a look-up for each of the reads that fail while an origin is down.
TEST_CASE_METHOD(OriginReaderFixture,
                 "origin reader, while reads go on failing, doubts the address "
                 "after a few and then rarely",
                 "[origin]") {
  std::uint16_t ClosedPort = 0;
  { RawSocket Closed = RawSocket::listenAt(ClosedPort); }
  onThread([&] { Reader_->setAddress(local(ClosedPort)); });
  for (unsigned I = 1; I < OriginReader::FailuresBeforeDoubt; ++I) {
    auto Pending = read(false);
    CHECK(std::holds_alternative<LinkFailure>(resultOf(Pending)));
  }
  onThread([] {});
  CHECK(Doubts_ == 0);
  constexpr unsigned More = 20;
  for (unsigned I = 0; I < More; ++I) {
    auto Pending = read(false);
    resultOf(Pending);
  }
  onThread([] {});
  CHECK(Doubts_ == 1);
}

// Guards against an address that another server has taken, which answers.
TEST_CASE_METHOD(OriginReaderFixture,
                 "origin reader, given answers that do not hold what was asked "
                 "for, doubts the address as after failures",
                 "[origin]") {
  onThread([&] { Reader_->setAddress(local(GoodPort_)); });
  for (unsigned I = 0; I < OriginReader::FailuresBeforeDoubt; ++I) {
    auto Pending = read(false);
    RawSocket S = Good_.accept();
    S.readUntil("\r\n\r\n");
    S.trySend("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n"
              "\r\nno");
    CHECK(std::holds_alternative<HttpAnswer>(resultOf(Pending)));
  }
  onThread([] {});
  CHECK(Doubts_ == 1);
}

// Guards against an address that is looked up late because reads of a silent
// origin fail one at a time, each after its whole time limit.
TEST_CASE_METHOD(OriginReaderFixture,
                 "origin reader, when reads fail far apart, doubts the address "
                 "at the second failure",
                 "[origin]") {
  onThread([&] { Reader_->setAddress(local(SilentPort_)); });
  auto First = read(false);
  CHECK(std::holds_alternative<LinkFailure>(resultOf(First)));
  onThread([] {});
  CHECK(Doubts_ == 0);
  auto Second = read(false);
  CHECK(std::holds_alternative<LinkFailure>(resultOf(Second)));
  onThread([] {});
  CHECK(Doubts_ == 1);
}
