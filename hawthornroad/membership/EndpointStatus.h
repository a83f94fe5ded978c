// An agent's report about the endpoint on its VM, as a value type. The wire
// type EndpointReport carries it (peers/WireCodec.h).

#ifndef HAWTHORNROAD_MEMBERSHIP_ENDPOINTSTATUS_H
#define HAWTHORNROAD_MEMBERSHIP_ENDPOINTSTATUS_H

#include "hawthornroad/base/Types.h"

#include <string>
#include <vector>

namespace hawthornroad {

enum class EndpointPhase : std::uint8_t { Starting, Ready, Draining, Left };
std::string_view toString(EndpointPhase P);

struct EndpointStatus {
  Vm Vm_;
  ProcessName Process_;
  Incarnation Incarnation_ = 0;
  // Rises with each report within one incarnation.
  std::uint64_t Sequence_ = 0;
  // The agent's listeners: Address_ for requests and control messages,
  // WeightsAddress_ for weight chunks.
  PeerAddress Address_;
  PeerAddress WeightsAddress_;
  AvailabilityZone Zone_;
  ServiceName Service_;
  EndpointPhase Phase_ = EndpointPhase::Starting;
  // The version that the engine has loaded; empty for a plain service.
  VersionDigest Version_;
  // Maximum number of concurrent attempts, attempts running now, and attempts
  // queued inside the engine.
  std::uint32_t Capacity_ = 0;
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
  // Recent mean milliseconds per token (model) or per call (plain service).
  float StepMs_ = 0;
  // Human-readable reason why the endpoint is not ready.
  std::string Detail_;
  // Versions that are complete and verified on the VM.
  std::vector<VersionDigest> Staged_;
  // State of the rollout turn, a name from charts/rollout.json.
  std::string Rollout_;
  // The version the engine failed to load, if any.
  VersionDigest FailedVersion_;

  bool operator==(const EndpointStatus &) const = default;
  // Whether this report is newer than Other, a report about the same VM.
  bool supersedes(const EndpointStatus &Other) const {
    if (Incarnation_ != Other.Incarnation_)
      return Incarnation_ > Other.Incarnation_;
    return Sequence_ > Other.Sequence_;
  }
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_MEMBERSHIP_ENDPOINTSTATUS_H
