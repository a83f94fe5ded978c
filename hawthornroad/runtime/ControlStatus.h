// The control plane's section of /status, which operators and hawthornroadctl
// read:
//
//   {"process": P, "incarnation": I, "ready": B, "reader": B,
//    "revision": R,             // in force in this process
//    "held": R, "highest": R,   // held here; highest known to exist
//    "refusal": TEXT,           // why the held text is not in force, or ""
//    "behind": [P, ...],        // live members where R < highest is in force
//    "members": [{"process", "state", "role", "zone", "address",
//                 "incarnation", "revision", "endpoint": {...}}, ...],
//    "platform": {"reads", "failures", "failures_in_row", "answered_ms_ago"}}
//
// This process is the first of the members. "answered_ms_ago" is -1 until the
// platform has answered; in a process that is not a reader it keeps growing.

#ifndef HAWTHORNROAD_RUNTIME_CONTROLSTATUS_H
#define HAWTHORNROAD_RUNTIME_CONTROLSTATUS_H

#include "hawthornroad/config/ConfigFollower.h"
#include "hawthornroad/membership/MemberTable.h"

#include <boost/json/object.hpp>

namespace hawthornroad {

struct ControlView {
  const MemberTable &Table_;
  const ConfigFollower &Follower_;
  Revision InForce_ = 0;
  std::string Refusal_;
  bool Ready_ = false;
  bool IsReader_ = false;
};

boost::json::object controlStatus(const ControlView &View, TimePoint Now);

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_CONTROLSTATUS_H
