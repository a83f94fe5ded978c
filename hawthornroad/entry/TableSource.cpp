#include "hawthornroad/entry/TableSource.h"

#include "hawthornroad/base/Error.h"
#include "hawthornroad/runtime/Address.h"
#include "hawthornroad/runtime/BootClock.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace hawthornroad {

namespace {
// The source holds a question this long at most; its own proofs come twice a
// second.
constexpr Duration AskWait = Milliseconds(700);
// Longer without an answer, the source is frozen or cut off.
constexpr Duration AskLimit = AskWait + Milliseconds(300);
// Between an answer and the next question: rows that come together are told
// together.
constexpr Duration AskPace = Milliseconds(20);
// Knowledge older than this part of its table's MaxAge is older than usual: a
// source's proofs are 0.4 to 0.6 of it old (computed from WaitAsked and
// PaceAsked).
constexpr double AgingShare = 0.75;
// After MaxAge entries begin to read the store one after the other, so that the
// first who can spares the others the reading; no later than MostRank steps.
constexpr Duration StaleStep = Milliseconds(100);
constexpr std::size_t MostRank = 4;
// This process counts as asked by others for so long after a question.
constexpr Duration AskedFor = Seconds(3);
// An answer of the store that takes longer, beyond the time for which it may be
// held, is logged.
constexpr Duration SlowCall = Milliseconds(300);
// Entries of a zone that probe a store that is away: those that the others
// would rather follow.
constexpr std::size_t MostProbers = 2;

std::vector<std::string> namesOf(const TableSource::Setup &S) {
  std::vector<std::string> Out;
  for (const auto &Each : S.Tables_)
    Out.push_back(Each.Name_);
  return Out;
}
} // namespace

TableSource::TableSource(IoThread &Io, Setup S, StoreClient &Store,
                         EventLog &Log, Callbacks C)
    : Io_(Io), Setup_(std::move(S)), Store_(Store), Log_(Log),
      Callbacks_(std::move(C)), Relay_(namesOf(Setup_)),
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
    onSourceLost(From.Address_, E.what());
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
  C.OnUpdate_ = [this, &T](const TableWatch::Update &U) { take(T, U); };
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
    return follow(Now);
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
        follow(bootNow());
      });
}

void TableSource::tick(TimePoint Now) {
  if (Zone_)
    Zone_->tick(Now);
  watchReceiving(Now);
  probeStore(Now);
  Choice_.tick(Now);
  if (Asked_.Number_ != 0 && Now - Asked_.SentAt_ >= AskLimit)
    onSourceLost(Asked_.To_, "silent");
  leaveOldSource(Now);
  follow(Now);
  setRhythm(Now);
  askSource(Now);
  Relay_.settle(Now);
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

void TableSource::leaveOldSource(TimePoint Now) {
  double Age = greatestAge(Now);
  auto Source = Choice_.source();
  if (Source && Age > AgingShare) {
    DialAnew_.insert(*Source);
    Asked_ = {};
    Choice_.onAging(Now);
    if (Zone_)
      Zone_->lookAgain(Now);
  }
  bool IsSeeking = !Choice_.readsStore() && !Choice_.source();
  Duration Turn = StaleStep * std::min(Choice_.rank(), MostRank);
  if (IsSeeking && greatestAge(Now - Turn) > 1 && std::isfinite(Age))
    Choice_.onStale(Now);
}

void TableSource::watchReceiving(TimePoint Now) {
  if (Receiving_.onBytes(Store_.counters().AnswerBytes_, Now))
    reached(Now);
  Relay_.setReceiving(Choice_.readsStore() && Receiving_.isReceiving(Now));
}

void TableSource::probeStore(TimePoint Now) {
  bool IsAway = std::any_of(Tables_.begin(), Tables_.end(),
                            [](const Table &Each) { return Each.IsAway_; });
  bool IsProber = Zone_ && Choice_.readsStore() && Choice_.rank() < MostProbers;
  if (!IsProber || !Probe_.isDue(IsAway, Receiving_.isReceiving(Now), Now))
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
    if (Each.IsAway_ && Sent.outlives(Each.Watch_->watch().sentAt(), Received))
      Each.Watch_->retry();
}

void TableSource::take(const Table &T, const TableWatch::Update &U) {
  // What a source tells may be older than what this process has read itself.
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
  T.IsAway_ = !Ok;
  logStoreCall(T, Ok, W);
  if (!Ok)
    Receiving_.onFailedCall(Store_.counters().AnswerBytes_);
  if (Ok)
    reached(bootNow());
  if (auto Proof = W.provenAt(); Ok && Proof)
    prove(T, *Proof);
  Relay_.setAway(std::any_of(Tables_.begin(), Tables_.end(),
                             [](const Table &Each) { return Each.IsAway_; }));
  Callbacks_.OnCall_(T.Setup_.Name_, Ok);
  Relay_.settle(bootNow());
}

void TableSource::logStoreCall(Table &T, bool Ok, const TableWatch &W) {
  const TableWatch::Ask &Call = W.current();
  Duration Took = bootNow() - W.sentAt();
  std::uint64_t Received = Store_.counters().BytesReceived_;
  std::uint64_t Before = std::exchange(T.ReceivedBefore_, Received);
  if (Ok && Took < Call.Wait_ + SlowCall)
    return;
  Log_.write(LogLine("store_call")
                 .text("table", T.Setup_.Name_)
                 .flag("ok", Ok)
                 .flag("listing", Call.IsListing_)
                 .millis("took_ms", Took)
                 .millis("wait_ms", Call.Wait_)
                 .count("received_bytes", Received - Before),
             true);
}

std::string TableSource::sourceName() const {
  if (auto Source = Choice_.source())
    return Source->str();
  return Choice_.readsStore() ? "store" : "none";
}

void TableSource::follow(TimePoint Now) {
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
    Relay_.setAway(false);
  for (Table &Each : Tables_) {
    if (!Choice_.readsStore()) {
      Each.IsAway_ = false;
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

// Others rest on this process's proofs, which must then come oftener than its
// own needs ask for.
void TableSource::setRhythm(TimePoint Now) {
  auto Last = Relay_.lastAsked();
  bool IsAsked = Last && Now - *Last < AskedFor;
  if (IsAsked == WasAsked_)
    return;
  WasAsked_ = IsAsked;
  for (Table &Each : Tables_) {
    const TableSetup &Of = Each.Setup_;
    Each.Watch_->setRhythm(IsAsked ? Of.WaitAsked_ : Of.Wait_,
                           IsAsked ? Of.PaceAsked_ : Of.Pace_);
    // A question that the store holds for longer is given up for a new one.
    const TableWatch::Ask &Call = Each.Watch_->watch().current();
    bool IsHeldLonger = !Call.IsListing_ && Call.Wait_ > Of.WaitAsked_;
    if (IsAsked && !Each.Watch_->isPaused() && IsHeldLonger)
      Each.Watch_->resume(Relay_.copy(Of.Name_).version());
  }
}

// ---- Asking another entry ---------------------------------------------------

void TableSource::askSource(TimePoint Now) {
  if (!Net_ || Asked_.Number_ != 0 || Now < AskAt_)
    return;
  bool IsFresh = greatestAge(Now) <= 1;
  auto To = Choice_.next(IsFresh, Now);
  if (!To)
    return;
  // A late reader takes a part of the link that the source may need, so it asks
  // for the source's state without waiting.
  Duration Wait =
      Choice_.readsStore() && !IsFresh ? Duration::zero() : Duration(AskWait);
  wire::RowsAskT Q;
  Q.number = NextNumber_++;
  Q.wait_ms = static_cast<std::uint32_t>(Wait / Milliseconds(1));
  for (const Table &Each : Tables_) {
    const RowCopy &Copy = Relay_.copy(Each.Setup_.Name_);
    auto Wanted = std::make_unique<wire::TableWantedT>();
    Wanted->table = Each.Setup_.Name_;
    Wanted->listed = Copy.isListed();
    Wanted->after = Copy.version();
    Wanted->max_age_us = static_cast<std::uint64_t>(
        Each.Setup_.MaxAge_ * AgingShare / std::chrono::microseconds(1));
    if (auto Proof = Relay_.provenAt(Each.Setup_.Name_))
      Wanted->age_us = static_cast<std::uint64_t>((Now - *Proof) /
                                                  std::chrono::microseconds(1));
    Q.tables.push_back(std::move(Wanted));
  }
  Asked_ = {Q.number, *To, Now};
  FrameBuffer Frame = makeFrame(std::move(Q));
  bool IsSent = DialAnew_.erase(*To) != 0
                    ? Net_->sendFresh(*To, Lane::Control, Frame)
                    : Net_->send(*To, Lane::Control, Frame);
  if (!IsSent)
    onSourceLost(*To, "not sent");
}

void TableSource::ask(wire::RowsAskT Question, TableRelay::Reply R,
                      TimePoint Now) {
  Relay_.ask(std::move(Question), std::move(R), Now);
  setRhythm(Now);
  Relay_.settle(Now);
}

void TableSource::onFrame(const PeerContext &From, const wire::Frame &Frame) {
  wire::FrameT Unpacked;
  Frame.UnPackTo(&Unpacked);
  if (auto *Question = Unpacked.body.AsRowsAsk())
    ask(
        std::move(*Question),
        [this, To = From.Connection_](FrameBuffer F) {
          Net_->reply(To, std::move(F));
        },
        bootNow());
  else if (const auto *Answer = Unpacked.body.AsRowsAnswer())
    onAnswer(From.Address_, *Answer);
}

void TableSource::onAnswer(const PeerAddress &From,
                           const wire::RowsAnswerT &A) {
  if (A.number != Asked_.Number_)
    return;
  TimePoint Now = bootNow();
  AskAt_ = Now + AskPace;
  // The source had the question no sooner than it was sent.
  reached(Asked_.SentAt_ + std::chrono::microseconds(A.held_us) -
          std::chrono::microseconds(A.reached_age_us));
  bool IsFresh = !A.away;
  bool WasFresh = greatestAge(Now) <= 1;
  try {
    for (Table &Each : Tables_) {
      auto Told =
          std::find_if(A.tables.begin(), A.tables.end(), [&](const auto &T) {
            return T->table == Each.Setup_.Name_;
          });
      bool IsTold = Told != A.tables.end();
      IsFresh &= IsTold &&
                 takeTable(Each, **Told, std::chrono::microseconds(A.held_us));
    }
  } catch (const Error &E) {
    return onSourceLost(From, E.what());
  }
  Question Was = std::exchange(Asked_, Question{});
  Choice_.onAnswer(Was.To_, sourceHealth(IsFresh, A.receiving), WasFresh, Now);
  if (IsFresh)
    for (const Table &Each : Tables_)
      Callbacks_.OnCall_(Each.Setup_.Name_, true);
  follow(Now);
  Relay_.settle(Now);
}

bool TableSource::takeTable(Table &T, const wire::RelayedTableT &R,
                            Duration Held) {
  // The source had the question no sooner than it was sent.
  TimePoint AsOf = Asked_.SentAt_ + Held - std::chrono::microseconds(R.age_us);
  TableWatch::Update U = decodeRelayed(R);
  const RowCopy &Copy = Relay_.copy(T.Setup_.Name_);
  bool IsUsable = U.IsWhole_ || Copy.isListed();
  if (!IsUsable)
    return false;
  take(T, U);
  prove(T, AsOf);
  return age(T, bootNow()) <= AgingShare;
}

void TableSource::onSourceLost(const PeerAddress &From, std::string_view Why) {
  if (Asked_.Number_ == 0 || From != Asked_.To_)
    return;
  TimePoint Now = bootNow();
  Log_.write(
      LogLine("source_failed").text("source", From.str()).text("why", Why));
  Asked_ = {};
  AskAt_ = Now + AskPace;
  DialAnew_.insert(From);
  Choice_.onFailure(From, Now);
  if (Zone_)
    Zone_->lookAgain(Now);
  follow(Now);
}

} // namespace hawthornroad
