// What the processes of the system report about themselves and each other, as
// an operator's tool reads it: GET /status of each admin address given.
//
//   FleetStatus S = readFleetStatus({"10.0.0.5:9000"}, Seconds(2));
//   std::vector<std::string> Late = behind(S, 7);
//
// A process that does not answer is part of the result, not an error: the tool
// is used exactly when some do not.

#ifndef HAWTHORNROAD_CTL_FLEETSTATUS_H
#define HAWTHORNROAD_CTL_FLEETSTATUS_H

#include "hawthornroad/base/Types.h"

#include <boost/json/object.hpp>
#include <map>
#include <string>
#include <vector>

namespace hawthornroad {

// One process as the others see it.
struct MemberReport {
  std::string Process_;
  std::string Role_;
  std::string Zone_;
  // "alive", "suspect", "left", "dead", in the words of /status.
  std::string State_;
  std::string Address_;
  Revision Revision_ = 0;
  std::string Vm_;
  // The endpoint's report, empty when there is none.
  boost::json::object Endpoint_;

  // Whether it has left or counts as dead.
  bool isGone() const { return State_ == "left" || State_ == "dead"; }
};

// The answer of one admin address.
struct ProcessReport {
  std::string Admin_;
  // Empty, or why there is no answer.
  std::string Failure_;
  std::string Process_;
  std::string Vm_;
  Revision Revision_ = 0;
  std::vector<std::string> Behind_;
  std::vector<MemberReport> Members_;
  // The whole /status as it came.
  boost::json::object Raw_;
};

struct FleetStatus {
  std::vector<ProcessReport> Reports_;

  // Each process once, by name: in its own word where it was asked, else in
  // the word of the report that knows the highest revision of it.
  std::map<std::string, MemberReport> members() const;
  Revision highestRevision() const;
};

ProcessReport parseProcessReport(const std::string &Admin,
                                 std::string_view Body);
// Asks every address in turn; Timeout bounds each answer.
FleetStatus readFleetStatus(const std::vector<std::string> &Admins,
                            Duration Timeout);

// The processes that have not applied revision N, and the admin addresses that
// do not answer (which cannot be known to have applied it).
std::vector<std::string> behind(const FleetStatus &S, Revision N);
// The processes that count as dead and were last heard of below revision N. A
// dead VM must not hold up an operator for ever, yet a zone that is cut off
// looks the same from outside and may go on serving with an old revision: so
// these are named, apart from those that are behind.
std::vector<std::string> unreachable(const FleetStatus &S, Revision N);

} // namespace hawthornroad

#endif // HAWTHORNROAD_CTL_FLEETSTATUS_H
