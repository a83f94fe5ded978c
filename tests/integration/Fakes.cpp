#include "tests/integration/Fakes.h"

#include <boost/json/parse.hpp>

namespace hawthornroad {

namespace {
constexpr const char *Program = "hawthornroad-fakes";

std::vector<std::string> arguments(const std::string &Kind,
                                   std::vector<std::string> Options) {
  Options.insert(Options.begin(), Kind);
  return Options;
}

std::vector<std::string> proxyArguments(const std::string &Target) {
  if (Target.empty())
    return {"proxy"};
  return {"proxy", "--to", Target};
}

void postFaults(const std::string &Address, const std::string &JsonText) {
  postJson(Address, "/faults", boost::json::parse(JsonText).as_object());
}
} // namespace

Fake::Fake(TemporaryFolder &Folder, const std::string &Kind,
           const std::vector<std::string> &Options)
    : Process_({.Name_ = Kind,
                .Program_ = Program,
                .Arguments_ = arguments(Kind, Options)},
               Folder),
      Address_(Process_.readyText("listen")) {}

void Fake::setFaults(const std::string &JsonText) const {
  postFaults(Address_, JsonText);
}

boost::json::object Fake::counters() const {
  return getJson(Address_, "/counters");
}

Proxy::Proxy(TemporaryFolder &Folder, const std::string &Target)
    : Process_({.Name_ = "proxy",
                .Program_ = Program,
                .Arguments_ = proxyArguments(Target)},
               Folder),
      Address_(Process_.readyText("listen")),
      Control_(Process_.readyText("control")) {}

void Proxy::setTarget(const std::string &Target) const {
  putJson(Control_, "/target", {{"to", Target}});
}

void Proxy::setFaults(const std::string &JsonText) const {
  postFaults(Control_, JsonText);
}

boost::json::object Proxy::counters() const {
  return getJson(Control_, "/counters");
}

} // namespace hawthornroad
