#include "hawthornroad/ctl/LogReader.h"
#include "hawthornroad/ctl/Ctl.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace hawthornroad;

namespace {
// Two processes, whose monotonic clocks are an hour apart. One line is
// truncated, one is not an event, one has a prefix added by a log collector.
const std::string LogText =
    R"({"t":10.0,"process":"e1","event":"start","wall_ms":1000000}
{"t":10.5,"process":"e1","event":"config","version":7}
{"t":11.0,"process":"e1","event":"store_lost","table":"op"}
{"t":11.5,"process":"e1","event":"endpoint","endpoint":"i-1","address":"a:1"}
{"t":11.6,"process":"e1","event":"endpoint","endpoint":"i-2","address":"a:2"}
2026 e1 {"t":12.0,"process":"e1","event":"attempt","request":"r1","what":"begun","endpoint":"i-1","address":"a:1"}
{"t":12.2,"process":"e1","event":"attempt","request":"r1","what":"failed","endpoint":"i-1","why":"reset"}
{"t":12.2,"process":"e1","event":"request","request":"r1","status":502,"cause":"attempt_lost"}
{"t":12.4,"process":"e1","event":"request","request":"r3","status":200,"cause":"none"}
{"t":13.0,"process":"e1","event":"config","version":8}
{"t":3700.0,"process":"e2","event":"start","wall_ms":1001000}
{"t":3701.2,"process":"e2","event":"request","request":"r2","status":503,"cause":"line_full"}
{"t":3701.3,"process":"e2","event":"request","request":"r4","status":503,"cause":"line_full"}
{"t":3702.0,"process":"e2","event":"log_dropped","lines":5}
plain text
{"t":3703.0,"process":"e2","ev)";

struct LogFile {
  std::filesystem::path Path_;
  LogFile() {
    Path_ = std::filesystem::temp_directory_path() /
            ("hawthornroad-log-" + std::to_string(::getpid()));
    std::ofstream(Path_) << LogText;
  }
  ~LogFile() { std::filesystem::remove(Path_); }
};
} // namespace

TEST_CASE("log timeline, asked for a request, gives its events after the "
          "state of its process at that time",
          "[log]") {
  LogTimeline Timeline;
  std::istringstream In(LogText);
  Timeline.read(In);
  REQUIRE(Timeline.badLines() == 2);
  REQUIRE(Timeline.droppedLines() == 5);
  auto Events = Timeline.eventsOfRequest("r1");
  std::vector<std::string> Kinds;
  for (const LogEvent &E : Events)
    Kinds.push_back(E.kind());
  REQUIRE(Kinds == std::vector<std::string>{"start", "config", "store_lost",
                                            "endpoint", "attempt", "attempt",
                                            "request"});
  // The configuration at the time of the request, not the later one, and only
  // the endpoint that the request was sent to.
  REQUIRE(Events[1].text("version") == "7");
  REQUIRE(Events[3].text("endpoint") == "i-1");
  REQUIRE(Events[4].WallTime_ == Approx(1002.0));
  REQUIRE(Timeline.eventsOfRequest("none").empty());
}

TEST_CASE("log timeline, summed up, counts refusals by status and cause",
          "[log]") {
  LogTimeline Timeline;
  std::istringstream In(LogText);
  Timeline.read(In);
  auto Causes = Timeline.refusals();
  REQUIRE(Timeline.requests() == 4);
  REQUIRE(Causes.size() == 2);
  REQUIRE(Causes.at("503 line_full").Count_ == 2);
  REQUIRE(Causes.at("503 line_full").Example_ == "r2");
  REQUIRE(Causes.at("502 attempt_lost").Count_ == 1);
}

TEST_CASE("hawthornroadctl, given logs, prints timelines with its exit codes",
          "[ctl]") {
  LogFile F;
  struct Row {
    std::vector<std::string> Arguments_;
    int Exit_;
    std::string Printed_;
  };
  std::string File = F.Path_.string();
  for (const Row &R :
       std::vector<Row>{{{"trace", "r1", File}, 0, "why=reset"},
                        {{"trace", "nothing", File}, 1, "no line names"},
                        {{"trace", "r1"}, 2, ""},
                        {{"trace", "r1", "/nowhere/log"}, 1, ""},
                        {{"logs", File}, 0, "2  503 line_full"},
                        {{"logs", File, File}, 0, "8 requests"},
                        {{"logs", "--json", File}, 0, "\"bad_lines\":2"},
                        {{"logs"}, 2, ""}}) {
    CAPTURE(R.Arguments_);
    std::ostringstream Out;
    std::ostringstream Err;
    REQUIRE(runCtl(R.Arguments_, Out, Err) == R.Exit_);
    REQUIRE(Out.str().find(R.Printed_) != std::string::npos);
    REQUIRE(Err.str().empty() == (R.Exit_ == 0 || !R.Printed_.empty()));
  }
}
