// The ids of attempts that are over for an agent: refused ones, which it has
// promised not to run, and those that ran and are forgotten otherwise.
//
//   PastAttempts P(Minutes(20), 262144);
//   P.addRefused(Attempt, AttemptRefusal::Draining, Now);
//   if (auto Fate = P.find(Attempt)) ...   // its Begin must not run now
//
// "Not run" must stay true. A Begin that was refused, cancelled or denied may
// still arrive, or arrive again, by an old path after room has been found, and
// would then run although the entry has sent the request elsewhere. And an
// entry that was frozen may ask after an attempt that ran and ended long ago:
// "never seen" would let it tell its caller "not run". So every id is kept for
// Keep, longer than any request may last.
// Bound: at most Max ids (about 100 bytes each); beyond it the oldest is
// forgotten early and counted.

#ifndef HAWTHORNROAD_ROUTING_PASTATTEMPTS_H
#define HAWTHORNROAD_ROUTING_PASTATTEMPTS_H

#include "hawthornroad/routing/AttemptMessages.h"

#include <deque>
#include <unordered_map>

namespace hawthornroad {

class PastAttempts {
public:
  // Refusal_ is empty when the attempt ran.
  struct Fate {
    std::optional<AttemptRefusal> Refusal_;
    bool operator==(const Fate &) const = default;
  };

  PastAttempts(Duration Keep, std::size_t Max) : Keep_(Keep), Max_(Max) {}

  // The first fate told of an attempt stands.
  void addRefused(const AttemptId &Attempt, AttemptRefusal Reason,
                  TimePoint Now);
  void addRan(const AttemptId &Attempt, TimePoint Now);
  std::optional<Fate> find(const AttemptId &Attempt) const;
  void expire(TimePoint Now);

  std::size_t size() const { return Fates_.size(); }
  std::uint64_t forgottenEarly() const { return ForgottenEarly_; }

private:
  struct Entry {
    AttemptId Attempt_;
    TimePoint Until_;
  };
  void add(const AttemptId &Attempt, Fate F, TimePoint Now);
  void forgetOldest();

  Duration Keep_;
  std::size_t Max_;
  std::unordered_map<AttemptId, Fate> Fates_;
  // Oldest first.
  std::deque<Entry> Order_;
  std::uint64_t ForgottenEarly_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_PASTATTEMPTS_H
