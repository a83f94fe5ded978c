// A part of prompts that crashes engines: who sends it, and the check of how
// often engines begin on it once it could be known.
//
//   R.Parts_ = drawParts(Random, IsCrashing);
//   SoakCrashes C(Record);
//   C.add(Request, Outcome, Record);
//   if (C.isBroken()) std::cout << C.summary();
//
// The rule: later than ContactTime after the fifth crash, engines begin on at
// most MaxLate requests with the part, over all entries and their starts.

#ifndef HAWTHORNROAD_TESTS_SOAK_SOAKCRASHES_H
#define HAWTHORNROAD_TESTS_SOAK_SOAKCRASHES_H

#include "hawthornroad/base/Random.h"
#include "tests/soak/SoakRecord.h"
#include "tests/soak/SoakRequest.h"

#include <optional>
#include <string>

namespace hawthornroad {

// The parts of a prompt, as its header states them: one that all share, one of
// some kinds or the crashing part, and one of the request's own.
std::string drawParts(Random &R, bool IsCrashing);
bool hasCrashingPart(const std::string &Parts);

class SoakCrashes {
public:
  static constexpr std::size_t CrashesToKnow = 5;
  static constexpr std::size_t MaxLate = 3;

  SoakCrashes() = default;
  explicit SoakCrashes(const SoakRecord &Record);

  // Counts a request with sound parts that was sent later than twice
  // ContactTime after the fifth crash, unless its process was disrupted.
  void add(const SoakRequest &R, const SoakOutcome &O,
           const SoakRecord &Record);
  bool hasCrashes() const { return Crashes_ != 0; }
  bool isBroken() const { return Late_ > MaxLate; }
  std::string summary() const;

private:
  std::size_t Crashes_ = 0;
  std::optional<TimePoint> Fifth_;
  // Requests with the part, later than ContactTime after the fifth crash.
  std::size_t Late_ = 0;
  Duration LastAfterFifth_ = Duration::zero();
  std::size_t Sound_ = 0;
  std::size_t SoundServed_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_SOAK_SOAKCRASHES_H
