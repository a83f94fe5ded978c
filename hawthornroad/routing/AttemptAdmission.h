// Whether an agent takes an attempt, and whether an engine's answer is one to
// pass on: pure functions of what the agent knows at that moment.
//
//   if (auto Reason = refusalOf(Spec, Facts, Limits, Load)) ...
//   if (auto Failure = faultOf(Head, PinnedVersion, Facts.IsModel_)) ...

#ifndef HAWTHORNROAD_ROUTING_ATTEMPTADMISSION_H
#define HAWTHORNROAD_ROUTING_ATTEMPTADMISSION_H

#include "hawthornroad/routing/AttemptMessages.h"

namespace hawthornroad {

struct AttemptLimits {
  // Bytes of one answer held until acknowledged.
  std::size_t Buffer_ = 4 * 1024 * 1024;
  // How long a finished attempt's outcome and answer are kept.
  Duration Keep_ = Seconds(60);
  // How long its id, and a refused one's, is: longer than any deadline.
  Duration Remember_ = std::chrono::minutes(20);
  // How long a repeatable attempt runs on with nobody listening.
  Duration OrphanGrace_ = Seconds(10);
  // How long past its deadline an attempt may run: its entry has answered.
  Duration DeadlineGrace_ = Seconds(1);
  // Shortest deadline worth starting for.
  Duration MinDeadline_ = Milliseconds(10);
  // Attempts beyond capacity that may wait inside the engine, as a share of
  // it: enough for the engine to order them by priority.
  double QueueShare_ = 0.25;
  // Request bodies of all running attempts.
  std::size_t MaxBodyBytes_ = 64 * 1024 * 1024;
  std::size_t MaxFinished_ = 8192;
  std::size_t MaxFinishedBytes_ = 64 * 1024 * 1024;
  std::size_t MaxPast_ = 262144;
};

// What the agent's running attempts take up.
struct AttemptLoad {
  std::size_t Running_ = 0;
  std::size_t BodyBytes_ = 0;
};

// Nullopt admits the attempt.
std::optional<AttemptRefusal> refusalOf(const AttemptSpec &Spec,
                                        const EndpointFacts &Facts,
                                        const AttemptLimits &Limits,
                                        const AttemptLoad &Load);
// When an attempt refused for Reason is worth another try here; MeanRun is the
// mean run time of late.
Duration retryAfter(AttemptRefusal Reason, const EndpointFacts &Facts,
                    Duration MeanRun);
// Why an answer with this head must not be passed on; nullopt when it may.
// Guards against mixed weights: an engine that was reloaded behind the agent's
// back, or between acceptance and run, names another version in its answer.
std::optional<AttemptFailure>
faultOf(const AnswerHead &Head, const VersionDigest &Pinned, bool IsModel);

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_ATTEMPTADMISSION_H
