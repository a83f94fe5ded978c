// Decides the next step that an agent takes to bring its engine to the wanted
// version.
//
//   EngineUpdater D;
//   D.setWanted({"model-a", 3}, HeardAt);
//   D.onReport(State, Now);             // what the engine reports
//   D.setStaged(true);                  // all pieces are staged and verified
//   switch (D.next(LoadAt, ExpectedCompleteAt, Now)) ...
//
// The engine loads the staged pieces as they are at that moment, so the pieces
// are read back and verified right before the load order: they may have been
// corrupted since they were staged, and a restart or another version may have
// left other pieces there.
//
// An order without an answer may have been accepted. So the engine is asked for
// its order count before the next order, which names the count it expects; a
// delayed first order and a second one cannot both be accepted.
//
// No I/O, no clock, no threads.

#ifndef HAWTHORNROAD_STAGING_ENGINEUPDATER_H
#define HAWTHORNROAD_STAGING_ENGINEUPDATER_H

#include "hawthornroad/staging/StagedCheck.h"
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

// State that an engine reports.
struct EngineReport {
  // Completely loaded version; 0 means that nothing is loaded that can serve.
  ModelVersion Loaded_;
  // A load order is in progress.
  bool IsBusy_ = false;
  // Start time, Unix milliseconds; 0: not reported. Distinguishes two runs of
  // an engine that restarts under the same id.
  std::uint64_t Born_ = 0;
  // Load orders accepted since the start.
  std::uint64_t Orders_ = 0;
  unsigned Running_ = 0;
  unsigned Waiting_ = 0;
  // See EndpointHead::Slowdown_.
  std::optional<double> Slowdown_ = std::nullopt;
  // A slowdown was stated, but not as a usable number.
  bool IsSlowdownUnreadable_ = false;
  bool operator==(const EngineReport &) const = default;
};

enum class EngineStep {
  Nothing, // up to date, or waiting
  Fetch,   // pieces are missing
  Close,   // tell entries to send no new requests
  Verify,  // read back the staged pieces
  Order,   // send the load order
  Report   // ask the engine for its state
};
std::string_view toString(EngineStep S);

class EngineUpdater {
public:
  struct Options {
    // Interval between reports while an update is in progress, and otherwise.
    // The reported load is passed on to entries, which balance requests by it.
    Duration BusyReportInterval_ = Milliseconds(150);
    Duration IdleReportInterval_ = Milliseconds(150);
    // Delay before the next order after one that was refused.
    Duration OrderRetryDelay_ = Milliseconds(250);
    // Age after which a verification no longer counts.
    Duration VerificationLifetime_ = Milliseconds(400);
    // Time from the announcement to the order, which aborts the requests that
    // still run. Most of them end within this time, and the engine does not sit
    // idle for the rest.
    Duration CloseLead_ = Milliseconds(900);
    // How long a closed engine waits for its pieces after its order was due.
    Duration MaxCloseOverrun_ = Milliseconds(700);
    // Time that reading back all pieces takes.
    Duration VerifyTime_ = Milliseconds(150);
    // Before the third verification in a row that finds pieces wrong; doubled
    // for each further one.
    Duration VerifyRetryDelay_ = Milliseconds(100);
    Duration MaxVerifyRetryDelay_ = Seconds(4);
  };
  enum class OrderResult {
    Begun,   // accepted
    Already, // in effect already, or another order is
    Refused, // contradicts the engine's state
    Unknown  // no answer
  };

  EngineUpdater() = default;
  explicit EngineUpdater(Options O) : Options_(O) {}

  // Ignores a version that is not newer than the wanted one; returns whether
  // the wanted version changed.
  bool setWanted(ModelVersion V);
  const std::optional<ModelVersion> &wanted() const { return Wanted_; }
  void onReport(EngineReport S, TimePoint Now);
  void onReportFailed(TimePoint Now);
  // Whether all pieces of the wanted version are staged at the engine.
  void setStaged(bool IsStaged);
  void onVerifyStarted() { Verifying_ = true; }
  // The staged pieces were read back.
  void onVerified(const StagedCheck &C, TimePoint Now);
  // Another version was wanted before its pieces were read back.
  void onVerifyAbandoned() { Verifying_ = false; }
  void onOrderSent() { Ordering_ = true; }
  // The entries were told that the engine closes.
  void onClosed(TimePoint Now) { ClosedAt_ = Now; }
  void onOrderAnswered(OrderResult E, TimePoint Now);

  // LoadAt: when this engine is scheduled to load. It is closed CloseLead_
  // earlier, even while pieces are missing, if all are expected by
  // ExpectedCompleteAt and that is within CloseLead_ from now.
  EngineStep next(TimePoint LoadAt, TimePoint ExpectedCompleteAt,
                  TimePoint Now) const;

  bool isDone() const {
    return State_ && Wanted_ && State_->Loaded_ == *Wanted_;
  }
  // Reopens an engine that was closed for pieces that have not arrived in time;
  // it serves until they have. IsStalled: no piece has arrived for a while, so
  // the rest of the waiting time is skipped. Returns whether the engine was
  // reopened.
  bool reopenIfOverdue(TimePoint Now, bool IsStalled = false);
  // From At on, no request may be served by a version older than the wanted
  // one. Waiting to close the engine then helps no request, and any delay
  // prolongs the time without service, so the version is loaded at once.
  void setObsoleteAt(TimePoint At) { ObsoleteAt_ = At; }
  // Entries must send it no new requests: a load was announced, or was ordered
  // and is not yet reported as finished.
  bool isAway() const { return ClosedAt_ || Loading_ || isLoading(); }
  // The engine has no version that it could serve, so loading at once loses
  // nothing.
  bool isEmpty() const { return State_ && State_->Loaded_.Version_ == 0; }
  bool isLoading() const { return State_ && State_->IsBusy_; }
  const std::optional<EngineReport> &state() const { return State_; }

private:
  Duration verifyRetryDelay() const;

  Options Options_;
  std::optional<ModelVersion> Wanted_;
  std::optional<EngineReport> State_;
  TimePoint ReportedAt_{};
  TimePoint OrderNotBefore_{};
  std::optional<TimePoint> VerifiedAt_;
  // Verifications in a row that found pieces wrong.
  unsigned FailedVerifications_ = 0;
  TimePoint VerifyNotBefore_{};
  std::optional<TimePoint> ClosedAt_;
  TimePoint ObsoleteAt_ = TimePoint::max();
  // The engine was closed for pieces that did not arrive. The forecast cannot
  // see that the origin is unreachable, so it is ignored for the rest of this
  // version.
  bool ForecastFailed_ = false;
  // An order was accepted, and no report since has said that it finished.
  bool Loading_ = false;
  bool Staged_ = false;
  bool Verifying_ = false;
  bool Ordering_ = false;
  // The result of the last order is unknown until the engine reports its order
  // count.
  bool MustReport_ = true;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_STAGING_ENGINEUPDATER_H
