#include "hawthornroad/config/Declaration.h"
#include "hawthornroad/base/Error.h"
#include "hawthornroad/config/DeclarationCheck.h"

#include <algorithm>
#include <set>

namespace hawthornroad {

namespace {
int hexValue(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;
  if (C >= 'A' && C <= 'F')
    return C - 'A' + 10;
  return -1;
}

std::string percentDecode(std::string_view Path) {
  std::string Out;
  for (std::size_t I = 0; I < Path.size(); ++I) {
    bool IsEscape = Path[I] == '%' && I + 2 < Path.size() &&
                    hexValue(Path[I + 1]) >= 0 && hexValue(Path[I + 2]) >= 0;
    if (!IsEscape) {
      Out.push_back(Path[I]);
      continue;
    }
    Out.push_back(
        static_cast<char>(hexValue(Path[I + 1]) * 16 + hexValue(Path[I + 2])));
    I += 2;
  }
  return Out;
}

// Normalizes a path as a service would resolve it: removes the query, decodes
// percent escapes, drops empty and "." segments and applies "..". For example,
// "/a/../%69nvoices//5?x" becomes "/invoices/5".
std::string normalizePath(std::string_view Path) {
  std::string Decoded = percentDecode(Path.substr(0, Path.find('?')));
  std::vector<std::string> Parts;
  std::size_t At = 0;
  while (At < Decoded.size()) {
    std::size_t End = std::min(Decoded.find('/', At), Decoded.size());
    std::string Part = Decoded.substr(At, End - At);
    At = End + 1;
    if (Part == ".." && !Parts.empty())
      Parts.pop_back();
    if (!Part.empty() && Part != "." && Part != "..")
      Parts.push_back(std::move(Part));
  }
  std::string Out;
  for (const std::string &Part : Parts)
    Out += "/" + Part;
  return Out.empty() ? "/" : Out;
}
} // namespace

// Greedy match that backtracks only to the last star: on a mismatch that star
// consumes one more character. Earlier stars need no backtracking, because the
// last one can consume whatever they could.
bool matchesPattern(std::string_view Pattern, std::string_view Text) {
  constexpr std::size_t None = std::string_view::npos;
  std::size_t P = 0;
  std::size_t T = 0;
  std::size_t LastStar = None;
  std::size_t StarEnd = 0;
  while (T < Text.size()) {
    if (P < Pattern.size() && Pattern[P] == '*') {
      LastStar = P++;
      StarEnd = T;
    } else if (P < Pattern.size() && Pattern[P] == Text[T]) {
      ++P;
      ++T;
    } else if (LastStar != None) {
      P = LastStar + 1;
      T = ++StarEnd;
    } else {
      return false;
    }
  }
  return Pattern.find_first_not_of('*', P) == None;
}

bool Service::covers(const Vm &V) const {
  return std::any_of(Vms_.begin(), Vms_.end(), [&](const std::string &Pattern) {
    return matchesPattern(Pattern, V.str());
  });
}

// Compares the path both as sent and normalized; a match of either makes the
// request non-repeatable. Comparing only the path as sent would miss spellings
// that the service treats as equal ("//invoices", "/%69nvoices"), and a retry
// could bill a client twice.
bool Service::isRepeatable(std::string_view Method,
                           std::string_view Path) const {
  if (NonRepeatable_.empty())
    return true;
  std::string Normalized = normalizePath(Path);
  return std::none_of(NonRepeatable_.begin(), NonRepeatable_.end(),
                      [&](const NonRepeatableRule &Rule) {
                        if (!Rule.Method_.empty() && Rule.Method_ != Method)
                          return false;
                        return Path.starts_with(Rule.Path_) ||
                               (Normalized + "/").starts_with(Rule.Path_);
                      });
}

const Service *Declaration::findService(const ServiceName &Name) const {
  auto Found = Services_.find(Name);
  return Found == Services_.end() ? nullptr : &Found->second;
}

const CustomerLimits *Declaration::findCustomer(const Customer &Name) const {
  auto Found = Customers_.find(Name);
  return Found == Customers_.end() ? nullptr : &Found->second;
}

const Service *Declaration::serviceOf(const Vm &V) const {
  for (const auto &[Name, S] : Services_)
    if (S.covers(V))
      return &S;
  return nullptr;
}

namespace {
// Appends a service to Order after its dependencies. The recursion terminates
// because checkServices() has ruled out cycles.
void appendAfterDependencies(const std::map<ServiceName, Service> &Services,
                             const Service &S, std::set<ServiceName> &Visited,
                             std::vector<ServiceName> &Order) {
  if (!Visited.insert(S.Name_).second)
    return;
  for (const ServiceName &Each : S.DependsOn_)
    appendAfterDependencies(Services, Services.at(Each), Visited, Order);
  Order.push_back(S.Name_);
}
} // namespace

std::vector<ServiceName> Declaration::dependencyOrder() const {
  std::vector<ServiceName> Order;
  std::set<ServiceName> Visited;
  for (const auto &[Name, S] : Services_)
    appendAfterDependencies(Services_, S, Visited, Order);
  return Order;
}

DeclarationBuilder &DeclarationBuilder::add(ZoneDeclaration Zone) {
  AvailabilityZone Name = Zone.Name_;
  Result_.Zones_.insert_or_assign(std::move(Name), std::move(Zone));
  return *this;
}

DeclarationBuilder &DeclarationBuilder::add(Service S) {
  ServiceName Name = S.Name_;
  Result_.Services_.insert_or_assign(std::move(Name), std::move(S));
  return *this;
}

DeclarationBuilder &DeclarationBuilder::add(CustomerLimits Limits) {
  Customer Name = Limits.Name_;
  Result_.Customers_.insert_or_assign(std::move(Name), std::move(Limits));
  return *this;
}

std::shared_ptr<const Declaration> DeclarationBuilder::build() const {
  std::string Message;
  for (const DeclarationFault &Each : checkServices(Result_.Services_)) {
    if (!Message.empty())
      Message += "; ";
    Message += "services." + Each.Service_.str() + "." + Each.Key_ + ": " +
               Each.Message_;
  }
  if (!Message.empty())
    throw Error(Step::Declaration, "", Message);
  return std::make_shared<const Declaration>(Result_);
}

} // namespace hawthornroad
