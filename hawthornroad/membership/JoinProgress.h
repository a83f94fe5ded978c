// Decides when a new process holds the highest revision that it can reach, and
// so may report that it is ready.
//
//   JoinProgress J(Limits, Start);
//   for (const PeerAddress &P : J.peersToAsk(LivePeers, Now))
//     send(P, PullMessage);
//   J.answered(From);
//   if (J.isComplete(View, Now)) ...
//
// Completion requires an answer from the table and from Peers_ live members, or
// from all of them if there are fewer. Another peer is asked in place of one
// that does not answer within RetryPeriod_. An unreachable source delays
// completion only for a limited time: the table counts as asked after one
// failed read, the peers after PeerTimeout_. At least one source must have
// answered, as the process would otherwise serve without any configuration.
// Once complete, it stays complete.

#ifndef HAWTHORNROAD_MEMBERSHIP_JOINPROGRESS_H
#define HAWTHORNROAD_MEMBERSHIP_JOINPROGRESS_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/base/Types.h"

#include <set>
#include <vector>

namespace hawthornroad {

class JoinProgress {
public:
  struct Limits {
    std::size_t Peers_ = 3;
    Duration RetryPeriod_ = Milliseconds(500);
    Duration PeerTimeout_ = Seconds(3);
  };
  // State of the process that the decision depends on.
  struct View {
    bool TableRead_ = false;
    bool TableFailed_ = false;
    bool HasTable_ = true;
    // Whether other processes may exist: a contact or a live member is known.
    bool MayHavePeers_ = true;
    std::size_t LivePeers_ = 0;
    Revision Held_ = 0;
    Revision HighestSeen_ = 0;
  };

  JoinProgress(Limits L, TimePoint Start) : Limits_(L), Start_(Start) {}

  // Returns the peers to send a pull request to now.
  std::vector<PeerAddress> peersToAsk(const std::vector<PeerAddress> &Live,
                                      TimePoint Now);
  void answered(const PeerAddress &Peer);
  bool isComplete(const View &V, TimePoint Now);

private:
  bool peersAsked(const View &V, TimePoint Now) const;

  Limits Limits_;
  TimePoint Start_;
  TimePoint NextRound_{};
  std::size_t AskedInRound_ = 0;
  std::set<PeerAddress> Asked_;
  std::set<PeerAddress> Answered_;
  bool Complete_ = false;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_MEMBERSHIP_JOINPROGRESS_H
