// What an entry knows of the store's two tables, and where it has it from: the
// store, or another entry of its zone.
//
//   TableSource S(Io, Setup, Store, Log, Callbacks);
//   S.start();
//   S.tick(Now);
//   S.ask(Question, Reply, Now);      // another process asks this one
//
// One entry of a zone reads the store (store/SourceChoice); the others ask it
// and are answered within milliseconds of each change (entry/TableRelay). What
// this buys: a table's change crosses the link between two regions once and not
// once an entry, and the store is called by one entry of a zone.
//
// Bounds. What a follower knows of a table is never older than the table's
// MaxAge without its reading the store itself. MaxAge is half of the bound that
// operators set on configurations, and the pace of reading with some room on
// endpoints, so the rest is left for that reading. Ages are counted from the
// follower's own questions on a clock that goes on while the VM is suspended.
// From AgingShare of MaxAge on another source is sought.

#ifndef HAWTHORNROAD_ENTRY_TABLESOURCE_H
#define HAWTHORNROAD_ENTRY_TABLESOURCE_H

#include "hawthornroad/entry/TableRelay.h"
#include "hawthornroad/entry/ZoneEntries.h"
#include "hawthornroad/store/ReceiveMonitor.h"
#include "hawthornroad/store/SourceChoice.h"
#include "hawthornroad/store/StoreProbe.h"

#include <array>

namespace hawthornroad {

class TableSource {
public:
  struct TableSetup {
    std::string Name_;
    // While nobody asks: how long the store may hold a question, and the pace.
    Duration Wait_ = Milliseconds(2000);
    Duration Pace_ = Duration::zero();
    // The same while others rest on this entry's knowledge: its proofs are then
    // up to the sum of the two old.
    Duration WaitAsked_ = Milliseconds(300);
    Duration PaceAsked_ = Milliseconds(200);
    bool ListsWhenBehind_ = false;
    // Older knowledge is too old to rest on.
    Duration MaxAge_ = Milliseconds(1000);
  };
  struct Setup {
    PeerNet::Self Self_;
    // Empty: this entry neither asks others nor is asked.
    std::string PeerListen_;
    double LinkMbps_ = 0;
    std::uint64_t Seed_ = 1;
    std::vector<TableSetup> Tables_;
  };
  struct Callbacks {
    std::function<void(const std::string &Table, const TableWatch::Update &)>
        OnRows_;
    // All that the store had acknowledged by AsOf is known.
    std::function<void(const std::string &Table, TimePoint AsOf)> OnProof_;
    // The store answered at that moment, this process or its source.
    std::function<void(TimePoint At)> OnReached_;
    // Whether the store was reached, by oneself or by the source.
    std::function<void(const std::string &Table, bool Ok)> OnCall_;
  };

  TableSource(IoThread &Io, Setup S, StoreClient &Store, EventLog &Log,
              Callbacks C);
  ~TableSource();

  // On the IoThread, as all that follows.
  void start();
  void tick(TimePoint Now);
  void ask(wire::RowsAskT Question, TableRelay::Reply R, TimePoint Now);
  // Whether this entry reads the store itself.
  bool readsStore() const { return Choice_.readsStore(); }
  // The address of the entry that it follows, "store" or "none"; for the log.
  std::string sourceName() const;
  std::uint64_t answered() const { return Relay_.answered(); }

private:
  struct Table {
    TableSetup Setup_;
    std::unique_ptr<StoreWatch> Watch_;
    bool IsAway_ = false;
    // Bytes received from the store, of all tables, up to its last answer.
    std::uint64_t ReceivedBefore_ = 0;
  };
  std::unique_ptr<StoreWatch> makeWatch(Table &T, std::uint64_t Seed);
  void onStoreCall(Table &T, bool Ok, const TableWatch &W);
  void logStoreCall(Table &T, bool Ok, const TableWatch &W);
  void onFrame(const PeerContext &From, const wire::Frame &Frame);
  void askSource(TimePoint Now);
  void onAnswer(const PeerAddress &From, const wire::RowsAnswerT &A);
  bool takeTable(Table &T, const wire::RelayedTableT &R, Duration Held);
  void onSourceLost(const PeerAddress &From, std::string_view Why);
  void take(const Table &T, const TableWatch::Update &U);
  void prove(const Table &T, TimePoint AsOf);
  void reached(TimePoint At);
  // In units of its MaxAge; above 1: too old to rest on.
  double age(const Table &T, TimePoint Now) const;
  double greatestAge(TimePoint Now) const;
  void leaveOldSource(TimePoint Now);
  void watchReceiving(TimePoint Now);
  // Without the store, the first entries of the zone find its return by short
  // calls of their own, beside those that wait for their time limit.
  void probeStore(TimePoint Now);
  void onProbe(const StoreProbe::Sent &Sent);
  // Starts or stops reading the store, as the choice says, and logs a change.
  void follow(TimePoint Now);
  void setRhythm(TimePoint Now);

  IoThread &Io_;
  Setup Setup_;
  StoreClient &Store_;
  EventLog &Log_;
  Callbacks Callbacks_;
  std::vector<Table> Tables_;
  TableRelay Relay_;
  SourceChoice Choice_;
  std::unique_ptr<PeerNet> Net_;
  std::unique_ptr<ZoneEntries> Zone_;
  // The question under way; number 0: none.
  struct Question {
    std::uint64_t Number_ = 0;
    PeerAddress To_;
    TimePoint SentAt_;
  };
  Question Asked_;
  std::uint64_t NextNumber_ = 1;
  TimePoint AskAt_{};
  // The last question to it failed: the connection may be silent.
  std::set<PeerAddress> DialAnew_;
  std::string LoggedSource_ = "none";
  bool WasAsked_ = false;
  ReceiveMonitor Receiving_;
  StoreProbe Probe_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ENTRY_TABLESOURCE_H
