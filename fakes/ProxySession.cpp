#include "fakes/ProxySession.h"

#include "schema/wire_generated.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <vector>

namespace hawthornroad {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {
constexpr std::size_t ReadSize = 64 * 1024;
// Limit of bytes read but not yet written, per direction of a connection.
constexpr std::size_t MaxQueuedBytes = 4 * 1024 * 1024;
// Largest write under a rate limit, so that connections share it evenly.
constexpr std::size_t MaxRateLimitedWrite = 16 * 1024;
// How often a blocked connection checks whether it may continue.
constexpr Duration PollInterval = Milliseconds(2);
// Delay between the last bytes of a cut connection and its reset. A receiver
// that gets the reset while it writes never reads the bytes before it.
constexpr Duration ResetDelay = Milliseconds(20);
constexpr std::size_t LengthBytes = 4;
// A longer answer is sent once only.
constexpr std::size_t MaxCopiedAnswer = 16 * 1024;
// A Hello is far smaller; a longer first frame is not a Hello.
constexpr std::size_t MaxHello = 4096;

TimePoint now() { return std::chrono::steady_clock::now(); }

std::size_t frameLength(std::string_view Bytes) {
  return boost::endian::load_little_u32(
      reinterpret_cast<const unsigned char *>(Bytes.data()));
}

// The zone in a Hello frame; empty when the bytes are not a Hello.
std::string zoneOfHello(std::string_view Bytes) {
  const auto *Data = reinterpret_cast<const std::uint8_t *>(Bytes.data());
  flatbuffers::Verifier Verifier(Data, Bytes.size());
  if (!Verifier.VerifyBuffer<wire::Frame>(nullptr))
    return {};
  const wire::Hello *Hello = wire::GetFrame(Data)->body_as_Hello();
  return Hello != nullptr && Hello->zone() != nullptr ? Hello->zone()->str()
                                                      : std::string();
}
} // namespace

void resetSocket(ProxySession::Socket &S) {
  boost::system::error_code Ignored;
  S.set_option(asio::socket_base::linger(true, 0), Ignored);
  S.close(Ignored);
}

ProxySession::ProxySession(std::shared_ptr<ProxyPath> Path, Socket Caller,
                           std::uint64_t Number)
    : Path_(std::move(Path)), Sockets_{std::move(Caller),
                                       Socket(Path_->Io_.context())},
      Flows_{Flow(2 * Number), Flow(2 * Number + 1)},
      Wake_{asio::steady_timer(Path_->Io_.context(), TimePoint::max()),
            asio::steady_timer(Path_->Io_.context(), TimePoint::max())} {}

void ProxySession::start() {
  asio::co_spawn(
      Path_->Io_.context(), [Self = shared_from_this()] { return Self->run(); },
      asio::detached);
}

void ProxySession::resetBoth() {
  if (Closed_)
    return;
  ++Path_->Totals_.Resets_;
  for (Socket &Each : Sockets_)
    resetSocket(Each);
  unregister();
}

asio::awaitable<void> ProxySession::waitUntil(TimePoint When) {
  boost::system::error_code Ignored;
  asio::steady_timer Timer(Path_->Io_.context(), When);
  co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
}

bool ProxySession::isBlackholed() const {
  const PathFaults &Faults = Path_->Faults_;
  if (Faults.Blackhole_)
    return true;
  // Nothing is sent back to the caller until its zone is known.
  if (!Faults.BlackholeFrom_.empty() && !CallerZone_)
    return true;
  return CallerZone_ && Faults.BlackholeFrom_.contains(*CallerZone_);
}

asio::awaitable<void> ProxySession::waitWhileBlackholed() {
  while (isBlackholed() && !isStopped())
    co_await waitUntil(now() + PollInterval);
}

asio::awaitable<void> ProxySession::run() {
  auto Self = shared_from_this();
  while (Path_->Faults_.Blackhole_ && !isStopped())
    co_await waitUntil(now() + PollInterval);
  if (isStopped())
    co_return;
  boost::system::error_code Code = asio::error::not_connected;
  if (Path_->Target_)
    co_await Sockets_[1].async_connect(
        *Path_->Target_, asio::redirect_error(asio::use_awaitable, Code));
  if (isStopped())
    co_return;
  if (Code)
    co_return resetBoth();
  for (Socket &Each : Sockets_)
    Each.set_option(tcp::no_delay(true), Code);
  for (Direction D : {Up, Down}) {
    asio::co_spawn(
        Path_->Io_.context(), [Self, D] { return Self->readLoop(D); },
        asio::detached);
    asio::co_spawn(
        Path_->Io_.context(), [Self, D] { return Self->writeLoop(D); },
        asio::detached);
  }
}

asio::awaitable<void> ProxySession::readLoop(Direction D) {
  auto Self = shared_from_this();
  std::vector<char> Buffer(ReadSize);
  while (!isStopped()) {
    boost::system::error_code Code;
    std::size_t Got = co_await source(D).async_read_some(
        asio::buffer(Buffer), asio::redirect_error(asio::use_awaitable, Code));
    // Bytes that arrive after the connection was silenced are dropped.
    if (isStopped())
      co_return;
    if (Code) {
      bool Ended = Code == asio::error::eof;
      enqueue(D,
              {.Kind_ = Ended ? QueueItem::Kind::End : QueueItem::Kind::Reset});
      co_return;
    }
    if (!processInput(D, {Buffer.data(), Got}))
      co_return;
    while (Flows_[D].QueuedBytes_ > MaxQueuedBytes && !isStopped())
      co_await waitUntil(now() + PollInterval);
  }
}

// Returns false when a fault cuts the connection after these bytes.
bool ProxySession::processInput(Direction D, std::string_view Bytes) {
  if (D == Up)
    readCallerZone(Bytes);
  copyAnswers(D, Bytes);
  FrameFilter &Filter = Flows_[D].Filter_;
  std::uint64_t FramesBefore = Filter.frames();
  auto Out = Filter.pass(Bytes, Path_->Faults_.Frames_[D]);
  Path_->Totals_.Bytes_[D] += Bytes.size();
  Path_->Totals_.Frames_[D] += Filter.frames() - FramesBefore;
  if (!Out.Bytes_.empty())
    enqueue(D, {.Bytes_ = std::move(Out.Bytes_)});
  if (Out.Cut_) {
    Flows_[D].LastDueAt_ = std::max(Flows_[D].LastDueAt_, now()) + ResetDelay;
    enqueue(D, {.Kind_ = QueueItem::Kind::Reset});
  }
  return !Out.Cut_;
}

void ProxySession::readCallerZone(std::string_view Bytes) {
  if (CallerZone_)
    return;
  FirstBytes_ += Bytes;
  if (FirstBytes_.size() < LengthBytes)
    return;
  std::size_t Length = frameLength(FirstBytes_);
  if (Length <= MaxHello && FirstBytes_.size() < LengthBytes + Length)
    return;
  bool Possible = Length <= MaxHello;
  CallerZone_ =
      Possible ? zoneOfHello(
                     std::string_view(FirstBytes_).substr(LengthBytes, Length))
               : std::string();
  FirstBytes_.clear();
}

void ProxySession::copyAnswers(Direction D, std::string_view Bytes) {
  if (D == Down) {
    Answer_ += Bytes.substr(0, MaxCopiedAnswer + 1 - Answer_.size());
    return;
  }
  std::string Last = std::exchange(Answer_, {});
  bool IsWhole = !Last.empty() && Last.size() <= MaxCopiedAnswer;
  if (!IsWhole || Path_->Jitter_.unit() >= Path_->Faults_.AnswerCopies_)
    return;
  ++Path_->Totals_.AnswerCopies_;
  enqueue(Down, {.Bytes_ = std::move(Last)});
}

void ProxySession::enqueue(Direction D, QueueItem Item) {
  Flow &F = Flows_[D];
  const PathFaults &Faults = Path_->Faults_;
  auto Jitter = std::chrono::duration_cast<Duration>(Faults.Jitter_ *
                                                     Path_->Jitter_.unit());
  F.LastDueAt_ = std::max(F.LastDueAt_, now() + Faults.Delay_ + Jitter);
  Item.DueAt_ = F.LastDueAt_;
  F.QueuedBytes_ += Item.Bytes_.size();
  F.Queue_.push_back(std::move(Item));
  Wake_[D].cancel();
}

asio::awaitable<void> ProxySession::writeLoop(Direction D) {
  auto Self = shared_from_this();
  Flow &F = Flows_[D];
  while (!isStopped()) {
    if (F.Queue_.empty()) {
      boost::system::error_code Ignored;
      Wake_[D].expires_at(TimePoint::max());
      co_await Wake_[D].async_wait(
          asio::redirect_error(asio::use_awaitable, Ignored));
      continue;
    }
    QueueItem Item = std::move(F.Queue_.front());
    F.Queue_.pop_front();
    if (Item.DueAt_ > now())
      co_await waitUntil(Item.DueAt_);
    co_await waitWhileBlackholed();
    if (isStopped())
      co_return;
    if (Item.Kind_ == QueueItem::Kind::Reset)
      co_return resetBoth();
    if (Item.Kind_ == QueueItem::Kind::End)
      co_return endFlow(D);
    if (!co_await writeAll(D, Item.Bytes_))
      co_return;
    F.QueuedBytes_ -= Item.Bytes_.size();
  }
}

asio::awaitable<bool> ProxySession::writeAll(Direction D,
                                             std::string_view Bytes) {
  while (!Bytes.empty()) {
    std::string_view Part = Bytes;
    if (Path_->Faults_.Rate_ > 0) {
      Part = Bytes.substr(0, MaxRateLimitedWrite);
      co_await waitForLink(D, Part.size());
    }
    co_await waitWhileBlackholed();
    boost::system::error_code Code;
    if (!isStopped())
      co_await asio::async_write(
          sink(D), asio::buffer(Part.data(), Part.size()),
          asio::redirect_error(asio::use_awaitable, Code));
    if (isStopped())
      co_return false;
    if (Code) {
      co_await waitWhileBlackholed();
      if (!isStopped())
        resetBoth();
      co_return false;
    }
    Bytes.remove_prefix(Part.size());
  }
  co_return true;
}

// Reserves Bytes on the link shared by all connections of a direction and
// waits until they are sent.
asio::awaitable<void> ProxySession::waitForLink(Direction D,
                                                std::size_t Bytes) {
  TimePoint &Free = Path_->LinkFreeAt_[D];
  double Seconds = static_cast<double>(Bytes) / Path_->Faults_.Rate_;
  Free = std::max(Free, now()) + std::chrono::duration_cast<Duration>(
                                     std::chrono::duration<double>(Seconds));
  co_await waitUntil(Free);
}

void ProxySession::endFlow(Direction D) {
  boost::system::error_code Ignored;
  sink(D).shutdown(tcp::socket::shutdown_send, Ignored);
  Flows_[D].Done_ = true;
  if (!Flows_[Up].Done_ || !Flows_[Down].Done_)
    return;
  for (Socket &Each : Sockets_)
    Each.close(Ignored);
  unregister();
}

void ProxySession::unregister() {
  Closed_ = true;
  for (asio::steady_timer &Each : Wake_)
    Each.cancel();
  Path_->Sessions_.erase(shared_from_this());
}

} // namespace hawthornroad
