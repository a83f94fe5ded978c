#include "hawthornroad/ctl/FleetStatus.h"
#include "hawthornroad/base/Error.h"
#include "hawthornroad/runtime/Http.h"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <set>

namespace hawthornroad {

namespace json = boost::json;

namespace {
// Members that are missing or of another type are read as empty, because a
// process of another release may report more or fewer of them.
std::string textOf(const json::object &Object, const char *Key) {
  const json::value *Found = Object.if_contains(Key);
  return Found != nullptr && Found->is_string()
             ? std::string(Found->get_string())
             : std::string();
}

Revision revisionOf(const json::object &Object) {
  const json::value *Found = Object.if_contains("revision");
  if (Found == nullptr)
    return 0;
  json::error_code Code;
  Revision N = Found->to_number<Revision>(Code);
  return Code ? 0 : N;
}

const json::array &listOf(const json::object &Object, const char *Key) {
  static const json::array None;
  const json::value *Found = Object.if_contains(Key);
  return Found != nullptr && Found->is_array() ? Found->get_array() : None;
}

// The control plane's report: the member "control", or the whole document.
const json::object &controlPart(const json::object &Raw) {
  const json::value *Inner = Raw.if_contains("control");
  return Inner != nullptr && Inner->is_object() ? Inner->get_object() : Raw;
}

MemberReport parseMember(const json::object &Object) {
  MemberReport M;
  M.Process_ = textOf(Object, "process");
  M.Role_ = textOf(Object, "role");
  M.Zone_ = textOf(Object, "zone");
  M.State_ = textOf(Object, "state");
  M.Address_ = textOf(Object, "address");
  M.Revision_ = revisionOf(Object);
  const json::value *Endpoint = Object.if_contains("endpoint");
  if (Endpoint != nullptr && Endpoint->is_object())
    M.Endpoint_ = Endpoint->get_object();
  M.Vm_ = textOf(M.Endpoint_, "vm");
  return M;
}

ProcessReport fetchReport(const std::string &Admin, Duration Timeout) {
  try {
    HttpResponse R = httpFetch(Admin, {.Target_ = "/status"}, Timeout);
    constexpr unsigned Ok = 200;
    if (R.Status_ == Ok)
      return parseProcessReport(Admin, R.Body_);
    return {.Admin_ = Admin,
            .Failure_ = "answered with status " + std::to_string(R.Status_)};
  } catch (const Error &E) {
    return {.Admin_ = Admin, .Failure_ = E.message()};
  }
}
} // namespace

ProcessReport parseProcessReport(const std::string &Admin,
                                 std::string_view Body) {
  ProcessReport R{.Admin_ = Admin};
  json::error_code Code;
  json::value Root = json::parse({Body.data(), Body.size()}, Code);
  if (Code || !Root.is_object()) {
    R.Failure_ = "its /status is no JSON object";
    return R;
  }
  R.Raw_ = std::move(Root.get_object());
  const json::object &Control = controlPart(R.Raw_);
  R.Process_ = textOf(Control, "process");
  R.Revision_ = revisionOf(Control);
  for (const json::value &Each : listOf(Control, "behind"))
    if (Each.is_string())
      R.Behind_.emplace_back(Each.get_string());
  for (const json::value &Each : listOf(Control, "members"))
    if (Each.is_object())
      R.Members_.push_back(parseMember(Each.get_object()));
  for (const MemberReport &Each : R.Members_)
    if (Each.Process_ == R.Process_)
      R.Vm_ = Each.Vm_;
  std::string OwnVm = textOf(R.Raw_, "vm");
  if (!OwnVm.empty())
    R.Vm_ = OwnVm;
  return R;
}

FleetStatus readFleetStatus(const std::vector<std::string> &Admins,
                            Duration Timeout) {
  FleetStatus S;
  for (const std::string &Admin : Admins)
    S.Reports_.push_back(fetchReport(Admin, Timeout));
  return S;
}

std::map<std::string, MemberReport> FleetStatus::members() const {
  std::map<std::string, MemberReport> All;
  for (const ProcessReport &Report : Reports_)
    for (const MemberReport &Each : Report.Members_)
      if (Each.Process_ == Report.Process_)
        All.insert_or_assign(Each.Process_, Each);
  std::set<std::string> SelfReported;
  for (const auto &[Process, Member] : All)
    SelfReported.insert(Process);
  for (const ProcessReport &Report : Reports_)
    for (const MemberReport &Each : Report.Members_) {
      if (SelfReported.contains(Each.Process_))
        continue;
      auto [At, IsNew] = All.emplace(Each.Process_, Each);
      if (!IsNew && Each.Revision_ > At->second.Revision_)
        At->second = Each;
    }
  return All;
}

Revision FleetStatus::highestRevision() const {
  Revision Highest = 0;
  for (const ProcessReport &Report : Reports_)
    Highest = std::max(Highest, Report.Revision_);
  for (const auto &[Process, Member] : members())
    Highest = std::max(Highest, Member.Revision_);
  return Highest;
}

std::vector<std::string> behind(const FleetStatus &S, Revision N) {
  std::set<std::string> Late;
  for (const auto &[Process, Member] : S.members())
    if (!Member.isGone() && Member.Revision_ < N)
      Late.insert(Process);
  for (const ProcessReport &Report : S.Reports_) {
    if (!Report.Failure_.empty())
      Late.insert(Report.Admin_);
    else if (Report.Revision_ < N)
      Late.insert(Report.Process_);
  }
  return {Late.begin(), Late.end()};
}

std::vector<std::string> unreachable(const FleetStatus &S, Revision N) {
  std::vector<std::string> Out;
  for (const auto &[Process, Member] : S.members())
    if (Member.State_ == "dead" && Member.Revision_ < N)
      Out.push_back(Process);
  return Out;
}

} // namespace hawthornroad
