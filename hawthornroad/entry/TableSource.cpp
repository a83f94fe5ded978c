#include "hawthornroad/entry/TableSource.h"

#include "hawthornroad/base/Error.h"
#include "hawthornroad/runtime/Address.h"
#include "hawthornroad/runtime/BootClock.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hawthornroad {

namespace {
// How long the source may hold a query. Its own proofs arrive twice a second.
constexpr Duration QueryWait = Milliseconds(700);
// The same for an entry that has no data yet, so that it learns soon whether
// its source is receiving any.
constexpr Duration FirstQueryWait = Milliseconds(100);
// A source that does not answer within this time is frozen or cut off.
constexpr Duration QueryTimeout = QueryWait + Milliseconds(300);
// The same for a query that is not to be waited for.
constexpr Duration ProbeTimeout = Milliseconds(300);
// A long answer may take longer as long as its bytes keep arriving.
constexpr Duration MaxAnswerPause = Milliseconds(300);
constexpr Duration MaxAnswerTime = Seconds(5);
// Pause between an answer and the next query, so that rows that change together
// are sent in one answer.
constexpr Duration QueryInterval = Milliseconds(20);
// A copy older than this share of its table's MaxAge is older than in normal
// operation: the proofs of a source are 0.4 to 0.6 of MaxAge old, by the sum of
// WaitWhenServing_ and PaceWhenServing_.
constexpr double AgingShare = 0.75;
// Added for each transmission beyond the first: when the reader of the store
// fails, its followers find another source before theirs leave them.
constexpr double AgingSharePerLevel = 0.04;
constexpr double MaxAgingShare = 0.95;
// After MaxAge, entries start to read the store one after the other by rank, so
// that the first to succeed serves the others. Beyond StaggeredRanks, each
// doubling of the rank adds one step.
constexpr Duration TakeoverStagger = Milliseconds(100);
constexpr std::size_t StaggeredRanks = 4;
// This process counts as serving others for this long after a query.
constexpr Duration ServingPeriod = Seconds(3);
// A call to the store that takes longer than its wait time plus this is logged.
constexpr Duration SlowCallThreshold = Milliseconds(300);
// How many entries of a zone probe an unavailable store: the first in the order
// in which the zone's entries choose their source.
constexpr std::size_t MaxProbers = 2;

int takeoverTurn(std::size_t Rank) {
  int Turn = 0;
  for (; Rank > StaggeredRanks; Rank /= 2)
    ++Turn;
  return Turn + static_cast<int>(Rank);
}

std::vector<std::string> tableNames(const TableSource::Setup &S) {
  std::vector<std::string> Out;
  for (const auto &Each : S.Tables_)
    Out.push_back(Each.Name_);
  return Out;
}
} // namespace

TableSource::TableSource(IoThread &Io, Setup S, StoreClient &Store,
                         EventLog &Log, Callbacks C)
    : Io_(Io), Setup_(std::move(S)), Store_(Store), Log_(Log),
      Callbacks_(std::move(C)), Relay_(tableNames(Setup_)),
      Choice_({}, bootNow()) {
  for (const TableSetup &Each : Setup_.Tables_)
    Tables_.push_back({.Setup_ = Each});
  if (Setup_.PeerListen_.empty())
    return;
  PeerNet::Callbacks Net;
  Net.OnFrame_ = [this](const PeerContext &From, const wire::Frame &Frame) {
    onFrame(From, Frame);
  };
  Net.OnLost_ = [this](const PeerContext &From, const Error &E) {
    onSourceLost(From.Address_, E.what(), isRefusal(E));
  };
  Net_ = std::make_unique<PeerNet>(Io_, Setup_.Self_, PeerNet::Limits{},
                                   std::move(Net));
}

TableSource::~TableSource() = default;

std::unique_ptr<StoreWatch> TableSource::makeWatch(Table &T,
                                                   std::uint64_t Seed) {
  TableWatch::Options O;
  O.Table_ = T.Setup_.Name_;
  O.Wait_ = T.Setup_.Wait_;
  O.Pace_ = T.Setup_.Pace_;
  O.ListsWhenBehind_ = T.Setup_.ListsWhenBehind_;
  O.Seed_ = Seed;
  StoreWatch::Callbacks C;
  C.OnUpdate_ = [this, &T](const TableWatch::Update &U) { applyUpdate(T, U); };
  C.OnCall_ = [this, &T](bool Ok, const TableWatch &W) {
    onStoreCall(T, Ok, W);
  };
  return std::make_unique<StoreWatch>(Io_.context(), Store_, std::move(O),
                                      bootNow, std::move(C));
}

void TableSource::start() {
  TimePoint Now = bootNow();
  std::uint64_t Seed = Setup_.Seed_;
  for (Table &Each : Tables_)
    Each.Watch_ = makeWatch(Each, Seed++);
  if (!Net_) {
    Choice_.setPreferred({}, Now);
    return applyChoice(Now);
  }
  std::string Ip = ipOf(Setup_.PeerListen_);
  std::uint16_t Port = Net_->listen(Ip, portOf(Setup_.PeerListen_));
  ZoneEntry Self{Setup_.Self_.Process_.str(),
                 PeerAddress(Ip + ":" + std::to_string(Port)),
                 Setup_.LinkMbps_};
  Zone_ = std::make_unique<ZoneEntries>(
      Store_, Log_, Setup_.Self_.Zone_, std::move(Self), bootNow,
      [this](std::vector<PeerAddress> Before) {
        Choice_.setPreferred(std::move(Before), bootNow());
        applyChoice(bootNow());
      });
}

void TableSource::tick(TimePoint Now) {
  if (Zone_)
    Zone_->tick(Now);
  updateReceiving(Now);
  probeStore(Now);
  Choice_.tick(Now);
  if (isQueryOverdue(Now))
    onSourceLost(Query_.To_, "silent", false);
  dropAgingSource(Now);
  applyChoice(Now);
  adjustPolling(Now);
  querySource(Now);
  Relay_.answerDue(Now);
}

double TableSource::age(const Table &T, TimePoint Now) const {
  auto Proof = Relay_.provenAt(T.Setup_.Name_);
  if (!Proof)
    return std::numeric_limits<double>::infinity();
  using Fraction = std::chrono::duration<double>;
  return Fraction(Now - *Proof) / Fraction(T.Setup_.MaxAge_);
}

double TableSource::greatestAge(TimePoint Now) const {
  double Out = 0;
  for (const Table &Each : Tables_)
    Out = std::max(Out, age(Each, Now));
  return Out;
}

void TableSource::dropAgingSource(TimePoint Now) {
  double Age = greatestAge(Now);
  auto Source = Choice_.source();
  if (Source && Age > agingShare()) {
    Reconnect_.insert(*Source);
    Query_ = {};
    Choice_.onAging(Now);
    if (Zone_)
      Zone_->refreshSoon(Now);
  }
  bool IsSeeking = !Choice_.readsStore() && !Choice_.source();
  Duration Turn = TakeoverStagger * takeoverTurn(Choice_.rank());
  if (IsSeeking && greatestAge(Now - Turn) > 1 && std::isfinite(Age))
    Choice_.onStale(Now);
}

double TableSource::agingShare() const {
  unsigned Depth = std::max(1U, Choice_.depth());
  return std::min(MaxAgingShare, AgingShare + AgingSharePerLevel * (Depth - 1));
}

bool TableSource::isQueryOverdue(TimePoint Now) const {
  Duration Elapsed = Now - Query_.SentAt_;
  if (Query_.Number_ == 0 || Elapsed < Query_.Timeout_)
    return false;
  auto Silence = Net_->silence(Query_.To_, Lane::Control);
  bool IsArriving = Silence && *Silence < MaxAnswerPause;
  return !IsArriving || Elapsed >= MaxAnswerTime;
}

void TableSource::updateReceiving(TimePoint Now) {
  if (Receiving_.onBytes(Store_.counters().AnswerBytes_, Now))
    reached(Now);
  bool IsReading = Choice_.readsStore() && Receiving_.isReceiving(Now);
  Relay_.setReceiving(IsReading || Choice_.isExpectingData(Now));
}

void TableSource::probeStore(TimePoint Now) {
  bool IsStoreUnavailable =
      std::any_of(Tables_.begin(), Tables_.end(),
                  [](const Table &Each) { return Each.IsStoreUnavailable_; });
  bool IsProber = Zone_ && Choice_.readsStore() && Choice_.rank() < MaxProbers;
  if (!IsProber ||
      !Probe_.isDue(IsStoreUnavailable, Receiving_.isReceiving(Now), Now))
    return;
  Zone_->probe(
      [this, Sent = Probe_.send(Store_.counters().AnswerBytes_, Now)](bool Ok) {
        if (Ok)
          onProbe(Sent);
      });
}

void TableSource::onProbe(const StoreProbe::Sent &Sent) {
  reached(bootNow());
  std::uint64_t Received = Store_.counters().AnswerBytes_;
  for (Table &Each : Tables_)
    if (Each.IsStoreUnavailable_ &&
        Sent.shouldResend(Each.Watch_->watch().sentAt(), Received))
      Each.Watch_->retry();
}

void TableSource::applyUpdate(const Table &T, const TableWatch::Update &U) {
  // Data from a source may be older than what this process has read itself.
  const RowCopy &Copy = Relay_.copy(T.Setup_.Name_);
  if (Copy.isListed() && U.Version_ < Copy.version())
    return;
  Relay_.apply(T.Setup_.Name_, U);
  if (U.IsWhole_ || !U.Rows_.empty())
    Callbacks_.OnRows_(T.Setup_.Name_, U);
}

void TableSource::reached(TimePoint At) {
  Relay_.reached(At);
  Callbacks_.OnReached_(At);
}

void TableSource::prove(const Table &T, TimePoint AsOf) {
  Relay_.prove(T.Setup_.Name_, AsOf);
  Callbacks_.OnProof_(T.Setup_.Name_, AsOf);
}

// ---- Reading the store ------------------------------------------------------

void TableSource::onStoreCall(Table &T, bool Ok, const TableWatch &W) {
  T.IsStoreUnavailable_ = !Ok;
  logStoreCall(T, Ok, W);
  if (!Ok)
    Receiving_.onFailedCall(Store_.counters().AnswerBytes_);
  if (Ok)
    reached(bootNow());
  if (auto Proof = W.provenAt(); Ok && Proof)
    prove(T, *Proof);
  Relay_.setStoreUnavailable(
      std::any_of(Tables_.begin(), Tables_.end(),
                  [](const Table &Each) { return Each.IsStoreUnavailable_; }));
  Callbacks_.OnCall_(T.Setup_.Name_, Ok);
  Relay_.answerDue(bootNow());
}

void TableSource::logStoreCall(Table &T, bool Ok, const TableWatch &W) {
  const TableWatch::Request &Call = W.current();
  Duration Elapsed = bootNow() - W.sentAt();
  std::uint64_t Received = Store_.counters().BytesReceived_;
  std::uint64_t Before = std::exchange(T.ReceivedBefore_, Received);
  if (Ok && Elapsed < Call.Wait_ + SlowCallThreshold)
    return;
  Log_.write(LogLine("store_call")
                 .text("table", T.Setup_.Name_)
                 .flag("ok", Ok)
                 .flag("listing", Call.IsListing_)
                 .millis("took_ms", Elapsed)
                 .millis("wait_ms", Call.Wait_)
                 .count("received_bytes", Received - Before),
             true);
}

std::string TableSource::sourceName() const {
  if (auto Source = Choice_.source())
    return Source->str();
  return Choice_.readsStore() ? "store" : "none";
}

void TableSource::applyChoice(TimePoint Now) {
  bool IsSeeking = !Choice_.source() && !Choice_.readsStore();
  std::string Name = IsSeeking ? LoggedSource_ : sourceName();
  if (Name != LoggedSource_) {
    LogLine L("source");
    L.text("source", Name).text("before", LoggedSource_);
    for (const Table &Each : Tables_)
      if (auto Proof = Relay_.provenAt(Each.Setup_.Name_))
        L.millis(Each.Setup_.Name_ + "_age_ms", Now - *Proof);
    Log_.write(L, true);
    LoggedSource_ = Name;
  }
  if (!Choice_.readsStore())
    Relay_.setStoreUnavailable(false);
  for (Table &Each : Tables_) {
    if (!Choice_.readsStore()) {
      Each.IsStoreUnavailable_ = false;
      if (!Each.Watch_->isPaused())
        Each.Watch_->pause();
    } else if (Each.Watch_->isPaused()) {
      const RowCopy &Copy = Relay_.copy(Each.Setup_.Name_);
      bool IsBehind = Each.Setup_.ListsWhenBehind_ && age(Each, Now) > 1;
      if (Copy.isListed() && !IsBehind)
        Each.Watch_->resume(Copy.version());
      else
        Each.Watch_->list();
    }
  }
}

// While other entries depend on this process's proofs, it must get them more
// often than for its own needs.
void TableSource::adjustPolling(TimePoint Now) {
  auto Last = Relay_.lastQueryAt();
  bool IsServing = Last && Now - *Last < ServingPeriod;
  if (IsServing == WasServing_)
    return;
  WasServing_ = IsServing;
  for (Table &Each : Tables_) {
    const TableSetup &Of = Each.Setup_;
    Each.Watch_->setTiming(IsServing ? Of.WaitWhenServing_ : Of.Wait_,
                           IsServing ? Of.PaceWhenServing_ : Of.Pace_);
    // A call that the store would hold for longer is replaced by a new one.
    const TableWatch::Request &Call = Each.Watch_->watch().current();
    bool IsHeldLonger = !Call.IsListing_ && Call.Wait_ > Of.WaitWhenServing_;
    if (IsServing && !Each.Watch_->isPaused() && IsHeldLonger)
      Each.Watch_->resume(Relay_.copy(Of.Name_).version());
  }
}

// ---- Querying another entry -------------------------------------------------

Duration TableSource::queryWait(TimePoint Now) const {
  double Age = greatestAge(Now);
  // A stale entry that reads the store takes bandwidth that the source may
  // need.
  bool IsLateReader = Choice_.readsStore() && Age > 1;
  if (IsLateReader || Choice_.isProbingParent(Now))
    return Duration::zero();
  return std::isfinite(Age) ? QueryWait : FirstQueryWait;
}

void TableSource::querySource(TimePoint Now) {
  if (!Net_ || Query_.Number_ != 0 || Now < NextQueryAt_)
    return;
  bool IsFresh = greatestAge(Now) <= 1;
  auto Target = Choice_.next(IsFresh, Now);
  if (!Target)
    return;
  Duration Wait = queryWait(Now);
  Duration Timeout =
      Choice_.isProbingParent(Now) ? ProbeTimeout : Duration(QueryTimeout);
  wire::RowsAskT Q;
  Q.number = NextNumber_++;
  Q.wait_ms = static_cast<std::uint32_t>(Wait / Milliseconds(1));
  for (const Table &Each : Tables_) {
    const RowCopy &Copy = Relay_.copy(Each.Setup_.Name_);
    auto Wanted = std::make_unique<wire::TableWantedT>();
    Wanted->table = Each.Setup_.Name_;
    Wanted->listed = Copy.isListed();
    Wanted->after = Copy.version();
    Wanted->accepts_packed = true;
    Wanted->max_age_us = static_cast<std::uint64_t>(
        Each.Setup_.MaxAge_ * AgingShare / std::chrono::microseconds(1));
    if (auto Proof = Relay_.provenAt(Each.Setup_.Name_))
      Wanted->age_us = static_cast<std::uint64_t>((Now - *Proof) /
                                                  std::chrono::microseconds(1));
    Q.tables.push_back(std::move(Wanted));
  }
  Query_ = {Q.number, *Target, Now, Timeout};
  FrameBuffer Frame = makeFrame(std::move(Q));
  bool IsSent = Reconnect_.erase(*Target) != 0
                    ? Net_->sendOnNewConnection(*Target, Lane::Control, Frame)
                    : Net_->send(*Target, Lane::Control, Frame);
  if (!IsSent)
    onSourceLost(*Target, "not sent", false);
}

void TableSource::ask(wire::RowsAskT Query, TableRelay::Reply R,
                      TimePoint Now) {
  Relay_.ask(std::move(Query), std::move(R), Now);
  adjustPolling(Now);
  Relay_.answerDue(Now);
}

void TableSource::onFrame(const PeerContext &From, const wire::Frame &Frame) {
  wire::FrameT Unpacked;
  Frame.UnPackTo(&Unpacked);
  if (auto *Query = Unpacked.body.AsRowsAsk())
    ask(
        std::move(*Query),
        [this, Target = From.Connection_](FrameBuffer F) {
          Net_->reply(Target, std::move(F));
        },
        bootNow());
  else if (const auto *Answer = Unpacked.body.AsRowsAnswer())
    onAnswer(From.Address_, *Answer);
}

void TableSource::onAnswer(const PeerAddress &From,
                           const wire::RowsAnswerT &A) {
  if (A.number != Query_.Number_)
    return;
  TimePoint Now = bootNow();
  NextQueryAt_ = Now + QueryInterval;
  // The source received the query no earlier than it was sent.
  reached(Query_.SentAt_ + std::chrono::microseconds(A.held_us) -
          std::chrono::microseconds(A.reached_age_us));
  bool IsFresh = !A.away;
  bool WasFresh = greatestAge(Now) <= 1;
  try {
    for (Table &Each : Tables_) {
      auto Relayed =
          std::find_if(A.tables.begin(), A.tables.end(), [&](const auto &T) {
            return T->table == Each.Setup_.Name_;
          });
      bool IsRelayed = Relayed != A.tables.end();
      IsFresh &= IsRelayed && applyTable(Each, **Relayed,
                                         std::chrono::microseconds(A.held_us));
    }
  } catch (const Error &E) {
    return onSourceLost(From, E.what(), false);
  }
  Query Was = std::exchange(Query_, Query{});
  Choice_.onAnswer(Was.To_, sourceHealth(IsFresh, A.receiving), WasFresh, Now);
  if (IsFresh)
    for (const Table &Each : Tables_)
      Callbacks_.OnCall_(Each.Setup_.Name_, true);
  applyChoice(Now);
  Relay_.answerDue(Now);
}

bool TableSource::applyTable(Table &T, const wire::RelayedTableT &R,
                             Duration Held) {
  // The source received the query no earlier than it was sent.
  TimePoint AsOf = Query_.SentAt_ + Held - std::chrono::microseconds(R.age_us);
  TableWatch::Update U = decodeRelayed(R);
  const RowCopy &Copy = Relay_.copy(T.Setup_.Name_);
  bool IsUsable = U.IsWhole_ || Copy.isListed();
  if (!IsUsable)
    return false;
  applyUpdate(T, U);
  prove(T, AsOf);
  return age(T, bootNow()) <= agingShare();
}

// A silent peer fails to connect as well, but only after a timeout.
bool TableSource::isRefusal(const Error &E) const {
  Duration Elapsed = bootNow() - Query_.SentAt_;
  return E.step() == Step::Connect &&
         Elapsed < PeerNet::Limits{}.ConnectTimeout_;
}

void TableSource::onSourceLost(const PeerAddress &From, std::string_view Why,
                               bool IsRefused) {
  if (Query_.Number_ == 0 || From != Query_.To_)
    return;
  TimePoint Now = bootNow();
  Log_.write(
      LogLine("source_failed").text("source", From.str()).text("why", Why));
  Query_ = {};
  NextQueryAt_ = Now + QueryInterval;
  Reconnect_.insert(From);
  if (IsRefused)
    Choice_.onRefused(From, Now);
  else
    Choice_.onFailure(From, Now);
  if (Zone_)
    Zone_->refreshSoon(Now);
  applyChoice(Now);
}

} // namespace hawthornroad
