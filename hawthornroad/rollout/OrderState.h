// The orders of one agent to its engine: the wish, and whether it is in force.
//
//   OrderState Orders(Incarnation, {}, Random);
//   Orders.onReading(Reading, Now);               // each read-back
//   Orders.wish({.Version_ = V, .Path_ = P}, R);  // replaces the one before
//   if (auto Order = Orders.next(Now))            // to be sent now
//     ...
//   Orders.onReply(Order->Fencing_, OrderReply::Accepted, Now);
//   if (Orders.standing() == OrderStanding::InForce) ...
//
// An order is absolute ("have version V"), so giving it twice does no harm. An
// answer to an order proves nothing: only a later reading of the engine does.
// Until a reading shows the wished version served, the order is given again,
// with capped and jittered waits, and never before a reading that began after
// the last sending. A resend keeps its number; a changed wish raises it.
//
// Guards, each against an older order in force after a newer one:
// - The engine shows a number above ours: another agent knows a later revision,
//   or has replaced us. We stand down (Superseded) until our own revision gives
//   a higher number. This holds also for engines that check no numbers.
// - A late copy of an earlier order of ours: the engine that checks refuses it;
//   with one that does not, the next reading shows another version and the wish
//   is ordered again.
//
// Cost: O(1) state and time; at most one order each ResendBase_.

#ifndef HAWTHORNROAD_ROLLOUT_ORDERSTATE_H
#define HAWTHORNROAD_ROLLOUT_ORDERSTATE_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/base/Types.h"
#include "hawthornroad/rollout/EngineReading.h"

#include <optional>
#include <string>

namespace hawthornroad {

// What the engine should have: a version and the whole, verified file of it.
struct EngineWish {
  VersionDigest Version_;
  std::string Path_;
  bool operator==(const EngineWish &) const = default;
};

struct EngineOrder {
  EngineWish Wish_;
  FencingNumber Fencing_;
  bool operator==(const EngineOrder &) const = default;
};

enum class OrderReply : std::uint8_t {
  Accepted, // the engine says it has begun
  Refused,  // it has seen a higher number, or cannot take the order
  Unknown   // no answer: the order may or may not have arrived
};

enum class OrderStanding : std::uint8_t {
  None,      // nothing wished
  Open,      // to be given, or given and not seen in force yet
  Loading,   // the engine is loading the wish
  InForce,   // the engine serves the wish
  Failed,    // the engine could not load it; no more tries by itself
  Superseded // the engine obeys a newer order than ours
};
std::string_view toString(OrderStanding S);

class OrderState {
public:
  struct Limits {
    Duration ResendBase_ = Milliseconds(500);
    Duration ResendCap_ = Seconds(10);
    double ResendSpread_ = 0.3;
    // A load that takes longer counts as failed.
    Duration LoadTimeout_ = Seconds(900);
    // An engine that takes the order this often and forgets it (it crashes
    // while loading) has failed to load it.
    unsigned MaxAccepted_ = 5;
    // A sending whose end nobody reported (a full ring) counts as ended.
    Duration ReplyTimeout_ = Seconds(10);
  };

  OrderState(Incarnation I, Limits L, Random &R);

  // Wishes W at revision R; the same version and file again changes nothing
  // but the revision of later numbers.
  void wish(EngineWish W, Revision R);
  // Wishes nothing; the engine keeps what it has.
  void clear();
  // Opens a failed order again under a higher number.
  void retry();
  void onReading(const EngineReading &Reading, TimePoint Now);
  // How the sending of the order numbered Fencing ended; word of an earlier
  // order is ignored.
  void onReply(FencingNumber Fencing, OrderReply Reply, TimePoint Now);
  // The order to send now; it counts as sent.
  std::optional<EngineOrder> next(TimePoint Now);

  // Whether a number the engine has seen, F, is beyond any that this agent can
  // give at revision R.
  bool outranked(FencingNumber F, Revision R) const;
  OrderStanding standing() const { return Standing_; }
  const std::optional<EngineWish> &wished() const { return Wish_; }
  // The number of the last order sent; 0 before the first.
  FencingNumber number() const { return Sent_; }
  // Why the wish failed or stands still, for people.
  const std::string &detail() const { return Detail_; }

private:
  void reset();
  void fail(std::string Why);
  FencingNumber own() const;
  void judge(const EngineReading &Reading, TimePoint Now);
  void judgeOwn(const EngineReading &Reading, TimePoint Now);
  void dropLostReply(TimePoint Now);
  Duration backoff();

  Limits Limits_;
  Random &Random_;
  std::uint64_t Epoch_;
  std::optional<EngineWish> Wish_;
  Revision Revision_ = 0;
  // Number of the wish within (revision, epoch).
  std::uint64_t Order_ = 0;
  OrderStanding Standing_ = OrderStanding::None;
  FencingNumber Sent_;
  unsigned Sendings_ = 0;
  unsigned Accepted_ = 0;
  TimePoint SentAt_;
  TimePoint ResendAt_;
  std::optional<TimePoint> LoadingSince_;
  // Whether Sent_ belongs to Wish_, or to one before it.
  bool SentCurrent_ = false;
  // Whether the engine has been read since the last sending ended.
  bool ReadSinceSent_ = false;
  bool ReplyOpen_ = false;
  bool HasRead_ = false;
  std::string Detail_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROLLOUT_ORDERSTATE_H
