#include "hawthornroad/runtime/ControlStatus.h"

#include <algorithm>

namespace hawthornroad {

namespace json = boost::json;

namespace {

json::object endpointStatus(const EndpointStatus &S) {
  json::array Staged;
  for (const VersionDigest &Each : S.Staged_)
    Staged.emplace_back(Each.str());
  return {{"vm", S.Vm_.str()},
          {"service", S.Service_.str()},
          {"phase", toString(S.Phase_)},
          {"version", S.Version_.str()},
          {"capacity", S.Capacity_},
          {"running", S.Running_},
          {"waiting", S.Waiting_},
          {"step_ms", S.StepMs_},
          {"rollout", S.Rollout_},
          {"staged", std::move(Staged)},
          {"failed_version", S.FailedVersion_.str()},
          {"detail", S.Detail_},
          {"sequence", S.Sequence_}};
}

json::object memberStatus(const Member &M) {
  json::object Out = {{"process", M.Process_.str()},
                      {"state", toString(M.State_)},
                      {"role", M.Role_},
                      {"zone", M.Zone_.str()},
                      {"address", M.Address_.str()},
                      {"incarnation", M.Incarnation_},
                      {"revision", M.Revision_}};
  if (M.Report_)
    Out["endpoint"] = endpointStatus(*M.Report_);
  return Out;
}

json::object platformStatus(const ConfigFollower::PlatformHealth &Health,
                            TimePoint Now) {
  std::int64_t Age = -1;
  if (Health.LastAnswer_ != TimePoint{})
    Age = std::chrono::duration_cast<Milliseconds>(Now - Health.LastAnswer_)
              .count();
  return {{"reads", Health.Reads_},
          {"failures", Health.Failures_},
          {"failures_in_row", Health.FailuresInRow_},
          {"answered_ms_ago", Age}};
}

std::vector<const Member *> everybody(const MemberTable &Table) {
  std::vector<const Member *> Out = {&Table.self()};
  for (const ProcessName &Each : Table.live())
    Out.push_back(Table.find(Each));
  for (const ProcessName &Each : Table.gone())
    Out.push_back(Table.find(Each));
  std::sort(Out.begin() + 1, Out.end(), [](const Member *A, const Member *B) {
    return A->Process_ < B->Process_;
  });
  return Out;
}

} // namespace

json::object controlStatus(const ControlView &View, TimePoint Now) {
  Revision Highest =
      std::max(View.Follower_.highestSeen(), View.Follower_.log().revision());
  std::vector<const Member *> All = everybody(View.Table_);
  for (const Member *Each : All)
    Highest = std::max(Highest, Each->Revision_);
  json::array Members;
  json::array Behind;
  for (const Member *Each : All) {
    Members.emplace_back(memberStatus(*Each));
    if (Each->isLive() && Each->Revision_ < Highest)
      Behind.emplace_back(Each->Process_.str());
  }
  return {{"process", View.Table_.self().Process_.str()},
          {"incarnation", View.Table_.self().Incarnation_},
          {"ready", View.Ready_},
          {"reader", View.IsReader_},
          {"revision", View.InForce_},
          {"held", View.Follower_.log().revision()},
          {"highest", Highest},
          {"refusal", View.Refusal_},
          {"behind", std::move(Behind)},
          {"members", std::move(Members)},
          {"platform", platformStatus(View.Follower_.platform(), Now)}};
}

} // namespace hawthornroad
