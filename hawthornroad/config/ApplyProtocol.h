// The acceptance of a changed text by the platform's table, as a decision
// module: it says which call to the table comes next and judges each answer.
//
//   ApplyProtocol P(Chart, Request, Rng);
//   std::optional<TableCall> Next = P.start();
//   while (Next)
//     Next = P.onAnswer(perform(*Next));   // waits Next->Delay_ first
//   report(P.outcome());
//
// The idea: revision N + 1 is a key that only one writer can create, so of two
// operators who start from revision N one wins and the other is shown both
// changes. The creation is the acceptance; nothing else has to be written.
//
// Invariants: a record is created only as the successor of the base it was
// computed against; a change id is accepted at most once; Accepted, Conflict
// and Unavailable are said only when known, and Unknown in their place.
// Bounds: MaxFailures failed calls in all, with jittered, growing waits
// between them; one list call for PageSize revisions.

#ifndef HAWTHORNROAD_CONFIG_APPLYPROTOCOL_H
#define HAWTHORNROAD_CONFIG_APPLYPROTOCOL_H

#include "hawthornroad/base/Chart.h"
#include "hawthornroad/base/Random.h"
#include "hawthornroad/base/Types.h"
#include "hawthornroad/config/RevisionRecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hawthornroad {

// A call to the platform's table.
struct TableCall {
  enum class Kind {
    Get,    // the value at Key_
    List,   // up to PageSize revisions after Key_, in key order
    Create, // Value_ at Key_ unless there is one (If-None-Match: *)
    Replace // Value_ at Key_ if its ETag is still Etag_ (If-Match)
  };
  static constexpr std::size_t PageSize = 200;

  Kind Kind_ = Kind::Get;
  std::string Key_;
  std::string Value_;
  std::string Etag_;
  // How long to wait before the call.
  Duration Delay_ = Duration::zero();
  bool operator==(const TableCall &) const = default;
};

struct TableAnswer {
  enum class Kind {
    Done,    // read, listed or written
    Absent,  // there is no such key
    Refused, // the condition did not hold
    Lost,    // sent, but no usable answer came: a write may have taken effect
    NotSent  // never reached the table
  };
  Kind Kind_ = Kind::NotSent;
  std::string Value_;
  std::string Etag_;
  // Of a list: the values in key order.
  std::vector<std::string> Values_;
};

struct ApplyRequest {
  // 1 to MaxName characters; a retry uses the same one.
  std::string Change_;
  std::string Author_;
  std::string Reason_;
  // The whole new text, already validated.
  boost::json::value Text_;
  // The revision the change was made against. Unset: whatever is the latest,
  // so a retry must name the base that its first try had.
  std::optional<Revision> Base_;
  std::int64_t NowMs_ = 0;
};

struct ApplyOutcome {
  enum class Kind {
    Accepted,    // in the table as revision Revision_
    Unchanged,   // revision Revision_ already is this text
    Conflict,    // other changes came first: Theirs_
    Refused,     // the request itself is wrong: Message_
    Unavailable, // the table cannot be reached; nothing was written
    Unknown      // a write may have taken effect and cannot be read back
  };
  Kind Kind_ = Kind::Unknown;
  Revision Revision_ = 0;
  Revision Base_ = 0;
  // Whether an earlier try of the same change had been accepted.
  bool WasEarlier_ = false;
  // This change against its base; Patch_ is against PatchBase_, which is
  // higher than Base_ when the base's text is no longer at hand.
  RevisionRecord Ours_;
  Revision PatchBase_ = 0;
  // Revisions accepted after the base.
  std::vector<RevisionRecord> Theirs_;
  std::string Message_;
};

class ApplyProtocol {
public:
  static constexpr int MaxFailures = 5;
  // A snapshot is written when the last one is this many revisions behind.
  static constexpr Revision SnapshotPeriod = 32;

  ApplyProtocol(const Chart &C, ApplyRequest R, Random &Rng);

  // The names charts/apply.json is bound to.
  static ChartNames chartNames();

  TableCall start();
  // The next call, or nullopt at the end. Throws Error(Step::Apply) when the
  // table's records contradict each other.
  std::optional<TableCall> onAnswer(const TableAnswer &A);
  // Valid once onAnswer() gave nullopt.
  const ApplyOutcome &outcome() const { return Outcome_; }
  // After Accepted: the write of a snapshot, when one is due. Its failure
  // costs nothing but time later.
  std::optional<TableCall> snapshotCall() const;

private:
  std::size_t eventOf(const TableAnswer &A);
  std::size_t onSnapshot(const TableAnswer &A);
  std::size_t onPage(const TableAnswer &A);
  std::size_t onCreated(const TableAnswer &A);
  std::size_t onReadBack(const TableAnswer &A);
  void addRecord(RevisionRecord R);
  void prepare();
  bool holds(std::size_t Guard) const;
  TableCall callFor(std::size_t Action);
  void conclude();
  void describe();
  const RevisionRecord *ownRecord() const;
  Duration nextDelay();

  const Chart &Chart_;
  ApplyRequest Request_;
  Random &Random_;
  std::size_t State_ = 0;
  int Failures_ = 0;
  bool MayHaveLanded_ = false;
  RevisionFold Fold_;
  Revision ListedTo_ = 0;
  Revision SnapshotRevision_ = 0;
  std::string SnapshotEtag_;
  // The text the patch is made against: the base's, or the latest when the
  // snapshot is younger than the base.
  std::optional<boost::json::value> BaseText_;
  ApplyOutcome Outcome_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_CONFIG_APPLYPROTOCOL_H
