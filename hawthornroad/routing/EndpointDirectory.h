// The state of all endpoints known to an entry, by VM name.
//
//   EndpointDirectory D;
//   PooledEndpoint &E = D.obtain(Vm("copywriter-lm-03"));
//   D.noteGone(E);
//
// Endpoints that are gone are kept for a while, so that late reports of them
// can be told from new ones. Limit: all endpoints that are not gone, those with
// own attempts in progress, and the latest MaxGone of the others.

#ifndef HAWTHORNROAD_ROUTING_ENDPOINTDIRECTORY_H
#define HAWTHORNROAD_ROUTING_ENDPOINTDIRECTORY_H

#include "hawthornroad/routing/EndpointPool.h"

#include <deque>
#include <unordered_map>

namespace hawthornroad {

class EndpointDirectory {
public:
  static constexpr std::size_t MaxGone = 4096;

  // Null when unknown; may return an endpoint that is gone.
  PooledEndpoint *find(const Vm &V) const;
  // The endpoint, created when unknown.
  PooledEndpoint &obtain(const Vm &V);
  // E is gone and has no own attempts in progress: it becomes eligible for
  // eviction, oldest first.
  void noteGone(const PooledEndpoint &E);
  const EndpointSlots &slots() const { return Slots_; }

private:
  void forget(const Vm &V);

  EndpointSlots Slots_;
  std::vector<std::size_t> FreeSlots_;
  std::unordered_map<Vm, std::size_t> ByVm_;
  // Oldest first.
  std::deque<Vm> Gone_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_ENDPOINTDIRECTORY_H
