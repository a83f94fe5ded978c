// What an entry knows of each endpoint, by VM name.
//
//   EndpointDirectory D;
//   PooledEndpoint &E = D.obtain(Vm("copywriter-lm-03"));
//   D.noteGone(E);
//
// An endpoint that is gone is remembered for a while, so that late word of it
// is told from new. Bound: all that are not gone, those with own attempts in
// progress, and the latest GoneKept of the gone.

#ifndef HAWTHORNROAD_ROUTING_ENDPOINTDIRECTORY_H
#define HAWTHORNROAD_ROUTING_ENDPOINTDIRECTORY_H

#include "hawthornroad/routing/EndpointPool.h"

#include <deque>
#include <unordered_map>

namespace hawthornroad {

class EndpointDirectory {
public:
  static constexpr std::size_t GoneKept = 4096;

  // Null when unknown; one that is gone may be found.
  PooledEndpoint *find(const Vm &V) const;
  // The endpoint, made when unknown.
  PooledEndpoint &obtain(const Vm &V);
  // E is gone and no own attempt runs there: it may be forgotten in its turn.
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
