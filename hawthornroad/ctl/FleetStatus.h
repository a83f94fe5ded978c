// Reads what processes report about themselves and each other: GET /status of
// each given admin address.
//
//   FleetStatus S = readFleetStatus({"10.0.0.5:9000"}, Seconds(2));
//   std::vector<std::string> Late = behind(S, 7);
//
// A process that does not answer is part of the result, not an error, because
// the tool is used when some processes are down.

#ifndef HAWTHORNROAD_CTL_FLEETSTATUS_H
#define HAWTHORNROAD_CTL_FLEETSTATUS_H

#include "hawthornroad/base/Types.h"

#include <boost/json/object.hpp>
#include <map>
#include <string>
#include <vector>

namespace hawthornroad {

// One process as a report describes it.
struct MemberReport {
  std::string Process_;
  std::string Role_;
  std::string Zone_;
  // "alive", "suspect", "left", "dead", as in /status.
  std::string State_;
  std::string Address_;
  Revision Revision_ = 0;
  std::string Vm_;
  // The endpoint's report, empty when there is none.
  boost::json::object Endpoint_;

  // Whether it has left or is considered dead.
  bool isGone() const { return State_ == "left" || State_ == "dead"; }
};

// The answer of one admin address.
struct ProcessReport {
  std::string Admin_;
  // Why there is no answer; empty when there is one.
  std::string Failure_;
  std::string Process_;
  std::string Vm_;
  Revision Revision_ = 0;
  std::vector<std::string> Behind_;
  std::vector<MemberReport> Members_;
  // The complete /status document.
  boost::json::object Raw_;
};

struct FleetStatus {
  std::vector<ProcessReport> Reports_;

  // Each process once, by name: as it reports itself where it was queried, else
  // from the report that has the highest revision for it.
  std::map<std::string, MemberReport> members() const;
  Revision highestRevision() const;
};

ProcessReport parseProcessReport(const std::string &Admin,
                                 std::string_view Body);
// Queries the addresses one after another; Timeout limits each answer.
FleetStatus readFleetStatus(const std::vector<std::string> &Admins,
                            Duration Timeout);

// The processes that have not applied revision N, and the admin addresses that
// do not answer (whether these have applied it is unknown).
std::vector<std::string> behind(const FleetStatus &S, Revision N);
// The processes considered dead whose last known revision is below N. They are
// listed apart from those that are behind: a dead VM must not block an operator
// indefinitely, yet a partitioned zone looks the same from outside and may
// still serve with an old revision.
std::vector<std::string> unreachable(const FleetStatus &S, Revision N);

} // namespace hawthornroad

#endif // HAWTHORNROAD_CTL_FLEETSTATUS_H
