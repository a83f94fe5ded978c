#include "hawthornroad/config/ApplyProtocol.h"
#include "hawthornroad/base/Error.h"
#include "hawthornroad/config/MergePatch.h"

#include <algorithm>

namespace hawthornroad {

namespace {
// These enums list their values in the order of chartNames().
enum State : std::size_t {
  ReadingSnapshot,
  Listing,
  Creating,
  ReadingBack,
  Accepted,
  Unchanged,
  Conflict,
  Refused,
  Unavailable,
  Unknown
};
enum Event : std::size_t {
  Read,
  Listed,
  Created,
  Exists,
  Lost,
  Ours,
  Others,
  Absent,
  Failed
};
enum Guard : std::size_t {
  MayRetry,
  ChangeIsUsedOtherwise,
  ChangeIsAccepted,
  BaseIsUnknown,
  BaseIsOld,
  NothingChanges,
  MayHaveLanded
};
enum Action : std::size_t { ReadSnapshot, List, Create, ReadBack };

constexpr Duration FirstDelay = Milliseconds(100);
constexpr Duration MaxDelay = Seconds(2);
constexpr double DelaySpread = 0.5;
} // namespace

ChartNames ApplyProtocol::chartNames() {
  return {.States_ = {"reading_snapshot", "listing", "creating", "reading_back",
                      "accepted", "unchanged", "conflict", "refused",
                      "unavailable", "unknown"},
          .Events_ = {"read", "listed", "created", "exists", "lost", "ours",
                      "others", "absent", "failed"},
          .Guards_ = {"may_retry", "change_is_used_otherwise",
                      "change_is_accepted", "base_is_unknown", "base_is_old",
                      "nothing_changes", "may_have_landed"},
          .Actions_ = {"read_snapshot", "list", "create", "read_back"}};
}

ApplyProtocol::ApplyProtocol(const Chart &C, ApplyRequest R, Random &Rng)
    : Chart_(C), Request_(std::move(R)), Random_(Rng), State_(C.initial()) {}

TableCall ApplyProtocol::start() { return callFor(ReadSnapshot); }

std::optional<TableCall> ApplyProtocol::onAnswer(const TableAnswer &A) {
  if (Chart_.isFinal(State_))
    return std::nullopt;
  std::size_t Event = eventOf(A);
  if (Event == Failed || Event == Absent)
    ++Failures_;
  if (Event == Listed)
    makeOwnRecord();
  Chart::Step Step =
      Chart_.fire(State_, Event, [&](std::size_t G) { return holds(G); });
  State_ = Step.Next_;
  if (Chart_.isFinal(State_)) {
    setOutcome();
    return std::nullopt;
  }
  TableCall Next = callFor(Step.Actions_.front());
  if (Event == Failed || Event == Absent)
    Next.Delay_ = nextDelay();
  return Next;
}

std::size_t ApplyProtocol::eventOf(const TableAnswer &A) {
  switch (State_) {
  case ReadingSnapshot:
    return onSnapshot(A);
  case Listing:
    return onPage(A);
  case Creating:
    return onCreated(A);
  default:
    return onReadBack(A);
  }
}

std::size_t ApplyProtocol::onSnapshot(const TableAnswer &A) {
  bool Answered = A.Kind_ == TableAnswer::Kind::Done ||
                  A.Kind_ == TableAnswer::Kind::Absent;
  if (!Answered)
    return Failed;
  if (A.Kind_ == TableAnswer::Kind::Done) {
    try {
      Fold_.start(parseSnapshot(A.Value_));
      SnapshotRevision_ = Fold_.revision();
    } catch (const Error &) {
      // Snapshots only save reads: without a valid one, all records are listed.
      Fold_ = RevisionFold();
    }
    SnapshotEtag_ = A.Etag_;
  }
  ListedTo_ = Fold_.revision();
  if (Request_.Base_)
    ListedTo_ = std::min(ListedTo_, *Request_.Base_);
  if (Request_.Base_ == Fold_.revision())
    BaseText_ = Fold_.text();
  return Read;
}

std::size_t ApplyProtocol::onPage(const TableAnswer &A) {
  if (A.Kind_ != TableAnswer::Kind::Done)
    return Failed;
  // A short page may be due to the table's own limit; only an empty page marks
  // the end of the list.
  if (A.Values_.empty())
    return Listed;
  for (const std::string &Value : A.Values_)
    addRecord(parseRevisionRecord(Value));
  return Read;
}

void ApplyProtocol::addRecord(RevisionRecord R) {
  if (R.Revision_ != ListedTo_ + 1)
    throw Error(Step::Apply, revisionKey(R.Revision_),
                "came after revision " + std::to_string(ListedTo_) +
                    " in the table's list");
  ListedTo_ = R.Revision_;
  if (R.Revision_ > Fold_.revision())
    Fold_.add(R);
  if (Request_.Base_ == Fold_.revision())
    BaseText_ = Fold_.text();
  if (Request_.Base_ && R.Revision_ > *Request_.Base_)
    Outcome_.Theirs_.push_back(std::move(R));
}

// Builds the record of this change once all accepted revisions are known.
void ApplyProtocol::makeOwnRecord() {
  Outcome_.Base_ = Request_.Base_.value_or(Fold_.revision());
  Outcome_.PatchBase_ = BaseText_ ? Outcome_.Base_ : Fold_.revision();
  const boost::json::value &From = BaseText_ ? *BaseText_ : Fold_.text();
  Outcome_.Ours_ = {.Revision_ = Outcome_.Base_ + 1,
                    .Change_ = Request_.Change_,
                    .Author_ = Request_.Author_,
                    .Reason_ = Request_.Reason_,
                    .Patch_ = makeMergePatch(From, Request_.Text_),
                    .Digest_ = textDigest(Request_.Text_),
                    .AcceptedMs_ = Request_.NowMs_};
}

// The table may create the record although its answer is lost. Treated as a
// failure, this would cause a retry that stores the change as a second
// revision; treated as a success, it could report a change that was never
// stored. So the write stays unconfirmed until a read of the same key shows
// whose record it holds.
std::size_t ApplyProtocol::onCreated(const TableAnswer &A) {
  switch (A.Kind_) {
  case TableAnswer::Kind::Done:
    return Created;
  case TableAnswer::Kind::Refused:
    return Exists;
  case TableAnswer::Kind::NotSent:
    return Failed;
  default:
    WriteUnconfirmed_ = true;
    return Lost;
  }
}

std::size_t ApplyProtocol::onReadBack(const TableAnswer &A) {
  if (A.Kind_ == TableAnswer::Kind::Absent)
    return Absent;
  if (A.Kind_ != TableAnswer::Kind::Done)
    return Failed;
  RevisionRecord Found = parseRevisionRecord(A.Value_);
  if (Found.Change_ == Request_.Change_)
    return Ours;
  Outcome_.Theirs_.push_back(std::move(Found));
  return Others;
}

const RevisionRecord *ApplyProtocol::ownRecord() const {
  for (const RevisionRecord &Each : Outcome_.Theirs_)
    if (Each.Change_ == Request_.Change_)
      return &Each;
  return nullptr;
}

bool ApplyProtocol::holds(std::size_t Guard) const {
  const RevisionRecord *Own = ownRecord();
  switch (Guard) {
  case MayRetry:
    return Failures_ < MaxFailures;
  case ChangeIsUsedOtherwise:
    return Own != nullptr && Own->Digest_ != Outcome_.Ours_.Digest_;
  case ChangeIsAccepted:
    return Own != nullptr;
  case BaseIsUnknown:
    return Outcome_.Base_ > Fold_.revision();
  case BaseIsOld:
    return Outcome_.Base_ < Fold_.revision();
  case NothingChanges:
    return Outcome_.Ours_.Patch_.as_object().empty();
  default:
    return WriteUnconfirmed_;
  }
}

TableCall ApplyProtocol::callFor(std::size_t Action) {
  TableCall Call;
  switch (Action) {
  case ReadSnapshot:
    Call.Key_ = SnapshotKey;
    break;
  case List:
    Call.Kind_ = TableCall::Kind::List;
    Call.Key_ = revisionKey(ListedTo_);
    break;
  case Create:
    Call.Kind_ = TableCall::Kind::Create;
    Call.Key_ = revisionKey(Outcome_.Ours_.Revision_);
    Call.Value_ = toText(Outcome_.Ours_);
    break;
  default:
    Call.Key_ = revisionKey(Outcome_.Ours_.Revision_);
  }
  return Call;
}

Duration ApplyProtocol::nextDelay() {
  int Doublings = std::max(0, Failures_ - 1);
  Duration Base = std::min(FirstDelay * (1 << Doublings), MaxDelay);
  return Random_.jitter(Base, DelaySpread);
}

void ApplyProtocol::setOutcome() {
  using Kind = ApplyOutcome::Kind;
  constexpr Kind Kinds[] = {Kind::Accepted, Kind::Unchanged,   Kind::Conflict,
                            Kind::Refused,  Kind::Unavailable, Kind::Unknown};
  Outcome_.Kind_ = Kinds[State_ - Accepted];
  Outcome_.Revision_ = Fold_.revision();
  if (Outcome_.Kind_ == Kind::Accepted) {
    const RevisionRecord *Own = ownRecord();
    Outcome_.WasAlreadyAccepted_ = Own != nullptr;
    Outcome_.Revision_ =
        Own != nullptr ? Own->Revision_ : Outcome_.Ours_.Revision_;
  }
  setMessage();
}

void ApplyProtocol::setMessage() {
  std::string Base = std::to_string(Outcome_.Base_);
  std::string Latest = std::to_string(Fold_.revision());
  std::string Change = "change " + Request_.Change_;
  switch (Outcome_.Kind_) {
  case ApplyOutcome::Kind::Accepted:
    Outcome_.Message_ =
        Change + (Outcome_.WasAlreadyAccepted_ ? " was already" : " is") +
        " accepted as revision " + std::to_string(Outcome_.Revision_);
    break;
  case ApplyOutcome::Kind::Unchanged:
    Outcome_.Message_ = "revision " + Latest + " already is this text";
    break;
  case ApplyOutcome::Kind::Conflict:
    Outcome_.Message_ = "other changes were accepted after revision " + Base +
                        "; nothing was written";
    break;
  case ApplyOutcome::Kind::Refused:
    Outcome_.Message_ =
        ownRecord() != nullptr
            ? Change + " was accepted earlier with another text; nothing was "
                       "written"
            : "base revision " + Base +
                  " is not in the table, whose latest "
                  "is " +
                  Latest + "; nothing was written";
    break;
  case ApplyOutcome::Kind::Unavailable:
    Outcome_.Message_ = "the table cannot be reached; this try wrote nothing";
    break;
  case ApplyOutcome::Kind::Unknown:
    Outcome_.Message_ =
        "it is not known whether " + Change + " was accepted as revision " +
        std::to_string(Outcome_.Ours_.Revision_) +
        "; apply it again with the same change id and base " + Base;
    break;
  }
}

std::optional<TableCall> ApplyProtocol::snapshotCall() const {
  bool IsDue = Outcome_.Kind_ == ApplyOutcome::Kind::Accepted &&
               !Outcome_.WasAlreadyAccepted_ &&
               Outcome_.Revision_ >= SnapshotRevision_ + SnapshotPeriod;
  if (!IsDue)
    return std::nullopt;
  TextSnapshot S{.Revision_ = Outcome_.Revision_,
                 .Text_ = Request_.Text_,
                 .Digest_ = Outcome_.Ours_.Digest_};
  TableCall Call{.Kind_ = TableCall::Kind::Create,
                 .Key_ = SnapshotKey,
                 .Value_ = toText(S)};
  // Replaces only the snapshot read at the start, which is older, so the stored
  // snapshot never moves to a lower revision.
  if (!SnapshotEtag_.empty()) {
    Call.Kind_ = TableCall::Kind::Replace;
    Call.Etag_ = SnapshotEtag_;
  }
  return Call;
}

} // namespace hawthornroad
