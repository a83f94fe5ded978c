// Reads the platform's table and its membership list for the decision modules:
// each call ends in one typed answer on the DecisionLoop's thread.
//
//   PlatformTable Table(Loop, Client, Settings);
//   Table.read(*Out.Read_, [=](ConfigAnswer A, TimePoint Now) {...});
//   Table.members([=](std::optional<std::vector<ListedVm>> L, TimePoint)
//   {...});
//
// When the platform is down, does not answer within its timeout or answers with
// invalid content, the read counts as unanswered; the caller decides when to
// retry. Answers that arrive after the owner was destroyed are dropped.

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

// A line of the platform's membership list. The list can be out of date: it is
// a hint only.
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
