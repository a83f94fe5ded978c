// The end of an entry on a platform with a store while requests are open.

#include "tests/integration/PlatformFixture.h"
#include "tests/unit/RawSocket.h"

#include <catch2/catch.hpp>
#include <csignal>
#include <future>
#include <thread>

using namespace hawthornroad;

namespace {
// The entry waits for answers for a little less.
constexpr Duration StopBound = Seconds(3);
// An answer that takes longer than that and less than its route allows.
constexpr Duration AnswerDelay = Milliseconds(3800);
// A stream of six events takes longer than that, too, and none is late.
constexpr Duration EventPause = Milliseconds(850);

struct StoreStopFixture : PlatformFixture {
  Process &Entry_;

  StoreStopFixture() : Entry_(startConfigured()) {}

  Process &startConfigured() {
    configure();
    Process &Entry = startEntry(Milliseconds(2000), StopBound);
    eventually([&] { return isReady(); }, "the entry is ready");
    return Entry;
  }
  void delayAnswers(Duration D) {
    A_.setDelay(D);
    B_.setDelay(D);
  }
  std::unique_ptr<StreamCall> begin(const std::string &Target,
                                    const std::string &Id) {
    int Before = A_.runs() + B_.runs();
    auto Call =
        std::make_unique<StreamCall>(callers(), request(Target, "key1", Id));
    eventually([&] { return A_.runs() + B_.runs() > Before; }, Id + " runs");
    return Call;
  }
  void stop() {
    Entry_.terminate();
    eventually([&] { return !isReady(); }, "the signal is taken");
  }
};
} // namespace

// Guards against cutting all answers under way when a platform repeats the
// signal of a planned stop.
TEST_CASE_METHOD(StoreStopFixture,
                 "store entry, told to stop twice, finishes its requests and "
                 "logs the repeated signal") {
  delayAnswers(Milliseconds(1500));
  auto Call = begin("/stream/1", "s");
  stop();
  Entry_.terminate();
  ::kill(Entry_.pid(), SIGINT);
  StreamResult R = Call->wait();
  REQUIRE(R.Whole_);
  REQUIRE(R.Events_.size() == Events);
  REQUIRE(Entry_.waitExit() == 0);
  REQUIRE(Entry_.restOfOutput().find("\"event\":\"stop_repeated\"") !=
          std::string::npos);
}

// Guards against requests that end without an answer and without a log line
// when the time of a planned stop is over.
TEST_CASE_METHOD(StoreStopFixture,
                 "store entry, at the end of its stop with requests open, "
                 "answers those that have no answer yet and logs the others") {
  A_.setEventPause(EventPause);
  B_.setEventPause(EventPause);
  auto Stream = begin("/stream/1", "cut-stream");
  eventually([&] { return !Stream->resultSoFar().Events_.empty(); },
             "the stream has begun");
  delayAnswers(AnswerDelay);
  auto Plain = begin("/safe/1", "late-answer");
  stop();
  StreamResult Answer = Plain->wait();
  REQUIRE(Answer.Status_ == 502);
  REQUIRE(Answer.Whole_);
  REQUIRE_FALSE(Stream->wait().Whole_);
  REQUIRE(Entry_.waitExit() == 0);
  std::string Log = Entry_.restOfOutput();
  std::size_t Cut = Log.find("\"event\":\"answer_cut\"");
  REQUIRE(Cut != std::string::npos);
  std::string Line = Log.substr(Cut, Log.find('\n', Cut) - Cut);
  REQUIRE(Line.find("\"request\":\"cut-stream\"") != std::string::npos);
  REQUIRE(Line.find("\"endpoint\":\"i-") != std::string::npos);
  REQUIRE(Line.find("\"whole_ms\":") != std::string::npos);
}

// Guards against requests that are taken late in the grace of a planned stop,
// passed on, and cut at its end.
TEST_CASE_METHOD(PlatformFixture,
                 "store entry, sent requests on kept connections until it has "
                 "stopped, answers each that it passes on") {
  constexpr int Callers = 100;
  constexpr Duration Pause = Milliseconds(50);
  configure();
  Process &Entry = startEntry(Milliseconds(2000), Seconds(5));
  eventually([&] { return isReady(); }, "the entry is ready");
  A_.setDelay(Milliseconds(600));
  B_.setDelay(Milliseconds(600));
  auto Port = static_cast<std::uint16_t>(
      std::stoi(callers().substr(callers().rfind(':') + 1)));
  std::vector<RawSocket> Kept;
  for (int I = 0; I < Callers; ++I)
    Kept.push_back(RawSocket::connectTo(Port));
  TimePoint StopsAt = std::chrono::steady_clock::now();
  Entry.terminate();
  std::vector<std::future<std::string>> Answers;
  for (int I = 0; I < Callers; ++I)
    Answers.push_back(std::async(std::launch::async, [&, I] {
      std::this_thread::sleep_until(StopsAt + I * Pause);
      Kept[I].trySend("POST /once/x HTTP/1.1\r\nHost: 127.0.0.1\r\n"
                      "Authorization: Token key1\r\n"
                      "X-Hawthornroad-Deadline-Ms: 4000\r\n"
                      "X-Hawthornroad-Request-Id: late-" +
                      std::to_string(I) + "\r\nContent-Length: 0\r\n\r\n");
      return Kept[I].readUntil("\r\n\r\n").substr(0, 12);
    }));
  int Passed = 0;
  for (int I = 0; I < Callers; ++I) {
    std::string Id = "late-" + std::to_string(I);
    std::string Head = Answers[I].get();
    int Runs = A_.runs(Id) + B_.runs(Id);
    CAPTURE(Id, Head, Runs);
    CHECK((Head == "HTTP/1.1 200" || Head == "HTTP/1.1 503" || Head.empty()));
    CHECK(Runs == (Head == "HTTP/1.1 200" ? 1 : 0));
    Passed += Runs;
  }
  CHECK(Passed > 1);
  CHECK(Passed < Callers);
  CHECK(Entry.waitExit() == 0);
}
