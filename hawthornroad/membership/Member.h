// The record of one process of the fleet as another process knows it.
//
// Updates about a member are ordered by (incarnation, state), with states in
// the order of the enum; the greater update wins. The order is total, so the
// result does not depend on the order, number or delay of updates. A member
// that learns that others hold it Suspect or Dead refutes this with Alive at a
// higher incarnation, which wins over both.

#ifndef HAWTHORNROAD_MEMBERSHIP_MEMBER_H
#define HAWTHORNROAD_MEMBERSHIP_MEMBER_H

#include "hawthornroad/base/Types.h"
#include "hawthornroad/membership/EndpointStatus.h"

#include <memory>
#include <string>
#include <string_view>

namespace hawthornroad {

enum class MemberState : std::uint8_t { Alive, Suspect, Dead, Left };
std::string_view toString(MemberState S);

struct Member {
  ProcessName Process_;
  Incarnation Incarnation_ = 0;
  MemberState State_ = MemberState::Alive;
  std::string Role_; // "entry" or "agent"
  AvailabilityZone Zone_;
  PeerAddress Address_;
  // The configuration revision in force in that process.
  Revision Revision_ = 0;
  // The latest endpoint report of an agent; null when not known or not sent.
  std::shared_ptr<const EndpointStatus> Report_;

  bool isLive() const { return State_ <= MemberState::Suspect; }
  bool isEntry() const { return Role_ == "entry"; }
};

// Whether A and B differ in more than load, which changes continuously.
bool differBeyondLoad(const EndpointStatus &A, const EndpointStatus &B);

// Estimated encoded size of M in bytes, for message budgets; within a fifth of
// the actual size.
std::size_t wireSize(const Member &M, bool WithReport);

} // namespace hawthornroad

#endif // HAWTHORNROAD_MEMBERSHIP_MEMBER_H
