#include "hawthornroad/base/Error.h"
#include "hawthornroad/config/Declaration.h"
#include "hawthornroad/config/JsonText.h"
#include "hawthornroad/config/MergePatch.h"
#include "hawthornroad/config/PatchLines.h"
#include "hawthornroad/ctl/CtlCommands.h"
#include "hawthornroad/ctl/FleetStatus.h"
#include "hawthornroad/runtime/Seed.h"
#include "hawthornroad/runtime/TableClient.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <filesystem>
#include <iomanip>
#include <sstream>
#include <thread>

namespace hawthornroad {

namespace json = boost::json;

namespace {
constexpr Duration WaitPoll = Milliseconds(100);

std::int64_t wallClockMs() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

// Reads and validates a configuration file; throws TextError with all faults.
json::value readDeclared(const std::string &File) {
  std::string Text = readTextFile(File, Step::Declaration);
  parseDeclaration(Text, File);
  return toJson(parseJsonText(Text, File, Step::Declaration));
}

// The charts are in the source tree for a build, and under share/ when
// installed; a folder of that name in the current directory takes precedence.
std::string chartsFolder(const CtlOptions &O) {
  namespace fs = std::filesystem;
  if (!O.Charts_.empty())
    return O.Charts_;
  std::error_code Ignored;
  fs::path Program = fs::read_symlink("/proc/self/exe", Ignored).parent_path();
  const fs::path Candidates[] = {"charts", Program / "../charts",
                                 Program / "../share/hawthornroad/charts"};
  for (const fs::path &Each : Candidates)
    if (fs::exists(Each / "apply.json", Ignored))
      return Each.string();
  return "charts";
}

json::array linesOf(const std::vector<std::string> &Lines) {
  json::array Out;
  for (const std::string &Each : Lines)
    Out.emplace_back(Each);
  return Out;
}

json::object recordJson(const RevisionRecord &R) {
  return {{"revision", R.Revision_}, {"change", R.Change_},
          {"author", R.Author_},     {"reason", R.Reason_},
          {"patch", R.Patch_},       {"accepted_ms", R.AcceptedMs_}};
}

void printPatch(const json::value &Patch, CtlPrinter &P) {
  for (const std::string &Each : describePatch(Patch))
    P.line("  " + Each);
}

std::string titleOf(const RevisionRecord &R) {
  std::string Reason = R.Reason_.empty() ? "" : ": " + R.Reason_;
  return "revision " + std::to_string(R.Revision_) + " by " + R.Author_ +
         " (change " + R.Change_ + ")" + Reason;
}

void printConflict(const ApplyOutcome &O, CtlPrinter &P) {
  P.line("your change, against revision " + std::to_string(O.PatchBase_) + ":");
  printPatch(O.Ours_.Patch_, P);
  for (const RevisionRecord &Each : O.Theirs_) {
    P.line("accepted before it, " + titleOf(Each));
    printPatch(Each.Patch_, P);
  }
  P.line("look at both, then apply again from the latest revision");
}

std::string outcomeName(ApplyOutcome::Kind K) {
  switch (K) {
  case ApplyOutcome::Kind::Accepted:
    return "accepted";
  case ApplyOutcome::Kind::Unchanged:
    return "unchanged";
  case ApplyOutcome::Kind::Conflict:
    return "conflict";
  case ApplyOutcome::Kind::Refused:
    return "refused";
  case ApplyOutcome::Kind::Unavailable:
    return "unavailable";
  case ApplyOutcome::Kind::Unknown:
    return "unknown";
  }
  return "unknown";
}

CtlExit exitFor(ApplyOutcome::Kind K) {
  switch (K) {
  case ApplyOutcome::Kind::Accepted:
  case ApplyOutcome::Kind::Unchanged:
    return CtlExit::Done;
  case ApplyOutcome::Kind::Conflict:
    return CtlExit::Conflict;
  case ApplyOutcome::Kind::Refused:
    return CtlExit::Failed;
  case ApplyOutcome::Kind::Unavailable:
    return CtlExit::Unavailable;
  case ApplyOutcome::Kind::Unknown:
    return CtlExit::Unknown;
  }
  return CtlExit::Unknown;
}

json::object outcomeJson(const ApplyOutcome &O) {
  json::array Theirs;
  for (const RevisionRecord &Each : O.Theirs_)
    Theirs.push_back(recordJson(Each));
  return {{"outcome", outcomeName(O.Kind_)},
          {"revision", O.Revision_},
          {"base", O.Base_},
          {"change", O.Ours_.Change_},
          {"was_earlier", O.WasAlreadyAccepted_},
          {"message", O.Message_},
          {"patch_base", O.PatchBase_},
          {"ours", O.Ours_.Patch_},
          {"theirs", std::move(Theirs)}};
}

// Runs the change protocol against the table. A snapshot that is due is written
// last; its failure does not affect the result.
ApplyOutcome applyChange(ApplyRequest R, const CtlOptions &O,
                         TableClient &Table) {
  Chart C = Chart::load(chartsFolder(O), "apply", ApplyProtocol::chartNames());
  Random Rng(systemSeed());
  ApplyProtocol Protocol(C, std::move(R), Rng);
  std::optional<TableCall> Next = Protocol.start();
  while (Next)
    Next = Protocol.onAnswer(Table.perform(*Next));
  ApplyOutcome Outcome = Protocol.outcome();
  bool IsTableFailure = Outcome.Kind_ == ApplyOutcome::Kind::Unavailable ||
                        Outcome.Kind_ == ApplyOutcome::Kind::Unknown;
  if (IsTableFailure)
    Outcome.Message_ +=
        " (table " + Table.address() + ": " + Table.lastFailure() + ")";
  if (std::optional<TableCall> Snapshot = Protocol.snapshotCall())
    Table.perform(*Snapshot);
  return Outcome;
}

// Polls the processes until none is behind N or the wait ends; returns the last
// status.
FleetStatus waitFor(Revision N, const CtlOptions &O) {
  auto End = std::chrono::steady_clock::now() + *O.Wait_;
  while (true) {
    FleetStatus S = readFleetStatus(O.Admins_, O.Timeout_);
    bool IsTimeUp = std::chrono::steady_clock::now() >= End;
    if (IsTimeUp || behind(S, N).empty())
      return S;
    std::this_thread::sleep_for(WaitPoll);
  }
}

// Waits for revision N and reports the processes that have not applied it.
CtlExit waitAndReport(Revision N, const CtlOptions &O, CtlPrinter &P,
                      json::object &Result) {
  FleetStatus S = waitFor(N, O);
  std::vector<std::string> Late = behind(S, N);
  std::vector<std::string> Dead = unreachable(S, N);
  Result["behind"] = linesOf(Late);
  Result["unreachable"] = linesOf(Dead);
  for (const std::string &Each : Late)
    P.line("behind: " + Each);
  for (const std::string &Each : Dead)
    P.line("unreachable, last known below revision " + std::to_string(N) +
           ": " + Each);
  if (!Late.empty())
    return CtlExit::Behind;
  P.line("in force on every reachable process");
  return CtlExit::Done;
}

// Waits if --wait is given, and prints the complete result.
CtlExit finishChange(const ApplyOutcome &Outcome, const CtlOptions &O,
                     CtlPrinter &P) {
  json::object Result = outcomeJson(Outcome);
  CtlExit Code = exitFor(Outcome.Kind_);
  P.line(outcomeName(Outcome.Kind_) + ": " + Outcome.Message_);
  if (Outcome.Kind_ == ApplyOutcome::Kind::Conflict)
    printConflict(Outcome, P);
  if (Code == CtlExit::Done && O.Wait_)
    Code = waitAndReport(Outcome.Revision_, O, P, Result);
  Result["exit"] = static_cast<int>(Code);
  P.result(Result);
  return Code;
}

// 128 random bits in hex, so that ids of changes do not collide.
std::string newChangeId() {
  Random Rng(systemSeed());
  std::ostringstream Out;
  constexpr int Digits = 16;
  for (int Half = 0; Half < 2; ++Half)
    Out << std::hex << std::setw(Digits) << std::setfill('0') << Rng.next();
  return Out.str();
}

ApplyRequest requestOf(const CtlOptions &O, json::value Text) {
  return {.Change_ = O.Change_.empty() ? newChangeId() : O.Change_,
          .Author_ = O.Author_,
          .Reason_ = O.Reason_,
          .Text_ = std::move(Text),
          .Base_ = O.Base_,
          .NowMs_ = wallClockMs()};
}

Revision parseRevision(const std::string &Text) {
  Revision N = 0;
  const char *End = Text.data() + Text.size();
  auto Result = std::from_chars(Text.data(), End, N);
  if (Result.ec != std::errc() || Result.ptr != End || N == 0)
    throw UsageError("\"" + Text + "\": expected a revision, 1 or higher");
  return N;
}
} // namespace

CtlExit ctlValidate(const CtlOptions &O, CtlPrinter &P) {
  const std::string &File = O.Operands_.front();
  std::string Text = readTextFile(File, Step::Declaration);
  auto Declared = parseDeclaration(Text, File);
  json::value Tree = toJson(parseJsonText(Text, File, Step::Declaration));
  P.line(File + ": valid: " + std::to_string(Declared->services().size()) +
         " services, " + std::to_string(Declared->customers().size()) +
         " customers, " + std::to_string(Declared->zones().size()) + " zones");
  P.result(
      {{"outcome", "valid"}, {"file", File}, {"digest", textDigest(Tree)}});
  return CtlExit::Done;
}

CtlExit ctlDiff(const CtlOptions &O, CtlPrinter &P) {
  json::value New = readDeclared(O.Operands_.front());
  TableClient Table(O.Table_, O.Timeout_);
  RevisionFold Now = Table.latest();
  json::value Patch = makeMergePatch(Now.text(), New);
  std::vector<std::string> Lines = describePatch(Patch, &Now.text());
  P.line("against revision " + std::to_string(Now.revision()) + ", " +
         std::to_string(Lines.size()) + " changed");
  for (const std::string &Each : Lines)
    P.line("  " + Each);
  P.result({{"base", Now.revision()}, {"patch", Patch}});
  return CtlExit::Done;
}

CtlExit ctlApply(const CtlOptions &O, CtlPrinter &P) {
  json::value Text = readDeclared(O.Operands_.front());
  TableClient Table(O.Table_, O.Timeout_);
  return finishChange(applyChange(requestOf(O, std::move(Text)), O, Table), O,
                      P);
}

// A rollback does not remove a revision: it is a new change that restores the
// text of an old one, so that processes only ever move to higher revisions.
CtlExit ctlRollback(const CtlOptions &O, CtlPrinter &P) {
  Revision Target = parseRevision(O.Operands_.front());
  TableClient Table(O.Table_, O.Timeout_);
  RevisionFold Old = Table.textAt(Target);
  std::string Name = "revision " + std::to_string(Target);
  if (Old.revision() != Target)
    throw Error(Step::Apply, O.Table_, "there is no " + Name);
  // Validation may have become stricter since that revision.
  parseDeclaration(json::serialize(Old.text()), Name);
  ApplyRequest R = requestOf(O, Old.text());
  if (R.Reason_.empty())
    R.Reason_ = "rollback to " + Name;
  return finishChange(applyChange(std::move(R), O, Table), O, P);
}

CtlExit ctlHistory(const CtlOptions &O, CtlPrinter &P) {
  TableClient Table(O.Table_, O.Timeout_);
  Revision Latest = Table.latest().revision();
  Revision After = Latest > O.Limit_ ? Latest - O.Limit_ : 0;
  json::array All;
  for (const RevisionRecord &Each : Table.recordsAfter(After)) {
    P.line(formatWallClock(Each.AcceptedMs_) + "  " + titleOf(Each));
    printPatch(Each.Patch_, P);
    All.push_back(recordJson(Each));
  }
  P.result({{"revision", Latest}, {"history", std::move(All)}});
  return CtlExit::Done;
}

} // namespace hawthornroad
