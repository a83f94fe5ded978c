#include "hawthornroad/runtime/EndpointView.h"

#include <algorithm>

namespace hawthornroad {

namespace {

EndpointPhase phaseOf(const EndpointSources &From) {
  if (From.HasLeft_)
    return EndpointPhase::Left;
  if (From.IsLeaving_)
    return EndpointPhase::Draining;
  if (From.Service_ == nullptr || !From.IsCaughtUp_)
    return EndpointPhase::Starting;
  return From.EnginePhase_;
}

std::string detailOf(const EndpointSources &From) {
  if (From.IsLeaving_ || From.HasLeft_)
    return "planned stop";
  if (!From.IsCaughtUp_)
    return "configuration is not caught up";
  if (From.Service_ == nullptr)
    return "no service is declared for this VM";
  return From.EngineDetail_;
}

std::size_t capacityOf(const EndpointSources &From) {
  std::size_t Capacity =
      From.Load_.Capacity_ > 0 ? From.Load_.Capacity_ : From.DefaultCapacity_;
  if (From.Service_ != nullptr)
    Capacity = std::min(Capacity, From.Service_->Limits_.InFlightPerEndpoint_);
  return Capacity;
}

} // namespace

EndpointStatus endpointStatus(EndpointStatus Identity,
                              const EndpointSources &From) {
  EndpointStatus Status = std::move(Identity);
  if (From.Service_ != nullptr)
    Status.Service_ = From.Service_->Name_;
  Status.Phase_ = phaseOf(From);
  Status.Version_ = From.Version_;
  Status.Capacity_ = static_cast<std::uint32_t>(capacityOf(From));
  Status.Running_ = static_cast<std::uint32_t>(From.Running_);
  Status.Waiting_ = From.Load_.Waiting_;
  Status.StepMs_ = From.Load_.StepMs_;
  Status.Detail_ = detailOf(From);
  Status.Staged_ = From.Staged_;
  Status.Rollout_ = From.Rollout_;
  Status.FailedVersion_ = From.FailedVersion_;
  return Status;
}

bool isUrgent(const EndpointStatus &New, const EndpointStatus &Old) {
  EndpointStatus Same = New;
  Same.Sequence_ = Old.Sequence_;
  Same.Running_ = Old.Running_;
  Same.Waiting_ = Old.Waiting_;
  Same.StepMs_ = Old.StepMs_;
  return Same != Old;
}

EndpointFacts endpointFacts(const EndpointStatus &Status, const Service *S) {
  EndpointFacts Facts;
  Facts.Service_ = Status.Service_;
  Facts.IsModel_ = S != nullptr && S->Kind_ == ServiceKind::Model;
  Facts.Phase_ = Status.Phase_;
  Facts.Version_ = Status.Version_;
  Facts.Capacity_ = Status.Capacity_;
  // An engine never answers in less than one step. The mean time of a plain
  // service is no lower bound: half of its calls are shorter.
  if (Facts.IsModel_)
    Facts.Step_ = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(Status.StepMs_));
  return Facts;
}

} // namespace hawthornroad
