// What agents tell an entry of their engines, as it happens.
//
//   EngineNews News(Io, Self, AgentPort, [](const EngineTold &T) {...});
//   News.follow({"10.0.0.7:8601", ...}, Now);     // engines' addresses
//   News.tick(Now);
//
// The store's list is a second old and says nothing of a load that is about to
// begin. An entry that knows sends the engine nothing new in time; one that
// does not has its requests turned away, and each of those costs a repeat.
//
// An agent answers on the entry's own connection, so agents need not know the
// entries. A lost connection is asked for anew after AskAgain.

#ifndef HAWTHORNROAD_ENTRY_ENGINENEWS_H
#define HAWTHORNROAD_ENTRY_ENGINENEWS_H

#include "hawthornroad/runtime/PeerNet.h"
#include "hawthornroad/runtime/PeerPace.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace hawthornroad {

struct EngineTold {
  std::string Address_;
  EnginePhase Phase_ = EnginePhase::Serving;
  std::uint64_t Version_ = 0;
};

class EngineNews {
public:
  using Handler = std::function<void(const EngineTold &)>;

  EngineNews(IoThread &Io, PeerNet::Self Self, std::string AgentPort,
             Handler H);

  // The engines to hear of from now on.
  void follow(const std::set<std::string> &Engines, TimePoint Now);
  void tick(TimePoint Now);

private:
  void ask(const std::string &Agent, TimePoint Now);

  std::string Port_;
  Handler Handler_;
  // Agents followed, and when to ask again; unset: the connection stands.
  std::map<std::string, std::optional<TimePoint>> Agents_;
  std::unique_ptr<PeerNet> Net_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ENTRY_ENGINENEWS_H
