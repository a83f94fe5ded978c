#include "hawthornroad/agent/OriginReader.h"

#include "hawthornroad/runtime/BootClock.h"

#include <algorithm>
#include <utility>

namespace hawthornroad {

namespace {
// Time limit of any read: the origin has a narrow link and many readers.
constexpr Duration ReadLimit = Seconds(4);

// The origin accepts few connections from all VMs together, and connections of
// a VM that lost its power count for a long time: none is kept open while
// unused.
//
// When the origin becomes unreachable, its callers wait; when it is back, the
// next dial finds it. A dial that is not answered within a few round trips is
// replaced by a new one, long before the operating system would retransmit the
// lost packet (one second).
HttpCalls::Options callOptions() {
  HttpCalls::Options O;
  O.MaxIdleTime_ = Milliseconds(400);
  O.TotalLimit_ = ReadLimit;
  O.ReconnectTimeout_ = Milliseconds(200);
  return O;
}
} // namespace

OriginReader::OriginReader(boost::asio::io_context &Context,
                           std::function<void()> OnDoubt)
    : Context_(Context), OnDoubt_(std::move(OnDoubt)) {}

OriginReader::~OriginReader() {
  for (auto &[Number, Each] : Reads_)
    Each.Cancel_();
}

std::string OriginReader::address() const {
  return Calls_ ? Calls_->address() : std::string();
}

void OriginReader::setAddress(const std::string &Address) {
  if (Calls_ && Calls_->address() == Address)
    return;
  std::map<std::uint64_t, Read> Ended = std::exchange(Reads_, {});
  for (auto &[Number, Each] : Ended)
    Each.Cancel_();
  Calls_ = std::make_unique<HttpCalls>(Context_, Address, callOptions());
  Failures_ = 0;
  LookupNotBefore_ = TimePoint();
  LookupPause_ = MinLookupPause;
  for (auto &[Number, Each] : Ended)
    Each.Done_(OriginMoved());
}

void OriginReader::read(const HttpMessage &M, HttpCalls::Limits L, Done D) {
  std::uint64_t Number = NextRead_++;
  Reads_[Number].Done_ = std::move(D);
  auto Cancel = Calls_->call(M, L, [this, Number](HttpCalls::Result R) {
    std::visit(
        [&](auto &&Each) {
          finish(Number, std::forward<decltype(Each)>(Each));
        },
        std::move(R));
  });
  // A call on a connection that the server has closed may have ended already.
  if (auto Found = Reads_.find(Number); Found != Reads_.end())
    Found->second.Cancel_ = std::move(Cancel);
}

void OriginReader::finish(std::uint64_t Number, Result R) {
  auto Found = Reads_.extract(Number);
  if (Found.empty())
    return;
  if (!Found.mapped().Done_(std::move(R)))
    return noteFailure();
  Failures_ = 0;
  LookupPause_ = MinLookupPause;
}

void OriginReader::noteFailure() {
  TimePoint Now = bootNow();
  if (Failures_++ == 0)
    FailingSince_ = Now;
  bool IsDoubted =
      Failures_ >= FailuresBeforeDoubt || Now - FailingSince_ >= DoubtAfter;
  if (!IsDoubted || Now < LookupNotBefore_)
    return;
  LookupNotBefore_ = Now + LookupPause_;
  LookupPause_ = std::min(LookupPause_ * 2, MaxLookupPause);
  OnDoubt_();
}

} // namespace hawthornroad
