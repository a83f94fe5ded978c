// Selects the source of the tables in a zone that loses the store and has it
// back: a model of all entries and of their link.

#include "hawthornroad/store/SourceChoice.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
constexpr TimePoint Start{Seconds(1000)};
} // namespace

namespace {
// Model of a zone whose entries all read one long table from the store over one
// evenly shared link.
struct ZoneAfterOutage {
  static constexpr double TableBytes = 300'000;
  static constexpr double LinkBytesPerMs = 3'900;
  static constexpr Duration Step = Milliseconds(20);
  struct Entry {
    SourceChoice Choice_;
    double Received_ = 0;
    bool IsFresh_ = false;
  };
  std::vector<PeerAddress> Names_;
  std::vector<Entry> Entries_;
  TimePoint Now_ = Start;
  double Carried_ = 0;

  explicit ZoneAfterOutage(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      Names_.push_back(PeerAddress("10.0.0." + std::to_string(I) + ":7700"));
      Entries_.push_back({SourceChoice(SourceChoice::Options{}, Now_)});
      Entries_[I].Choice_.setPreferred({Names_.begin(), Names_.begin() + I},
                                       Now_);
      Entries_[I].Choice_.onStale(Now_);
    }
    // The outage has lasted longer than any pause between queries.
    Now_ += Seconds(5);
  }
  Entry &named(const PeerAddress &Name) {
    auto At = std::find(Names_.begin(), Names_.end(), Name);
    return Entries_[static_cast<std::size_t>(At - Names_.begin())];
  }
  void ask(Entry &E) {
    auto Peer = E.Choice_.next(E.IsFresh_, Now_);
    if (!Peer)
      return;
    const Entry &Of = named(*Peer);
    bool IsReceiving = Of.Choice_.readsStore() && Of.Received_ > 0;
    SourceHealth H = sourceHealth(Of.IsFresh_, IsReceiving);
    E.Choice_.onAnswer(*Peer, H, E.IsFresh_, Now_);
    E.IsFresh_ |= H == SourceHealth::Fresh;
  }
  void read(Entry &E, double Share) {
    if (!E.Choice_.readsStore())
      E.Received_ = 0;
    else if (!E.IsFresh_) {
      E.Received_ += Share;
      Carried_ += Share;
      E.IsFresh_ = E.Received_ >= TableBytes;
    }
  }
  bool isFresh() const {
    return std::all_of(Entries_.begin(), Entries_.end(),
                       [](const Entry &E) { return E.IsFresh_; });
  }
  void step() {
    Now_ += Step;
    auto Readers =
        std::count_if(Entries_.begin(), Entries_.end(), [](const Entry &E) {
          return E.Choice_.readsStore() && !E.IsFresh_;
        });
    double Share = LinkBytesPerMs * 20 / static_cast<double>(Readers + 1);
    for (Entry &E : Entries_) {
      E.Choice_.tick(Now_);
      read(E, Share);
      ask(E);
    }
  }
};
} // namespace

// Guards against a zone whose entries all read the configuration over the same
// link for ten seconds after a cut, so that none applies it in time.
TEST_CASE("source choice, in a zone of twenty after an outage, leaves the link "
          "to the first and has all of them fresh in half a second",
          "[relay]") {
  ZoneAfterOutage Z(20);
  TimePoint Back = Z.Now_;
  while (!Z.isFresh() && Z.Now_ < Back + Seconds(10))
    Z.step();
  REQUIRE(Z.Now_ - Back <= Milliseconds(500));
  REQUIRE(Z.Carried_ <= 3 * ZoneAfterOutage::TableBytes);
}

namespace {
// The same zone during an outage: all entries follow the first one, lose the
// store with it and keep asking each other until the store is back.
struct ZoneThroughOutage : ZoneAfterOutage {
  explicit ZoneThroughOutage(std::size_t Count, Duration Outage)
      : ZoneAfterOutage(Count) {
    for (std::size_t I = 0; I < Count; ++I) {
      Entry &E = Entries_[I];
      E.Choice_ = SourceChoice(SourceChoice::Options{}, Now_);
      E.Choice_.setPreferred({Names_.begin(), Names_.begin() + I}, Now_);
      if (I > 0)
        E.Choice_.onAnswer(Names_[0], SourceHealth::Fresh, true, Now_);
    }
    constexpr Duration Aging = Milliseconds(800);
    constexpr Duration TooOld = Milliseconds(1500);
    TimePoint CutAt = Now_;
    for (; Now_ - CutAt < Outage; Now_ += Step)
      for (Entry &E : Entries_) {
        E.Choice_.tick(Now_);
        if (Now_ - CutAt >= Aging)
          E.Choice_.onAging(Now_);
        if (Now_ - CutAt >= TooOld)
          E.Choice_.onStale(Now_);
        auto Peer = E.Choice_.next(false, Now_);
        if (Peer && Now_ - CutAt >= Aging)
          E.Choice_.onAnswer(*Peer, SourceHealth::Disconnected, false, Now_);
      }
  }
};
} // namespace

// Guards against a zone whose entries have all just learned from each other
// that the store is unreachable, so that all of them read it when it is back.
TEST_CASE("source choice, in a zone of twenty whose entries ask each other "
          "during an outage, has all fresh in half a second whenever it ends",
          "[relay]") {
  for (int Ms = 2500; Ms <= 9000; Ms += 250) {
    CAPTURE(Ms);
    ZoneThroughOutage Z(20, Milliseconds(Ms));
    TimePoint Back = Z.Now_;
    while (!Z.isFresh() && Z.Now_ < Back + Seconds(10))
      Z.step();
    CHECK((Z.Now_ - Back) / Milliseconds(1) <= 500);
    CHECK(Z.Carried_ / ZoneAfterOutage::TableBytes <= 3);
  }
}
