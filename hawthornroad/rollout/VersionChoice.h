// Chooses the version that the engine of this VM should load: the wanted one,
// or one it served before.
//
//   VersionChoice Choice({}, Random);
//   Choice.setWanted(V2);
//   Choice.stage(V2, "/weights/v2");              // complete and verified
//   if (auto Target = Choice.wanted(Now)) ...     // may be loaded
//   Choice.noteFailed(V2, Now);
//   if (auto Target = Choice.fallback(Now)) ...   // served before, if staged
//
// Only staged versions are returned, so an order never names a file that was
// not verified completely. A version that failed to load is returned again
// later, with waits that double up to RetryCap_. Where the wanted version
// failed and another one can serve, the waits are long and the tries are
// limited to MaxTries_, since each try takes the endpoint out of service. Where
// no other version can serve, the waits begin short.

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

  // Sets the declared version; empty for none. A changed version clears the
  // failures.
  void setWanted(const VersionDigest &V);
  // V is staged, complete and verified, at Path; an empty Path: no longer
  // staged.
  void stage(const VersionDigest &V, const std::string &Path);
  void noteServed(const VersionDigest &V);
  void noteFailed(const VersionDigest &V, TimePoint Now);

  const VersionDigest &wantedVersion() const { return Wanted_; }
  bool isStaged(const VersionDigest &V) const { return Staged_.contains(V); }
  // The wanted version, if it is staged and may be tried now.
  std::optional<EngineTarget> wanted(TimePoint Now) const;
  // Like wanted(), if its tries are not used up.
  std::optional<EngineTarget> wantedByTurn(TimePoint Now) const;
  // The last version served before the wanted one, if staged.
  std::optional<EngineTarget> fallback(TimePoint Now) const;
  // The wanted version, if it failed to load and has not been served since.
  VersionDigest failedVersion() const;

private:
  struct Tries {
    unsigned Count_ = 0;
    TimePoint RetryAt_;
  };
  const VersionDigest &fallbackVersion() const {
    return LastServed_ == Wanted_ ? PreviousServed_ : LastServed_;
  }
  std::optional<EngineTarget> findLoadable(const VersionDigest &V,
                                           TimePoint Now) const;

  Limits Limits_;
  Random &Random_;
  VersionDigest Wanted_;
  // The version served last, and the version served before that.
  VersionDigest LastServed_;
  VersionDigest PreviousServed_;
  std::map<VersionDigest, std::string> Staged_;
  std::map<VersionDigest, Tries> Failed_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROLLOUT_VERSIONCHOICE_H
