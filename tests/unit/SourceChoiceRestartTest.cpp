// Selects the source of the tables in a large zone whose entries restart: a
// model of all entries and of their links.

#include "hawthornroad/base/Random.h"
#include "hawthornroad/store/SourceChoice.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(1000)};
} // namespace

namespace {
// Model of a zone whose entries all start at the same moment. The table crosses
// the link between two regions once for each reader, and each entry's own link
// once for each entry that it sends the table to.
struct ZoneRestart {
  static constexpr double TableBytes = 300'000;
  static constexpr double RegionBytesPerMs = 3'250;
  static constexpr double LinkBytesPerMs = 5'000;
  static constexpr Duration Step = Milliseconds(20);
  struct Entry {
    SourceChoice Choice_;
    bool IsFresh_ = false;
    double Read_ = 0;
    // The entry that sends the table to this one, and the bytes received.
    std::optional<std::size_t> From_;
    double Received_ = 0;
    double Sent_ = 0;
  };
  std::vector<PeerAddress> Names_;
  std::vector<Entry> Entries_;
  TimePoint Now_ = Start;
  double Carried_ = 0;

  explicit ZoneRestart(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      Names_.push_back(PeerAddress("10.0.0." + std::to_string(I) + ":7700"));
      Entries_.push_back({SourceChoice(SourceChoice::Options{}, Now_)});
      Entries_[I].Choice_.setPreferred({Names_.begin(), Names_.begin() + I},
                                       Now_);
    }
  }
  bool isFresh() const {
    return std::all_of(Entries_.begin(), Entries_.end(),
                       [](const Entry &E) { return E.IsFresh_; });
  }
  void read() {
    auto Readers =
        std::count_if(Entries_.begin(), Entries_.end(), [](const Entry &E) {
          return E.Choice_.readsStore() && !E.IsFresh_;
        });
    for (Entry &E : Entries_) {
      if (!E.Choice_.readsStore() || E.IsFresh_)
        continue;
      double Share = RegionBytesPerMs * 20 / static_cast<double>(Readers);
      E.Read_ += Share;
      Carried_ += Share;
      E.IsFresh_ = E.Read_ >= TableBytes;
    }
  }
  void transmit() {
    std::vector<double> Receivers(Entries_.size());
    for (const Entry &E : Entries_)
      if (E.From_)
        ++Receivers[*E.From_];
    for (Entry &E : Entries_) {
      if (!E.From_)
        continue;
      double Share = LinkBytesPerMs * 20 / Receivers[*E.From_];
      E.Received_ += Share;
      Entries_[*E.From_].Sent_ += Share;
      if (E.Received_ < TableBytes)
        continue;
      E.IsFresh_ = true;
      E.Choice_.onAnswer(Names_[*E.From_], SourceHealth::Fresh, true, Now_);
      E.From_.reset();
    }
  }
  void ask(Entry &E) {
    if (E.IsFresh_ || E.From_)
      return;
    auto Peer = E.Choice_.next(false, Now_);
    if (!Peer)
      return;
    auto At = static_cast<std::size_t>(
        std::find(Names_.begin(), Names_.end(), *Peer) - Names_.begin());
    Entry &Of = Entries_[At];
    if (Of.IsFresh_) {
      E.From_ = At;
      E.Received_ = 0;
      return;
    }
    bool IsReceiving = (Of.Choice_.readsStore() && Of.Read_ > 0) ||
                       Of.Choice_.isExpectingData(Now_);
    E.Choice_.onAnswer(*Peer, sourceHealth(false, IsReceiving), false, Now_);
  }
  void step() {
    Now_ += Step;
    for (Entry &E : Entries_)
      if (!E.From_)
        E.Choice_.tick(Now_);
    read();
    transmit();
    for (Entry &E : Entries_)
      ask(E);
  }
  double mostSent() const {
    return std::max_element(
               Entries_.begin(), Entries_.end(),
               [](const Entry &A, const Entry &B) { return A.Sent_ < B.Sent_; })
        ->Sent_;
  }
};
} // namespace

// Guards against a zone of hundreds of entries whose first one sends a long
// table to all others, so that after a restart of all of them none serves for
// half a minute.
TEST_CASE("source choice, in a large zone that restarts, sends the table along "
          "a tree, whatever the number of entries",
          "[relay]") {
  for (std::size_t Count : {3U, 20U, 100U, 412U}) {
    CAPTURE(Count);
    ZoneRestart Z(Count);
    while (!Z.isFresh() && Z.Now_ < Start + Seconds(30))
      Z.step();
    CHECK(Z.Now_ - Start <= Seconds(4));
    CHECK(Z.Carried_ <= 3 * ZoneRestart::TableBytes);
    CHECK(Z.mostSent() <= 10 * ZoneRestart::TableBytes);
  }
}

namespace {
// The same zone, whose entries start within StartSpread in any order. One that
// has not started yet refuses connections.
struct ZoneStaggeredRestart : ZoneRestart {
  static constexpr Duration StartSpread = Milliseconds(300);
  std::vector<TimePoint> StartsAt_;

  ZoneStaggeredRestart(std::size_t Count, std::uint64_t Seed)
      : ZoneRestart(Count) {
    Random R(Seed);
    for (std::size_t I = 0; I < Count; ++I)
      StartsAt_.push_back(
          Start + std::chrono::duration_cast<Duration>(StartSpread * R.unit()));
    for (std::size_t I = 0; I < Count; ++I) {
      Entries_[I].Choice_ = SourceChoice(SourceChoice::Options{}, StartsAt_[I]);
      if (I > 0)
        Entries_[I].Choice_.setPreferred({Names_.begin(), Names_.begin() + I},
                                         StartsAt_[I]);
    }
  }
  bool isUp(std::size_t I) const { return Now_ >= StartsAt_[I]; }
  void stepStaggered() {
    Now_ += Step;
    if (isUp(0) && !Entries_[0].Choice_.readsStore())
      Entries_[0].Choice_.setPreferred({}, Now_);
    for (std::size_t I = 0; I < Entries_.size(); ++I)
      if (isUp(I) && !Entries_[I].From_)
        Entries_[I].Choice_.tick(Now_);
    read();
    transmit();
    for (std::size_t I = 0; I < Entries_.size(); ++I)
      if (isUp(I))
        askStaggered(Entries_[I]);
  }
  void askStaggered(Entry &E) {
    if (E.IsFresh_ || E.From_)
      return;
    auto Peer = E.Choice_.next(false, Now_);
    if (!Peer)
      return;
    auto At = static_cast<std::size_t>(
        std::find(Names_.begin(), Names_.end(), *Peer) - Names_.begin());
    if (isUp(At))
      return ask(E);
    E.Choice_.onRefused(*Peer, Now_);
  }
};
} // namespace

// Guards against entries that take others for failed since these have not
// started yet: all of them read the store, or wait for the first one.
TEST_CASE("source choice, in a large zone whose entries restart one after the "
          "other, has all fresh within three seconds",
          "[relay]") {
  auto Count = GENERATE(3U, 20U, 50U, 100U, 412U, 1237U);
  auto Seed = GENERATE(range(1, 6));
  CAPTURE(Count, Seed);
  ZoneStaggeredRestart Z(Count, static_cast<std::uint64_t>(Seed));
  while (!Z.isFresh() && Z.Now_ < Start + Seconds(30))
    Z.stepStaggered();
  CHECK((Z.Now_ - Start) / Milliseconds(1) <= 3000);
  CHECK(Z.Carried_ / ZoneRestart::TableBytes <= 4);
  CHECK(Z.mostSent() / ZoneRestart::TableBytes <= 10);
}

namespace {
// Model of a zone whose entries all read the store, since they started before
// any of them was listed. A read that takes longer than its time limit is sent
// again from the beginning, and a saturated link delivers nothing in time.
struct ZoneOfReaders : ZoneRestart {
  static constexpr double LongTableBytes = 1'300'000;
  static constexpr Duration ReadLimit = Milliseconds(2000);
  static constexpr std::ptrdiff_t MostUseful = 6;
  std::vector<TimePoint> ReadSince_;

  explicit ZoneOfReaders(std::size_t Count) : ZoneRestart(Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      SourceChoice &C = Entries_[I].Choice_;
      C.setPreferred({}, Now_);
      C.setPreferred({Names_.begin(), Names_.begin() + I}, Now_);
    }
    ReadSince_.assign(Count, Now_);
  }
  void readLong() {
    auto Readers =
        std::count_if(Entries_.begin(), Entries_.end(), [](const Entry &E) {
          return E.Choice_.readsStore() && !E.IsFresh_;
        });
    for (std::size_t I = 0; I < Entries_.size(); ++I) {
      Entry &E = Entries_[I];
      if (E.IsFresh_)
        continue;
      if (!E.Choice_.readsStore() || Now_ - ReadSince_[I] >= ReadLimit) {
        E.Read_ = 0;
        ReadSince_[I] = Now_;
        continue;
      }
      if (Readers <= MostUseful)
        E.Read_ += RegionBytesPerMs * 20 / static_cast<double>(Readers);
      E.IsFresh_ = E.Read_ >= LongTableBytes;
    }
  }
  void stepLong() {
    Now_ += Step;
    for (Entry &E : Entries_)
      if (!E.From_)
        E.Choice_.tick(Now_);
    readLong();
    transmit();
    for (Entry &E : Entries_)
      ask(E);
  }
};
} // namespace

// Guards against a zone that is never served again once all of its entries read
// the store at the same time: each read times out and is repeated.
TEST_CASE("source choice, in a large zone whose entries all read the store at "
          "once, leaves it to few and has all fresh within seconds",
          "[relay]") {
  for (std::size_t Count : {20U, 50U, 412U}) {
    CAPTURE(Count);
    ZoneOfReaders Z(Count);
    while (!Z.isFresh() && Z.Now_ < Start + Seconds(30))
      Z.stepLong();
    CHECK(Z.Now_ - Start <= Seconds(6));
  }
}
