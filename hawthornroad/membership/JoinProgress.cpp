#include "hawthornroad/membership/JoinProgress.h"

#include <algorithm>

namespace hawthornroad {

std::vector<PeerAddress>
JoinProgress::peersToAsk(const std::vector<PeerAddress> &Live, TimePoint Now) {
  if (Complete_ || Answered_.size() >= Limits_.Peers_)
    return {};
  if (Now >= NextRound_) {
    // Once all known peers were asked, start again with those that have not
    // answered.
    if (AskedInRound_ == 0)
      Asked_ = Answered_;
    AskedInRound_ = 0;
    NextRound_ = Now + Limits_.RetryPeriod_;
  }
  std::vector<PeerAddress> Out;
  std::size_t Wanted = Limits_.Peers_ - Answered_.size();
  for (const PeerAddress &Each : Live) {
    if (AskedInRound_ >= Wanted)
      break;
    if (!Asked_.insert(Each).second)
      continue;
    Out.push_back(Each);
    ++AskedInRound_;
  }
  return Out;
}

void JoinProgress::answered(const PeerAddress &Peer) {
  if (Asked_.count(Peer) != 0)
    Answered_.insert(Peer);
}

bool JoinProgress::peersAsked(const View &V, TimePoint Now) const {
  if (!V.MayHavePeers_ || Now >= Start_ + Limits_.PeerTimeout_)
    return true;
  return V.LivePeers_ > 0 &&
         Answered_.size() >= std::min(Limits_.Peers_, V.LivePeers_);
}

bool JoinProgress::isComplete(const View &V, TimePoint Now) {
  if (Complete_)
    return true;
  bool TableAsked = V.TableRead_ || V.TableFailed_ || !V.HasTable_;
  bool HasAnswer = V.TableRead_ || !Answered_.empty();
  Complete_ = TableAsked && HasAnswer && peersAsked(V, Now) &&
              V.Held_ >= V.HighestSeen_;
  return Complete_;
}

} // namespace hawthornroad
