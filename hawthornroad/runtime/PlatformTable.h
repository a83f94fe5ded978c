// Reads of the platform's table and of its membership list, for the decision
// modules: each call ends in one typed answer inside the DecisionLoop.
//
//   PlatformTable Table(Loop, Client, Settings);
//   Table.read(*Out.Read_, [=](ConfigAnswer A, TimePoint Now) {...});
//   Table.members([=](std::optional<std::vector<ListedVm>> L, TimePoint)
//   {...});
//
// A platform that is down, silent past its timeout or answers with something
// else than it should gives an unanswered read; the caller decides when to try
// again. Answers that come after the owner has gone are dropped.

#ifndef HAWTHORNROAD_RUNTIME_PLATFORMTABLE_H
#define HAWTHORNROAD_RUNTIME_PLATFORMTABLE_H

#include "hawthornroad/config/ConfigFollower.h"
#include "hawthornroad/config/Settings.h"
#include "hawthornroad/runtime/DecisionLoop.h"
#include "hawthornroad/runtime/Http.h"

#include <functional>
#include <optional>
#include <vector>

namespace hawthornroad {

// A line of the platform's membership list. It lags: a hint, never the truth.
struct ListedVm {
  Vm Vm_;
  PeerAddress Peer_;
  bool Leaving_ = false;
};

class PlatformTable {
public:
  using ReadDone = std::function<void(ConfigAnswer, TimePoint)>;
  // Nullopt when the platform did not answer.
  using MembersDone =
      std::function<void(std::optional<std::vector<ListedVm>>, TimePoint)>;

  PlatformTable(DecisionLoop &Loop, HttpClient &Client, PlatformSettings S);

  void read(const ConfigRead &Read, ReadDone Done);
  void members(MembersDone Done);

private:
  void fetch(const std::string &Address, const std::string &Target,
             std::function<void(HttpResult, TimePoint)> Done);

  DecisionLoop &Loop_;
  HttpClient &Client_;
  PlatformSettings Settings_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_PLATFORMTABLE_H
