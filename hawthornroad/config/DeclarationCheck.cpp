#include "hawthornroad/config/DeclarationCheck.h"

#include <algorithm>
#include <set>

namespace hawthornroad {

namespace {
using ServiceMap = std::map<ServiceName, Service>;

// Depth-first search over dependencies. Path_ holds the services being
// visited; reaching one of them again closes a cycle, which is the part of
// Path_ that starts with that service.
class CycleSearch {
public:
  CycleSearch(const ServiceMap &Services, std::vector<DeclarationFault> &Faults)
      : Services_(Services), Faults_(Faults) {}

  void visit(const ServiceName &Name) {
    if (Done_.contains(Name))
      return;
    auto At = std::find(Path_.begin(), Path_.end(), Name);
    if (At != Path_.end()) {
      report(At);
      return;
    }
    auto Found = Services_.find(Name);
    if (Found == Services_.end())
      return;
    Path_.push_back(Name);
    for (const ServiceName &Next : Found->second.DependsOn_)
      visit(Next);
    Path_.pop_back();
    Done_.insert(Name);
  }

private:
  void report(std::vector<ServiceName>::const_iterator First) {
    std::string Cycle;
    for (auto Each = First; Each != Path_.end(); ++Each)
      Cycle += Each->str() + " -> ";
    Faults_.push_back(
        {Path_.back(), "depends_on", "cycle: " + Cycle + First->str()});
  }

  const ServiceMap &Services_;
  std::vector<DeclarationFault> &Faults_;
  std::vector<ServiceName> Path_;
  std::set<ServiceName> Done_;
};

void checkDependencies(const ServiceMap &Services,
                       std::vector<DeclarationFault> &Faults) {
  for (const auto &[Name, S] : Services) {
    std::set<ServiceName> Seen;
    for (const ServiceName &Each : S.DependsOn_) {
      if (!Services.contains(Each))
        Faults.push_back(
            {Name, "depends_on", "no service \"" + Each.str() + "\""});
      if (!Seen.insert(Each).second)
        Faults.push_back(
            {Name, "depends_on", "\"" + Each.str() + "\" stands twice"});
    }
  }
  CycleSearch Search(Services, Faults);
  for (const auto &[Name, S] : Services)
    Search.visit(Name);
}

struct OwnedPattern {
  const ServiceName *Owner_ = nullptr;
  std::string_view Pattern_;
};

void checkPatterns(const ServiceMap &Services,
                   std::vector<DeclarationFault> &Faults) {
  std::vector<OwnedPattern> Earlier;
  for (const auto &[Name, S] : Services) {
    for (const std::string &Pattern : S.Vms_)
      for (const OwnedPattern &Other : Earlier)
        if (patternsOverlap(Other.Pattern_, Pattern))
          Faults.push_back({Name, "vms",
                            "\"" + Pattern + "\" and \"" +
                                std::string(Other.Pattern_) + "\" of service " +
                                Other.Owner_->str() +
                                " can cover the same VM"});
    for (const std::string &Pattern : S.Vms_)
      Earlier.push_back({&Name, Pattern});
  }
}

bool literalPrefixesDiffer(std::string_view A, std::string_view B) {
  std::size_t Length = std::min({A.find('*'), B.find('*'), A.size(), B.size()});
  return A.substr(0, Length) != B.substr(0, Length);
}
} // namespace

// Dynamic programming over suffixes: Row[J] says whether A from I and B from J
// can match the same string, and NextRow[J] says so for A from I + 1. A star
// either matches nothing more or consumes the next character of the other
// pattern; each case advances one of the patterns by one.
bool patternsOverlap(std::string_view A, std::string_view B) {
  if (literalPrefixesDiffer(A, B))
    return false;
  std::vector<char> NextRow(B.size() + 1, 0);
  for (std::size_t I = A.size() + 1; I-- > 0;) {
    std::vector<char> Row(B.size() + 1, 0);
    for (std::size_t J = B.size() + 1; J-- > 0;) {
      bool HasA = I < A.size();
      bool HasB = J < B.size();
      bool Star = (HasA && A[I] == '*') || (HasB && B[J] == '*');
      if (!HasA && !HasB)
        Row[J] = 1;
      else if (Star)
        Row[J] = (HasA && NextRow[J]) || (HasB && Row[J + 1]);
      else
        Row[J] = HasA && HasB && A[I] == B[J] && NextRow[J + 1];
    }
    NextRow = std::move(Row);
  }
  return NextRow[0] != 0;
}

std::vector<DeclarationFault> checkServices(const ServiceMap &Services) {
  std::vector<DeclarationFault> Faults;
  checkDependencies(Services, Faults);
  checkPatterns(Services, Faults);
  std::stable_sort(Faults.begin(), Faults.end(),
                   [](const DeclarationFault &A, const DeclarationFault &B) {
                     return A.Service_ < B.Service_;
                   });
  return Faults;
}

} // namespace hawthornroad
