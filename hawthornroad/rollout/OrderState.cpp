#include "hawthornroad/rollout/OrderState.h"

#include <algorithm>
#include <array>
#include <utility>

namespace hawthornroad {

std::string_view toString(OrderStanding S) {
  static constexpr std::array<std::string_view, 6> Names = {
      "none", "open", "loading", "in_force", "failed", "superseded"};
  return Names[static_cast<std::size_t>(S)];
}

OrderState::OrderState(Incarnation I, Limits L, Random &R)
    : Limits_(L), Random_(R), Epoch_(FencingNumber::epochOf(I)) {}

void OrderState::wish(EngineWish W, Revision R) {
  bool Newer = R > Revision_;
  Revision_ = std::max(Revision_, R);
  if (Wish_ == W)
    return;
  // A lower order after a higher revision still makes a higher number.
  Order_ = Newer ? 0 : Order_ + 1;
  Wish_ = std::move(W);
  reset();
}

void OrderState::clear() {
  Wish_.reset();
  reset();
  Standing_ = OrderStanding::None;
}

void OrderState::retry() {
  if (Standing_ != OrderStanding::Failed)
    return;
  ++Order_;
  reset();
}

void OrderState::reset() {
  Standing_ = OrderStanding::Open;
  SentCurrent_ = false;
  Sendings_ = 0;
  Accepted_ = 0;
  ResendAt_ = TimePoint();
  LoadingSince_.reset();
  Detail_.clear();
  if (Revision_ > FencingNumber::MaxRevision ||
      Order_ > FencingNumber::MaxOrder)
    fail("fencing numbers of this revision are used up");
}

void OrderState::fail(std::string Why) {
  Standing_ = OrderStanding::Failed;
  Detail_ = std::move(Why);
}

FencingNumber OrderState::own() const {
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
  // A reading that raced the sending may be older than the order.
  if (!Wish_ || ReplyOpen_)
    return;
  ReadSinceSent_ = true;
  judge(Reading, Now);
}

void OrderState::judge(const EngineReading &Reading, TimePoint Now) {
  if (Reading.serves(Wish_->Version_)) {
    Standing_ = OrderStanding::InForce;
    Sendings_ = 0;
    Accepted_ = 0;
    LoadingSince_.reset();
    Detail_.clear();
    return;
  }
  if (Standing_ == OrderStanding::Failed)
    return;
  if (Reading.Fencing_ > own()) {
    Standing_ = OrderStanding::Superseded;
    Detail_ = "engine obeys order " + std::to_string(Reading.Fencing_.value()) +
              " of revision " + std::to_string(Reading.Fencing_.revision());
    return;
  }
  Standing_ = OrderStanding::Open;
  if (SentCurrent_ && Reading.Fencing_ == Sent_)
    judgeOwn(Reading, Now);
  if (Standing_ == OrderStanding::Open && Accepted_ >= Limits_.MaxAccepted_)
    fail("engine took the order " + std::to_string(Accepted_) +
         " times and forgot it");
}

void OrderState::judgeOwn(const EngineReading &Reading, TimePoint Now) {
  if (Reading.State_ == EngineState::Failed) {
    fail(Reading.Error_.empty() ? "engine failed to load" : Reading.Error_);
    return;
  }
  if (Reading.State_ != EngineState::Loading)
    return;
  Standing_ = OrderStanding::Loading;
  if (!LoadingSince_)
    LoadingSince_ = Now;
  if (Now - *LoadingSince_ >= Limits_.LoadTimeout_)
    fail("engine did not finish loading in time");
}

void OrderState::onReply(FencingNumber Fencing, OrderReply Reply,
                         TimePoint Now) {
  if (!ReplyOpen_ || Fencing != Sent_)
    return;
  ReplyOpen_ = false;
  if (Reply == OrderReply::Accepted && SentCurrent_)
    ++Accepted_;
}

void OrderState::dropLostReply(TimePoint Now) {
  if (ReplyOpen_ && Now - SentAt_ >= Limits_.ReplyTimeout_)
    ReplyOpen_ = false;
}

std::optional<EngineOrder> OrderState::next(TimePoint Now) {
  dropLostReply(Now);
  bool MaySend = HasRead_ && !ReplyOpen_ && (!SentCurrent_ || ReadSinceSent_) &&
                 Now >= ResendAt_;
  if (Standing_ != OrderStanding::Open || !MaySend)
    return std::nullopt;
  Sent_ = own();
  SentCurrent_ = true;
  SentAt_ = Now;
  ReplyOpen_ = true;
  ReadSinceSent_ = false;
  LoadingSince_.reset();
  ResendAt_ = Now + backoff();
  ++Sendings_;
  return EngineOrder{*Wish_, Sent_};
}

Duration OrderState::backoff() {
  constexpr unsigned MaxDoublings = 16;
  Duration Wait =
      Limits_.ResendBase_ * (1 << std::min(Sendings_, MaxDoublings));
  return Random_.jitter(std::min<Duration>(Wait, Limits_.ResendCap_),
                        Limits_.ResendSpread_);
}

} // namespace hawthornroad
