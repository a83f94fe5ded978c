// Whole tables of the store, from an entry of the zone, or from the store when
// no entry answers.
//
//   RowReader R({.Reply_ = ..., .Dial_ = ..., .Find_ = ..., .ReadStore_ = ...},
//               Seed);
//   R.entryCame("zg-entry-1", Connection);
//   R.list("op", Now, [](const StoreReply &R) {...});
//   R.onAnswer(Frame);  R.tick(Now);
//
// The configuration of a large deployment is 336 KB, and the agents of many VMs
// want it at the same moment: when all start, when endpoints are replaced, when
// the origin cannot be found. Read from the store it crosses the link between
// regions once an agent (51 MB in a day of 40 s, seen); from an entry, which
// has it anyway, it crosses none, deflated.
//
// An entry that is connected is asked first, each agent another one. An agent
// that has just started is not known to entries yet: they come to it after
// their next reading of the endpoints' list. So it waits EntryWait for one;
// then it finds their addresses in the store, some hundred bytes. Without the
// wait a start of everything cost the store a call a VM. One that has been
// asked has AnswerTimeout.
//
// What was read of a table is kept, and the next reading asks for what has
// changed since: while a version is on its way each agent wants the list of
// endpoints every second, which for hundreds of them is some ten kilobytes (an
// estimate, not measured). It is also what is told while entries are without
// the store: then the store is away or will be asked by them, and a call from
// each agent every second would bring nothing newer.

#ifndef HAWTHORNROAD_AGENT_ROWREADER_H
#define HAWTHORNROAD_AGENT_ROWREADER_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/peers/PeerNet.h"
#include "hawthornroad/store/RowCopy.h"
#include "hawthornroad/store/StoreClient.h"

#include <functional>
#include <list>
#include <map>
#include <string>
#include <vector>

namespace hawthornroad {

class RowReader {
public:
  using Done = std::function<void(const StoreReply &)>;
  struct Ways {
    // On an entry's own connection. False: it is gone.
    std::function<bool(ConnectionId, FrameBuffer)> Reply_;
    std::function<void(const PeerAddress &, FrameBuffer)> Dial_;
    // Tells the addresses of the zone's entries; none when they are not known.
    using Found = std::function<void(std::vector<PeerAddress>)>;
    std::function<void(Found)> Find_;
    std::function<void(const std::string &Table, Done)> ReadStore_;
  };

  // The entry holds the question for less; the rest is the way of 60 KB over an
  // agent's link.
  static constexpr Duration AnswerTimeout = Milliseconds(600);
  // Longer than an entry takes between two readings of the endpoints under a
  // drain bound of 2 s (0.6 s), and short against a start of everything.
  static constexpr Duration EntryWait = Milliseconds(900);

  RowReader(Ways W, std::uint64_t Seed) : Ways_(std::move(W)), Random_(Seed) {}

  // An entry of this zone is connected, or again under a new connection.
  void entryCame(const ProcessName &Entry, ConnectionId Connection,
                 TimePoint Now);
  void list(const std::string &Table, TimePoint Now, Done D);
  void onAnswer(const wire::RowsAnswerT &A);
  void tick(TimePoint Now);

private:
  struct Read {
    std::string Table_;
    Done Done_;
    // Of the question under way; 0: an entry is awaited or looked for.
    std::uint64_t Number_ = 0;
    TimePoint Since_;
    bool IsSearching_ = false;
  };
  FrameBuffer question(Read &R);
  bool askConnected(Read &R);
  // Asks a connected entry for what waits for one.
  void askWaiting(TimePoint Now);
  void searchOverdue(TimePoint Now);
  void onStore(const std::string &Table, const Done &D, const StoreReply &R);
  void askFound(const std::vector<PeerAddress> &Entries);
  void readStore(Read R);
  // Tells what is kept of the table.
  void tell(const Read &R);
  // The entry that was asked gave nothing: others come before it from now on.
  void askAnotherNext();

  Ways Ways_;
  Random Random_;
  // The first is asked; those that come go anywhere in it, so that the agents
  // of a zone ask different ones.
  std::list<std::pair<ProcessName, ConnectionId>> Entries_;
  std::list<Read> Reads_;
  std::map<std::string, RowCopy> Copies_;
  std::uint64_t NextNumber_ = 1;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_AGENT_ROWREADER_H
