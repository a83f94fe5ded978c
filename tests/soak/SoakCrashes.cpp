#include "tests/soak/SoakCrashes.h"

#include "tests/soak/SoakFate.h"

#include <sstream>

namespace hawthornroad {

namespace {
constexpr auto SharedPart = "5a5a0001:20";
constexpr auto CrashingPart = "bad0bad1:2000";
constexpr std::uint64_t Kinds = 40;
constexpr std::uint64_t FirstKind = 10;
constexpr unsigned Ok = 200;
} // namespace

std::string drawParts(Random &R, bool IsCrashing) {
  std::ostringstream Out;
  Out << SharedPart << ',';
  if (IsCrashing)
    Out << CrashingPart;
  else
    Out << "5a5b00" << FirstKind + R.below(Kinds) << ":2000";
  // Hexadecimal digits.
  Out << ",7" << 1000000 + R.below(1000000) << ":30";
  return Out.str();
}

bool hasCrashingPart(const std::string &Parts) {
  return Parts.find(CrashingPart) != std::string::npos;
}

SoakCrashes::SoakCrashes(const SoakRecord &Record) {
  std::vector<TimePoint> Crashes = Record.engineCrashes();
  Crashes_ = Crashes.size();
  if (Crashes_ < CrashesToKnow)
    return;
  Fifth_ = Crashes[CrashesToKnow - 1];
  for (TimePoint Each : Record.crashingPartBegins()) {
    LastAfterFifth_ = std::max(LastAfterFifth_, Each - *Fifth_);
    Late_ += Each > *Fifth_ + ContactTime ? 1 : 0;
  }
}

void SoakCrashes::add(const SoakRequest &R, const SoakOutcome &O,
                      const SoakRecord &Record) {
  if (!Fifth_ || R.Parts_.empty() || hasCrashingPart(R.Parts_) ||
      R.SentAt_ <= *Fifth_ + 2 * ContactTime)
    return;
  if (Record.isDisrupted(R.entry(), R.SentAt_ - ContactTime, O.EndedAt_))
    return;
  ++Sound_;
  bool IsServed = O.End_ == SoakOutcome::End::Whole && O.Answer_.Status_ == Ok;
  SoundServed_ += IsServed ? 1 : 0;
}

std::string SoakCrashes::summary() const {
  std::ostringstream Out;
  Out << Crashes_ << " crashes; " << Late_
      << " requests with the part later than " << ContactTime / Seconds(1)
      << " s after the fifth, the last one "
      << LastAfterFifth_ / Milliseconds(1) << " ms after it; of " << Sound_
      << " sound prompts after twice that time " << SoundServed_ << " served";
  return Out.str();
}

} // namespace hawthornroad
