// The ids of attempts that have ended at an agent: refused ones, which it has
// promised not to run, and finished ones that have no other record.
//
//   PastAttempts P(Minutes(20), 262144);
//   P.addRefused(Attempt, AttemptRefusal::Draining, Now);
//   if (auto State = P.find(Attempt)) ...   // a Begin for it must not run
//
// This keeps a "not run" statement true. A Begin that was refused, cancelled or
// denied may arrive late, or again over an old connection, when the agent has a
// free slot, and would then run although the entry has sent the request
// elsewhere. An entry that was frozen may also query an attempt that ended long
// ago: the reply "never seen" would let it report "not run" to its caller. So
// every id is kept for Keep, which exceeds the lifetime of any request.
// Limit: at most Max ids, about 100 bytes each; beyond that the oldest id is
// evicted early and counted.

#ifndef HAWTHORNROAD_ROUTING_PASTATTEMPTS_H
#define HAWTHORNROAD_ROUTING_PASTATTEMPTS_H

#include "hawthornroad/routing/AttemptMessages.h"

#include <deque>
#include <unordered_map>

namespace hawthornroad {

class PastAttempts {
public:
  // Refusal_ is empty when the attempt ran.
  struct FinalState {
    std::optional<AttemptRefusal> Refusal_;
    bool operator==(const FinalState &) const = default;
  };

  PastAttempts(Duration Keep, std::size_t Max) : Keep_(Keep), Max_(Max) {}

  // The first final state recorded for an attempt stands.
  void addRefused(const AttemptId &Attempt, AttemptRefusal Reason,
                  TimePoint Now);
  void addRan(const AttemptId &Attempt, TimePoint Now);
  std::optional<FinalState> find(const AttemptId &Attempt) const;
  void expire(TimePoint Now);

  std::size_t size() const { return FinalStates_.size(); }
  std::uint64_t evictedEarly() const { return EvictedEarly_; }

private:
  struct Entry {
    AttemptId Attempt_;
    TimePoint Until_;
  };
  void add(const AttemptId &Attempt, FinalState F, TimePoint Now);
  void evictOldest();

  Duration Keep_;
  std::size_t Max_;
  std::unordered_map<AttemptId, FinalState> FinalStates_;
  // Oldest first.
  std::deque<Entry> Order_;
  std::uint64_t EvictedEarly_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_PASTATTEMPTS_H
