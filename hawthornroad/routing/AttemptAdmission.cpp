#include "hawthornroad/routing/AttemptAdmission.h"

#include <algorithm>
#include <cmath>

namespace hawthornroad {

namespace {

constexpr Duration MinRetryAfter = Milliseconds(20);
constexpr Duration MaxRetryAfter = Seconds(5);
// For refusals other than overload: a version change takes seconds and a
// drained endpoint does not return soon, so the entry tries another endpoint
// meanwhile.
constexpr Duration NotHereRetryAfter = Seconds(1);
constexpr unsigned ServiceUnavailable = 503;
constexpr unsigned FirstErrorStatus = 300;

} // namespace

std::optional<AttemptRefusal> refusalOf(const AttemptSpec &Spec,
                                        const EndpointFacts &Facts,
                                        const AttemptLimits &Limits,
                                        const AttemptLoad &Load) {
  if (Facts.Phase_ == EndpointPhase::Draining ||
      Facts.Phase_ == EndpointPhase::Left)
    return AttemptRefusal::Draining;
  if (Spec.Service_ != Facts.Service_)
    return AttemptRefusal::WrongService;
  if (Facts.Phase_ != EndpointPhase::Ready)
    return AttemptRefusal::NotReady;
  if (!Spec.Version_.empty() && Spec.Version_ != Facts.Version_)
    return AttemptRefusal::WrongVersion;
  if (Spec.Deadline_ < std::max(Limits.MinDeadline_, Facts.Step_))
    return AttemptRefusal::DeadlineTooShort;
  auto Queue = static_cast<std::size_t>(
      std::ceil(Limits.QueueShare_ * static_cast<double>(Facts.Capacity_)));
  if (Load.Running_ >= Facts.Capacity_ + Queue)
    return AttemptRefusal::Overloaded;
  if (Load.BodyBytes_ + Spec.BodyBytes_ > Limits.MaxBodyBytes_)
    return AttemptRefusal::Overloaded;
  return std::nullopt;
}

Duration retryAfter(AttemptRefusal Reason, const EndpointFacts &Facts,
                    Duration MeanRun) {
  if (Reason == AttemptRefusal::DeadlineTooShort)
    return Duration::zero();
  if (Reason != AttemptRefusal::Overloaded)
    return NotHereRetryAfter;
  // The mean interval at which a place is freed.
  Duration Wait =
      MeanRun / static_cast<int>(std::max<std::size_t>(Facts.Capacity_, 1));
  return std::clamp<Duration>(Wait, MinRetryAfter, MaxRetryAfter);
}

std::optional<AttemptFailure>
faultOf(const AnswerHead &Head, const VersionDigest &Pinned, bool IsModel) {
  if (!IsModel)
    return std::nullopt;
  if (Head.Status_ == ServiceUnavailable)
    return AttemptFailure{true, Step::Run, "", "engine is not serving (503)"};
  if (Head.Version_.empty() && Head.Status_ >= FirstErrorStatus)
    return std::nullopt;
  if (Head.Version_ == Pinned)
    return std::nullopt;
  return AttemptFailure{false, Step::Run, "",
                        "engine answered with version \"" +
                            Head.Version_.str() + "\", pinned to \"" +
                            Pinned.str() + "\""};
}

} // namespace hawthornroad
