// The control messages between processes as value types; peers/ControlCodec.h
// turns them into frames. In Probe, Ack and Gossip the first member is always
// the sender itself, as it is now, and Revision_ is the highest it holds.

#ifndef HAWTHORNROAD_MEMBERSHIP_CONTROLMESSAGES_H
#define HAWTHORNROAD_MEMBERSHIP_CONTROLMESSAGES_H

#include "hawthornroad/membership/Member.h"

#include <string>
#include <variant>
#include <vector>

namespace hawthornroad {

// Sequence of a probe that asks to join: it is answered with the sender's
// whole table, in gossip messages.
constexpr std::uint64_t JoinSequence = 0;

struct ProbeMessage {
  std::uint64_t Sequence_ = JoinSequence;
  // When set: probe that member for me, and answer when it does.
  ProcessName Target_;
  std::vector<Member> Members_;
  Revision Revision_ = 0;
  // Marks of processes in which Revision_ is in force (InForceSet.h).
  std::vector<std::uint32_t> InForce_;
};

struct AckMessage {
  std::uint64_t Sequence_ = 0;
  // Who answered; not the sender when the probe was indirect.
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

// Asks for what follows After_; always answered, if only with nothing. After_
// 0 asks for a snapshot.
struct PullMessage {
  Revision After_ = 0;
};

// One accepted change, as the table keeps it.
struct ConfigChange {
  Revision Revision_ = 0;
  std::string Change_;
  std::string Author_;
  std::string Reason_;
  // JSON merge patch against Revision_ - 1.
  std::string Patch_;
  // Of the whole text after the patch (textDigest).
  std::string Digest_;
  std::uint64_t AcceptedMs_ = 0;
  bool operator==(const ConfigChange &) const = default;
};

struct PushMessage {
  // The text of a config/snapshot key, or empty.
  std::string Snapshot_;
  Revision SnapshotRevision_ = 0;
  // Consecutive, rising.
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
  // Over a new connection: the one in use may have gone silent.
  bool Fresh_ = false;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_MEMBERSHIP_CONTROLMESSAGES_H
