#include "hawthornroad/runtime/EventLog.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <climits>
#include <cmath>
#include <cstdio>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace hawthornroad {

namespace {
// How often a wait for a blocked reader checks whether the process ends.
constexpr int ReaderPollMs = 50;
// A buffer more than 1/EarlyFlushDivisor full wakes the writer early.
constexpr std::size_t EarlyFlushDivisor = 4;

// A pipe that is ready takes PIPE_BUF bytes without blocking. Ends with a whole
// line where it can, so a loss cuts no line.
std::string_view nextPiece(std::string_view Lines) {
  if (Lines.size() <= PIPE_BUF)
    return Lines;
  std::size_t End = Lines.rfind('\n', PIPE_BUF - 1);
  return Lines.substr(0, End == std::string_view::npos ? PIPE_BUF : End + 1);
}

void appendEscaped(std::string &Out, std::string_view Text) {
  static constexpr std::string_view Hex = "0123456789abcdef";
  for (char C : Text) {
    auto Byte = static_cast<unsigned char>(C);
    if (C == '"' || C == '\\') {
      Out += '\\';
      Out += C;
    } else if (Byte < 0x20 || Byte >= 0x7f) {
      Out += "\\u00";
      Out += Hex[Byte >> 4];
      Out += Hex[Byte & 15];
    } else {
      Out += C;
    }
  }
}
} // namespace

LogLine::LogLine(std::string_view Event) : Event_(Event) {
  Body_.reserve(256);
  Body_ += "\"event\":\"";
  Body_ += Event;
  Body_ += '"';
}

void LogLine::key(std::string_view Key) {
  Body_ += ",\"";
  Body_ += Key;
  Body_ += "\":";
}

LogLine &LogLine::text(std::string_view Key, std::string_view Value) {
  if (Value.empty())
    return *this;
  key(Key);
  Body_ += '"';
  appendEscaped(Body_, Value);
  Body_ += '"';
  return *this;
}

LogLine &LogLine::number(std::string_view Key, double Value) {
  key(Key);
  std::array<char, 32> Text;
  int Length = std::snprintf(Text.data(), Text.size(), "%.2f", Value);
  Body_.append(Text.data(), static_cast<std::size_t>(Length));
  return *this;
}

LogLine &LogLine::count(std::string_view Key, std::uint64_t Value) {
  key(Key);
  Body_ += std::to_string(Value);
  return *this;
}

LogLine &LogLine::flag(std::string_view Key, bool Value) {
  key(Key);
  Body_ += Value ? "true" : "false";
  return *this;
}

LogLine &LogLine::millis(std::string_view Key, Duration D) {
  return number(Key, std::chrono::duration<double, std::milli>(D).count());
}

EventLog::EventLog(Options O) : Options_(std::move(O)) {
  TimePoint Now = std::chrono::steady_clock::now();
  Ordinary_ = {.BytesPerSecond_ = Options_.BytesPerSecond_,
               .Burst_ = Options_.BytesPerSecond_,
               .BufferBytes_ = Options_.BufferBytes_,
               .Allowance_ = Options_.BytesPerSecond_,
               .RefilledAt_ = Now};
  auto ImportantBurst = static_cast<double>(Options_.ImportantBufferBytes_);
  Important_ = {.BytesPerSecond_ = Options_.ImportantBytesPerSecond_,
                .Burst_ = ImportantBurst,
                .BufferBytes_ = Options_.ImportantBufferBytes_,
                .Allowance_ = ImportantBurst,
                .RefilledAt_ = Now};
  Prefix_ = ",\"process\":\"";
  appendEscaped(Prefix_, Options_.Process_);
  Prefix_ += "\",";
  Thread_ = std::thread([this] { run(); });
}

EventLog::~EventLog() {
  {
    std::lock_guard Lock(Mutex_);
    StopBy_ = std::chrono::steady_clock::now() + Options_.StopTimeout_;
  }
  Changed_.notify_all();
  Thread_.join();
}

bool EventLog::Quota::tryReserve(std::size_t Bytes, TimePoint Now) {
  double Elapsed = std::chrono::duration<double>(Now - RefilledAt_).count();
  RefilledAt_ = Now;
  Allowance_ = std::min(Burst_, Allowance_ + Elapsed * BytesPerSecond_);
  if (Queued_ + Bytes > BufferBytes_ || Allowance_ < static_cast<double>(Bytes))
    return false;
  Queued_ += Bytes;
  Allowance_ -= static_cast<double>(Bytes);
  return true;
}

void EventLog::append(const std::string &Body, TimePoint Now) {
  std::array<char, 48> Head;
  double Seconds =
      std::chrono::duration<double>(Now.time_since_epoch()).count();
  int Length = std::snprintf(Head.data(), Head.size(), "{\"t\":%.4f", Seconds);
  Buffer_.append(Head.data(), static_cast<std::size_t>(Length));
  Buffer_ += Prefix_;
  Buffer_ += Body;
  Buffer_ += "}\n";
}

void EventLog::reportDropped(TimePoint Now) {
  if (DroppedByEvent_.empty())
    return;
  std::string Events;
  for (const auto &[Event, Count] : DroppedByEvent_)
    Events += (Events.empty() ? "" : " ") + Event + "=" + std::to_string(Count);
  std::uint64_t Important = std::exchange(Important_.Dropped_, 0);
  append(LogLine("log_dropped")
             .count("lines", std::exchange(Ordinary_.Dropped_, 0) + Important)
             .count("important", Important)
             .text("events", Events)
             .body(),
         Now);
  DroppedByEvent_.clear();
}

bool EventLog::mustFlush() const {
  return StopBy_ || Important_.Queued_ > 0 ||
         Buffer_.size() > Options_.BufferBytes_ / EarlyFlushDivisor;
}

void EventLog::write(const LogLine &L, bool IsImportant) {
  TimePoint Now = std::chrono::steady_clock::now();
  bool Wake = false;
  {
    std::lock_guard Lock(Mutex_);
    Quota &Q = IsImportant ? Important_ : Ordinary_;
    if (!Q.tryReserve(L.body().size() + Prefix_.size() + 24, Now)) {
      ++Dropped_;
      ++Q.Dropped_;
      ++DroppedByEvent_[std::string(L.event())];
      return;
    }
    Wake = Buffer_.empty();
    append(L.body(), Now);
    Wake = Wake || mustFlush();
  }
  if (Wake)
    Changed_.notify_one();
}

std::uint64_t EventLog::dropped() const {
  std::lock_guard Lock(Mutex_);
  return Dropped_;
}

std::uint64_t EventLog::wallMilliseconds() {
  auto Since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<Milliseconds>(Since).count());
}

bool EventLog::isOverdue() const {
  std::lock_guard Lock(Mutex_);
  return StopBy_ && std::chrono::steady_clock::now() >= *StopBy_;
}

void EventLog::writeOut(std::string_view Lines) {
  while (!Lines.empty() && !isOverdue()) {
    pollfd Ready{Options_.Descriptor_, POLLOUT, 0};
    if (::poll(&Ready, 1, ReaderPollMs) <= 0)
      continue;
    std::string_view Piece = nextPiece(Lines);
    ssize_t Wrote = ::write(Options_.Descriptor_, Piece.data(), Piece.size());
    if (Wrote > 0)
      Lines.remove_prefix(static_cast<std::size_t>(Wrote));
    else if (Wrote < 0 && errno != EINTR && errno != EAGAIN)
      return; // the reader is gone: drop the lines and go on
  }
}

void EventLog::run() {
  {
    std::unique_lock Lock(Mutex_);
    Changed_.wait_for(Lock, Options_.QuietStart_,
                      [&] { return StopBy_.has_value(); });
  }
  std::string Out;
  bool IsLast = false;
  while (!IsLast) {
    {
      std::unique_lock Lock(Mutex_);
      Changed_.wait(Lock, [&] { return StopBy_ || !Buffer_.empty(); });
      Changed_.wait_for(Lock, Options_.FlushDelay_,
                        [&] { return mustFlush(); });
      reportDropped(std::chrono::steady_clock::now());
      Out.swap(Buffer_);
      Ordinary_.Queued_ = Important_.Queued_ = 0;
      IsLast = StopBy_.has_value();
    }
    writeOut(Out);
    Out.clear();
    if (Out.capacity() > Options_.BufferBytes_)
      Out.shrink_to_fit();
  }
}

} // namespace hawthornroad
