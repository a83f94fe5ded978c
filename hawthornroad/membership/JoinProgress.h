// When a new process holds the highest revision it can reach, and so may say
// that it is ready.
//
//   JoinProgress J(Limits, Start);
//   for (const PeerAddress &P : J.ask(LivePeers, Now)) send(P, PullMessage);
//   J.answered(From);
//   if (J.isComplete(View, Now)) ...
//
// It has to ask the table, and Peers_ live members or all when there are fewer.
// A peer that does not answer is replaced by another after AskAgain_. What
// cannot be reached does not hold it up for ever: the table counts as asked
// after one failed read, peers after GiveUp_. But it must have heard from
// somebody: with nothing reached it would serve without any configuration.
// Once complete it stays so.

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
    Duration AskAgain_ = Milliseconds(500);
    Duration GiveUp_ = Seconds(3);
  };
  // What the rest of the process knows.
  struct View {
    bool TableRead_ = false;
    bool TableFailed_ = false;
    bool HasTable_ = true;
    // Whether anybody else may be there: a contact or a live member.
    bool MayHavePeers_ = true;
    std::size_t LivePeers_ = 0;
    Revision Held_ = 0;
    Revision HighestHeard_ = 0;
  };

  JoinProgress(Limits L, TimePoint Start) : Limits_(L), Start_(Start) {}

  // Peers to ask now for what they hold.
  std::vector<PeerAddress> ask(const std::vector<PeerAddress> &Live,
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
