// What an agent says of its endpoint, put together from its parts.
//
//   EndpointStatus S = endpointStatus(Identity, Sources);
//   if (isNews(S, LastPublished)) Control.publish(S, Now);
//   Attempts.setEndpoint(endpointFacts(S, Service));
//
// Pure functions: the composition decides nothing beyond them.

#ifndef HAWTHORNROAD_RUNTIME_ENDPOINTVIEW_H
#define HAWTHORNROAD_RUNTIME_ENDPOINTVIEW_H

#include "hawthornroad/config/Declaration.h"
#include "hawthornroad/membership/EndpointStatus.h"
#include "hawthornroad/routing/AttemptMessages.h"
#include "hawthornroad/runtime/EngineControl.h"

namespace hawthornroad {

// The state of an agent's parts at one moment.
struct EndpointSources {
  // The declared service of this VM; null when there is none.
  const Service *Service_ = nullptr;
  // Whether the newest configuration in reach is applied.
  bool IsCaughtUp_ = false;
  bool IsLeaving_ = false;
  bool HasLeft_ = false;
  EndpointPhase EnginePhase_ = EndpointPhase::Starting;
  VersionDigest Version_;
  EngineLoad Load_;
  std::string EngineDetail_;
  // Capacity from the settings, for an engine that names none.
  std::size_t DefaultCapacity_ = 1;
  std::size_t Running_ = 0;
  std::vector<VersionDigest> Staged_;
  std::string Rollout_;
  VersionDigest FailedVersion_;
};

// Fills in all but identity, addresses and sequence of Identity.
EndpointStatus endpointStatus(EndpointStatus Identity,
                              const EndpointSources &From);
// Whether New differs from Old in more than its sequence and its load, and so
// must be told at once; load is told periodically.
bool isNews(const EndpointStatus &New, const EndpointStatus &Old);
EndpointFacts endpointFacts(const EndpointStatus &Status, const Service *S);

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_ENDPOINTVIEW_H
