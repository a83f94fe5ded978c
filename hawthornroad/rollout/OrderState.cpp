#include "hawthornroad/rollout/OrderState.h"

#include <algorithm>
#include <array>
#include <utility>

namespace hawthornroad {

std::string_view toString(OrderStatus S) {
  static constexpr std::array<std::string_view, 6> Names = {
      "none", "open", "loading", "in_force", "failed", "superseded"};
  return Names[static_cast<std::size_t>(S)];
}

OrderState::OrderState(Incarnation I, Limits L, Random &R)
    : Limits_(L), Random_(R), Epoch_(FencingNumber::epochOf(I)) {}

void OrderState::setTarget(EngineTarget T, Revision R) {
  bool Newer = R > Revision_;
  Revision_ = std::max(Revision_, R);
  if (EngineTarget_ == T)
    return;
  // A higher revision gives a higher number even when the order field restarts.
  Order_ = Newer ? 0 : Order_ + 1;
  EngineTarget_ = std::move(T);
  reset();
}

void OrderState::clear() {
  EngineTarget_.reset();
  reset();
  Status_ = OrderStatus::None;
}

void OrderState::retry() {
  if (Status_ != OrderStatus::Failed)
    return;
  ++Order_;
  reset();
}

void OrderState::reset() {
  Status_ = OrderStatus::Open;
  SentCurrentTarget_ = false;
  SendCount_ = 0;
  AcceptCount_ = 0;
  ResendAt_ = TimePoint();
  LoadingSince_.reset();
  Detail_.clear();
  if (Revision_ > FencingNumber::MaxRevision ||
      Order_ > FencingNumber::MaxOrder)
    fail("fencing numbers of this revision are used up");
}

void OrderState::fail(std::string Why) {
  Status_ = OrderStatus::Failed;
  Detail_ = std::move(Why);
}

FencingNumber OrderState::currentNumber() const {
  return FencingNumber::make(std::min(Revision_, FencingNumber::MaxRevision),
                             Epoch_, std::min(Order_, FencingNumber::MaxOrder));
}

bool OrderState::outranked(FencingNumber F, Revision R) const {
  if (F.revision() != R)
    return F.revision() > R;
  return HasRead_ && F.epoch() > Epoch_;
}

void OrderState::onReading(const EngineReading &Reading, TimePoint Now) {
  if (!HasRead_ && Reading.Fencing_ != FencingNumber())
    Epoch_ = std::max(Epoch_, Reading.Fencing_.epoch() + 1);
  HasRead_ = true;
  // A reading during the sending may be older than the order.
  if (!EngineTarget_ || AwaitsReply_)
    return;
  ReadSinceSent_ = true;
  evaluate(Reading, Now);
}

void OrderState::evaluate(const EngineReading &Reading, TimePoint Now) {
  if (Reading.serves(EngineTarget_->Version_)) {
    Status_ = OrderStatus::InForce;
    SendCount_ = 0;
    AcceptCount_ = 0;
    LoadingSince_.reset();
    Detail_.clear();
    return;
  }
  if (Status_ == OrderStatus::Failed)
    return;
  if (Reading.Fencing_ > currentNumber()) {
    Status_ = OrderStatus::Superseded;
    Detail_ = "engine obeys order " + std::to_string(Reading.Fencing_.value()) +
              " of revision " + std::to_string(Reading.Fencing_.revision());
    return;
  }
  Status_ = OrderStatus::Open;
  if (SentCurrentTarget_ && Reading.Fencing_ == Sent_)
    evaluateOwnOrder(Reading, Now);
  if (Status_ == OrderStatus::Open && AcceptCount_ >= Limits_.MaxAccepted_)
    fail("engine took the order " + std::to_string(AcceptCount_) +
         " times and forgot it");
}

void OrderState::evaluateOwnOrder(const EngineReading &Reading, TimePoint Now) {
  if (Reading.State_ == EngineState::Failed) {
    fail(Reading.Error_.empty() ? "engine failed to load" : Reading.Error_);
    return;
  }
  if (Reading.State_ != EngineState::Loading)
    return;
  Status_ = OrderStatus::Loading;
  if (!LoadingSince_)
    LoadingSince_ = Now;
  if (Now - *LoadingSince_ >= Limits_.LoadTimeout_)
    fail("engine did not finish loading in time");
}

void OrderState::onReply(FencingNumber Fencing, OrderReply Reply,
                         TimePoint Now) {
  if (!AwaitsReply_ || Fencing != Sent_)
    return;
  AwaitsReply_ = false;
  if (Reply == OrderReply::Accepted && SentCurrentTarget_)
    ++AcceptCount_;
}

void OrderState::expireReply(TimePoint Now) {
  if (AwaitsReply_ && Now - SentAt_ >= Limits_.ReplyTimeout_)
    AwaitsReply_ = false;
}

std::optional<EngineOrder> OrderState::next(TimePoint Now) {
  expireReply(Now);
  bool MaySend = HasRead_ && !AwaitsReply_ &&
                 (!SentCurrentTarget_ || ReadSinceSent_) && Now >= ResendAt_;
  if (Status_ != OrderStatus::Open || !MaySend)
    return std::nullopt;
  Sent_ = currentNumber();
  SentCurrentTarget_ = true;
  SentAt_ = Now;
  AwaitsReply_ = true;
  ReadSinceSent_ = false;
  LoadingSince_.reset();
  ResendAt_ = Now + backoff();
  ++SendCount_;
  return EngineOrder{*EngineTarget_, Sent_};
}

Duration OrderState::backoff() {
  constexpr unsigned MaxDoublings = 16;
  Duration Wait =
      Limits_.ResendBase_ * (1 << std::min(SendCount_, MaxDoublings));
  return Random_.jitter(std::min<Duration>(Wait, Limits_.ResendCap_),
                        Limits_.ResendSpread_);
}

} // namespace hawthornroad
