// The membership table of one process (SWIM): a record of every other process,
// and the rules for merging updates into it. The life cycle of a member is
// charts/member.json.
//
//   MemberTable Table(Chart::load(Folder, "member", memberChartNames()),
//                     Self, {});
//   for (const MemberChange &C : Table.applyUpdate(Update, Now))
//     ...                                  // notify the rest of the process
//   Table.suspect(Silent, Now);            // its probe was not answered
//   Table.tick(Now);                       // handles expired deadlines
//
// Rules in addition to the order of updates (Member.h):
// - A live member that others report dead becomes only Suspect here; it is dead
//   when the suspicion timeout has expired here. After a network partition
//   heals, each side holds the other dead; accepting those updates directly
//   would leave no endpoints to choose from on either side until each member
//   has refuted. The suspicion is gossiped from the first suspect() on, so
//   waiting for the timeout costs little time.
// - Dead and left members are retained for RetainGoneFor_, so that a late
//   update of an old incarnation does not revive them. A member that returns
//   after that is probed like any other.
// - Revisions and reports have their own orders: the highest revision within an
//   incarnation, and EndpointStatus::supersedes.
// - An update against this process itself raises its own incarnation
//   (refutation).
//
// Bounds: MaxMembers_ records; further members are refused and counted. Cost:
// one hash look-up and one chart step per update; tick() costs only what is
// due.

#ifndef HAWTHORNROAD_MEMBERSHIP_MEMBERTABLE_H
#define HAWTHORNROAD_MEMBERSHIP_MEMBERTABLE_H

#include "hawthornroad/base/Chart.h"
#include "hawthornroad/base/Random.h"
#include "hawthornroad/membership/Member.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace hawthornroad {

// A refutation raises the incarnation by one; a restarted process begins at its
// start time in nanoseconds. A rise of at least this much means a new process,
// and the endpoint report of its predecessor no longer applies.
constexpr Incarnation RestartGap = 1'000'000;

ChartNames memberChartNames();

struct MemberChange {
  enum class Kind {
    Joined,
    Suspected,
    Cleared, // a suspicion was refuted
    Died,
    Left,
    Returned,  // alive again after Died or Left
    Restarted, // a new process has the name; Report_ is the old one's
    Revised,   // the revision in force there changed
    Reported,  // newer report of its endpoint
    Refuted    // this process refuted an update against it
  };
  Kind Kind_;
  ProcessName Process_;
  // For agents, the report of the endpoint concerned; may be null.
  std::shared_ptr<const EndpointStatus> Report_;
  // For Reported: whether only the load changed.
  bool LoadOnly_ = false;
};
std::string_view toString(MemberChange::Kind K);

class MemberTable {
public:
  struct Limits {
    // Time a suspect has to refute. It grows with log10 of the live members
    // above ten, as the suspicion and its refutation need that many gossip
    // rounds.
    Duration Suspicion_ = Milliseconds(1500);
    Duration RetainGoneFor_ = std::chrono::hours(2);
    std::size_t MaxMembers_ = 32768;
  };
  using Changes = std::vector<MemberChange>;

  MemberTable(Chart C, Member Self, Limits L);

  Changes applyUpdate(const Member &Update, TimePoint Now);
  // Call when a probe of Process was not answered.
  Changes suspect(const ProcessName &Process, TimePoint Now);
  // Revision R is in force in the process with this mark (config/InForceSet.h).
  void noteInForce(std::uint32_t Mark, Revision R);
  Changes tick(TimePoint Now);
  // Moves every deadline by Gap. A process that was paused received nothing
  // during that time, which says nothing about the state of the others.
  void shiftDeadlines(Duration Gap);

  const Member &self() const { return Self_; }
  void setRevision(Revision R) { Self_.Revision_ = R; }
  void setReport(std::shared_ptr<const EndpointStatus> Report) {
    Self_.Report_ = std::move(Report);
  }
  // Marks this process as leaving; updates against it are no longer refuted.
  void leave() { Self_.State_ = MemberState::Left; }

  // Null when unknown. This process itself is not in the table.
  const Member *find(const ProcessName &Process) const;
  // Live members (alive or suspect), in no particular order.
  const std::vector<ProcessName> &live() const { return Live_; }
  const std::vector<ProcessName> &gone() const { return Gone_; }
  // Null when there is none.
  const Member *randomLive(Random &R) const { return randomOf(Live_, R); }
  const Member *randomGone(Random &R) const { return randomOf(Gone_, R); }
  // Rises when the set of live or gone members changes.
  std::uint64_t version() const { return Version_; }
  std::size_t refused() const { return Refused_; }
  Duration suspicionTimeout() const;

private:
  struct Record {
    Member Member_;
    TimePoint Deadline_ = TimePoint::max();
    // Index in Live_ or Gone_.
    std::size_t ListIndex_ = 0;
  };

  Changes applySelfUpdate(const Member &Update);
  void addMember(const Member &Update, TimePoint Now, Changes &Out);
  void fire(Record &R, std::size_t Event, Incarnation I, TimePoint Now,
            Changes &Out);
  void runAction(Record &R, std::size_t Action, Incarnation I, TimePoint Now,
                 Changes &Out);
  void mergeRevisionAndReport(Record &R, const Member &Update, Changes &Out);
  void setDeadline(Record &R, TimePoint At);
  void addToList(Record &R);
  void removeFromList(Record &R, std::vector<ProcessName> &List);
  const Member *randomOf(const std::vector<ProcessName> &List, Random &R) const;

  Chart Chart_;
  Member Self_;
  Limits Limits_;
  std::unordered_map<ProcessName, Record> Records_;
  std::unordered_map<std::uint32_t, ProcessName> ByMark_;
  std::set<std::pair<TimePoint, ProcessName>> Deadlines_;
  std::vector<ProcessName> Live_;
  std::vector<ProcessName> Gone_;
  std::uint64_t Version_ = 1;
  std::size_t Refused_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_MEMBERSHIP_MEMBERTABLE_H
