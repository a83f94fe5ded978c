// Hands frames from a PeerNet's thread to the DecisionLoop, in order.
//
//   FrameFeed Feed(Io, Loop, {.OnFrame_ = ..., .OnBeginDropped_ = ...});
//   PeerNet Net(Io, Self, {}, {.OnFrame_ = [&](auto &From, auto &Frame) {
//     Feed.frame(From, Frame);
//   }});
//
// The loop's ring may be full, or the bodies of the Begins in it may reach
// MaxBodyBytes (the ring bounds their number only). A Begin cannot be refused
// from here: its twin may already be in the ring, and "not run" would be a lie.
// So a Begin without room shrinks to the wish to refuse it, which waits its
// turn (MaxWaiting at most) and which the loop then decides. Other frames of
// requests wait alike; what finds no room even there is dropped, and the entry
// asks again after its silence limit. Control and chunk frames are dropped at
// once: both are sent again by their senders.

#ifndef HAWTHORNROAD_PEERS_FRAMEFEED_H
#define HAWTHORNROAD_PEERS_FRAMEFEED_H

#include "hawthornroad/peers/PeerNet.h"
#include "hawthornroad/routing/AttemptMessages.h"
#include "hawthornroad/runtime/DecisionLoop.h"
#include "hawthornroad/runtime/Metrics.h"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>

namespace hawthornroad {

class FrameFeed {
public:
  // Run inside the loop.
  struct Callbacks {
    std::function<void(const PeerContext &, wire::FrameT &, TimePoint)>
        OnFrame_;
    std::function<void(const BeginDropped &, TimePoint)> OnBeginDropped_;
    std::function<void(const PeerContext &, TimePoint)> OnLost_;
  };
  static constexpr std::size_t MaxWaiting = 16384;
  static constexpr std::size_t MaxBodyBytes = 64 * 1024 * 1024;

  FrameFeed(IoThread &Io, DecisionLoop &Loop, Metrics &M, Callbacks C);

  // Both on Io's thread.
  void frame(const PeerContext &From, const wire::Frame &Frame);
  void lost(const PeerContext &Peer);

private:
  bool postFrame(const PeerContext &From, std::shared_ptr<wire::FrameT> Frame,
                 std::size_t BodyBytes);
  bool post(DecisionLoop::Work Work);
  void wait(DecisionLoop::Work Work);
  void flush();
  void drop();

  IoThread &Io_;
  DecisionLoop &Loop_;
  Metrics &Metrics_;
  Callbacks Callbacks_;
  std::deque<DecisionLoop::Work> Waiting_;
  bool FlushDue_ = false;
  // Bodies of Begins that the loop has not come to yet.
  std::atomic<std::size_t> BodyBytes_{0};
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_PEERS_FRAMEFEED_H
