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

std::string percentDecoded(std::string_view Path) {
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

// The path as a service resolves it: escapes decoded, no query, no empty or
// "." parts, ".." applied. "/a/../%69nvoices//5?x" becomes "/invoices/5".
std::string resolvedPath(std::string_view Path) {
  std::string Decoded = percentDecoded(Path.substr(0, Path.find('?')));
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

// Greedy match with one remembered star: on a mismatch the last star swallows
// one more character. Earlier stars need no second look, for the last one can
// swallow whatever they could.
bool matchesPattern(std::string_view Pattern, std::string_view Text) {
  constexpr std::size_t None = std::string_view::npos;
  std::size_t P = 0;
  std::size_t T = 0;
  std::size_t Star = None;
  std::size_t Swallowed = 0;
  while (T < Text.size()) {
    if (P < Pattern.size() && Pattern[P] == '*') {
      Star = P++;
      Swallowed = T;
    } else if (P < Pattern.size() && Pattern[P] == Text[T]) {
      ++P;
      ++T;
    } else if (Star != None) {
      P = Star + 1;
      T = ++Swallowed;
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

// Failure guarded against: a caller spells a path in another way that the
// service takes for the same ("//invoices", "/%69nvoices"); compared letter by
// letter it would count as repeatable, and a retry would bill a client twice.
// Both spellings are compared, as sent and as resolved: either one matching
// makes the call non-repeatable.
bool Service::isRepeatable(std::string_view Method,
                           std::string_view Path) const {
  if (NonRepeatable_.empty())
    return true;
  std::string Resolved = resolvedPath(Path);
  return std::none_of(NonRepeatable_.begin(), NonRepeatable_.end(),
                      [&](const NonRepeatableRule &Rule) {
                        if (!Rule.Method_.empty() && Rule.Method_ != Method)
                          return false;
                        return Path.starts_with(Rule.Path_) ||
                               (Resolved + "/").starts_with(Rule.Path_);
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
// Puts a service after its dependencies. Ends because checkServices() found
// no cycle.
void placeAfterDependencies(const std::map<ServiceName, Service> &Services,
                            const Service &S, std::set<ServiceName> &Placed,
                            std::vector<ServiceName> &Order) {
  if (!Placed.insert(S.Name_).second)
    return;
  for (const ServiceName &Each : S.DependsOn_)
    placeAfterDependencies(Services, Services.at(Each), Placed, Order);
  Order.push_back(S.Name_);
}
} // namespace

std::vector<ServiceName> Declaration::dependencyOrder() const {
  std::vector<ServiceName> Order;
  std::set<ServiceName> Placed;
  for (const auto &[Name, S] : Services_)
    placeAfterDependencies(Services_, S, Placed, Order);
  return Order;
}

DeclarationBuilder &DeclarationBuilder::add(ZoneDeclaration Zone) {
  AvailabilityZone Name = Zone.Name_;
  Made_.Zones_.insert_or_assign(std::move(Name), std::move(Zone));
  return *this;
}

DeclarationBuilder &DeclarationBuilder::add(Service S) {
  ServiceName Name = S.Name_;
  Made_.Services_.insert_or_assign(std::move(Name), std::move(S));
  return *this;
}

DeclarationBuilder &DeclarationBuilder::add(CustomerLimits Limits) {
  Customer Name = Limits.Name_;
  Made_.Customers_.insert_or_assign(std::move(Name), std::move(Limits));
  return *this;
}

std::shared_ptr<const Declaration> DeclarationBuilder::build() const {
  std::string Message;
  for (const DeclarationFault &Each : checkServices(Made_.Services_)) {
    if (!Message.empty())
      Message += "; ";
    Message += "services." + Each.Service_.str() + "." + Each.Key_ + ": " +
               Each.Message_;
  }
  if (!Message.empty())
    throw Error(Step::Declaration, "", Message);
  return std::make_shared<const Declaration>(Made_);
}

} // namespace hawthornroad
