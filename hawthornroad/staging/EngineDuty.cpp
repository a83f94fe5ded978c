#include "hawthornroad/staging/EngineDuty.h"

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

bool EngineDuty::want(ModelVersion V) {
  if (Wanted_ && V.Version_ <= Wanted_->Version_)
    return false;
  Wanted_ = std::move(V);
  Staged_ = false;
  VerifiedAt_.reset();
  ClosedAt_.reset();
  UselessAt_ = TimePoint::max();
  Misjudged_ = false;
  return true;
}

void EngineDuty::reported(EngineReport S, TimePoint Now) {
  // Another start, or fewer orders than before: what was put beside it may be
  // gone with the VM's power, and an order that was taken is forgotten.
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

void EngineDuty::reportFailed(TimePoint Now) {
  ReportedAt_ = Now;
  MustReport_ = true;
}

void EngineDuty::setStaged(bool IsStaged) {
  Staged_ = IsStaged;
  if (!IsStaged)
    VerifiedAt_.reset();
}

void EngineDuty::verified(bool Right, TimePoint Now) {
  Verifying_ = false;
  if (Right)
    VerifiedAt_ = Now;
  else
    setStaged(false);
}

void EngineDuty::ordered(OrderEnd E, TimePoint Now) {
  Ordering_ = false;
  MustReport_ = true;
  VerifiedAt_.reset();
  ReportedAt_ = Now - Options_.IdleReport_;
  if (E == OrderEnd::Begun) {
    Loading_ = true;
    ClosedAt_.reset();
    return;
  }
  if (E == OrderEnd::Already)
    ClosedAt_.reset();
  OrderNotBefore_ = Now + Options_.OrderAgain_;
}

bool EngineDuty::reopen(TimePoint Now, bool IsStalled) {
  if (!ClosedAt_ || Staged_)
    return false;
  if (!IsStalled && Now - *ClosedAt_ < Options_.CloseFor_ + Options_.CloseMost_)
    return false;
  ClosedAt_.reset();
  Misjudged_ = true;
  return true;
}

EngineStep EngineDuty::next(TimePoint LoadAt, TimePoint WholeBy,
                            TimePoint Now) const {
  if (Verifying_ || Ordering_)
    return EngineStep::Nothing;
  Duration Age = Now - ReportedAt_;
  bool UnderWay = Wanted_ && !isDone();
  if (MustReport_ || !State_)
    return Age >= Options_.BusyReport_ ? EngineStep::Report
                                       : EngineStep::Nothing;
  if (Age >= (UnderWay ? Options_.BusyReport_ : Options_.IdleReport_))
    return EngineStep::Report;
  if (!UnderWay)
    return EngineStep::Nothing;
  bool IsBusy = State_->IsBusy_ || Loading_;
  bool ComesSoon = !Misjudged_ && WholeBy <= Now + Options_.CloseFor_;
  bool ServesNobody = isEmpty() || Now >= UselessAt_;
  bool ClosesNow = !ServesNobody && !ClosedAt_ && !IsBusy &&
                   Now >= LoadAt - Options_.CloseFor_ && (Staged_ || ComesSoon);
  if (ClosesNow)
    return EngineStep::Close;
  // Also while another version is being loaded: the engine took what lay there
  // when it accepted that order.
  if (!Staged_)
    return EngineStep::Fetch;
  if (IsBusy || Now < OrderNotBefore_)
    return EngineStep::Nothing;
  if (!ServesNobody && !ClosedAt_)
    return EngineStep::Nothing;
  bool IsIdle = State_->Running_ + State_->Waiting_ == 0;
  Duration Left = Duration::zero();
  if (!ServesNobody && !IsIdle)
    Left = *ClosedAt_ + Options_.CloseFor_ - Now;
  bool IsVerified = VerifiedAt_ && Now - *VerifiedAt_ <= Options_.VerifiedFor_;
  if (Left <= Options_.VerifyTime_ && !IsVerified)
    return EngineStep::Verify;
  return Left <= Duration::zero() ? EngineStep::Order : EngineStep::Nothing;
}

} // namespace hawthornroad
