// Which version the engine of this VM should have now: the wanted one, or one
// served before.
//
//   VersionChoice Choice({}, Random);
//   Choice.setWanted(V2);
//   Choice.stage(V2, "/weights/v2");            // whole and verified
//   if (auto Wish = Choice.wanted(Now)) ...     // may be loaded
//   Choice.noteFailed(V2, Now);
//   if (auto Wish = Choice.fallback(Now)) ...   // what served before, if
//   staged
//
// Only staged versions are ever offered: an order can name no file that was
// not verified whole. A version that failed to load is offered again later,
// with waits that double up to RetryCap_. Where the wanted version failed and
// another can serve, the waits are long and the tries MaxTries_ (each takes the
// endpoint out of service); where nothing else can serve, they begin short.

#ifndef HAWTHORNROAD_ROLLOUT_VERSIONCHOICE_H
#define HAWTHORNROAD_ROLLOUT_VERSIONCHOICE_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/rollout/OrderState.h"

#include <map>
#include <optional>

namespace hawthornroad {

class VersionChoice {
public:
  struct Limits {
    Duration RetryDelay_ = Seconds(30);
    Duration EmptyRetryDelay_ = Seconds(2);
    Duration RetryCap_ = Seconds(300);
    double RetrySpread_ = 0.2;
    unsigned MaxTries_ = 3;
  };

  VersionChoice(Limits L, Random &R) : Limits_(L), Random_(R) {}

  // The declared version; empty for none. Another one than before clears the
  // failures.
  void setWanted(const VersionDigest &V);
  // V lies whole and verified at Path; an empty Path: it no longer does.
  void stage(const VersionDigest &V, const std::string &Path);
  void noteServed(const VersionDigest &V);
  void noteFailed(const VersionDigest &V, TimePoint Now);

  const VersionDigest &wantedVersion() const { return Wanted_; }
  bool isStaged(const VersionDigest &V) const { return Staged_.contains(V); }
  // The wanted version, when it is staged and may be tried now.
  std::optional<EngineWish> wanted(TimePoint Now) const;
  // As wanted(), and its tries are not used up.
  std::optional<EngineWish> wantedByTurn(TimePoint Now) const;
  // The version served last before the wanted one, when staged.
  std::optional<EngineWish> fallback(TimePoint Now) const;
  // The wanted version if it failed to load and has not been served since.
  VersionDigest failedVersion() const;

private:
  struct Tries {
    unsigned Count_ = 0;
    TimePoint RetryAt_;
  };
  const VersionDigest &fallbackVersion() const {
    return Last_ == Wanted_ ? Before_ : Last_;
  }
  std::optional<EngineWish> offer(const VersionDigest &V, TimePoint Now) const;

  Limits Limits_;
  Random &Random_;
  VersionDigest Wanted_;
  // The version served last, and the one before it.
  VersionDigest Last_;
  VersionDigest Before_;
  std::map<VersionDigest, std::string> Staged_;
  std::map<VersionDigest, Tries> Failed_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROLLOUT_VERSIONCHOICE_H
