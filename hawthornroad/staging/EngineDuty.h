// Decides what an agent does next to bring its engine to the wanted version.
//
//   EngineDuty D;
//   D.want({"model-a", 3}, HeardAt);
//   D.reported(State, Now);             // the engine's own word
//   D.staged(true, Now);                // all pieces lie there, verified
//   switch (D.next(LoadAt, WholeBy, Now)) ...
//
// The engine loads what lies beside it as it is at that moment, so the pieces
// are read back and verified right before the order: they may have spoilt since
// they were put there, and a restart or another version may have left others.
// An order without an answer may have been taken: the engine is asked for its
// count of orders before the next one, which names the count it expects, so a
// late first one and a second cannot both be taken.
//
// No I/O, no clock, no threads.

#ifndef HAWTHORNROAD_STAGING_ENGINEDUTY_H
#define HAWTHORNROAD_STAGING_ENGINEDUTY_H

#include "hawthornroad/traffic/Endpoint.h"

#include <cstdint>
#include <optional>
#include <string>

namespace hawthornroad {

struct ModelVersion {
  std::string Model_;
  WeightVersion Version_ = 0;
  auto operator<=>(const ModelVersion &) const = default;
};

// What an engine says of itself.
struct EngineReport {
  // Loaded whole; version 0: holds nothing that serves.
  ModelVersion Loaded_;
  // An order is in progress.
  bool IsBusy_ = false;
  // When it started, Unix milliseconds: tells one start from the next, for an
  // engine may start again under its id. 0: not told.
  std::uint64_t Born_ = 0;
  // Orders taken since its start.
  std::uint64_t Orders_ = 0;
  unsigned Running_ = 0;
  unsigned Waiting_ = 0;
  bool operator==(const EngineReport &) const = default;
};

enum class EngineStep {
  Nothing, // all is done, or something is awaited
  Fetch,   // pieces are missing
  Close,   // tell entries to send it nothing more
  Verify,  // read the pieces back
  Order,   // give the order to load
  Report   // ask the engine how it is
};
std::string_view toString(EngineStep S);

class EngineDuty {
public:
  struct Options {
    // How often the engine is asked while something is under way, and else: its
    // load is told to entries, which spread requests by it.
    Duration BusyReport_ = Milliseconds(150);
    Duration IdleReport_ = Milliseconds(150);
    // Between two orders that were refused.
    Duration OrderAgain_ = Milliseconds(250);
    // A verification this old no longer vouches for the pieces.
    Duration VerifiedFor_ = Milliseconds(400);
    // From the announcement to the order, which cuts what still runs: most of
    // it ends by itself in that time, and the engine is not kept idle by the
    // rest. 1.3 s costs calm days 0.02 of what is owed, 0.35 s as much.
    Duration CloseFor_ = Milliseconds(900);
    // How long after its order was due a closed engine waits for its pieces.
    Duration CloseMost_ = Milliseconds(700);
    // What reading the pieces back takes.
    Duration VerifyTime_ = Milliseconds(150);
  };
  enum class OrderEnd {
    Begun,   // taken
    Already, // in effect, or another one is
    Refused, // does not fit the engine's state
    Unknown  // no answer
  };

  EngineDuty() = default;
  explicit EngineDuty(Options O) : Options_(O) {}

  // An older version than the one wanted is ignored; true when it is news.
  bool want(ModelVersion V);
  const std::optional<ModelVersion> &wanted() const { return Wanted_; }
  void reported(EngineReport S, TimePoint Now);
  void reportFailed(TimePoint Now);
  // Whether all pieces of the wanted version lie at the engine.
  void setStaged(bool IsStaged);
  // All pieces were read back; true when all were right.
  void verified(bool Right, TimePoint Now);
  void verifying() { Verifying_ = true; }
  void ordering() { Ordering_ = true; }
  // The announcement was made.
  void closed(TimePoint Now) { ClosedAt_ = Now; }
  void ordered(OrderEnd E, TimePoint Now);

  // LoadAt: when this engine's turn to load is; it is closed CloseFor_ earlier,
  // also while pieces are still missing, if all are likely to be here by
  // WholeBy and that is soon enough.
  EngineStep next(TimePoint LoadAt, TimePoint WholeBy, TimePoint Now) const;

  bool isDone() const {
    return State_ && Wanted_ && State_->Loaded_ == *Wanted_;
  }
  // Pieces that were nearly here did not come: the engine serves on until they
  // have. IsStalled: none has come for a while, so they are not awaited to the
  // end of the time for it. True when that is news.
  bool reopen(TimePoint Now, bool IsStalled = false);
  // From then on nobody may be served by an older version than the wanted one:
  // a closed engine protects nobody, and each moment without the new version is
  // one without service, so it is loaded at once.
  void setUselessAt(TimePoint At) { UselessAt_ = At; }
  // Entries are to send it nothing new: a load was announced, or ordered and
  // not yet reported as over.
  bool isAway() const { return ClosedAt_ || Loading_ || isLoading(); }
  // Nothing is lost by loading at once: the engine serves nothing now.
  bool isEmpty() const { return State_ && State_->Loaded_.Version_ == 0; }
  bool isLoading() const { return State_ && State_->IsBusy_; }
  const std::optional<EngineReport> &state() const { return State_; }

private:
  Options Options_;
  std::optional<ModelVersion> Wanted_;
  std::optional<EngineReport> State_;
  TimePoint ReportedAt_{};
  TimePoint OrderNotBefore_{};
  std::optional<TimePoint> VerifiedAt_;
  std::optional<TimePoint> ClosedAt_;
  TimePoint UselessAt_ = TimePoint::max();
  // It was closed for pieces that did not come: the forecast, which knows
  // nothing of an origin that is away, counts no more for this version.
  bool Misjudged_ = false;
  // An order was taken, and no report since has said that it is over.
  bool Loading_ = false;
  bool Staged_ = false;
  bool Verifying_ = false;
  bool Ordering_ = false;
  // The last order's fate is unknown: the engine's count tells.
  bool MustReport_ = true;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_STAGING_ENGINEDUTY_H
