// What this process knows of every other one (SWIM), and the rules by which
// word of a member is believed. The life cycle is charts/member.json.
//
//   MemberTable Table(Chart::load(Folder, "member", memberChartNames()),
//                     Self, {});
//   for (const MemberChange &C : Table.hear(News, Now))
//     ...                                  // tell the rest of the process
//   Table.accuse(Silent, Now);             // its probe was not answered
//   Table.tick(Now);                       // suspicions and keeping run out
//
// Rules beside the order of words (Member.h):
// - Hearsay of a death makes a live member only Suspect here; a member is dead
//   when the suspicion has run out here. After a cut heals, each side holds the
//   other dead; taken at its word, that would empty the choice of endpoints on
//   both sides until each member has refuted. Word of the suspicion travels
//   with the first accusation, so that waiting for it costs little.
// - The dead and the left are kept for DeadKeep_, so that late word of an old
//   incarnation revives nothing. A member back after that is probed like any.
// - Revision and report have orders of their own: the highest revision within
//   an incarnation, and EndpointStatus::supersedes.
// - Word against this process itself raises its own incarnation (refutation).
//
// Bounds: MaxMembers_ records; more are not taken in, and counted. Cost: one
// hash look-up and a chart step a word; tick() costs what is due.

#ifndef HAWTHORNROAD_MEMBERSHIP_MEMBERTABLE_H
#define HAWTHORNROAD_MEMBERSHIP_MEMBERTABLE_H

#include "hawthornroad/base/Chart.h"
#include "hawthornroad/base/Random.h"
#include "hawthornroad/membership/Member.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace hawthornroad {

// Refutations raise an incarnation by one each; a restarted process begins at
// its start in nanoseconds. A rise of this much is a new process, and what its
// predecessor said of the endpoint no longer holds.
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
    Restarted, // a new process took the name; Report_ is its predecessor's
    Revised,   // another revision is in force there
    Reported,  // later word of its endpoint
    Refuted    // this process answered word against itself
  };
  Kind Kind_;
  ProcessName Process_;
  // The endpoint concerned, of agents; may be null.
  std::shared_ptr<const EndpointStatus> Report_;
  // Of Reported: only the load is another.
  bool LoadOnly_ = false;
};
std::string_view toString(MemberChange::Kind K);

class MemberTable {
public:
  struct Limits {
    // Time to refute; grows with log10 of the live members above ten, as
    // word of the suspicion and its refutation need that many rounds.
    Duration Suspicion_ = Milliseconds(1500);
    Duration DeadKeep_ = std::chrono::hours(2);
    std::size_t MaxMembers_ = 32768;
  };
  using Changes = std::vector<MemberChange>;

  MemberTable(Chart C, Member Self, Limits L);

  Changes hear(const Member &News, TimePoint Now);
  // A probe of Process stayed unanswered.
  Changes accuse(const ProcessName &Process, TimePoint Now);
  // R is in force in the process with this mark (config/InForceSet.h).
  void noteInForce(std::uint32_t Mark, Revision R);
  Changes tick(TimePoint Now);
  // Moves every deadline by Gap. A process that was paused has heard nothing
  // for that long, which says nothing about the others.
  void shift(Duration Gap);

  const Member &self() const { return Self_; }
  void setRevision(Revision R) { Self_.Revision_ = R; }
  void setReport(std::shared_ptr<const EndpointStatus> Report) {
    Self_.Report_ = std::move(Report);
  }
  // This process leaves; word against it is no longer refuted.
  void leave() { Self_.State_ = MemberState::Left; }

  // Null when unknown. This process itself is not in the table.
  const Member *find(const ProcessName &Process) const;
  // Live members (alive or suspect), in no order.
  const std::vector<ProcessName> &live() const { return Live_; }
  const std::vector<ProcessName> &gone() const { return Gone_; }
  // Null when there is none.
  const Member *randomLive(Random &R) const { return randomOf(Live_, R); }
  const Member *randomGone(Random &R) const { return randomOf(Gone_, R); }
  // Rises when the set of live members changes.
  std::uint64_t version() const { return Version_; }
  std::size_t refused() const { return Refused_; }
  Duration suspicion() const;

private:
  struct Record {
    Member Member_;
    TimePoint Deadline_ = TimePoint::max();
    // Place in Live_ or Gone_.
    std::size_t Place_ = 0;
  };

  Changes hearOfSelf(const Member &News);
  void admit(const Member &News, TimePoint Now, Changes &Out);
  void fire(Record &R, std::size_t Event, Incarnation I, TimePoint Now,
            Changes &Out);
  void perform(Record &R, std::size_t Action, Incarnation I, TimePoint Now,
               Changes &Out);
  void mergeFacts(Record &R, const Member &News, Changes &Out);
  void setDeadline(Record &R, TimePoint At);
  void place(Record &R);
  void unplace(Record &R, std::vector<ProcessName> &List);
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
