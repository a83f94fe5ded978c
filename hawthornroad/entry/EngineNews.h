// What agents tell an entry of their engines, as it happens.
//
//   EngineNews News(Io, Self, AgentPort, [](const EngineTold &T) {...});
//   News.follow({{"10.0.0.7:8601", true}, ...}, Now);  // engines' addresses
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
#include "hawthornroad/traffic/TrafficCore.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace hawthornroad {

struct EngineTold {
  std::string Address_;
  EnginePhase Phase_ = EnginePhase::Serving;
  std::uint64_t Version_ = 0;
  // Unset when it was not asked for.
  std::optional<EndpointLoad> Load_;
};

class EngineNews {
public:
  using Handler = std::function<void(const EngineTold &)>;

  EngineNews(IoThread &Io, PeerNet::Self Self, std::string AgentPort,
             Handler H);

  // The engines to hear of from now on; true: of their load too, which costs a
  // frame several times a second.
  void follow(const std::map<std::string, bool> &Engines, TimePoint Now);
  void tick(TimePoint Now);
  // Weights up to this version have been named: agents are told, for one whose
  // own question to the store is held or lost would hear of it late.
  void setNewest(std::uint64_t Version);

private:
  struct Agent {
    bool WantsLoads_ = false;
    // When to ask again; unset: the connection stands.
    std::optional<TimePoint> AskAt_;
  };
  void ask(const std::string &Address, Agent &A);

  std::string Port_;
  Handler Handler_;
  std::uint64_t Newest_ = 0;
  std::map<std::string, Agent> Agents_;
  std::unique_ptr<PeerNet> Net_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ENTRY_ENGINENEWS_H
