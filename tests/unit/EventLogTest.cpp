#include "hawthornroad/runtime/EventLog.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <fcntl.h>
#include <future>
#include <poll.h>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace hawthornroad;

namespace {
struct Pipe {
  int Read_ = -1;
  int Write_ = -1;
  Pipe() {
    int Ends[2];
    REQUIRE(::pipe(Ends) == 0);
    Read_ = Ends[0];
    Write_ = Ends[1];
  }
  ~Pipe() {
    ::close(Read_);
    if (Write_ >= 0)
      ::close(Write_);
  }
  // Closes the write end and returns everything written so far.
  std::string all() {
    ::close(std::exchange(Write_, -1));
    std::string Out;
    char Buffer[4096];
    for (ssize_t N = 0; (N = ::read(Read_, Buffer, sizeof(Buffer))) > 0;)
      Out.append(Buffer, static_cast<std::size_t>(N));
    return Out;
  }
};

std::string available(int Descriptor, Duration Limit) {
  pollfd Ready{Descriptor, POLLIN, 0};
  char Buffer[4096];
  if (::poll(&Ready, 1, static_cast<int>(Limit / Milliseconds(1))) <= 0)
    return {};
  ssize_t N = ::read(Descriptor, Buffer, sizeof(Buffer));
  return {Buffer, static_cast<std::size_t>(std::max<ssize_t>(N, 0))};
}

// More than a pipe holds (64 KiB), less than the default buffer.
constexpr std::size_t QueuedLines = 1500;

void writeQueued(EventLog &Log) {
  for (std::size_t N = 0; N < QueuedLines; ++N)
    Log.write(LogLine("request").count("n", N).text("x", std::string(60, 'x')));
}

std::vector<boost::json::object> lines(const std::string &Text) {
  std::vector<boost::json::object> Out;
  std::istringstream In(Text);
  for (std::string Line; std::getline(In, Line);)
    Out.push_back(boost::json::parse(Line).as_object());
  return Out;
}
} // namespace

TEST_CASE("event log, given any text, writes lines of JSON", "[log]") {
  Pipe P;
  {
    EventLog Log({.Process_ = "a\"b", .Descriptor_ = P.Write_});
    Log.write(LogLine("attempt")
                  .text("request", "x\n\"\\\x01\xff")
                  .text("empty", "")
                  .number("load", 1.256)
                  .count("n", 7)
                  .flag("ok", true)
                  .millis("took_ms", Milliseconds(12)));
  }
  auto All = lines(P.all());
  REQUIRE(All.size() == 1);
  REQUIRE(All[0]["event"].as_string() == "attempt");
  REQUIRE(All[0]["process"].as_string() == "a\"b");
  REQUIRE(All[0]["load"].to_number<double>() == Approx(1.26));
  REQUIRE(All[0]["took_ms"].to_number<double>() == Approx(12));
  REQUIRE(All[0]["ok"].as_bool());
  REQUIRE_FALSE(All[0].contains("empty"));
}

// The reader of the process's output stalls. Requests must not wait for it;
// lines are dropped, and the loss is reported.
TEST_CASE("event log, when nobody reads it, never blocks and counts what it "
          "drops",
          "[log]") {
  Pipe P;
  EventLog::Options O;
  O.Descriptor_ = P.Write_;
  O.BufferBytes_ = 32 * 1024;
  O.BytesPerSecond_ = 1e9;
  EventLog Log(O);
  auto StartedAt = std::chrono::steady_clock::now();
  std::chrono::steady_clock::duration Longest{};
  for (int N = 0; N < 20000; ++N) {
    auto At = std::chrono::steady_clock::now();
    Log.write(LogLine("request").count("n", static_cast<std::uint64_t>(N)));
    Longest = std::max(Longest, std::chrono::steady_clock::now() - At);
  }
  REQUIRE(std::chrono::steady_clock::now() - StartedAt < Seconds(3));
  REQUIRE(Longest < Milliseconds(500));
  REQUIRE(Log.dropped() > 10000);
  // The reader resumes and receives the report.
  ::fcntl(P.Read_, F_SETFL, O_NONBLOCK);
  std::string Received;
  char Buffer[65536];
  auto Deadline = std::chrono::steady_clock::now() + Seconds(5);
  while (Received.find("log_dropped") == std::string::npos &&
         std::chrono::steady_clock::now() < Deadline) {
    ssize_t N = ::read(P.Read_, Buffer, sizeof(Buffer));
    if (N > 0)
      Received.append(Buffer, static_cast<std::size_t>(N));
    else
      Log.write(LogLine("again"));
  }
  REQUIRE(Received.find("log_dropped") != std::string::npos);
}

TEST_CASE("event log, at several times its usual rate, stays within its limit",
          "[log]") {
  Pipe P;
  std::uint64_t Dropped = 0;
  constexpr double Bound = 20000;
  {
    EventLog Log(
        {.Process_ = "p", .Descriptor_ = P.Write_, .BytesPerSecond_ = Bound});
    for (int N = 0; N < 600; ++N)
      Log.write(LogLine("request").text("request", std::string(100, 'x')));
    // Important lines bypass the rate limit.
    Log.write(LogLine("store_lost"), true);
    Dropped = Log.dropped();
  }
  std::string All = P.all();
  REQUIRE(Dropped > 200);
  REQUIRE(All.size() < 2 * Bound);
  REQUIRE(All.find("store_lost") != std::string::npos);
}

// A process that is killed loses what waits in its buffer, and the line that
// names the cut answer with it.
TEST_CASE("event log, important line, is written without the flush delay",
          "[log]") {
  Pipe P;
  EventLog Log(
      {.Process_ = "p", .Descriptor_ = P.Write_, .FlushDelay_ = Seconds(30)});
  Log.write(LogLine("request").text("request", "r1"));
  Log.write(LogLine("answer_cut").text("request", "r1"), true);
  std::string Received;
  auto Deadline = std::chrono::steady_clock::now() + Seconds(5);
  while (Received.find("answer_cut") == std::string::npos &&
         std::chrono::steady_clock::now() < Deadline)
    Received += available(P.Read_, Milliseconds(100));
  REQUIRE(Received.find("answer_cut") != std::string::npos);
}

// A starter that takes the first line for the ready line would read another.
TEST_CASE("event log, important line at the start, leaves room for the ready "
          "line before it",
          "[log]") {
  constexpr Duration QuietStart = Milliseconds(300);
  Pipe P;
  auto StartedAt = std::chrono::steady_clock::now();
  EventLog Log(
      {.Process_ = "p", .Descriptor_ = P.Write_, .QuietStart_ = QuietStart});
  Log.write(LogLine("start"), true);
  REQUIRE_FALSE(available(P.Read_, Seconds(5)).empty());
  REQUIRE(std::chrono::steady_clock::now() - StartedAt >= QuietStart);
}

// A planned stop lost the lines that its collector had not read yet.
TEST_CASE("event log, destroyed while its reader is slow, writes all lines",
          "[log]") {
  constexpr std::size_t Lines = 400;
  Pipe P;
  ::fcntl(P.Write_, F_SETFL, O_NONBLOCK);
  while (::write(P.Write_, "\n", 1) == 1)
    ;
  ::fcntl(P.Write_, F_SETFL, 0);
  std::string Received;
  std::thread Reader([&] {
    std::this_thread::sleep_for(Milliseconds(400));
    std::vector<char> Buffer(32 * 1024);
    for (ssize_t N = 0;
         (N = ::read(P.Read_, Buffer.data(), Buffer.size())) > 0;) {
      Received.append(Buffer.data(), static_cast<std::size_t>(N));
      std::this_thread::sleep_for(Milliseconds(50));
    }
  });
  {
    EventLog Log(
        {.Process_ = "p", .Descriptor_ = P.Write_, .FlushDelay_ = Seconds(30)});
    for (std::size_t N = 0; N < Lines; ++N)
      Log.write(LogLine("request").text("x", std::string(60, 'x')));
  }
  ::close(std::exchange(P.Write_, -1));
  Reader.join();
  Received.erase(0, Received.find('{'));
  REQUIRE(lines(Received).size() == Lines);
}

// A collector that hangs kept the process from ending.
TEST_CASE("event log, destroyed while nobody reads it, ends within its bound",
          "[log]") {
  Pipe P;
  std::promise<void> Ended;
  // Ends the test where the log waits for its reader without a bound.
  std::thread Rescue([&, End = Ended.get_future()] {
    if (End.wait_for(Seconds(8)) == std::future_status::ready)
      return;
    while (!available(P.Read_, Milliseconds(500)).empty())
      ;
  });
  std::chrono::steady_clock::time_point StartedAt;
  {
    EventLog Log(
        {.Process_ = "p", .Descriptor_ = P.Write_, .BytesPerSecond_ = 1e9});
    writeQueued(Log);
    StartedAt = std::chrono::steady_clock::now();
  }
  auto Took = std::chrono::steady_clock::now() - StartedAt;
  Ended.set_value();
  Rescue.join();
  REQUIRE(Took < Seconds(5));
}

// Lines of ordinary requests pushed out the ones of lost answers.
TEST_CASE("event log, buffer full of ordinary lines, keeps important ones",
          "[log]") {
  Pipe P;
  constexpr std::size_t Important = 100;
  EventLog Log({.Process_ = "p",
                .Descriptor_ = P.Write_,
                .BufferBytes_ = 32 * 1024,
                .BytesPerSecond_ = 1e9});
  writeQueued(Log);
  REQUIRE(Log.dropped() > 0);
  std::uint64_t Dropped = Log.dropped();
  for (std::size_t N = 0; N < Important; ++N)
    Log.write(LogLine("answer_cut").count("n", N), true);
  REQUIRE(Log.dropped() == Dropped);
}

// A fault that repeats without end must not grow the buffer without end.
TEST_CASE("event log, important lines beyond their own bound, drops them and "
          "leaves room for ordinary ones",
          "[log]") {
  Pipe P;
  std::string Received;
  {
    // Without a refill, or a pause of this thread makes room for a line.
    EventLog Log({.Process_ = "p",
                  .Descriptor_ = P.Write_,
                  .ImportantBytesPerSecond_ = 0});
    std::string Detail(1000, 'x');
    for (int N = 0; N < 5000; ++N)
      Log.write(LogLine("answer_cut").text("detail", Detail), true);
    std::uint64_t Dropped = Log.dropped();
    REQUIRE(Dropped > 1000);
    Log.write(LogLine("request").text("request", "r1"));
    REQUIRE(Log.dropped() == Dropped);
    Log.write(LogLine("answer_cut").text("detail", Detail), true);
    REQUIRE(Log.dropped() == Dropped + 1);
    while (Received.find("log_dropped") == std::string::npos) {
      std::string More = available(P.Read_, Seconds(5));
      REQUIRE_FALSE(More.empty());
      Received += More;
    }
  }
  Received += P.all();
  for (const boost::json::object &Line : lines(Received))
    if (Line.at("event").as_string() == "log_dropped") {
      REQUIRE(Line.at("important").to_number<std::uint64_t>() ==
              Line.at("lines").to_number<std::uint64_t>());
      REQUIRE(std::string_view(Line.at("events").as_string())
                  .starts_with("answer_cut="));
    }
}

// Whoever looks for a request's line must see that lines are missing, also
// where the process writes nothing more.
TEST_CASE("event log, destroyed after it dropped lines, reports their kinds",
          "[log]") {
  Pipe P;
  std::uint64_t Dropped = 0;
  {
    EventLog Log(
        {.Process_ = "p", .Descriptor_ = P.Write_, .BytesPerSecond_ = 10000});
    for (int N = 0; N < 200; ++N) {
      Log.write(LogLine("request").text("request", std::string(100, 'x')));
      Log.write(LogLine("attempt").text("request", std::string(100, 'x')));
    }
    Dropped = Log.dropped();
  }
  REQUIRE(Dropped > 0);
  std::uint64_t Reported = 0;
  std::string Events;
  for (const boost::json::object &Line : lines(P.all()))
    if (Line.at("event").as_string() == "log_dropped") {
      Reported += Line.at("lines").to_number<std::uint64_t>();
      REQUIRE(Line.at("important").to_number<std::uint64_t>() == 0);
      Events += Line.at("events").as_string();
    }
  REQUIRE(Reported == Dropped);
  REQUIRE(Events.find("request=") != std::string::npos);
  REQUIRE(Events.find("attempt=") != std::string::npos);
}
