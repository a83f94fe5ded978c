// Keeps a process at the highest accepted revision it can reach.
//
//   ConfigFollower F(Rng, Limits);
//   F.tick(IsReader, Now, Out);            // Out.Read_ asks the table
//   F.tableAnswered(Answer, Now, Out);
//   F.hear(Peer, Revision, Now, Out);      // a peer says it holds Revision
//   F.handle(Peer, Pull, Out); F.handle(Peer, Push, Now, Out);
//   if (Out.Advanced_) ... Log, then push Out.News_ to a few peers
//
// Two ways in. From the table: the snapshot key first (a hint that shortens the
// way), then the page of changes after it, doubling page sizes while pages come
// back full; later, when this process is one of the zone's readers, the key of
// the next revision each period. From peers: every probe and answer names the
// highest revision its sender holds, and who holds less pulls. A new revision
// is also pushed to a few random peers at once, which reaches all processes in
// logarithmic time; the pulls make up for what is lost.
//
// Nothing lowers the revision (RevisionLog). A change whose digest does not
// match means that the text held here is not what was accepted: the process
// then fetches a snapshot, from the peer or by reading the table anew from the
// snapshot key, and takes it only when it is higher than what it holds.
//
// Bounds: one read of the table and one pull at a time.

#ifndef HAWTHORNROAD_CONFIG_CONFIGFOLLOWER_H
#define HAWTHORNROAD_CONFIG_CONFIGFOLLOWER_H

#include "hawthornroad/config/PollSchedule.h"
#include "hawthornroad/config/RevisionLog.h"

#include <optional>
#include <set>

namespace hawthornroad {

// One read of the table.
struct ConfigRead {
  enum class Kind { Snapshot, Next, Page };
  std::uint64_t Id_ = 0;
  Kind Kind_ = Kind::Snapshot;
  // The key to read; of a page, the key after which it begins.
  std::string Key_;
  std::size_t Limit_ = 0;
};

struct ConfigAnswer {
  std::uint64_t Id_ = 0;
  // False when the platform did not answer or answered that it cannot.
  bool Answered_ = false;
  // Empty when the key is absent or the page is.
  std::vector<std::string> Values_;
};

class ConfigFollower {
public:
  struct Limits {
    PollSchedule::Limits Polls_;
    RevisionLog::Limits Log_;
    // A pull that is not answered by then goes to the next who has more.
    Duration PullTimeout_ = Milliseconds(500);
    std::size_t FirstPage_ = 16;
    std::size_t MaxPage_ = 256;
    // Whether there is a table to ask.
    bool HasTable_ = true;
  };
  struct Output {
    std::vector<ControlSend> Sends_;
    std::optional<ConfigRead> Read_;
    // The revision rose; News_ is what to push on.
    bool Advanced_ = false;
    PushMessage News_;
  };
  struct PlatformHealth {
    TimePoint LastAnswer_{};
    std::size_t FailuresInRow_ = 0;
    std::uint64_t Reads_ = 0;
    std::uint64_t Failures_ = 0;
  };

  ConfigFollower(Random Rng, Limits L);

  void tick(bool IsReader, TimePoint Now, Output &Out);
  void tableAnswered(const ConfigAnswer &Answer, TimePoint Now, Output &Out);
  void hear(const PeerAddress &Peer, Revision Held, TimePoint Now, Output &Out);
  void handle(const PeerAddress &Peer, const PullMessage &M, Output &Out);
  void handle(const PeerAddress &Peer, const PushMessage &M, TimePoint Now,
              Output &Out);

  const RevisionLog &log() const { return Log_; }
  // The highest revision any peer was heard to hold.
  Revision highestHeard() const { return Highest_; }
  // The table was read to its end once since the start.
  bool hasReadTable() const { return ReadTable_; }
  const PlatformHealth &platform() const { return Health_; }
  // Changes and snapshots that were not what they said.
  std::uint64_t refused() const { return Refused_; }

private:
  void beginRead(TimePoint Now, Output &Out);
  void takeSnapshot(const ConfigAnswer &Answer);
  void takeChanges(const ConfigAnswer &Answer);
  void finishRebuild();
  void pull(const PeerAddress &Peer, Revision After, TimePoint Now,
            Output &Out);
  void noteAdvance(Revision Before, Output &Out);
  // The log that reads of the table go to.
  RevisionLog &target() { return Rebuild_ ? *Rebuild_ : Log_; }

  Limits Limits_;
  PollSchedule Polls_;
  RevisionLog Log_;
  // Set while the text is built anew from the table.
  std::optional<RevisionLog> Rebuild_;
  ConfigRead::Kind Next_ = ConfigRead::Kind::Snapshot;
  std::size_t PageSize_;
  ConfigRead Current_;
  bool ReadTable_ = false;
  Revision Highest_ = 0;
  TimePoint PulledAt_{};
  bool Pulling_ = false;
  PlatformHealth Health_;
  std::uint64_t Refused_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_CONFIGFOLLOWER_H
