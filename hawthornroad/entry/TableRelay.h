// Answers other processes of the zone who ask what the store said.
//
//   TableRelay R({"op", "servers"});
//   R.apply("op", Update);  R.prove("op", AsOf);
//   R.ask(Question, [](FrameBuffer F) {...}, Now);
//   R.settle(Now);                  // after each of these, and now and then
//
// A question is answered when there are rows that the asker lacks, or when what
// is known here has been found true ProofStep later than what the asker knows,
// and after its waiting time in any case. An answer says how old
// the knowledge is, counted on this process's clock up to the sending, and how
// long the question was held; the asker reckons from the moment when it asked,
// so time on the way, or in a frozen process, makes the knowledge older and
// never younger.
//
// Long values are sent deflated, each deflated once for all askers.

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
  // A question is held no longer, whatever it says.
  static constexpr Duration MaxWait = Seconds(5);
  // At more askers than a zone has processes the oldest one is answered early.
  static constexpr std::size_t MaxHeld = 256;

  explicit TableRelay(const std::vector<std::string> &Tables);

  void apply(const std::string &Table, const TableWatch::Update &U);
  void prove(const std::string &Table, TimePoint AsOf);
  // Whether this process is without the store.
  void setAway(bool IsAway) { IsAway_ = IsAway; }
  // Whether it reads the store itself and bytes have just come in.
  void setReceiving(bool IsReceiving) { IsReceiving_ = IsReceiving; }
  // The store answered at that moment, this process or the one it follows.
  void reached(TimePoint At) { ReachedAt_ = std::max(ReachedAt_, At); }

  void ask(wire::RowsAskT Question, Reply R, TimePoint Now);
  void settle(TimePoint Now);

  const RowCopy &copy(const std::string &Table) const;
  std::optional<TimePoint> provenAt(const std::string &Table) const;
  // Questions answered so far.
  std::uint64_t answered() const { return Answered_; }
  // Unset: never.
  std::optional<TimePoint> lastAsked() const { return LastAsked_; }

private:
  struct Table {
    RowCopy Copy_;
    std::optional<TimePoint> ProvenAt_;
    // Long values by key, deflated, with the version of their row.
    std::map<std::string, std::pair<StoreVersion, std::string>> Short_;
  };
  struct Held {
    wire::RowsAskT Question_;
    Reply Reply_;
    TimePoint CameAt_;
  };
  Table *find(const std::string &Name);
  bool isDue(const Held &H, TimePoint Now);
  void answer(const Held &H, TimePoint Now);
  static std::unique_ptr<wire::RelayedTableT>
  tell(const wire::TableWantedT &Wanted, Table &T, TimePoint Now);
  static std::unique_ptr<wire::RelayedRowT> tell(const StoreRow &Row, Table &T);

  std::map<std::string, Table> Tables_;
  std::list<Held> Held_;
  std::optional<TimePoint> LastAsked_;
  std::uint64_t Answered_ = 0;
  bool IsAway_ = false;
  bool IsReceiving_ = false;
  TimePoint ReachedAt_{};
};

// The rows of an answer; throws Error(Step::Receive) when a value is spoilt.
TableWatch::Update decodeRelayed(const wire::RelayedTableT &T);

} // namespace hawthornroad

#endif // HAWTHORNROAD_ENTRY_TABLERELAY_H
