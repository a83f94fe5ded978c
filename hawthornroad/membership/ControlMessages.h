// The control messages between processes as value types; peers/ControlCodec.h
// converts them to and from frames. In Probe, Ack and Gossip the first member
// is always the current record of the sender, and Revision_ is the highest
// revision it holds.

#ifndef HAWTHORNROAD_MEMBERSHIP_CONTROLMESSAGES_H
#define HAWTHORNROAD_MEMBERSHIP_CONTROLMESSAGES_H

#include "hawthornroad/membership/Member.h"

#include <string>
#include <variant>
#include <vector>

namespace hawthornroad {

// Sequence number of a join probe. It is answered with the complete member
// table of the receiver, in gossip messages.
constexpr std::uint64_t JoinSequence = 0;

struct ProbeMessage {
  std::uint64_t Sequence_ = JoinSequence;
  // If set, the receiver probes this member on behalf of the sender and
  // acknowledges when that member does.
  ProcessName Target_;
  std::vector<Member> Members_;
  Revision Revision_ = 0;
  // Marks of processes in which Revision_ is in force (InForceSet.h).
  std::vector<std::uint32_t> InForce_;
};

struct AckMessage {
  std::uint64_t Sequence_ = 0;
  // The process that answered; differs from the sender for an indirect probe.
  ProcessName Process_;
  std::vector<Member> Members_;
  Revision Revision_ = 0;
  // Marks of processes in which Revision_ is in force (InForceSet.h).
  std::vector<std::uint32_t> InForce_;
};

struct GossipMessage {
  std::vector<Member> Members_;
  Revision Revision_ = 0;
  // Marks of processes in which Revision_ is in force (InForceSet.h).
  std::vector<std::uint32_t> InForce_;
};

// Requests the changes after revision After_, or a snapshot if After_ is 0.
// Always answered, if need be with an empty push.
struct PullMessage {
  Revision After_ = 0;
};

// One accepted change, as stored in the table.
struct ConfigChange {
  Revision Revision_ = 0;
  std::string Change_;
  std::string Author_;
  std::string Reason_;
  // JSON merge patch against Revision_ - 1.
  std::string Patch_;
  // Digest of the complete text after the patch (textDigest).
  std::string Digest_;
  std::uint64_t AcceptedMs_ = 0;
  bool operator==(const ConfigChange &) const = default;
};

struct PushMessage {
  // The value of a config/snapshot key, or empty.
  std::string Snapshot_;
  Revision SnapshotRevision_ = 0;
  // Consecutive, in ascending order of revision.
  std::vector<ConfigChange> Changes_;
};

struct ReportMessage {
  EndpointStatus Status_;
};

using ControlMessage = std::variant<ProbeMessage, AckMessage, GossipMessage,
                                    PullMessage, PushMessage, ReportMessage>;

struct ControlSend {
  PeerAddress To_;
  ControlMessage Message_;
  // Send over a new connection, as the one in use may have gone silent.
  bool NewConnection_ = false;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_MEMBERSHIP_CONTROLMESSAGES_H
