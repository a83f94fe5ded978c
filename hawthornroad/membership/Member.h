// One process of the fleet as another process knows it.
//
// Word of a member is ordered by (incarnation, state), states in the order of
// the enum: of two words the greater one holds. The order is total, so it does
// not matter in which order, how often or how late words arrive; and a member
// that hears itself called Suspect or Dead answers with Alive of a higher
// incarnation, which beats both.

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
  // The configuration revision in force there.
  Revision Revision_ = 0;
  // What an agent last said of its endpoint; null when not known or not told.
  std::shared_ptr<const EndpointStatus> Report_;

  bool isLive() const { return State_ <= MemberState::Suspect; }
  bool isEntry() const { return Role_ == "entry"; }
};

// Whether A and B differ in more than load, which changes all the time.
bool differBeyondLoad(const EndpointStatus &A, const EndpointStatus &B);

// Bytes of M on the wire, for budgets; within a fifth of the encoded size.
std::size_t wireSize(const Member &M, bool WithReport);

} // namespace hawthornroad

#endif // HAWTHORNROAD_MEMBERSHIP_MEMBER_H
