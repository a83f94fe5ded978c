// Decides whether an agent accepts an attempt and whether an engine's answer
// may be forwarded. Pure functions of the agent's current state.
//
//   if (auto Reason = refusalOf(Spec, Facts, Limits, Load)) ...
//   if (auto Failure = faultOf(Head, PinnedVersion, Facts.IsModel_)) ...

#ifndef HAWTHORNROAD_ROUTING_ATTEMPTADMISSION_H
#define HAWTHORNROAD_ROUTING_ATTEMPTADMISSION_H

#include "hawthornroad/routing/AttemptMessages.h"

namespace hawthornroad {

struct AttemptLimits {
  // Unacknowledged bytes held of one answer.
  std::size_t Buffer_ = 4 * 1024 * 1024;
  // How long a finished attempt's outcome and answer are kept.
  Duration Keep_ = Seconds(60);
  // How long the ids of finished and refused attempts are kept: longer than any
  // deadline.
  Duration IdRetention_ = std::chrono::minutes(20);
  // How long a repeatable attempt continues without a connected requester.
  Duration OrphanGrace_ = Seconds(10);
  // How long an attempt may run past its deadline, when its entry has already
  // answered the caller.
  Duration DeadlineGrace_ = Seconds(1);
  // Attempts with a shorter deadline are refused.
  Duration MinDeadline_ = Milliseconds(10);
  // Attempts beyond capacity that may wait inside the engine, as a share of
  // the capacity: enough for the engine to order them by priority.
  double QueueShare_ = 0.25;
  // Request bodies of all running attempts.
  std::size_t MaxBodyBytes_ = 64 * 1024 * 1024;
  std::size_t MaxFinished_ = 8192;
  std::size_t MaxFinishedBytes_ = 64 * 1024 * 1024;
  std::size_t MaxPast_ = 262144;
};

// Resources used by the agent's running attempts.
struct AttemptLoad {
  std::size_t Running_ = 0;
  std::size_t BodyBytes_ = 0;
};

// Returns nullopt to admit the attempt.
std::optional<AttemptRefusal> refusalOf(const AttemptSpec &Spec,
                                        const EndpointFacts &Facts,
                                        const AttemptLimits &Limits,
                                        const AttemptLoad &Load);
// How long to wait before retrying an attempt refused for Reason at this
// endpoint; MeanRun is the recent mean run time.
Duration retryAfter(AttemptRefusal Reason, const EndpointFacts &Facts,
                    Duration MeanRun);
// Why an answer with this head must not be forwarded; nullopt when it may be.
// Guards against mixed weights: an engine that was reloaded without the agent's
// knowledge, or between acceptance and run, reports another version in its
// answer.
std::optional<AttemptFailure>
faultOf(const AnswerHead &Head, const VersionDigest &Pinned, bool IsModel);

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_ATTEMPTADMISSION_H
