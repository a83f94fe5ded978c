#include "hawthornroad/peers/FrameFeed.h"

#include "hawthornroad/peers/WireCodec.h"

namespace hawthornroad {

namespace {

constexpr Duration PostRetryDelay = Milliseconds(2);

bool isRequestFrame(wire::Body Type) {
  return Type == wire::Body::AttemptQuery ||
         Type == wire::Body::AttemptCancel || Type == wire::Body::AttemptAck;
}

} // namespace

FrameFeed::FrameFeed(IoThread &Io, DecisionLoop &Loop, Metrics &M, Callbacks C)
    : Io_(Io), Loop_(Loop), Metrics_(M), Callbacks_(std::move(C)) {}

void FrameFeed::frame(const PeerContext &From, const wire::Frame &Frame) {
  auto Unpacked = std::shared_ptr<wire::FrameT>(Frame.UnPack());
  const wire::AttemptBeginT *Begin = Unpacked->body.AsAttemptBegin();
  if (postFrame(From, Unpacked, Begin == nullptr ? 0 : Begin->body.size()))
    return;
  if (Begin != nullptr) {
    BeginDropped E{idFromWire<AttemptId>(Begin->attempt.get()),
                   From.Connection_,
                   idFromWire<RequestId>(Begin->request.get())};
    enqueue([this, E](TimePoint Now) { Callbacks_.OnBeginDropped_(E, Now); });
    return;
  }
  if (!isRequestFrame(Unpacked->body.type)) {
    countDropped();
    return;
  }
  enqueue([this, From, Unpacked](TimePoint Now) {
    Callbacks_.OnFrame_(From, *Unpacked, Now);
  });
}

bool FrameFeed::postFrame(const PeerContext &From,
                          std::shared_ptr<wire::FrameT> Frame,
                          std::size_t BodyBytes) {
  if (BodyBytes_.load() + BodyBytes > MaxBodyBytes)
    return false;
  BodyBytes_ += BodyBytes;
  bool Posted = post([this, From, Frame, BodyBytes](TimePoint Now) {
    BodyBytes_ -= BodyBytes;
    Callbacks_.OnFrame_(From, *Frame, Now);
  });
  if (!Posted)
    BodyBytes_ -= BodyBytes;
  return Posted;
}

void FrameFeed::lost(const PeerContext &Peer) {
  auto Work = [this, Peer](TimePoint Now) { Callbacks_.OnLost_(Peer, Now); };
  if (!post(Work))
    enqueue(Work);
}

bool FrameFeed::post(DecisionLoop::Work Work) {
  // Queued work is posted first, so that frames keep their order.
  return Waiting_.empty() && Loop_.post(std::move(Work));
}

void FrameFeed::enqueue(DecisionLoop::Work Work) {
  if (Waiting_.size() >= MaxWaiting) {
    countDropped();
    return;
  }
  Waiting_.push_back(std::move(Work));
  flush();
}

void FrameFeed::countDropped() {
  Metrics_.count("hawthornroad_frames_dropped_total");
}

void FrameFeed::flush() {
  while (!Waiting_.empty() && Loop_.post(Waiting_.front()))
    Waiting_.pop_front();
  if (Waiting_.empty() || FlushScheduled_)
    return;
  FlushScheduled_ = true;
  Io_.after(PostRetryDelay, [this] {
    FlushScheduled_ = false;
    flush();
  });
}

} // namespace hawthornroad
