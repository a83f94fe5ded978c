#include "fakes/OriginFake.h"

#include <algorithm>
#include <charconv>

namespace hawthornroad {

namespace {
constexpr Duration Tick = Milliseconds(2);
// Capacity of the token bucket: a short burst, as the buffer of a link allows.
constexpr double BurstSeconds = 0.02;
constexpr std::size_t ChunkSize = 64 * 1024;
// Limit of bytes written but not yet accepted by the socket of the caller.
constexpr std::size_t MaxBacklog = 1024 * 1024;

struct ByteRange {
  std::uint64_t First_ = 0;
  std::uint64_t Last_ = 0;
};

bool readNumber(std::string_view Text, std::uint64_t &Out) {
  const char *End = Text.data() + Text.size();
  auto Result = std::from_chars(Text.data(), End, Out);
  return !Text.empty() && Result.ec == std::errc() && Result.ptr == End;
}

// Parses "bytes=A-B" or "bytes=A-" within a file of Size bytes; nullopt when
// the range is invalid.
std::optional<ByteRange> parseRange(std::string_view Text, std::uint64_t Size) {
  constexpr std::string_view Unit = "bytes=";
  std::size_t Dash = Text.find('-');
  if (!Text.starts_with(Unit) || Dash == std::string_view::npos || Size == 0)
    return std::nullopt;
  ByteRange Range{0, Size - 1};
  std::string_view Last = Text.substr(Dash + 1);
  if (!readNumber(Text.substr(Unit.size(), Dash - Unit.size()), Range.First_))
    return std::nullopt;
  if (!Last.empty() && !readNumber(Last, Range.Last_))
    return std::nullopt;
  Range.Last_ = std::min(Range.Last_, Size - 1);
  if (Range.First_ > Range.Last_)
    return std::nullopt;
  return Range;
}

bool isInside(const std::filesystem::path &Relative) {
  return std::none_of(Relative.begin(), Relative.end(),
                      [](const auto &Part) { return Part == ".."; });
}

bool isFaultDue(std::int64_t Every, std::uint64_t Count) {
  return Every > 0 && Count % static_cast<std::uint64_t>(Every) == 0;
}
} // namespace

OriginFake::OriginFake(IoThread &Io, Options O)
    : Io_(Io), Options_(std::move(O)), Rate_(Options_.Rate_) {}

void OriginFake::handle(const HttpRequest &R, const ExchangePtr &X) {
  ++Requests_;
  if (R.Method_ != "GET")
    return respondError(X, 405, "method is not GET");
  auto T = std::make_shared<Transfer>();
  T->Answer_ = X;
  T->Path_ = percentDecode(targetPath(R.Target_));
  std::filesystem::path Relative = T->Path_.substr(1);
  std::filesystem::path File = Options_.Root_ / Relative;
  if (!isInside(Relative) || !std::filesystem::is_regular_file(File))
    return respondError(X, 404, "no such file");
  T->File_.open(File, std::ios::binary);
  begin(T, std::filesystem::file_size(File), findHeader(R.Headers_, "Range"));
}

void OriginFake::begin(std::shared_ptr<Transfer> T, std::uint64_t Size,
                       const std::optional<std::string> &Range) {
  HttpHeaders Headers = {{"Content-Type", "application/octet-stream"}};
  T->Remaining_ = Size;
  if (Range) {
    auto Asked = parseRange(*Range, Size);
    if (!Asked)
      return respondError(T->Answer_, 416, "range is not within the file");
    T->File_.seekg(static_cast<std::streamoff>(Asked->First_));
    T->Remaining_ = Asked->Last_ - Asked->First_ + 1;
    Headers.push_back({"Content-Range", "bytes " +
                                            std::to_string(Asked->First_) +
                                            "-" + std::to_string(Asked->Last_) +
                                            "/" + std::to_string(Size)});
  }
  ++Answers_;
  if (isFaultDue(CorruptEvery_, Answers_))
    T->CorruptIn_ = T->Remaining_ / 2;
  if (isFaultDue(TruncateEvery_, Answers_))
    T->CutIn_ = T->Remaining_ / 2;
  T->Answer_->head(Range ? 206 : 200, std::move(Headers));
  T->Answer_->onDisconnect([T] { T->Ended_ = true; });
  Transfers_.push_back(std::move(T));
  if (!Ticking_) {
    Ticking_ = true;
    tick();
  }
}

void OriginFake::refill(TimePoint Now) {
  double Elapsed = std::chrono::duration<double>(Now - Refilled_).count();
  Refilled_ = Now;
  double Burst = std::max(Rate_ * BurstSeconds, 1.0);
  BucketBytes_ = std::min(BucketBytes_ + Rate_ * Elapsed, Burst);
}

void OriginFake::tick() {
  refill(std::chrono::steady_clock::now());
  // Round-robin: the first transfer sends a chunk and moves to the end, until
  // no transfer can send. The next tick starts with the transfer after the last
  // one served, however few bytes a tick has.
  std::size_t Blocked = 0;
  while (Blocked < Transfers_.size()) {
    auto Front = Transfers_.begin();
    Blocked = sendChunk(**Front) ? 0 : Blocked + 1;
    if (!(*Front)->Ended_) {
      Transfers_.splice(Transfers_.end(), Transfers_, Front);
      continue;
    }
    Transfers_.erase(Front);
    Blocked = 0;
  }
  Ticking_ = !Transfers_.empty();
  if (Ticking_)
    Io_.after(Tick, [this] { tick(); });
}

// Returns true when bytes were sent. Sets Ended_ when the answer has ended.
bool OriginFake::sendChunk(Transfer &T) {
  if (T.Ended_)
    return false;
  if (T.Remaining_ == 0) {
    T.Answer_->finish();
    T.Ended_ = true;
    return false;
  }
  if (T.CutIn_ && *T.CutIn_ == 0) {
    T.Answer_->abort();
    T.Ended_ = true;
    return false;
  }
  std::uint64_t Size = std::min<std::uint64_t>(ChunkSize, T.Remaining_);
  if (T.CutIn_)
    Size = std::min(Size, *T.CutIn_);
  if (Rate_ > 0)
    Size = std::min(Size, static_cast<std::uint64_t>(BucketBytes_));
  if (Size == 0 || T.Answer_->backlog() >= MaxBacklog)
    return false;
  std::string Bytes = readChunk(T, Size);
  if (Bytes.empty()) { // the file was truncated while it was served
    T.Answer_->abort();
    T.Ended_ = true;
    return false;
  }
  if (Rate_ > 0)
    BucketBytes_ -= static_cast<double>(Bytes.size());
  Bytes_ += Bytes.size();
  BytesByPath_[T.Path_] += Bytes.size();
  T.Answer_->write(std::move(Bytes));
  return true;
}

std::string OriginFake::readChunk(Transfer &T, std::size_t Size) {
  std::string Bytes(Size, '\0');
  T.File_.read(Bytes.data(), static_cast<std::streamsize>(Size));
  Bytes.resize(static_cast<std::size_t>(T.File_.gcount()));
  if (T.CorruptIn_ && *T.CorruptIn_ < Bytes.size()) {
    Bytes[*T.CorruptIn_] = static_cast<char>(Bytes[*T.CorruptIn_] ^ 1);
    T.CorruptIn_.reset();
  }
  if (T.CorruptIn_)
    *T.CorruptIn_ -= Bytes.size();
  if (T.CutIn_)
    *T.CutIn_ -= Bytes.size();
  T.Remaining_ -= Bytes.size();
  return Bytes;
}

void OriginFake::setFaults(const Faults &Set) {
  CorruptEvery_ = Set.integer("corrupt_every", 0);
  TruncateEvery_ = Set.integer("truncate_every", 0);
  Rate_ = Set.number("rate", Options_.Rate_);
}

boost::json::object OriginFake::counters() const {
  boost::json::object ByPath;
  for (const auto &[Path, Bytes] : BytesByPath_)
    ByPath[Path] = Bytes;
  return {{"bytes", Bytes_},
          {"requests", Requests_},
          {"bytes_by_path", std::move(ByPath)}};
}

} // namespace hawthornroad
