#include "hawthornroad/config/JsonText.h"
#include "tests/integration/Fleet.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

using namespace hawthornroad;

namespace {
const std::vector<std::string> AgentCharts = {"attempt", "drain", "member",
                                              "rollout", "transfer"};
const std::vector<std::string> EntryCharts = {"claim", "member", "request"};

// Runs --check with the settings of the process and a copy of the charts, in
// which the chart Damaged, if not empty, is invalid.
ToolResult check(Fleet &F, const FleetProcess &P, const std::string &Damaged) {
  namespace fs = std::filesystem;
  fs::path Charts = F.folder().path() / ("charts-" + P.Name_ + Damaged);
  fs::copy(std::string(SOURCE_DIR) + "/charts", Charts);
  if (!Damaged.empty())
    F.folder().write(Charts.filename() / (Damaged + ".json"), "{}");
  auto Settings =
      boost::json::parse(readTextFile(P.SettingsFile_, Step::Settings))
          .as_object();
  Settings["charts"] = Charts.string();
  std::string File = F.folder().write(Charts.filename().string() + ".json",
                                      boost::json::serialize(Settings));
  return runTool(P.Program_, {"--settings", File, "--check"}, F.folder());
}
} // namespace

// Guards against a check before a rollout that passes although a chart is
// damaged: the processes of all VMs would then fail at startup.
TEST_CASE("check, with any chart that the program uses damaged, names it",
          "[check]") {
  auto F = FleetBuilder().modelVms(0).plainVms(1).build();
  struct Row {
    FleetProcess *Process_;
    std::vector<std::string> Charts_;
  };
  for (const Row &Each :
       {Row{&F->agent(0), AgentCharts}, Row{&F->entry(0), EntryCharts}}) {
    ToolResult Whole = check(*F, *Each.Process_, "");
    INFO(Whole.Errors_);
    REQUIRE(Whole.ExitCode_ == 0);
    for (const std::string &Chart : Each.Charts_) {
      ToolResult Bad = check(*F, *Each.Process_, Chart);
      INFO(Each.Process_->Program_ << " " << Chart << ": " << Bad.Errors_);
      CHECK(Bad.ExitCode_ == 2);
      CHECK(Bad.Errors_.find(Chart) != std::string::npos);
    }
  }
}
