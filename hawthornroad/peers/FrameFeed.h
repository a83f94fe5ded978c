// Passes frames from a PeerNet's thread to the DecisionLoop, in order.
//
//   FrameFeed Feed(Io, Loop, {.OnFrame_ = ..., .OnBeginDropped_ = ...});
//   PeerNet Net(Io, Self, {}, {.OnFrame_ = [&](auto &From, auto &Frame) {
//     Feed.frame(From, Frame);
//   }});
//
// A frame finds no room when the loop's ring is full or when the bodies of the
// Begins in the ring would exceed MaxBodyBytes (the ring bounds only their
// number). A Begin cannot be refused here: a duplicate of it may already be in
// the ring, and answering "not run" would then be false. Such a Begin is
// replaced by a small BeginDropped event, which is queued (at most MaxWaiting
// entries) and on which the loop decides. Other request frames are queued as
// they are. When the queue is full too, the frame is dropped, and the entry
// queries the attempt again after its silence limit. Control and chunk frames
// are dropped at once because their senders repeat them.

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
  // All run in the loop.
  struct Callbacks {
    std::function<void(const PeerContext &, wire::FrameT &, TimePoint)>
        OnFrame_;
    std::function<void(const BeginDropped &, TimePoint)> OnBeginDropped_;
    std::function<void(const PeerContext &, TimePoint)> OnLost_;
  };
  static constexpr std::size_t MaxWaiting = 16384;
  static constexpr std::size_t MaxBodyBytes = 64 * 1024 * 1024;

  FrameFeed(IoThread &Io, DecisionLoop &Loop, Metrics &M, Callbacks C);

  // Call both on Io's thread.
  void frame(const PeerContext &From, const wire::Frame &Frame);
  void lost(const PeerContext &Peer);

private:
  bool postFrame(const PeerContext &From, std::shared_ptr<wire::FrameT> Frame,
                 std::size_t BodyBytes);
  bool post(DecisionLoop::Work Work);
  void enqueue(DecisionLoop::Work Work);
  void flush();
  void countDropped();

  IoThread &Io_;
  DecisionLoop &Loop_;
  Metrics &Metrics_;
  Callbacks Callbacks_;
  std::deque<DecisionLoop::Work> Waiting_;
  bool FlushScheduled_ = false;
  // Total size of the bodies of Begins that are still in the ring.
  std::atomic<std::size_t> BodyBytes_{0};
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_PEERS_FRAMEFEED_H
