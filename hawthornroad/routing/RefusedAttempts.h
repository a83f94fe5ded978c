// The attempts an agent has promised not to run.
//
//   RefusedAttempts R(Seconds(60), 262144);
//   R.add(Attempt, AttemptRefusal::Draining, Now);
//   if (auto Reason = R.find(Attempt)) ...   // refuse its Begin again
//
// "Not run" must stay true: a Begin that was refused, cancelled or denied may
// still arrive, or arrive again, by an old path after room has been found, and
// would then run although the entry has sent the request elsewhere. So each
// such id is kept for Keep, much longer than a frame can be under way.
// Bound: at most Max ids (about 64 bytes each); beyond it the oldest is
// forgotten early and counted.

#ifndef HAWTHORNROAD_ROUTING_REFUSEDATTEMPTS_H
#define HAWTHORNROAD_ROUTING_REFUSEDATTEMPTS_H

#include "hawthornroad/routing/AttemptMessages.h"

#include <deque>
#include <unordered_map>

namespace hawthornroad {

class RefusedAttempts {
public:
  RefusedAttempts(Duration Keep, std::size_t Max) : Keep_(Keep), Max_(Max) {}

  // The first reason stands.
  void add(const AttemptId &Attempt, AttemptRefusal Reason, TimePoint Now);
  std::optional<AttemptRefusal> find(const AttemptId &Attempt) const;
  void expire(TimePoint Now);

  std::size_t size() const { return Reasons_.size(); }
  std::uint64_t forgottenEarly() const { return ForgottenEarly_; }

private:
  struct Entry {
    AttemptId Attempt_;
    TimePoint Until_;
  };
  void forgetOldest();

  Duration Keep_;
  std::size_t Max_;
  std::unordered_map<AttemptId, AttemptRefusal> Reasons_;
  // Oldest first.
  std::deque<Entry> Order_;
  std::uint64_t ForgottenEarly_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_REFUSEDATTEMPTS_H
