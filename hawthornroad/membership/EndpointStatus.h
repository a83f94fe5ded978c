// What one agent says of the endpoint on its VM, as a value type. The wire's
// EndpointReport carries it (peers/WireCodec.h).

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
  // Grows with each report of one incarnation.
  std::uint64_t Sequence_ = 0;
  // The agent's listeners: for requests and control, and for chunks.
  PeerAddress Address_;
  PeerAddress WeightsAddress_;
  AvailabilityZone Zone_;
  ServiceName Service_;
  EndpointPhase Phase_ = EndpointPhase::Starting;
  // What the engine reports loaded; empty for a plain service.
  VersionDigest Version_;
  // Attempts run at once, running now, waiting inside the engine.
  std::uint32_t Capacity_ = 0;
  std::uint32_t Running_ = 0;
  std::uint32_t Waiting_ = 0;
  // Recent mean milliseconds of one token (model) or one call (plain).
  float StepMs_ = 0;
  // Why it is not ready, for people.
  std::string Detail_;
  // Versions held whole and verified on the VM.
  std::vector<VersionDigest> Staged_;
  // The rollout turn's state, a name from charts/rollout.json.
  std::string Rollout_;
  // The version the engine failed to load, if any.
  VersionDigest FailedVersion_;

  bool operator==(const EndpointStatus &) const = default;
  // Whether this is later word than Other about the same VM.
  bool supersedes(const EndpointStatus &Other) const {
    if (Incarnation_ != Other.Incarnation_)
      return Incarnation_ > Other.Incarnation_;
    return Sequence_ > Other.Sequence_;
  }
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_MEMBERSHIP_ENDPOINTSTATUS_H
