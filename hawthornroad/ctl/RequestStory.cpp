#include "hawthornroad/ctl/RequestStory.h"

#include <array>
#include <cstdio>
#include <utility>

namespace hawthornroad {

namespace {
constexpr double MillisPerSecond = 1000;
constexpr double MinErrorStatus = 400;

std::string millisText(double Milliseconds) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.0f ms", Milliseconds);
  return Text.data();
}

void addAttempt(const LogEvent &E, double AtMs, RequestStory &S) {
  std::string Ordinal = E.text("ordinal");
  if (E.text("what") == "begun") {
    S.Attempts_.push_back({Ordinal, E.text("endpoint"), AtMs});
    return;
  }
  for (AttemptSpan &A : S.Attempts_) {
    if (A.EndedMs_ || A.Ordinal_ != Ordinal ||
        A.Endpoint_ != E.text("endpoint"))
      continue;
    A.EndedMs_ = AtMs;
    A.End_ = E.text("what");
    A.Why_ = E.text("why");
    if (E.has("silent_ms"))
      A.SilentMs_ = E.number("silent_ms");
    return;
  }
}

void markConcurrent(std::vector<AttemptSpan> &All) {
  for (std::size_t I = 0; I < All.size(); ++I)
    for (std::size_t J = I + 1; J < All.size(); ++J)
      if (!All[I].EndedMs_ || *All[I].EndedMs_ > All[J].BegunMs_)
        All[I].IsBesideOther_ = All[J].IsBesideOther_ = true;
}

// How the process ended, for a request without an end line of its own.
RequestEnd endOfProcess(const LogTimeline &Timeline, const LogEvent &LastLine) {
  bool IsStopping = false;
  bool HasStopped = false;
  for (const LogEvent *E : Timeline.endOfRun(LastLine)) {
    if (E->kind() == "start")
      return IsStopping ? RequestEnd::ProcessStopped : RequestEnd::ProcessEnded;
    IsStopping = true;
    HasStopped = HasStopped || E->kind() == "stop";
  }
  return HasStopped ? RequestEnd::ProcessStopped : RequestEnd::Unknown;
}

RequestStory storyOf(const LogTimeline &Timeline,
                     const std::vector<LogEvent> &Events) {
  RequestStory S;
  S.Process_ = Events.front().Process_;
  bool HasEnded = false;
  for (const LogEvent &E : Events) {
    double AtMs =
        (E.MonotonicTime_ - Events.front().MonotonicTime_) * MillisPerSecond;
    if (E.kind() == "attempt")
      addAttempt(E, AtMs, S);
    if (E.kind() == "answer_cut") {
      S.End_ = RequestEnd::Cut;
      S.Detail_ = E.text("why");
    }
    if (E.kind() != "request")
      continue;
    HasEnded = true;
    if (S.End_ == RequestEnd::Cut)
      continue;
    // Earlier versions write no line "answer_cut".
    bool IsCut = E.number("status") < MinErrorStatus &&
                 E.text("cause") != "none" && E.text("caller_gone") != "true";
    S.End_ = IsCut ? RequestEnd::Cut : RequestEnd::Answered;
    S.Detail_ =
        IsCut ? E.text("cause") : E.text("status") + " " + E.text("cause");
  }
  if (!HasEnded && S.End_ != RequestEnd::Cut)
    S.End_ = endOfProcess(Timeline, Events.back());
  markConcurrent(S.Attempts_);
  return S;
}
} // namespace

std::vector<RequestStory> storiesOf(const LogTimeline &Timeline,
                                    const std::string &Id) {
  std::vector<RequestStory> Out;
  for (const auto &Events : Timeline.linesOfRequest(Id))
    Out.push_back(storyOf(Timeline, Events));
  return Out;
}

std::string describe(const AttemptSpan &A) {
  std::string Out = "attempt " + A.Ordinal_ + " at " + A.Endpoint_ + ": from " +
                    millisText(A.BegunMs_);
  if (!A.EndedMs_)
    Out += ", no end";
  else
    Out += " to " + millisText(*A.EndedMs_) + ", " + A.End_;
  if (!A.Why_.empty())
    Out += " (" + A.Why_ + ")";
  if (A.SilentMs_)
    Out += ", silent for " + millisText(*A.SilentMs_);
  if (A.IsBesideOther_)
    Out += ", beside another attempt";
  return Out;
}

std::string describeEnd(const RequestStory &S) {
  switch (S.End_) {
  case RequestEnd::Answered:
    return S.Process_ + ": ended, " + S.Detail_;
  case RequestEnd::Cut:
    return S.Process_ + ": its answer was cut here: " + S.Detail_;
  case RequestEnd::ProcessStopped:
    return S.Process_ + ": its process ended before it, by a planned stop";
  case RequestEnd::ProcessEnded:
    return S.Process_ +
           ": its process ended before it, without a line \"stopping\"";
  case RequestEnd::Unknown:
    break;
  }
  return S.Process_ + ": no line says how it ended";
}

} // namespace hawthornroad
