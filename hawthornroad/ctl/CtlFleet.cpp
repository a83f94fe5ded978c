#include "hawthornroad/base/Error.h"
#include "hawthornroad/config/Declaration.h"
#include "hawthornroad/ctl/CtlCommands.h"
#include "hawthornroad/ctl/FleetStatus.h"
#include "hawthornroad/runtime/Http.h"
#include "hawthornroad/runtime/TableClient.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace hawthornroad {

namespace json = boost::json;

namespace {
std::string padded(std::string Text, std::size_t Width) {
  Text.resize(std::max(Text.size() + 1, Width), ' ');
  return Text;
}

std::string textOf(const json::object &Object, const char *Key) {
  const json::value *Found = Object.if_contains(Key);
  if (Found == nullptr)
    return "";
  return Found->is_string() ? std::string(Found->get_string())
                            : json::serialize(*Found);
}

std::string endpointLine(const json::object &Endpoint) {
  if (Endpoint.empty())
    return "";
  std::string Line = textOf(Endpoint, "service") + " " +
                     textOf(Endpoint, "phase") + ", " +
                     textOf(Endpoint, "running") + "/" +
                     textOf(Endpoint, "capacity") + " running";
  for (const char *Key : {"version", "rollout", "detail"})
    if (std::string Text = textOf(Endpoint, Key); !Text.empty())
      Line += ", " + std::string(Key) + " " + Text;
  return Line;
}

json::object memberJson(const MemberReport &M) {
  return {{"process", M.Process_}, {"role", M.Role_},
          {"zone", M.Zone_},       {"state", M.State_},
          {"address", M.Address_}, {"revision", M.Revision_},
          {"vm", M.Vm_},           {"endpoint", M.Endpoint_}};
}

void printMember(const MemberReport &M, CtlPrinter &P) {
  constexpr std::size_t ProcessWidth = 24;
  constexpr std::size_t Narrow = 8;
  constexpr std::size_t ZoneWidth = 14;
  P.line("  " + padded(M.Process_, ProcessWidth) + padded(M.Role_, Narrow) +
         padded(M.Zone_, ZoneWidth) + padded(M.State_, Narrow) +
         padded("r" + std::to_string(M.Revision_), Narrow) +
         endpointLine(M.Endpoint_));
}

// Admin addresses that did not answer, with the reasons.
json::object printSilent(const FleetStatus &S, CtlPrinter &P) {
  json::object Out;
  for (const ProcessReport &Each : S.Reports_) {
    if (Each.Failure_.empty())
      continue;
    P.line("no answer from " + Each.Admin_ + ": " + Each.Failure_);
    Out[Each.Admin_] = Each.Failure_;
  }
  return Out;
}

json::array printNames(const std::string &Title,
                       const std::vector<std::string> &Names, CtlPrinter &P) {
  json::array Out;
  for (const std::string &Each : Names) {
    P.line(Title + ": " + Each);
    Out.emplace_back(Each);
  }
  return Out;
}

json::value declaredText(const CtlOptions &O, Revision &At) {
  TableClient Table(O.Table_, O.Timeout_);
  RevisionFold Now = Table.latest();
  At = Now.revision();
  return Now.text();
}

// The configuration for Name: the service of that name, or the service whose
// pattern matches it.
json::object explainDeclared(const CtlOptions &O, const std::string &Name,
                             CtlPrinter &P) {
  Revision At = 0;
  json::value Text = declaredText(O, At);
  if (At == 0)
    throw Error(Step::Apply, O.Table_, "nothing has been accepted yet");
  auto D =
      parseDeclaration(json::serialize(Text), "revision " + std::to_string(At));
  const Service *S = D->findService(ServiceName(Name));
  if (S == nullptr)
    S = D->serviceOf(Vm(Name));
  if (S == nullptr) {
    P.line("revision " + std::to_string(At) + " declares no service or VM \"" +
           Name + "\"");
    return {{"revision", At}, {"service", nullptr}};
  }
  const json::value &Declared = Text.at("services").at(S->Name_.str());
  P.line("declared in revision " + std::to_string(At) + ": service " +
         S->Name_.str());
  for (const auto &Member : Declared.as_object())
    P.line("  " + std::string(Member.key()) + ": " +
           json::serialize(Member.value()));
  return {
      {"revision", At}, {"service", S->Name_.str()}, {"declared", Declared}};
}

bool concerns(const MemberReport &M, const std::string &Name) {
  return M.Vm_ == Name || M.Process_ == Name ||
         textOf(M.Endpoint_, "service") == Name;
}

// The admin address of the agent on the requested VM; when no VM is named, the
// only address given.
std::string drainTarget(const CtlOptions &O) {
  if (O.Operands_.empty()) {
    if (O.Admins_.size() != 1)
      throw UsageError("drain without a VM needs exactly one --admin");
    return O.Admins_.front();
  }
  const std::string &RequestedVm = O.Operands_.front();
  FleetStatus S = readFleetStatus(O.Admins_, O.Timeout_);
  for (const ProcessReport &Each : S.Reports_)
    if (Each.Vm_ == RequestedVm)
      return Each.Admin_;
  throw Error(Step::Connect, RequestedVm,
              "none of the --admin addresses is its agent's");
}
} // namespace

CtlExit ctlStatus(const CtlOptions &O, CtlPrinter &P) {
  FleetStatus S = readFleetStatus(O.Admins_, O.Timeout_);
  Revision Highest = S.highestRevision();
  P.line("revision " + std::to_string(Highest));
  json::array Members;
  for (const auto &[Process, Member] : S.members()) {
    printMember(Member, P);
    Members.push_back(memberJson(Member));
  }
  json::array Late = printNames("behind", behind(S, Highest), P);
  json::array Dead = printNames("unreachable", unreachable(S, Highest), P);
  json::object Silent = printSilent(S, P);
  bool AllSilent = Silent.size() == S.Reports_.size();
  P.result({{"revision", Highest},
            {"members", std::move(Members)},
            {"behind", std::move(Late)},
            {"unreachable", std::move(Dead)},
            {"silent", std::move(Silent)}});
  return AllSilent ? CtlExit::Unavailable : CtlExit::Done;
}

// Each half is printed even when the other is unavailable, because this command
// serves to diagnose faults.
CtlExit ctlExplain(const CtlOptions &O, CtlPrinter &P) {
  if (O.Table_.empty() && O.Admins_.empty())
    throw UsageError("explain needs --table, --admin or both");
  const std::string &Name = O.Operands_.front();
  json::object Result{{"name", Name}};
  CtlExit Code = CtlExit::Done;
  if (!O.Table_.empty()) {
    try {
      Result["declared"] = explainDeclared(O, Name, P);
    } catch (const Error &E) {
      P.line(std::string("what is declared cannot be read: ") + E.what());
      Result["declared_error"] = E.what();
      Code = CtlExit::Unavailable;
    }
  }
  FleetStatus S = readFleetStatus(O.Admins_, O.Timeout_);
  json::array Reported;
  for (const auto &[Process, Member] : S.members())
    if (concerns(Member, Name)) {
      printMember(Member, P);
      Reported.push_back(memberJson(Member));
    }
  if (Reported.empty() && !O.Admins_.empty())
    P.line("no process reports anything of " + Name);
  Result["reported"] = std::move(Reported);
  Result["silent"] = printSilent(S, P);
  P.result(Result);
  return Code;
}

CtlExit ctlDrain(const CtlOptions &O, CtlPrinter &P) {
  std::string Admin = drainTarget(O);
  HttpResponse R =
      httpFetch(Admin, {.Method_ = "POST", .Target_ = "/drain"}, O.Timeout_);
  constexpr unsigned MinRefusedStatus = 300;
  if (R.Status_ >= MinRefusedStatus)
    throw Error(Step::Apply, Admin,
                "refused with status " + std::to_string(R.Status_) + ": " +
                    R.Body_);
  P.line("planned leave begun at " + Admin);
  P.result({{"outcome", "draining"}, {"admin", Admin}});
  return CtlExit::Done;
}

} // namespace hawthornroad
