#include "hawthornroad/config/Settings.h"
#include "hawthornroad/config/JsonText.h"

#include <catch2/catch.hpp>

using namespace hawthornroad;
using Catch::Matchers::Contains;

namespace {
std::string entryFaults(const std::string &Text) {
  try {
    EntrySettings::parse(Text, "entry.jsonc");
  } catch (const TextError &E) {
    return describeFaults("entry.jsonc", E.faults());
  }
  return "";
}

std::string agentFaults(const std::string &Text) {
  try {
    AgentSettings::parse(Text, "agent.jsonc");
  } catch (const TextError &E) {
    return describeFaults("agent.jsonc", E.faults());
  }
  return "";
}

// Settings with the required members and Extra.
std::string entryWith(const std::string &Extra) {
  return "{\"process\": \"zg-entry-1\", \"zone\": \"zg-borongaj\"" +
         (Extra.empty() ? "" : ", " + Extra) + "}";
}

std::string agentWith(const std::string &Extra) {
  return entryWith("\"vm\": \"lm-1\", \"endpoint_address\": "
                   "\"127.0.0.1:8000\"" +
                   (Extra.empty() ? "" : ", " + Extra));
}
} // namespace

TEST_CASE("settings, only the required members, take the defaults",
          "[settings]") {
  EntrySettings Entry;
  Entry.Common_.Process_ = ProcessName("zg-entry-1");
  Entry.Common_.Zone_ = AvailabilityZone("zg-borongaj");
  REQUIRE(EntrySettings::parse(entryWith(""), "entry.jsonc") == Entry);
  AgentSettings Agent;
  Agent.Common_ = Entry.Common_;
  Agent.Vm_ = Vm("lm-1");
  Agent.EndpointAddress_ = "127.0.0.1:8000";
  REQUIRE(AgentSettings::parse(agentWith(""), "agent.jsonc") == Agent);
}

TEST_CASE("settings, every member given, hold the given values", "[settings]") {
  AgentSettings S = AgentSettings::parse(
      agentWith(
          "\"peer_listen\": \"127.0.0.2:1\", \"admin_listen\": \"[::1]:2\", "
          "\"seeds\": [\"127.0.0.3:3\"], \"charts\": \"c\", "
          "\"log_level\": \"warning\", \"random_seed\": 4, "
          "\"probe_period_ms\": 90, \"probe_timeout_ms\": 50, "
          "\"suspicion_timeout_ms\": 60, \"platform\": {\"table\": "
          "\"127.0.0.1:7\", \"objects\": \"127.0.0.1:8\", \"members\": "
          "\"127.0.0.1:9\", \"timeout_ms\": 70, \"poll_period_ms\": 80}, "
          "\"lock_listen\": \"127.0.0.4:4\", \"weights_listen\": "
          "\"127.0.0.5:5\", \"weights_folder\": \"/dev/shm/w\", "
          "\"origin\": \"127.0.0.6:6\", \"keep_bytes\": 11, "
          "\"upload_rate\": 12, \"download_rate\": 13, \"capacity\": 14, "
          "\"attempt_buffer\": 2048, \"attempt_keep_ms\": 150, "
          "\"drain_limit_ms\": 16, \"report_period_ms\": 17, "
          "\"endpoint_idle_ms\": 18"),
      "agent.jsonc");
  AgentSettings Expected;
  Expected.Common_ = {.Process_ = ProcessName("zg-entry-1"),
                      .Zone_ = AvailabilityZone("zg-borongaj"),
                      .PeerListen_ = "127.0.0.2:1",
                      .AdminListen_ = "[::1]:2",
                      .Seeds_ = {PeerAddress("127.0.0.3:3")},
                      .Platform_ = {.Table_ = "127.0.0.1:7",
                                    .Objects_ = "127.0.0.1:8",
                                    .Members_ = "127.0.0.1:9",
                                    .Timeout_ = Milliseconds(70),
                                    .PollPeriod_ = Milliseconds(80)},
                      .Charts_ = "c",
                      .LogLevel_ = "warning",
                      .RandomSeed_ = 4,
                      .ProbePeriod_ = Milliseconds(90),
                      .ProbeTimeout_ = Milliseconds(50),
                      .SuspicionTimeout_ = Milliseconds(60)};
  Expected.Vm_ = Vm("lm-1");
  Expected.EndpointAddress_ = "127.0.0.1:8000";
  Expected.LockListen_ = "127.0.0.4:4";
  Expected.WeightsListen_ = "127.0.0.5:5";
  Expected.WeightsFolder_ = "/dev/shm/w";
  Expected.Origin_ = "127.0.0.6:6";
  Expected.KeepBytes_ = 11;
  Expected.UploadRate_ = 12;
  Expected.DownloadRate_ = 13;
  Expected.Capacity_ = 14;
  Expected.AttemptBuffer_ = 2048;
  Expected.AttemptKeep_ = Milliseconds(150);
  Expected.DrainLimit_ = Milliseconds(16);
  Expected.ReportPeriod_ = Milliseconds(17);
  Expected.EndpointIdle_ = Milliseconds(18);
  REQUIRE(S == Expected);
}

TEST_CASE("settings, entry's own members, hold the given values",
          "[settings]") {
  EntrySettings S = EntrySettings::parse(
      entryWith("\"caller_listen\": \"0.0.0.0:80\", \"max_body\": 1, "
                "\"max_connections\": 2, \"default_deadline_ms\": 3, "
                "\"max_deadline_ms\": 4, \"attempt_idle_ms\": 50, "
                "\"drain_grace_ms\": 6, \"claim_keep_ms\": 7000"),
      "entry.jsonc");
  EntrySettings Expected;
  Expected.Common_ = S.Common_;
  Expected.CallerListen_ = "0.0.0.0:80";
  Expected.MaxBody_ = 1;
  Expected.MaxConnections_ = 2;
  Expected.DefaultDeadline_ = Milliseconds(3);
  Expected.MaxDeadline_ = Milliseconds(4);
  Expected.AttemptIdle_ = Milliseconds(50);
  Expected.DrainGrace_ = Milliseconds(6);
  Expected.ClaimKeep_ = Milliseconds(7000);
  REQUIRE(S == Expected);
}

TEST_CASE("settings, invalid entry text, is rejected with line and path",
          "[settings]") {
  struct Case {
    std::string Extra_;
    std::string Expected_;
  };
  const std::vector<Case> Cases = {
      {"\n\"capacity\": 4", "entry.jsonc:2: capacity: unknown key"},
      {"\"peer_listen\": \"localhost:80\"", "peer_listen: \"localhost:80\""},
      {"\"peer_listen\": \"127.0.0.1\"", "expected \"IP:port\""},
      {"\"peer_listen\": \"127.0.0.1:65536\"", "port from 0 to 65535"},
      {"\"peer_listen\": \"::1:80\"", "peer_listen: \"::1:80\": expected"},
      {"\"seeds\": [\"127.0.0.1:0\"]", "seeds: \"127.0.0.1:0\": expected"},
      {"\"platform\": {\"table\": \"table:80\"}", "platform.table: "},
      {"\"platform\": {\"poll_ms\": 1}", "platform.poll_ms: unknown key"},
      {"\"platform\": []", "platform: expected an object"},
      {"\"log_level\": \"loud\"", "log_level: expected one of \"debug\""},
      {"\"random_seed\": -1", "random_seed: expected a whole number"},
      {"\"probe_timeout_ms\": 300", "expected less than probe_period_ms, 300"},
      {"\"default_deadline_ms\": 700000", "expected at most max_deadline_ms"},
      {"\"max_body\": 0", "max_body: expected a whole number from 1"},
      {"\"zone\": \"b\"", "zone: key stands twice"},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.Extra_);
    REQUIRE_THAT(entryFaults(entryWith(Each.Extra_)), Contains(Each.Expected_));
  }
}

TEST_CASE("settings, invalid agent text, is rejected with line and path",
          "[settings]") {
  struct Case {
    std::string Text_;
    std::string Expected_;
  };
  const std::vector<Case> Cases = {
      {"{}", "process: is required"},
      {"{}", "zone: is required"},
      {"{}", "vm: is required"},
      {"{}", "endpoint_address: is required"},
      {entryWith("\"vm\": \"a/b\", \"endpoint_address\": \"127.0.0.1:1\""),
       "vm: expected letters"},
      {entryWith("\"vm\": \"a\", \"endpoint_address\": \"127.0.0.1:0\""),
       "endpoint_address: \"127.0.0.1:0\": expected"},
      {agentWith("\"upload_rate\": -1"), "upload_rate: expected"},
      {agentWith("\"capacity\": 0"), "capacity: expected"},
      {agentWith("\"caller_listen\": \"127.0.0.1:0\""),
       "caller_listen: unknown key"},
      {"\n[1, 2]", "agent.jsonc:2: expected an object"},
      {"\n[1, 2]", "agent.jsonc:2: vm: is required"},
      {"", "not JSON"},
  };
  for (const Case &Each : Cases) {
    CAPTURE(Each.Text_);
    REQUIRE_THAT(agentFaults(Each.Text_), Contains(Each.Expected_));
  }
}
