// Keeps an entry's copy of the store's two tables current, from the store
// itself or from another entry of its zone (the source).
//
//   TableSource S(Io, Setup, Store, Log, Callbacks);
//   S.start();
//   S.tick(Now);
//   S.ask(Query, Reply, Now);      // a query from another process
//
// One entry of a zone reads the store (store/SourceChoice). The others, its
// followers, query it by long polls, which are answered within milliseconds of
// each change (entry/TableRelay). A change of a table thus crosses the link
// between two regions once instead of once per entry, and only one entry of a
// zone calls the store.
//
// Bounds: a follower whose copy of a table is older than the table's MaxAge
// reads the store itself. MaxAge is half of the operators' bound for
// configurations, and the read interval plus a margin for endpoints, so the
// rest of each bound is left for that read. Ages are counted from the time at
// which the follower sent its query, on a clock that also runs while the VM is
// suspended. When a copy is older than AgingShare of MaxAge, the follower looks
// for another source.

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
    // While no other entry queries this one: how long the store may hold a
    // call, and the pause between calls.
    Duration Wait_ = Milliseconds(2000);
    Duration Pace_ = Duration::zero();
    // The same while other entries depend on this one's copy; its proofs are
    // then at most as old as the sum of the two.
    Duration WaitWhenServing_ = Milliseconds(300);
    Duration PaceWhenServing_ = Milliseconds(200);
    bool ListsWhenBehind_ = false;
    // Maximum age of the copy; an older one is stale.
    Duration MaxAge_ = Milliseconds(1000);
  };
  struct Setup {
    PeerNet::Self Self_;
    // Empty: this entry neither sends nor receives queries.
    std::string PeerListen_;
    double LinkMbps_ = 0;
    std::uint64_t Seed_ = 1;
    std::vector<TableSetup> Tables_;
  };
  struct Callbacks {
    std::function<void(const std::string &Table, const TableWatch::Update &)>
        OnRows_;
    // The copy holds all writes that the store had acknowledged by AsOf.
    std::function<void(const std::string &Table, TimePoint AsOf)> OnProof_;
    // The store answered this process or its source at that time.
    std::function<void(TimePoint At)> OnReached_;
    // Whether this process or its source reached the store.
    std::function<void(const std::string &Table, bool Ok)> OnCall_;
  };

  TableSource(IoThread &Io, Setup S, StoreClient &Store, EventLog &Log,
              Callbacks C);
  ~TableSource();

  // To be called on the IoThread, as the functions below.
  void start();
  void tick(TimePoint Now);
  void ask(wire::RowsAskT Query, TableRelay::Reply R, TimePoint Now);
  // Whether this entry reads the store itself.
  bool readsStore() const { return Choice_.readsStore(); }
  // The address of the source, "store" or "none"; for the log.
  std::string sourceName() const;
  std::uint64_t answered() const { return Relay_.answered(); }

private:
  struct Table {
    TableSetup Setup_;
    std::unique_ptr<StoreWatch> Watch_;
    bool IsStoreUnavailable_ = false;
    // Bytes received from the store for all tables up to this table's last
    // answer.
    std::uint64_t ReceivedBefore_ = 0;
  };
  std::unique_ptr<StoreWatch> makeWatch(Table &T, std::uint64_t Seed);
  void onStoreCall(Table &T, bool Ok, const TableWatch &W);
  void logStoreCall(Table &T, bool Ok, const TableWatch &W);
  void onFrame(const PeerContext &From, const wire::Frame &Frame);
  void querySource(TimePoint Now);
  // How long the source may hold a query that is sent now.
  Duration queryWait(TimePoint Now) const;
  bool isQueryOverdue(TimePoint Now) const;
  // The age, as a fraction of MaxAge, at which another source is sought.
  double agingShare() const;
  void onAnswer(const PeerAddress &From, const wire::RowsAnswerT &A);
  bool applyTable(Table &T, const wire::RelayedTableT &R, Duration Held);
  // Whether E says that the source of the open query refuses connections.
  bool isRefusal(const Error &E) const;
  void onSourceLost(const PeerAddress &From, std::string_view Why,
                    bool IsRefused);
  void applyUpdate(const Table &T, const TableWatch::Update &U);
  void prove(const Table &T, TimePoint AsOf);
  void reached(TimePoint At);
  // As a fraction of the table's MaxAge; above 1 the copy is stale.
  double age(const Table &T, TimePoint Now) const;
  double greatestAge(TimePoint Now) const;
  void dropAgingSource(TimePoint Now);
  void updateReceiving(TimePoint Now);
  // While the store is unavailable, the first entries of the zone detect its
  // return by short calls, beside the calls that wait for their time limit.
  void probeStore(TimePoint Now);
  void onProbe(const StoreProbe::Sent &Sent);
  // Starts or stops reading the store according to Choice_, and logs a change
  // of the source.
  void applyChoice(TimePoint Now);
  void adjustPolling(TimePoint Now);

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
  // The outstanding query; number 0 means none.
  struct Query {
    std::uint64_t Number_ = 0;
    PeerAddress To_;
    TimePoint SentAt_;
    Duration Timeout_ = Duration::zero();
  };
  Query Query_;
  std::uint64_t NextNumber_ = 1;
  TimePoint NextQueryAt_{};
  // Sources whose last query failed or whose data is aging. Their connection
  // may be dead without notice, so the next query opens a new one.
  std::set<PeerAddress> Reconnect_;
  std::string LoggedSource_ = "none";
  bool WasServing_ = false;
  ReceiveMonitor Receiving_;
  StoreProbe Probe_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ENTRY_TABLESOURCE_H
