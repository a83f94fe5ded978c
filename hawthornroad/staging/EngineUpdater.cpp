#include "hawthornroad/staging/EngineUpdater.h"

#include <algorithm>

namespace hawthornroad {

std::string_view toString(EngineStep S) {
  switch (S) {
  case EngineStep::Nothing:
    return "nothing";
  case EngineStep::Fetch:
    return "fetch";
  case EngineStep::Close:
    return "close";
  case EngineStep::Verify:
    return "verify";
  case EngineStep::Order:
    return "order";
  case EngineStep::Report:
    return "report";
  }
  return "unknown";
}

bool EngineUpdater::setWanted(ModelVersion V) {
  if (Wanted_ && V.Version_ <= Wanted_->Version_)
    return false;
  Wanted_ = std::move(V);
  Staged_ = false;
  VerifiedAt_.reset();
  FailedVerifications_ = 0;
  VerifyNotBefore_ = TimePoint();
  ClosedAt_.reset();
  ObsoleteAt_ = TimePoint::max();
  ForecastFailed_ = false;
  return true;
}

void EngineUpdater::onReport(EngineReport S, TimePoint Now) {
  // The engine restarted, or counts fewer orders than before: what was staged
  // may have been lost with the VM's power, and an accepted order is forgotten.
  if (State_ && (S.Born_ != State_->Born_ || S.Orders_ < State_->Orders_)) {
    VerifiedAt_.reset();
    ClosedAt_.reset();
    Loading_ = false;
  }
  State_ = std::move(S);
  ReportedAt_ = Now;
  MustReport_ = false;
  if (!State_->IsBusy_)
    Loading_ = false;
}

void EngineUpdater::onReportFailed(TimePoint Now) {
  ReportedAt_ = Now;
  MustReport_ = true;
}

void EngineUpdater::setStaged(bool IsStaged) {
  Staged_ = IsStaged;
  if (!IsStaged)
    VerifiedAt_.reset();
}

void EngineUpdater::onVerified(const StagedCheck &C, TimePoint Now) {
  Verifying_ = false;
  PieceRepair Repair = C.repair();
  if (Repair == PieceRepair::None) {
    VerifiedAt_ = Now;
    FailedVerifications_ = 0;
    return;
  }
  VerifiedAt_.reset();
  if (Repair == PieceRepair::FetchMissing)
    setStaged(false);
  ++FailedVerifications_;
  VerifyNotBefore_ = Now + verifyRetryDelay();
}

Duration EngineUpdater::verifyRetryDelay() const {
  constexpr unsigned RetriesAtOnce = 1;
  constexpr unsigned MaxDoublings = 8;
  if (FailedVerifications_ <= RetriesAtOnce)
    return Duration::zero();
  unsigned Doublings =
      std::min(FailedVerifications_ - RetriesAtOnce - 1, MaxDoublings);
  return std::min<Duration>(Options_.VerifyRetryDelay_ * (1 << Doublings),
                            Options_.MaxVerifyRetryDelay_);
}

void EngineUpdater::onOrderAnswered(OrderResult E, TimePoint Now) {
  Ordering_ = false;
  MustReport_ = true;
  VerifiedAt_.reset();
  ReportedAt_ = Now - Options_.IdleReportInterval_;
  if (E == OrderResult::Begun) {
    Loading_ = true;
    ClosedAt_.reset();
    return;
  }
  if (E == OrderResult::Already)
    ClosedAt_.reset();
  OrderNotBefore_ = Now + Options_.OrderRetryDelay_;
}

bool EngineUpdater::reopenIfOverdue(TimePoint Now, bool IsStalled) {
  if (!ClosedAt_ || Staged_)
    return false;
  if (!IsStalled &&
      Now - *ClosedAt_ < Options_.CloseLead_ + Options_.MaxCloseOverrun_)
    return false;
  ClosedAt_.reset();
  ForecastFailed_ = true;
  return true;
}

EngineStep EngineUpdater::next(TimePoint LoadAt, TimePoint ExpectedCompleteAt,
                               TimePoint Now) const {
  if (Verifying_ || Ordering_)
    return EngineStep::Nothing;
  Duration Age = Now - ReportedAt_;
  bool UnderWay = Wanted_ && !isDone();
  if (MustReport_ || !State_)
    return Age >= Options_.BusyReportInterval_ ? EngineStep::Report
                                               : EngineStep::Nothing;
  if (Age >=
      (UnderWay ? Options_.BusyReportInterval_ : Options_.IdleReportInterval_))
    return EngineStep::Report;
  if (!UnderWay)
    return EngineStep::Nothing;
  bool IsBusy = State_->IsBusy_ || Loading_;
  bool CompletesSoon =
      !ForecastFailed_ && ExpectedCompleteAt <= Now + Options_.CloseLead_;
  bool ServesNothing = isEmpty() || Now >= ObsoleteAt_;
  bool ClosesNow = !ServesNothing && !ClosedAt_ && !IsBusy &&
                   Now >= LoadAt - Options_.CloseLead_ &&
                   (Staged_ || CompletesSoon);
  if (ClosesNow)
    return EngineStep::Close;
  // Also while another version is being loaded: the engine read its staged
  // pieces when it accepted that order.
  if (!Staged_)
    return EngineStep::Fetch;
  if (IsBusy || Now < OrderNotBefore_)
    return EngineStep::Nothing;
  if (!ServesNothing && !ClosedAt_)
    return EngineStep::Nothing;
  bool IsIdle = State_->Running_ + State_->Waiting_ == 0;
  Duration Left = Duration::zero();
  if (!ServesNothing && !IsIdle)
    Left = *ClosedAt_ + Options_.CloseLead_ - Now;
  bool IsVerified =
      VerifiedAt_ && Now - *VerifiedAt_ <= Options_.VerificationLifetime_;
  if (Left <= Options_.VerifyTime_ && !IsVerified)
    return Now >= VerifyNotBefore_ ? EngineStep::Verify : EngineStep::Nothing;
  return Left <= Duration::zero() ? EngineStep::Order : EngineStep::Nothing;
}

} // namespace hawthornroad
