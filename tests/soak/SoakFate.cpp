#include "tests/soak/SoakFate.h"

#include "tests/soak/SoakCrashes.h"

#include <algorithm>
#include <sstream>

namespace hawthornroad {

namespace {
// A request that is sent later than this after the stop signal must end before
// the stop bound.
constexpr Duration AcceptedAfterStop = Seconds(3);
constexpr int LastPart = 6;

bool isStopBoundReached(const SoakRequest &R, const SoakOutcome &O,
                        const SoakRecord &Record,
                        const std::vector<SoakRun> &Runs, Duration StopBound) {
  std::vector<TimePoint> Signals = Record.stopSignals(R.Process_);
  if (Signals.empty() || R.SentAt_ > Signals[0] + AcceptedAfterStop)
    return false;
  TimePoint LastPartFrom = Signals[0] + StopBound - StopBound / LastPart;
  return O.EndedAt_ >= LastPartFrom &&
         std::any_of(Runs.begin(), Runs.end(), [&](const SoakRun &Each) {
           return Each.From_ <= Signals[0] + StopBound &&
                  Each.To_ >= LastPartFrom;
         });
}

// What happened to runs that ended earlier does not excuse the end of a later
// one; two may run side by side. Null without a run.
const SoakRun *lastEndedRun(const std::vector<SoakRun> &Runs) {
  const SoakRun *Out = nullptr;
  for (const SoakRun &Each : Runs)
    if (Each.End_ != SoakRun::End::Rejected &&
        (Out == nullptr || Each.To_ >= Out->To_))
      Out = &Each;
  return Out;
}

long milliseconds(Duration D) { return D / Milliseconds(1); }

const char *endName(SoakRun::End E) {
  switch (E) {
  case SoakRun::End::AtWork:
    return "at work";
  case SoakRun::End::Whole:
    return "whole";
  case SoakRun::End::BrokenOff:
    return "broken off";
  case SoakRun::End::Cut:
    return "cut";
  case SoakRun::End::Rejected:
    return "rejected";
  }
  return "";
}
} // namespace

SoakFate fateOf(const SoakRequest &R, const SoakOutcome &O,
                const SoakRecord &Record, Duration StopBound) {
  if (O.End_ == SoakOutcome::End::Whole)
    return SoakFate::Whole;
  if (O.End_ == SoakOutcome::End::Refused)
    return SoakFate::Refused;
  std::vector<SoakRun> Runs = Record.runs(R.Id_);
  bool IsAccepted =
      !Runs.empty() || (O.WrittenAt_ && O.EndedAt_ > *O.WrittenAt_ + LostSlack);
  if (!IsAccepted)
    return SoakFate::NotTaken;
  TimePoint From = R.SentAt_ - ContactTime;
  if (Record.isDisrupted(R.entry(), From, O.EndedAt_))
    return SoakFate::ProcessDisrupted;
  const SoakRun *Last = lastEndedRun(Runs);
  if (Last != nullptr && Last->End_ == SoakRun::End::BrokenOff &&
      Last->To_ <= O.EndedAt_)
    return SoakFate::EndpointBrokeOff;
  if (hasCrashingPart(R.Parts_) && !Record.engineCrashes().empty())
    return SoakFate::CrashingPart;
  if (Last != nullptr && Record.isDisrupted(Last->Endpoint_, From, O.EndedAt_))
    return SoakFate::PathCut;
  if (isStopBoundReached(R, O, Record, Runs, StopBound))
    return SoakFate::StopBoundReached;
  if (O.EndedAt_ >= R.SentAt_ + std::min(R.Deadline_, R.Timeout_))
    return SoakFate::DeadlineReached;
  return SoakFate::Lost;
}

std::string describe(const SoakRequest &R, const SoakOutcome &O,
                     const SoakRecord &Record) {
  auto At = [&](TimePoint T) {
    return std::to_string(milliseconds(T - R.SentAt_)) + " ms";
  };
  std::ostringstream Out;
  Out << R.Id_ << " at " << R.Process_ << ": lost: sent on a "
      << (O.IsKept_ ? "kept" : "new") << " connection, last byte at "
      << (O.WrittenAt_ ? At(*O.WrittenAt_) : "no time") << ", ended at "
      << At(O.EndedAt_) << " (" << O.Error_ << ") with status "
      << O.Answer_.Status_ << " and " << O.Answer_.Body_.size()
      << " bytes of the body";
  for (const SoakRun &Each : Record.runs(R.Id_))
    Out << "; at " << Each.Endpoint_ << " from " << At(Each.From_) << " to "
        << (Each.End_ == SoakRun::End::AtWork ? "the end" : At(Each.To_))
        << ", " << endName(Each.End_);
  for (TimePoint Each : Record.stopSignals(R.Process_))
    Out << "; stop signal at " << At(Each);
  return Out.str();
}

} // namespace hawthornroad
