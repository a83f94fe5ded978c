// One agent or two beside the stand-ins they need, and a raw entry that speaks
// to them frame by frame.
//
//   struct X : AgentFixture { ... };
//   declare(R"({"desk":{"kind":"plain","vms":["desk-*"]}})");
//   Process &Agent = agent("desk-1", service().address());
//   awaitReady(Agent);

#ifndef HAWTHORNROAD_TESTS_INTEGRATION_AGENTFIXTURE_H
#define HAWTHORNROAD_TESTS_INTEGRATION_AGENTFIXTURE_H

#include "hawthornroad/config/MergePatch.h"
#include "hawthornroad/config/RevisionLog.h"
#include "tests/integration/Fixture.h"
#include "tests/integration/RawEntry.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace hawthornroad {

class AgentFixture : public FakesFixture {
public:
  // Accepts Services as the text's first revision.
  void declare(const std::string &Services) {
    boost::json::object Text{
        {"format", 1},
        {"zones", {{"z", {{"region", "r"}}}}},
        {"services", boost::json::parse(Services)},
        {"customers", {{"test-customer", boost::json::object()}}}};
    ConfigChange Change;
    Change.Revision_ = 1;
    Change.Change_ = "first";
    Change.Author_ = Change.Reason_ = "test";
    Change.Patch_ = boost::json::serialize(Text);
    Change.Digest_ = textDigest(Text);
    HttpRequest Put{"PUT",
                    "/table/" + revisionKey(1),
                    {{"If-None-Match", "*"}},
                    formatConfigChange(Change)};
    if (fetch(Table_.address(), Put).Status_ != 200)
      throw std::runtime_error("the table refused the declaration");
  }

  // Settings of the agent of Name; More replaces or adds members.
  std::string agentSettings(const std::string &Name,
                            const std::string &Endpoint,
                            const boost::json::object &More = {}) {
    boost::json::object Settings{
        {"process", Name + "-agent"},
        {"zone", "z"},
        {"vm", Name},
        {"endpoint_address", Endpoint},
        {"charts", SOURCE_DIR "/charts"},
        {"weights_folder", (folder().path() / (Name + "-weights")).string()},
        {"platform", {{"table", Table_.address()}}}};
    for (const auto &Each : More)
      Settings[Each.key()] = Each.value();
    std::filesystem::create_directories(folder().path() / (Name + "-weights"));
    return folder().write(Name + "-" + std::to_string(++Written_) + ".jsonc",
                          boost::json::serialize(Settings));
  }
  Process &agent(const std::string &Name, const std::string &Endpoint,
                 const boost::json::object &More = {}) {
    return start(Name, agentSettings(Name, Endpoint, More));
  }
  Process &start(const std::string &Name, const std::string &Settings) {
    return Agents_.emplace_back(
        Launch{Name + "-agent", "hawthornroad-agent", {"--settings", Settings}},
        folder());
  }

  static bool isReady(Process &Agent) {
    return get(Agent.readyText("admin"), "/readyz").Status_ == 200;
  }
  static void awaitReady(Process &Agent) {
    eventually([&] { return isReady(Agent); }, Agent.name() + " is ready");
  }
  static boost::json::object attempts(Process &Agent) {
    return getJson(Agent.readyText("admin"), "/status")
        .at("attempts")
        .as_object();
  }
  static AttemptId newAttempt() {
    static std::uint64_t Last = 0;
    return {1, ++Last};
  }

  Fake &Table_ = fake("table");
  RawEntry Entry_;

private:
  std::deque<Process> Agents_;
  int Written_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TESTS_INTEGRATION_AGENTFIXTURE_H
