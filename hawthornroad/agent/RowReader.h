// Reads whole tables of the store, from an entry of the zone, or from the store
// when no entry answers.
//
//   RowReader R({.Reply_ = ..., .Dial_ = ..., .FindEntries_ = ...,
//                .ReadStore_ = ...}, Seed);
//   R.onEntryConnected(ProcessName("zg-entry-1"), Connection, Now);
//   R.list("op", Now, [](const StoreReply &R) {...});
//   R.onAnswer(Answer);  R.tick(Now);
//
// The configuration of a large deployment is 336 KB, and the agents of many VMs
// want it at the same moment: when all start, when endpoints are replaced, when
// the origin cannot be reached. Read from the store, it crosses the link
// between regions once per agent (51 MB within 40 s were observed); an entry of
// the zone already has it and sends it compressed, within the zone.
//
// A connected entry is asked first, a different one by each agent. Entries do
// not know an agent that has just started; they connect to it after they next
// read the list of endpoints. So it waits for one, and then reads the addresses
// of the entries from the store, some hundred bytes, and uses them from then
// on. An entry that is asked has AnswerTimeout to answer.
//
// Load pattern: engines are added because the others are full, so each tenth of
// a second until they serve is paid by refused callers. The wait is therefore
// short (EntryWait), except at the first start of the whole deployment, when no
// caller is served yet and one call per VM would be needless (FirstEntryWait).
//
// When all VMs start together, the entries have no rows yet either. An entry
// that says that it is receiving them is asked again after DataRetryDelay, for
// at most DataTimeout: if each agent read the store instead, their reads would
// take the bandwidth that the entries' reader needs.
//
// The rows read from a table are kept, and the next read asks for what has
// changed since: during a transfer each agent wants the list of endpoints every
// second, which for hundreds of endpoints is some ten kilobytes (estimated).
// The kept rows are also the result while entries cannot reach the store: then
// the store is down or the entries read it as soon as they can, and a call from
// each agent every second would return nothing newer.

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
  struct Transport {
    // Sends on an entry's own connection. False: the connection is closed.
    std::function<bool(ConnectionId, FrameBuffer)> Reply_;
    std::function<void(const PeerAddress &, FrameBuffer)> Dial_;
    // Finds the addresses of the zone's entries; none when they are not known.
    using Found = std::function<void(std::vector<PeerAddress>)>;
    std::function<void(Found)> FindEntries_;
    std::function<void(const std::string &Table, Done)> ReadStore_;
  };

  // The entry holds the question for less; the rest is the time that 60 KB take
  // over an agent's link.
  static constexpr Duration AnswerTimeout = Milliseconds(600);
  // Longer than an entry takes to connect to an agent that has restarted.
  static constexpr Duration EntryWait = Milliseconds(150);
  // Longer than an entry takes between two reads of the endpoints under a drain
  // bound of 2 s (0.6 s), and short compared with a start of the whole
  // deployment.
  static constexpr Duration FirstEntryWait = Milliseconds(900);
  static constexpr Duration DataRetryDelay = Milliseconds(200);
  static constexpr Duration DataTimeout = Seconds(5);

  RowReader(Transport W, std::uint64_t Seed, Duration Wait = EntryWait)
      : Transport_(std::move(W)), Random_(Seed), EntryWait_(Wait) {}

  // An entry of this zone has connected or reconnected.
  void onEntryConnected(const ProcessName &Entry, ConnectionId Connection,
                        TimePoint Now);
  void list(const std::string &Table, TimePoint Now, Done D);
  void onAnswer(const wire::RowsAnswerT &A);
  void tick(TimePoint Now);

private:
  struct Read {
    std::string Table_;
    Done Done_;
    // Number of the pending question; 0: an entry is awaited or searched for.
    std::uint64_t Number_ = 0;
    TimePoint Since_;
    bool IsSearching_ = false;
    TimePoint StartedAt_;
    // The entry that was asked is receiving its first rows.
    bool AwaitsData_ = false;
  };
  FrameBuffer question(Read &R);
  bool askConnected(Read &R);
  // Sends the reads that wait for an entry to a connected one.
  void askWaiting(TimePoint Now);
  void searchOverdue(TimePoint Now);
  void onStore(const std::string &Table, const Done &D, const StoreReply &R);
  void askFound(const std::vector<PeerAddress> &Entries);
  // Asks again for rows that an entry was receiving.
  void askAgain(Read &R, TimePoint Now);
  // Asks one of the entries found in the store, if there are any.
  void askKnown(Read &R);
  void readStore(Read R);
  // Completes the read with the kept rows of the table.
  void complete(const Read &R);
  // Moves the entry that failed to answer behind all others.
  void rotateEntries();

  Transport Transport_;
  Random Random_;
  Duration EntryWait_;
  // The first entry is asked. New ones are inserted at random, so that the
  // agents of a zone ask different entries.
  std::list<std::pair<ProcessName, ConnectionId>> Entries_;
  std::list<Read> Reads_;
  // The zone's entries as last found in the store.
  std::vector<PeerAddress> Found_;
  std::map<std::string, RowCopy> Copies_;
  std::uint64_t NextNumber_ = 1;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_AGENT_ROWREADER_H
