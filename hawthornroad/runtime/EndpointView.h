// Builds the endpoint status that an agent publishes from the state of its
// components.
//
//   EndpointStatus S = endpointStatus(Identity, Sources);
//   if (isUrgent(S, LastPublished)) Control.publish(S, Now);
//   Attempts.setEndpoint(endpointFacts(S, Service));
//
// Pure functions; callers add no decisions of their own.

#ifndef HAWTHORNROAD_RUNTIME_ENDPOINTVIEW_H
#define HAWTHORNROAD_RUNTIME_ENDPOINTVIEW_H

#include "hawthornroad/config/Declaration.h"
#include "hawthornroad/membership/EndpointStatus.h"
#include "hawthornroad/routing/AttemptMessages.h"
#include "hawthornroad/runtime/EngineControl.h"

namespace hawthornroad {

// A snapshot of the state of an agent's components.
struct EndpointSources {
  // The declared service of this VM; null when there is none.
  const Service *Service_ = nullptr;
  // Whether the newest reachable configuration is applied.
  bool IsCaughtUp_ = false;
  bool IsLeaving_ = false;
  bool HasLeft_ = false;
  EndpointPhase EnginePhase_ = EndpointPhase::Starting;
  VersionDigest Version_;
  EngineLoad Load_;
  std::string EngineDetail_;
  // Capacity from the settings, for an engine that reports none.
  std::size_t DefaultCapacity_ = 1;
  std::size_t Running_ = 0;
  std::vector<VersionDigest> Staged_;
  std::string Rollout_;
  VersionDigest FailedVersion_;
};

// Fills in everything except identity, addresses and sequence, which are taken
// from Identity.
EndpointStatus endpointStatus(EndpointStatus Identity,
                              const EndpointSources &From);
// Whether New differs from Old in more than sequence and load and must be
// published at once; load is published periodically.
bool isUrgent(const EndpointStatus &New, const EndpointStatus &Old);
EndpointFacts endpointFacts(const EndpointStatus &Status, const Service *S);

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_ENDPOINTVIEW_H
