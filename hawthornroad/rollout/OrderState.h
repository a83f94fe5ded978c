// The orders of one agent to its engine: the target version, and whether the
// engine serves it.
//
//   OrderState Orders(Incarnation, {}, Random);
//   Orders.onReading(Reading, Now);                    // each read-back
//   Orders.setTarget({.Version_ = V, .Path_ = P}, R);  // replaces the target
//   if (auto Order = Orders.next(Now))                 // to be sent now
//     ...
//   Orders.onReply(Order->Fencing_, OrderReply::Accepted, Now);
//   if (Orders.orderStatus() == OrderStatus::InForce) ...
//
// An order is absolute ("have version V"), so sending it twice does no harm.
// The reply to an order proves nothing; only a later reading of the engine
// does. Until a reading shows the target version served, the order is sent
// again, with capped and jittered waits, and never before a reading that began
// after the last sending ended. A resend keeps its fencing number; a changed
// target raises it.
//
// Two cases could put an older order in force after a newer one:
// - The engine shows a higher number than this agent's: another agent knows a
//   later revision or has replaced this one. This agent sends no orders
//   (Superseded) until its own revision gives a higher number. This also works
//   with engines that check no numbers.
// - A late copy of an earlier order of this agent arrives. An engine that
// checks
//   numbers refuses it. With one that does not, the next reading shows another
//   version and the target is ordered again.
//
// Cost: O(1) state and time; at most one order in each ResendBase_.

#ifndef HAWTHORNROAD_ROLLOUT_ORDERSTATE_H
#define HAWTHORNROAD_ROLLOUT_ORDERSTATE_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/base/Types.h"
#include "hawthornroad/rollout/EngineReading.h"

#include <optional>
#include <string>

namespace hawthornroad {

// The version the engine should serve, and its complete and verified file.
struct EngineTarget {
  VersionDigest Version_;
  std::string Path_;
  bool operator==(const EngineTarget &) const = default;
};

struct EngineOrder {
  EngineTarget EngineTarget_;
  FencingNumber Fencing_;
  bool operator==(const EngineOrder &) const = default;
};

enum class OrderReply : std::uint8_t {
  Accepted, // the engine reports that it has begun
  Refused,  // it has seen a higher number, or cannot accept the order
  Unknown   // no answer: the order may or may not have arrived
};

enum class OrderStatus : std::uint8_t {
  None,      // no target
  Open,      // to be sent, or sent and not yet seen in force
  Loading,   // the engine is loading the target
  InForce,   // the engine serves the target
  Failed,    // the engine could not load it; no automatic retry
  Superseded // the engine follows a newer order of another agent
};
std::string_view toString(OrderStatus S);

class OrderState {
public:
  struct Limits {
    Duration ResendBase_ = Milliseconds(500);
    Duration ResendCap_ = Seconds(10);
    double ResendSpread_ = 0.3;
    // A load that takes longer counts as failed.
    Duration LoadTimeout_ = Seconds(900);
    // An engine that accepts the order this often without keeping it (because
    // it crashes while loading) has failed to load it.
    unsigned MaxAccepted_ = 5;
    // A sending without a reported result (the ring was full) counts as ended
    // after this.
    Duration ReplyTimeout_ = Seconds(10);
  };

  OrderState(Incarnation I, Limits L, Random &R);

  // Sets target T at revision R. The same version and file again change only
  // the revision of later numbers.
  void setTarget(EngineTarget T, Revision R);
  // Removes the target; the engine keeps what it has.
  void clear();
  // Reopens a failed order under a higher number.
  void retry();
  void onReading(const EngineReading &Reading, TimePoint Now);
  // Reports the result of sending the order numbered Fencing; results of
  // earlier orders are ignored.
  void onReply(FencingNumber Fencing, OrderReply Reply, TimePoint Now);
  // Returns the order to send now, if any, and counts it as sent.
  std::optional<EngineOrder> next(TimePoint Now);

  // Whether F, a number the engine has seen, is higher than any that this agent
  // can use at revision R.
  bool outranked(FencingNumber F, Revision R) const;
  OrderStatus orderStatus() const { return Status_; }
  const std::optional<EngineTarget> &currentTarget() const {
    return EngineTarget_;
  }
  // The number of the last order sent; 0 before the first.
  FencingNumber number() const { return Sent_; }
  // Why the target failed or makes no progress, for operators.
  const std::string &detail() const { return Detail_; }

private:
  void reset();
  void fail(std::string Why);
  FencingNumber currentNumber() const;
  void evaluate(const EngineReading &Reading, TimePoint Now);
  void evaluateOwnOrder(const EngineReading &Reading, TimePoint Now);
  void expireReply(TimePoint Now);
  Duration backoff();

  Limits Limits_;
  Random &Random_;
  std::uint64_t Epoch_;
  std::optional<EngineTarget> EngineTarget_;
  Revision Revision_ = 0;
  // Number of the target within (revision, epoch).
  std::uint64_t Order_ = 0;
  OrderStatus Status_ = OrderStatus::None;
  FencingNumber Sent_;
  unsigned SendCount_ = 0;
  unsigned AcceptCount_ = 0;
  TimePoint SentAt_;
  TimePoint ResendAt_;
  std::optional<TimePoint> LoadingSince_;
  // Whether Sent_ belongs to the current target.
  bool SentCurrentTarget_ = false;
  // Whether the engine has been read since the last sending ended.
  bool ReadSinceSent_ = false;
  bool AwaitsReply_ = false;
  bool HasRead_ = false;
  std::string Detail_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROLLOUT_ORDERSTATE_H
