// Runs the actions of one version's Swarm: messages to peers, reads from the
// origin and claims in the ledger. Passes the results back to the Swarm.
//
//   auto S = std::make_shared<WeightSwarm>(Work, Origin, Setup, Manifest, Held,
//                                          Note, Now);
//   S->setPeers(Peers, Now);
//   S->onHave(Message, Now);                 // and so on, for each frame
//   S->tick(Now);
//   if (S->isDone()) ...
//
// Runs in the decision loop. A chunk is offered to peers only after the file
// thread has verified and stored it. Each read from the origin is recorded in
// the note beside the chunks before it begins, so that the successor of a
// killed agent knows what was charged.

#ifndef HAWTHORNROAD_TRANSFER_WEIGHTSWARM_H
#define HAWTHORNROAD_TRANSFER_WEIGHTSWARM_H

#include "hawthornroad/transfer/OriginClient.h"
#include "hawthornroad/transfer/WeightTransfer.h"
#include "hawthornroad/transfer/WeightWork.h"
#include "hawthornroad/weights/RateLimiter.h"

#include <map>
#include <memory>

namespace hawthornroad {

class WeightSwarm : public std::enable_shared_from_this<WeightSwarm> {
public:
  struct Setup {
    Swarm::Setup Swarm_;
    ServiceName Service_;
    std::int64_t DownloadRate_ = 0;
    // Number of uploads in progress or waiting, which is reported to peers.
    std::function<std::size_t()> Load_;
  };
  // Token and charges left by the previous agent on this VM.
  struct Note {
    std::string Token_;
    std::string Charges_;
    static Note parse(const std::string &Text);
    std::string str() const { return Token_ + "\n" + Charges_; }
  };

  WeightSwarm(WeightWork Work, OriginClient &Origin, Setup S, const Manifest &M,
              const std::vector<bool> &Held, Note N, TimePoint Now);

  void setPeers(const std::vector<WeightPeer> &Peers, TimePoint Now);
  void setRollout(const RolloutDeclaration &R);
  void tick(TimePoint Now);

  void onAsk(const Vm &From, TimePoint Now);
  void onHave(const wire::ChunkHaveT &Have, TimePoint Now);
  void onReply(const Vm &From, wire::ChunkReplyT &Reply, TimePoint Now);
  void onLost(const PeerAddress &Address, TimePoint Now);

  const VersionDigest &version() const { return Manifest_.version(); }
  const Manifest &manifest() const { return Manifest_; }
  const ChunkSet &held() const { return Swarm_.held(); }
  bool isDone() const { return Swarm_.isDone(); }
  // The last error, or why the transfer makes no progress; empty if neither.
  std::string failure(TimePoint Now) const;
  std::uint64_t originBytes() const { return OriginBytes_; }

private:
  void pump(TimePoint Now);
  void run(const std::vector<SwarmAction> &Actions, TimePoint Now);
  void run(const RequestChunk &A, TimePoint Now);
  void run(const ReadOrigin &A, TimePoint Now);
  void run(const ClaimGrant &A, TimePoint Now);
  void run(const CheckOrigin &A, TimePoint Now);
  void run(const AskHave &A, TimePoint Now);
  void run(const TellHave &A, TimePoint Now);
  void readRecorded(ChunkIndex Index);
  void onOriginBytes(ChunkIndex Index, OriginAnswer A, TimePoint Now);
  void verifyAndStore(ChunkIndex Index, std::string Bytes,
                      const std::string &Sender,
                      std::function<void(std::string, TimePoint)> OnDone);
  bool sendTo(const Vm &To, FrameBuffer Frame);
  Note note();

  WeightWork Work_;
  OriginClient &Origin_;
  Setup Setup_;
  Manifest Manifest_;
  Swarm Swarm_;
  RateLimiter Download_;
  std::string Token_;
  std::map<Vm, PeerAddress> Addresses_;
  std::string Failure_;
  std::uint64_t OriginBytes_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRANSFER_WEIGHTSWARM_H
