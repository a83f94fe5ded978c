#include "tests/integration/ControlFixture.h"

#include <boost/json/array.hpp>
#include <catch2/catch.hpp>

namespace hawthornroad {

namespace json = boost::json;

std::int64_t ControlFixture::accept(int Weight) {
  json::object Text = Fleet_->declaration({});
  // No model VMs: the model service would have no version.
  Text["services"].as_object().erase("copywriter-lm");
  Text["customers"] = {{"hp-travel", {{"weight", Weight}}}};
  ToolResult Applied = Fleet_->apply(Text);
  INFO(Applied.Output_ << Applied.Errors_);
  REQUIRE(Applied.ExitCode_ == 0);
  json::object Page = getJson(Fleet_->table().address(),
                              "/table?prefix=config/revision/&limit=1000");
  return static_cast<std::int64_t>(Page.at("items").as_array().size());
}

std::vector<FleetProcess *> ControlFixture::running() {
  std::vector<FleetProcess *> Out;
  for (auto *Group : {&Fleet_->entries(), &Fleet_->agents()})
    for (FleetProcess &Each : *Group)
      if (Each.Process_)
        Out.push_back(&Each);
  return Out;
}

json::object ControlFixture::control(FleetProcess &P) {
  return getJson(P.admin(), "/status").at("control").as_object();
}

std::int64_t ControlFixture::revision(FleetProcess &P) {
  return numberAt(control(P), "revision");
}

std::string ControlFixture::stateAt(FleetProcess &Viewer,
                                    const FleetProcess &About) {
  json::object Status = control(Viewer);
  for (const json::value &Each : Status.at("members").as_array())
    if (textAt(Each.as_object(), "process") == About.Name_)
      return textAt(Each.as_object(), "state");
  return {};
}

void ControlFixture::awaitRevision(std::int64_t R, Duration Bound) {
  for (FleetProcess *Each : running())
    eventually([&] { return revision(*Each) == R; },
               Each->Name_ + " has revision " + std::to_string(R) + " in force",
               Bound);
}

void ControlFixture::awaitAllAlive() {
  for (FleetProcess *Viewer : running())
    for (FleetProcess *About : running())
      eventually([&] { return stateAt(*Viewer, *About) == "alive"; },
                 Viewer->Name_ + " knows " + About->Name_);
}

} // namespace hawthornroad
