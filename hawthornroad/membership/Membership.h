// Membership protocol of one process: member table, failure detection and
// gossip.
//
//   Membership M(Chart, Self, Setup, Rng);
//   Membership::Output Out;
//   M.setContacts(Membership::Source::Seeds, Seeds);
//   M.tick(Now, Out);                       // every few tens of milliseconds
//   M.handle(FromAddress, Probe, Now, Out); // each control message
//   for (ControlSend &Each : Out.Sends_) ...
//   for (const MemberChange &Each : Out.Changes_) ...
//   for (const AdvertisedRevision &Each : Out.Revisions_) ...
//
// Joining. A new process sends a join probe to a few contacts (the seeds, and
// the platform's membership list, which lags and only hints at possible
// members) and then to members it has learned of, every second until one
// answers. That member sends its complete table in paced messages. When many
// new members appear soon after, the process requests a table once more;
// otherwise a fleet that starts all at once would learn its members one record
// at a time.
//
// Dissemination. Updates are piggybacked on probes and acks within
// MessageBudget_ bytes. Each message also carries one record drawn from the
// table, so that lost updates are repaired over time. Urgent updates (deaths,
// leaves, returns, changed endpoints) are in addition sent at once to
// UrgentFanout_ random members, at most UrgentRate_ times a second, so that the
// outage of a zone does not cause a message storm.
//
// Healing. Members held dead are probed at a low rate (Prober) and sent the
// record held of them; they refute it, and the refutation spreads. A contact
// whose address belongs to no live member is sent a join probe every
// ContactPeriod_.
//
// Cost, independent of the size of the fleet: on average one probe sent and one
// answered per probe period, each of at most MessageBudget_ bytes plus one
// record.

#ifndef HAWTHORNROAD_MEMBERSHIP_MEMBERSHIP_H
#define HAWTHORNROAD_MEMBERSHIP_MEMBERSHIP_H

#include "hawthornroad/config/InForceSet.h"
#include "hawthornroad/membership/ControlMessages.h"
#include "hawthornroad/membership/GossipQueue.h"
#include "hawthornroad/membership/MemberTable.h"
#include "hawthornroad/membership/Prober.h"
#include "hawthornroad/membership/ReportPlan.h"

#include <deque>
#include <map>
#include <set>

namespace hawthornroad {

// A member that advertises that it holds a configuration revision.
struct AdvertisedRevision {
  PeerAddress From_;
  Revision Revision_ = 0;
};

class Membership {
public:
  struct Setup {
    MemberTable::Limits Table_;
    Prober::Limits Prober_;
    ReportPlan::Limits Report_;
    std::size_t MessageBudget_ = 512;
    // Maximum number of marks per message, each of a process in which the
    // revision is in force.
    std::size_t MarksPerMessage_ = 64;
    // Bytes per message of a table transfer, and the maximum number of pending
    // transfers.
    std::size_t SyncBudget_ = 16 * 1024;
    Duration SyncPeriod_ = Milliseconds(20);
    std::size_t MaxSyncs_ = 16;
    // Expected number of processes that notify a suspect directly when they
    // learn of the suspicion; notifications from all of them would flood it.
    double SuspectNotifiers_ = 32;
    // Maximum number of suspects notified again in one tick.
    std::size_t MaxReminders_ = 8;
    std::size_t UrgentFanout_ = 3;
    double UrgentRate_ = 2;
    double UrgentBurst_ = 6;
    // A message with more members is part of a table transfer, and the members
    // that it adds are not passed on.
    std::size_t MaxRelayedJoins_ = 16;
    // Number of new members since the last table transfer after which this
    // process requests another one: many join at once, and gossip would take
    // long.
    std::size_t ResyncAfterJoins_ = 8;
    std::size_t JoinFanout_ = 2;
    Duration JoinPeriod_ = Seconds(1);
    Duration ContactPeriod_ = Seconds(10);
    // Maximum number of relayed probes that await an answer.
    std::size_t MaxRelays_ = 256;
    // A gap between ticks of at least this length means that this process was
    // paused.
    Duration PauseAfter_ = Milliseconds(500);
  };
  struct Output {
    std::vector<ControlSend> Sends_;
    std::vector<MemberChange> Changes_;
    std::vector<AdvertisedRevision> Revisions_;
  };

  Membership(Chart C, Member Self, const Setup &S, Random Rng);

  // Sets the addresses where members may be found; replaces those of the same
  // Source.
  enum class Source { Seeds, PlatformList };
  void setContacts(Source From, std::vector<PeerAddress> Contacts);

  void tick(TimePoint Now, Output &Out);
  void handle(const PeerAddress &From, const ProbeMessage &M, TimePoint Now,
              Output &Out);
  void handle(const PeerAddress &From, const AckMessage &M, TimePoint Now,
              Output &Out);
  void handle(const PeerAddress &From, const GossipMessage &M, TimePoint Now,
              Output &Out);
  void handle(const PeerAddress &From, const ReportMessage &M, TimePoint Now,
              Output &Out);

  // Sets the current status of the endpoint of this process (agents).
  void publish(const EndpointStatus &Status, TimePoint Now, Output &Out);
  // Announces the leave at once to the entries of the zone and a few other
  // members.
  void leave(TimePoint Now, Output &Out);
  // Sets the revision held, which every message advertises, and the one in
  // force in this process.
  void setRevisions(Revision Held, Revision InForce);

  const MemberTable &table() const { return Table_; }
  // Up to Count live members, drawn at random.
  std::vector<const Member *> randomPeers(std::size_t Count);
  const std::set<PeerAddress> &contacts(Source From) const {
    return Contacts_[static_cast<std::size_t>(From)];
  }

private:
  struct Relay {
    PeerAddress Requester_;
    std::uint64_t Sequence_ = 0;
    ProcessName Target_;
    TimePoint Until_;
  };
  struct Sync {
    PeerAddress To_;
    std::deque<ProcessName> Remaining_;
  };

  // Returns whether an update held this process not alive.
  bool processUpdates(const PeerAddress &From,
                      const std::vector<Member> &Members, Revision Held,
                      const std::vector<std::uint32_t> &Marks, TimePoint Now,
                      Output &Out);
  // PassOn: whether new members are gossiped further.
  void handleChanges(const MemberTable::Changes &Changes, bool PassOn,
                     TimePoint Now, Output &Out);
  void handleChange(const MemberChange &C, bool PassOn, TimePoint Now,
                    Output &Out);
  void handleSuspected(const MemberChange &C, TimePoint Now, Output &Out);
  void handleJoined(const MemberChange &C, bool PassOn, TimePoint Now);
  void sendProbe(const Prober::ProbeRequest &O, Output &Out);
  void relay(const PeerAddress &From, const ProbeMessage &M, TimePoint Now,
             Output &Out);
  void sendAck(const PeerAddress &To, std::uint64_t Sequence,
               const ProcessName &Process, const ProcessName &Reader,
               Output &Out);
  std::vector<Member> gossipMembers(const ProcessName &Reader);
  void sendRecordOf(const ProcessName &About, const PeerAddress &To,
                    Output &Out);
  void remindSuspects(TimePoint Now, Output &Out);
  std::vector<std::uint32_t> marks();
  void sendOwnRecord(const PeerAddress &To, Output &Out);
  void sendUrgentGossip(TimePoint Now, Output &Out);
  void probeContacts(TimePoint Now, Output &Out);
  void sendReport(TimePoint Now, Output &Out);
  void sendJoinProbe(const PeerAddress &To, Output &Out);
  bool beginSync(const PeerAddress &To);
  void sendSyncs(TimePoint Now, Output &Out);
  std::size_t transmits() const;

  Setup Setup_;
  Random Rng_;
  MemberTable Table_;
  Prober Prober_;
  GossipQueue Queue_;
  ReportPlan Plan_;
  Revision Held_ = 0;
  InForceSet InForce_;
  // Suspects to notify again, and when.
  std::set<std::pair<TimePoint, ProcessName>> Reminders_;
  std::set<PeerAddress> Contacts_[2];
  std::map<std::uint64_t, Relay> Relays_;
  std::uint64_t LastRelay_;
  std::deque<Sync> Syncs_;
  TimePoint NextSync_{};
  // Whether a member has started to send its table to this process.
  bool Joined_ = false;
  std::size_t JoinedSince_ = 0;
  TimePoint NextContact_{};
  TimePoint LastTick_{};
  double UrgentTokens_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_MEMBERSHIP_MEMBERSHIP_H
