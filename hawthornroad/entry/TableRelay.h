// Relays this process's copy of the store's tables to other processes of the
// zone.
//
//   TableRelay R({"op", "servers"});
//   R.apply("op", Update);  R.prove("op", AsOf);
//   R.ask(Query, [](FrameBuffer F) {...}, Now);
//   R.answerDue(Now);     // after each of these, and periodically
//
// A query is a long poll. It is answered when there are rows that the client
// lacks, or when this copy was confirmed current MinProofAdvance later than the
// client's, and in any case when its wait time has passed. An answer states the
// age of the copy, measured on this process's clock up to sending, and how long
// the query was held. The client counts from the time at which it sent the
// query, so time in transit or in a frozen process makes the data appear older,
// never newer.
//
// Long values are sent deflated, and so are many short rows together; each is
// deflated once for all clients that lack the same rows.

#ifndef HAWTHORNROAD_ENTRY_TABLERELAY_H
#define HAWTHORNROAD_ENTRY_TABLERELAY_H

#include "hawthornroad/peers/PeerNet.h"
#include "hawthornroad/store/RowCopy.h"

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hawthornroad {

class TableRelay {
public:
  using Reply = std::function<void(FrameBuffer)>;
  // Upper limit on the wait time of a query, whatever it requests.
  static constexpr Duration MaxWait = Seconds(5);
  // More than the processes of a zone; beyond it the oldest query is answered
  // early.
  static constexpr std::size_t MaxPending = 256;

  explicit TableRelay(const std::vector<std::string> &Tables);

  void apply(const std::string &Table, const TableWatch::Update &U);
  void prove(const std::string &Table, TimePoint AsOf);
  // Whether this process cannot reach the store.
  void setStoreUnavailable(bool IsStoreUnavailable) {
    IsStoreUnavailable_ = IsStoreUnavailable;
  }
  // Whether this process reads the store itself and is receiving bytes of an
  // answer.
  void setReceiving(bool IsReceiving) { IsReceiving_ = IsReceiving; }
  // The time of the store's last answer to this process or to its source.
  void reached(TimePoint At) { ReachedAt_ = std::max(ReachedAt_, At); }

  void ask(wire::RowsAskT Query, Reply R, TimePoint Now);
  void answerDue(TimePoint Now);

  const RowCopy &copy(const std::string &Table) const;
  std::optional<TimePoint> provenAt(const std::string &Table) const;
  std::uint64_t answered() const { return Answered_; }
  // Unset before the first query.
  std::optional<TimePoint> lastQueryAt() const { return LastQueryAt_; }

private:
  struct PackedRows {
    std::string Bytes_;
    std::uint32_t Length_ = 0;
    bool IsWhole_ = false;
  };
  struct Table {
    RowCopy Copy_;
    std::optional<TimePoint> ProvenAt_;
    // Deflated long values by key, with the version of their row.
    std::map<std::string, std::pair<StoreVersion, std::string>> Deflated_;
    // Packed rows of the current version, by the version that the client has.
    std::map<std::optional<StoreVersion>, PackedRows> Packed_;
  };
  struct PendingQuery {
    wire::RowsAskT Query_;
    Reply Reply_;
    TimePoint ReceivedAt_;
  };
  Table *find(const std::string &Name);
  bool isDue(const PendingQuery &H, TimePoint Now);
  void answer(const PendingQuery &H, TimePoint Now);
  static std::unique_ptr<wire::RelayedTableT>
  encodeTable(const wire::TableWantedT &Wanted, Table &T, TimePoint Now);
  static void encodeRows(wire::RelayedTableT &Out,
                         std::optional<StoreVersion> After, bool MayPack,
                         Table &T);
  static std::unique_ptr<wire::RelayedRowT> encodeRow(const StoreRow &Row,
                                                      Table &T);

  std::map<std::string, Table> Tables_;
  std::list<PendingQuery> Pending_;
  std::optional<TimePoint> LastQueryAt_;
  std::uint64_t Answered_ = 0;
  bool IsStoreUnavailable_ = false;
  bool IsReceiving_ = false;
  TimePoint ReachedAt_{};
};

// Decodes the rows of an answer. Throws Error(Step::Receive) when a value is
// corrupt.
TableWatch::Update decodeRelayed(const wire::RelayedTableT &T);

} // namespace hawthornroad

#endif // HAWTHORNROAD_ENTRY_TABLERELAY_H
