// Membership of one process as a whole: table, probes and gossip together.
//
//   Membership M(Chart, Self, Setup, Rng);
//   Membership::Output Out;
//   M.setContacts(Seeds);
//   M.tick(Now, Out);                       // every few tens of milliseconds
//   M.handle(FromAddress, Probe, Now, Out); // each control message
//   for (ControlSend &Each : Out.Sends_) ...
//   for (const MemberChange &Each : Out.Changes_) ...
//   for (const HeardRevision &Each : Out.Revisions_) ...
//
// Joining. A new process sends a join probe to a few contacts (seeds, and the
// platform's membership list, which lags and is only a hint where somebody may
// be) and then to members it has heard of, every second until one answers. That
// one sends its whole table, in paced messages. When many new members show up
// soon after, it asks once more: a fleet that starts all at once would else
// learn itself record by record.
//
// Spreading. News rides on probes and answers within MessageBudget_ bytes, and
// each message also carries one record drawn from the table, so that a lost
// word is made good in time. Urgent news (deaths, leaves, returns, changed
// endpoints) is besides sent at once to EagerFanout_ random members, at most
// EagerRate_ times a second, so that an outage of a zone makes no storm.
//
// Healing. Members held dead are probed at a low rate (Prober) and told what
// is held of them; they refute, and word of that spreads. A contact that is no
// live member's address is asked to join every ContactPeriod_.
//
// Cost, whatever the size of the fleet: per probe period one probe sent and one
// answered on average, each at most MessageBudget_ plus one record.

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

// A member that says it holds a configuration revision.
struct HeardRevision {
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
    // Marks of processes with the revision in force, on one message.
    std::size_t Marks_ = 64;
    // Bytes of one message of a whole table, and how many wait at most.
    std::size_t SyncBudget_ = 16 * 1024;
    Duration SyncPeriod_ = Milliseconds(20);
    std::size_t MaxSyncs_ = 16;
    // Of those that hear of a suspicion, so many tell the suspect at once; all
    // would be a flood on it.
    double Tellers_ = 32;
    // Suspects reminded in one tick.
    std::size_t MaxReminders_ = 8;
    std::size_t EagerFanout_ = 3;
    double EagerRate_ = 2;
    double EagerBurst_ = 6;
    // Members of one message whose joining is passed on; a message of more is
    // part of a whole table.
    std::size_t MaxNews_ = 16;
    // New members heard of since the last table came that make this process
    // ask for another: many join at once, and gossip would take long.
    std::size_t MassJoin_ = 8;
    std::size_t JoinFanout_ = 2;
    Duration JoinPeriod_ = Seconds(1);
    Duration ContactPeriod_ = Seconds(10);
    // Relayed probes that await an answer.
    std::size_t MaxRelays_ = 256;
    // A gap between ticks as long as this means this process was paused.
    Duration PauseAfter_ = Milliseconds(500);
  };
  struct Output {
    std::vector<ControlSend> Sends_;
    std::vector<MemberChange> Changes_;
    std::vector<HeardRevision> Revisions_;
  };

  Membership(Chart C, Member Self, const Setup &S, Random Rng);

  // Addresses where members may be found; replaces those of the same Source.
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

  // What this process's endpoint is now (agents).
  void publish(const EndpointStatus &Status, TimePoint Now, Output &Out);
  // Tells the zone's entries and a few others at once.
  void leave(TimePoint Now, Output &Out);
  // The revision it holds, told in every message, and the one in force here.
  void setRevisions(Revision Held, Revision InForce);

  const MemberTable &table() const { return Table_; }
  // Up to Count live members, drawn at random.
  std::vector<const Member *> randomPeers(std::size_t Count);
  const std::set<PeerAddress> &contacts(Source From) const {
    return Contacts_[static_cast<std::size_t>(From)];
  }

private:
  struct Relay {
    PeerAddress Asker_;
    std::uint64_t Sequence_ = 0;
    ProcessName Target_;
    TimePoint Until_;
  };
  struct Sync {
    PeerAddress To_;
    std::deque<ProcessName> Left_;
  };

  // Whether a member said that this process is not alive.
  bool learn(const PeerAddress &From, const std::vector<Member> &Members,
             Revision Held, const std::vector<std::uint32_t> &Marks,
             TimePoint Now, Output &Out);
  // PassOn: whether a new member is news for others.
  void note(const MemberTable::Changes &Changes, bool PassOn, TimePoint Now,
            Output &Out);
  void noteOne(const MemberChange &C, bool PassOn, TimePoint Now, Output &Out);
  void noteSuspected(const MemberChange &C, TimePoint Now, Output &Out);
  void noteJoined(const MemberChange &C, bool PassOn, TimePoint Now);
  void sendProbe(const Prober::Order &O, Output &Out);
  void relay(const PeerAddress &From, const ProbeMessage &M, TimePoint Now,
             Output &Out);
  void answer(const PeerAddress &To, std::uint64_t Sequence,
              const ProcessName &Process, const ProcessName &Reader,
              Output &Out);
  std::vector<Member> news(const ProcessName &Reader);
  void tellOf(const ProcessName &About, const PeerAddress &To, Output &Out);
  void remindSuspects(TimePoint Now, Output &Out);
  std::vector<std::uint32_t> marks();
  void tellOfSelf(const PeerAddress &To, Output &Out);
  void spreadEagerly(TimePoint Now, Output &Out);
  void seekContacts(TimePoint Now, Output &Out);
  void sendReport(TimePoint Now, Output &Out);
  void askToJoin(const PeerAddress &To, Output &Out);
  bool beginSync(const PeerAddress &To);
  void pumpSyncs(TimePoint Now, Output &Out);
  std::size_t transmits() const;

  Setup Setup_;
  Random Rng_;
  MemberTable Table_;
  Prober Prober_;
  GossipQueue Queue_;
  ReportPlan Plan_;
  Revision Held_ = 0;
  InForceSet InForce_;
  // Suspects to be told again, and when.
  std::set<std::pair<TimePoint, ProcessName>> Reminders_;
  std::set<PeerAddress> Contacts_[2];
  std::map<std::uint64_t, Relay> Relays_;
  std::uint64_t LastRelay_;
  std::deque<Sync> Syncs_;
  TimePoint NextSync_{};
  // Whether a member has begun to send its table here.
  bool Joined_ = false;
  std::size_t JoinedSince_ = 0;
  TimePoint NextContact_{};
  TimePoint LastTick_{};
  double EagerTokens_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_MEMBERSHIP_MEMBERSHIP_H
