// Keeps a process at the highest accepted configuration revision it can reach.
//
//   ConfigFollower F(Rng, Limits);
//   F.tick(IsReader, Now, Out);            // Out.Read_ is a read to perform
//   F.tableAnswered(Answer, Now, Out);
//   F.observeRevision(Peer, Revision, Now, Out);  // a peer holds Revision
//   F.handle(Peer, Pull, Out); F.handle(Peer, Push, Now, Out);
//   if (Out.Advanced_) ... log it, then push Out.Update_ to a few peers
//
// Revisions arrive from two sources. From the table: first the snapshot key,
// an optimization that saves reads; then pages of the changes after it, with a
// page size that doubles while pages come back full; after that, if this
// process is one of the zone's readers, the key of the next revision once a
// period. From peers: every probe and answer carries the highest revision its
// sender holds, and a process that holds less pulls. A new revision is also
// pushed to a few random peers at once, which reaches all processes in
// logarithmic time; pulls recover lost pushes.
//
// The revision never decreases (RevisionLog). A digest mismatch in a change
// means that the local text differs from the accepted one: the process then
// fetches a snapshot, from the peer or by reading the table again from the
// snapshot key, and adopts it only when its revision is higher than its own.
//
// Bounds: one outstanding table read and one outstanding pull.

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
  // The key to read. For Page, the key after which the page begins.
  std::string Key_;
  std::size_t Limit_ = 0;
};

struct ConfigAnswer {
  std::uint64_t Id_ = 0;
  // False when the platform did not answer or answered with an error.
  bool Answered_ = false;
  // Empty when the key is absent or the page is empty.
  std::vector<std::string> Values_;
};

class ConfigFollower {
public:
  struct Limits {
    PollSchedule::Limits Polls_;
    RevisionLog::Limits Log_;
    // After this a pull counts as lost, and the next peer observed to hold a
    // higher revision is asked.
    Duration PullTimeout_ = Milliseconds(500);
    std::size_t FirstPage_ = 16;
    std::size_t MaxPage_ = 256;
    // Whether a table is configured.
    bool HasTable_ = true;
  };
  struct Output {
    std::vector<ControlSend> Sends_;
    std::optional<ConfigRead> Read_;
    // The revision increased; Update_ is the push message for other peers.
    bool Advanced_ = false;
    PushMessage Update_;
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
  void observeRevision(const PeerAddress &Peer, Revision Held, TimePoint Now,
                       Output &Out);
  void handle(const PeerAddress &Peer, const PullMessage &M, Output &Out);
  void handle(const PeerAddress &Peer, const PushMessage &M, TimePoint Now,
              Output &Out);

  const RevisionLog &log() const { return Log_; }
  // The highest revision that any peer has reported.
  Revision highestSeen() const { return HighestSeen_; }
  // Whether the table has been read to its end since the process started.
  bool hasReadTable() const { return ReadTable_; }
  const PlatformHealth &platform() const { return Health_; }
  // The number of changes and snapshots refused as malformed or because of a
  // digest mismatch.
  std::uint64_t refused() const { return Refused_; }

private:
  void startRead(TimePoint Now, Output &Out);
  void handleSnapshot(const ConfigAnswer &Answer);
  void handleChanges(const ConfigAnswer &Answer);
  void finishRebuild();
  void pull(const PeerAddress &Peer, Revision After, TimePoint Now,
            Output &Out);
  void reportAdvance(Revision Before, Output &Out);
  // The log that table reads are applied to.
  RevisionLog &target() { return Rebuild_ ? *Rebuild_ : Log_; }

  Limits Limits_;
  PollSchedule Polls_;
  RevisionLog Log_;
  // Set while the text is being rebuilt from the table.
  std::optional<RevisionLog> Rebuild_;
  ConfigRead::Kind NextRead_ = ConfigRead::Kind::Snapshot;
  std::size_t PageSize_;
  ConfigRead Current_;
  bool ReadTable_ = false;
  Revision HighestSeen_ = 0;
  TimePoint PulledAt_{};
  bool Pulling_ = false;
  PlatformHealth Health_;
  std::uint64_t Refused_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_CONFIGFOLLOWER_H
