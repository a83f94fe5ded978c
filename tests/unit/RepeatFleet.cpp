#include "tests/unit/RepeatFleet.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>

namespace hawthornroad::traffic_test {

namespace {
constexpr Duration Hop = Milliseconds(1);
constexpr Duration ConnectTimeout = Milliseconds(1000);
constexpr Duration TickPeriod = Milliseconds(40);
constexpr Duration ProofPeriod = Milliseconds(500);
constexpr unsigned Slots = 64;

RepeatBudget::Options budgetOptions(const RepeatFleet::Options &O,
                                    TimePoint StartedAt) {
  RepeatBudget::Options B;
  B.StartedAt_ = StartedAt;
  B.Ratio_ = O.Ratio_;
  B.Window_ = RepeatFleet::Window;
  B.Slack_ = O.Slack_;
  return B;
}

long countIn(const std::vector<TimePoint> &Sorted, TimePoint From,
             TimePoint To) {
  auto First = std::lower_bound(Sorted.begin(), Sorted.end(), From);
  return std::lower_bound(First, Sorted.end(), To) - First;
}
} // namespace

struct RepeatFleet::Entry final : NullPort {
  RepeatFleet &Fleet_;
  unsigned Index_;
  unsigned Starts_ = 0;
  std::unique_ptr<TrafficCore> Core_;
  CallNumber NextCall_ = 1;
  CallNumber NextArrival_ = 1;
  std::map<AttemptNumber, EndpointId> Open_;
  // Requests that have reached it and are not read.
  std::deque<Call> Unread_;
  bool IsReading_ = false;
  TimePoint ReadAt_ = TimePoint::min();

  Entry(RepeatFleet &F, unsigned Index) : Fleet_(F), Index_(Index) {}

  void beginAttempt(AttemptNumber A, const Call &C,
                    const AttemptParams &P) override {
    Open_.emplace(A, P.Endpoint_);
    Fleet_.begin(*this, A, C.Id_, P.Endpoint_);
  }
  void cancelAttempt(AttemptNumber A) override { Open_.erase(A); }
};

RepeatFleet::RepeatFleet(Options O) : Options_(O), Random_(O.Seed_) {
  for (unsigned I = 0; I < O.Endpoints_; ++I) {
    Listed_.push_back(listedEndpoint(EndpointId("i-" + std::to_string(I)), Api,
                                     "10.0.1." + std::to_string(I) + ":80",
                                     Slots));
  }
  Config_ = RoutingConfig::build(parts());
  for (unsigned I = 0; I < O.Entries_; ++I)
    addEntry();
}

void RepeatFleet::addEntry() {
  auto Index = static_cast<unsigned>(Entries_.size());
  Entries_.push_back(std::make_unique<Entry>(*this, Index));
  Entry &E = *Entries_.back();
  start(E, Options_.Entries_);
  after(Random_.jitter(TickPeriod, 0.5), [this, &E] { tick(E); });
  nextRequest(E);
}

void RepeatFleet::add(unsigned Count, TimePoint At, Duration NoticedAfter) {
  after(At - Now_, [this, Count, NoticedAfter] {
    Options_.Entries_ += Count;
    for (unsigned I = 0; I < Count; ++I)
      addEntry();
    after(NoticedAfter, [this] {
      for (const auto &Each : Entries_)
        if (Options_.KnowsEntries_)
          Each->Core_->noteEntries(Options_.Entries_);
    });
  });
}

RepeatFleet::~RepeatFleet() = default;

void RepeatFleet::start(Entry &E, unsigned KnownEntries) {
  TrafficCore::Options O = CoreFixture::options();
  O.Budget_ = budgetOptions(Options_, Now_);
  E.Open_.clear();
  ++E.Starts_;
  E.Core_ = std::make_unique<TrafficCore>(O, E, Random(Random_.next()));
  E.Core_->endpoints().listed(Listed_, Now_);
  E.Core_->configure(Config_, Now_);
  E.Core_->prove(Now_, Now_);
  if (Options_.KnowsEntries_)
    E.Core_->noteEntries(KnownEntries);
}

void RepeatFleet::restart(unsigned Index, TimePoint At) {
  after(At - Now_,
        [this, Index] { start(*Entries_[Index], Options_.Entries_); });
}

void RepeatFleet::restartCut(unsigned Index, TimePoint At,
                             unsigned KnownEntries) {
  after(At - Now_,
        [this, Index, KnownEntries] { start(*Entries_[Index], KnownEntries); });
}

void RepeatFleet::restartAll(TimePoint At) {
  for (unsigned I = 0; I < Options_.Entries_; ++I)
    restart(I, At);
}

void RepeatFleet::hold(TimePoint From, TimePoint To) {
  Holds_.push_back({From, To});
}

void RepeatFleet::refuseConnections(TimePoint From, TimePoint To) {
  Refusals_.push_back({From, To});
}

void RepeatFleet::moveCallers(double Share, TimePoint At) {
  after(At - Now_, [this, Share] {
    LeftEntries_ =
        static_cast<std::size_t>(Share * static_cast<double>(Entries_.size()));
  });
}

void RepeatFleet::freeze(unsigned Index, TimePoint From, TimePoint To) {
  Freezes_[Index].push_back({From, To});
}

void RepeatFleet::afterFor(Entry &E, Duration D, std::function<void()> F) {
  after(D, [this, &E, F = std::move(F)] {
    for (const Span &Each : Freezes_[E.Index_])
      if (Each.contains(Now_))
        return afterFor(E, Each.To_ - Now_, F);
    F();
  });
}

void RepeatFleet::tick(Entry &E) {
  if (Now_.time_since_epoch() % ProofPeriod < TickPeriod)
    E.Core_->prove(Now_, Now_);
  E.Core_->tick(Now_);
  afterFor(E, TickPeriod, [this, &E] { tick(E); });
}

void RepeatFleet::nextRequest(Entry &E) {
  after(nextGap(Random_, Options_.RequestsPerSecond_), [this, &E] {
    Call C;
    C.Id_ = std::to_string(E.Index_) + "-" + std::to_string(E.NextCall_);
    C.Method_ = "GET";
    C.Host_ = "h";
    C.Target_ = "/safe/1";
    C.Key_ = "key";
    ++E.NextCall_;
    Requests_.push_back(Now_);
    std::size_t To = E.Index_;
    if (To < LeftEntries_)
      To = LeftEntries_ + Random_.below(Entries_.size() - LeftEntries_);
    arriveAtEntry(*Entries_[To], std::move(C));
    nextRequest(E);
  });
}

void RepeatFleet::slowDown(TimePoint From, TimePoint To, Duration ReadTime) {
  Slow_ = {From, To};
  SlowReadTime_ = ReadTime;
}

void RepeatFleet::setLoad(double RequestsPerSecond, TimePoint At) {
  after(At - Now_, [this, RequestsPerSecond] {
    Options_.RequestsPerSecond_ = RequestsPerSecond;
  });
}

void RepeatFleet::holdCallers(TimePoint From, TimePoint To) {
  CallerHolds_.push_back({From, To});
}

void RepeatFleet::arriveAtEntry(Entry &E, Call C) {
  for (const Span &Each : CallerHolds_)
    if (Each.contains(Now_))
      return after(Each.To_ - Now_,
                   [this, &E, C = std::move(C)] { arriveAtEntry(E, C); });
  E.Unread_.push_back(std::move(C));
  if (!std::exchange(E.IsReading_, true))
    readNext(E);
}

Duration RepeatFleet::readTime() const {
  return Slow_.contains(Now_) ? SlowReadTime_ : Options_.ReadTime_;
}

void RepeatFleet::readNext(Entry &E) {
  Duration Wait = Duration::zero();
  if (E.ReadAt_ != TimePoint::min())
    Wait = std::max(Wait, E.ReadAt_ + readTime() - Now_);
  if (Slow_.contains(Now_))
    Wait = std::min<Duration>(Wait, Slow_.To_ - Now_);
  afterFor(E, Wait, [this, &E] {
    Call C = std::move(E.Unread_.front());
    E.Unread_.pop_front();
    E.ReadAt_ = Now_;
    E.Core_->arrive(E.NextArrival_++, std::move(C), Now_);
    E.IsReading_ = !E.Unread_.empty();
    if (E.IsReading_)
      readNext(E);
  });
}

void RepeatFleet::endEndpoints(unsigned Count, TimePoint At) {
  after(At - Now_, [this, Count] {
    for (unsigned I = 0; I < Count; ++I)
      Ended_.insert(Listed_[I].Id_);
    for (const auto &E : Entries_) {
      auto Open = E->Open_;
      for (const auto &[A, To] : Open)
        if (Ended_.contains(To) && E->Open_.erase(A) != 0)
          E->Core_->onFail(A, false, "receive: reset", Now_);
    }
  });
}

void RepeatFleet::failUnsent(Entry &E, AttemptNumber A, Duration After,
                             const std::string &Why) {
  afterFor(E, After, [this, &E, A, Why, Starts = E.Starts_] {
    if (E.Starts_ == Starts && E.Open_.erase(A) != 0)
      E.Core_->onFail(A, true, Why, Now_);
  });
}

void RepeatFleet::begin(Entry &E, AttemptNumber A, const std::string &RequestId,
                        const EndpointId &To) {
  if (Ended_.contains(To))
    return failUnsent(E, A, Hop, "connect: refused");
  for (const Span &Each : Refusals_)
    if (Each.contains(Now_))
      return failUnsent(E, A, ConnectTimeout, "connect: timeout");
  Duration Transit = Hop;
  for (const Span &Each : Holds_)
    if (Each.contains(Now_))
      Transit = Each.To_ - Now_;
  after(Transit, [this, &E, A, RequestId, Starts = E.Starts_] {
    arriveAt(RequestId);
    afterFor(E, Options_.ServiceTime_, [this, &E, A, RequestId, Starts] {
      answer(E, Starts, A, RequestId);
    });
  });
}

void RepeatFleet::arriveAt(const std::string &RequestId) {
  if (!Arrived_.insert(RequestId).second)
    Repeats_.push_back(Now_);
}

void RepeatFleet::answer(Entry &E, unsigned Starts, AttemptNumber A,
                         const std::string &RequestId) {
  if (E.Starts_ != Starts || E.Open_.erase(A) == 0)
    return;
  if (Now_ >= Options_.LostFrom_ && Random_.unit() < Options_.LostShare_)
    return E.Core_->onFail(A, false, "receive: reset", Now_);
  EndpointHead H;
  H.Status_ = 200;
  H.IsSigned_ = true;
  H.RequestId_ = RequestId;
  E.Core_->onHead(A, std::move(H), Now_);
  E.Core_->onEnd(A, Now_);
}

double RepeatFleet::excess() const {
  double Worst = std::numeric_limits<double>::lowest();
  for (TimePoint Last : Repeats_) {
    TimePoint To = Last + Duration(1);
    TimePoint From = To - Window;
    long Requests =
        std::max({countIn(Requests_, From, To),
                  countIn(Requests_, From - Window / 2, To - Window / 2),
                  countIn(Requests_, From - Window, To - Window)});
    double Allowed =
        Options_.Ratio_ * static_cast<double>(Requests) + Options_.Slack_;
    double Arrived = static_cast<double>(countIn(Repeats_, From, To));
    Worst = std::max(Worst, Arrived - Allowed);
  }
  return Worst;
}

std::uint64_t RepeatFleet::deniedRepeats() const {
  std::uint64_t Denied = 0;
  for (const auto &E : Entries_)
    for (const auto &[Service, U] : E->Core_->repeats().usage())
      Denied += U.Denied_;
  return Denied;
}

double RepeatFleet::repeatedShare(TimePoint From, TimePoint To) const {
  return static_cast<double>(countIn(Repeats_, From, To)) /
         static_cast<double>(std::max(1L, countIn(Requests_, From, To)));
}

} // namespace hawthornroad::traffic_test
