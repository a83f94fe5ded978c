#include "hawthornroad/ctl/CutTable.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <set>
#include <utility>

namespace hawthornroad {

namespace {
struct Pause {
  double EndedAt_ = 0;
  double Milliseconds_ = 0;
};
using RunOfProcess = std::pair<std::string, unsigned>;
using PausesByRun = std::map<RunOfProcess, std::vector<Pause>>;

// What is counted before the median is known.
struct Samples {
  CutCount Count_;
  std::vector<double> SilentMs_;
};

PausesByRun pausesOf(const LogTimeline &Timeline) {
  PausesByRun Out;
  for (const LogEvent &E : Timeline.events())
    if (E.kind() == "paused")
      Out[{E.Process_, E.Run_}].push_back(
          {E.MonotonicTime_, E.number("gap_ms")});
  return Out;
}

// The longest pause of the event's process within PauseMemorySeconds before it.
double pauseBefore(const PausesByRun &Pauses, const LogEvent &E) {
  auto Found = Pauses.find({E.Process_, E.Run_});
  if (Found == Pauses.end())
    return 0;
  double Longest = 0;
  for (const Pause &P : Found->second) {
    double Age = E.MonotonicTime_ - P.EndedAt_;
    if (Age >= 0 && Age <= CutTable::PauseMemorySeconds)
      Longest = std::max(Longest, P.Milliseconds_);
  }
  return Longest;
}

bool isEndedHere(const LogEvent &E) {
  static const std::set<std::string> OwnReasons = {"silent",
                                                   "the endpoint restarted"};
  std::string What = E.text("what");
  return What == "cancelled" ||
         (What == "failed" && OwnReasons.contains(E.text("why")));
}

void add(const LogEvent &E, double PauseMs, Samples &S) {
  CutCount &C = S.Count_;
  ++C.Count_;
  if (E.has("silent_ms"))
    S.SilentMs_.push_back(E.number("silent_ms"));
  if (PauseMs > 0)
    ++C.Paused_;
  C.LongestPauseMs_ = std::max(C.LongestPauseMs_, PauseMs);
  if (C.Example_.empty())
    C.Example_ = E.text("request");
}

std::map<std::string, CutCount>
summarize(std::map<std::string, Samples> ByReason) {
  std::map<std::string, CutCount> Out;
  for (auto &[Reason, S] : ByReason) {
    if (!S.SilentMs_.empty()) {
      std::sort(S.SilentMs_.begin(), S.SilentMs_.end());
      S.Count_.MedianSilentMs_ = S.SilentMs_[(S.SilentMs_.size() - 1) / 2];
      S.Count_.MaxSilentMs_ = S.SilentMs_.back();
    }
    Out[Reason] = std::move(S.Count_);
  }
  return Out;
}

std::size_t sum(const std::map<std::string, CutCount> &All) {
  std::size_t Out = 0;
  for (const auto &[Reason, C] : All)
    Out += C.Count_;
  return Out;
}

std::string millisText(double Milliseconds) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.0f ms", Milliseconds);
  return Text.data();
}
} // namespace

std::size_t CutTable::answers() const { return sum(Answers_); }

std::size_t CutTable::attempts() const { return sum(Attempts_); }

CutTable cutTableOf(const LogTimeline &Timeline) {
  PausesByRun Pauses = pausesOf(Timeline);
  std::map<std::string, Samples> Answers;
  std::map<std::string, Samples> Attempts;
  for (const LogEvent &E : Timeline.events()) {
    std::string Kind = E.kind();
    if (Kind == "answer_cut")
      add(E, E.number("paused_ms"), Answers[E.text("why")]);
    else if (Kind == "attempt" && isEndedHere(E))
      add(E, pauseBefore(Pauses, E), Attempts[E.text("why")]);
  }
  return {summarize(std::move(Answers)), summarize(std::move(Attempts))};
}

std::string describe(const std::string &Reason, const CutCount &C) {
  std::string Out = std::to_string(C.Count_) + "  " + Reason;
  if (C.MedianSilentMs_)
    Out += "  last byte " + millisText(*C.MedianSilentMs_) +
           " before (median), " + millisText(*C.MaxSilentMs_) + " (highest)";
  if (C.Paused_ > 0)
    Out += "  " + std::to_string(C.Paused_) +
           " after a pause of the process (" + millisText(C.LongestPauseMs_) +
           " at most)";
  return Out + "  (one: " + C.Example_ + ")";
}

} // namespace hawthornroad
