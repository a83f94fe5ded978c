#include "hawthornroad/ctl/LogReader.h"
#include "hawthornroad/ctl/Ctl.h"
#include "hawthornroad/ctl/CutTable.h"
#include "hawthornroad/ctl/RequestStory.h"

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

// Three runs of one process, the first with a planned stop, the second without
// one; and a pause of another process.
const std::string CutText =
    R"({"t":10.0,"process":"e1","event":"start","wall_ms":1000000}
{"t":11.0,"process":"e1","event":"paused","gap_ms":300.0,"open_requests":1}
{"t":12.0,"process":"e1","event":"attempt","request":"r1","what":"begun","endpoint":"i-1","ordinal":1}
{"t":13.5,"process":"e2","event":"paused","gap_ms":900.0,"open_requests":1}
{"t":13.5,"process":"e1","event":"paused","gap_ms":1200.0,"open_requests":2}
{"t":13.6,"process":"e1","event":"attempt","request":"r1","what":"begun","endpoint":"i-2","ordinal":2}
{"t":13.9,"process":"e1","event":"attempt","request":"r1","what":"cancelled","endpoint":"i-1","ordinal":1,"why":"silent, and replaced","silent_ms":1500.0}
{"t":14.0,"process":"e1","event":"attempt","request":"r1","what":"failed","endpoint":"i-2","ordinal":2,"why":"receive: reset","silent_ms":0.0}
{"t":14.0,"process":"e1","event":"answer_cut","request":"r1","why":"no place in time","silent_ms":80.0,"paused_ms":1200.0}
{"t":14.0,"process":"e1","event":"request","request":"r1","status":200,"cause":"attempt_lost","whole_ms":2000.0}
{"t":15.0,"process":"e1","event":"attempt","request":"r2","what":"begun","endpoint":"i-1","ordinal":1}
{"t":15.2,"process":"e1","event":"stopping"}
{"t":16.0,"process":"e1","event":"stop","open_requests":1}
{"t":20.0,"process":"e1","event":"start","wall_ms":1010000}
{"t":21.0,"process":"e1","event":"attempt","request":"r3","what":"begun","endpoint":"i-1","ordinal":1}
{"t":30.0,"process":"e1","event":"start","wall_ms":1020000}
{"t":31.0,"process":"e1","event":"attempt","request":"r4","what":"begun","endpoint":"i-1","ordinal":1}
{"t":32.0,"process":"e1","event":"attempt","request":"r5","what":"cancelled","endpoint":"i-1","ordinal":1,"why":"silent, and replaced","silent_ms":900.0}
{"t":33.0,"process":"e1","event":"attempt","request":"r6","what":"cancelled","endpoint":"i-1","ordinal":1,"why":"silent, and replaced","silent_ms":1000.0}
{"t":33.0,"process":"e1","event":"answer_cut","request":"r6","why":"no place in time","silent_ms":90.0,"paused_ms":0.0}
{"t":34.0,"process":"e1","event":"request","request":"r7","status":200,"cause":"none"}
{"t":35.0,"process":"e1","event":"request","request":"r8","status":200,"cause":"attempt_lost"}
)";

struct LogFile {
  std::filesystem::path Path_;
  explicit LogFile(const std::string &Text = LogText) {
    Path_ = std::filesystem::temp_directory_path() /
            ("hawthornroad-log-" + std::to_string(::getpid()));
    std::ofstream(Path_) << Text;
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

// The story of a lost request ended with its last attempt, and nothing said
// that its process had ended.
TEST_CASE("request story, any end, names who ended it", "[log]") {
  LogTimeline Timeline;
  std::istringstream In(CutText);
  Timeline.read(In);
  struct Row {
    std::string Request_;
    RequestEnd End_;
    std::string Printed_;
  };
  for (const Row &R : std::vector<Row>{
           {"r1", RequestEnd::Cut, "its answer was cut here: no place in time"},
           {"r2", RequestEnd::ProcessStopped,
            "its process ended before it, by a planned stop"},
           {"r3", RequestEnd::ProcessEnded,
            "its process ended before it, without a line \"stopping\""},
           {"r4", RequestEnd::Unknown, "no line says how it ended"},
           {"r7", RequestEnd::Answered, "ended, 200 none"},
           {"r8", RequestEnd::Cut, "its answer was cut here: attempt_lost"}}) {
    CAPTURE(R.Request_);
    auto Stories = storiesOf(Timeline, R.Request_);
    REQUIRE(Stories.size() == 1);
    REQUIRE(Stories[0].End_ == R.End_);
    REQUIRE(describeEnd(Stories[0]).find(R.Printed_) != std::string::npos);
  }
  REQUIRE(storiesOf(Timeline, "none").empty());
}

TEST_CASE("request story, two attempts at the same time, marks both", "[log]") {
  LogTimeline Timeline;
  std::istringstream In(CutText);
  Timeline.read(In);
  RequestStory S = storiesOf(Timeline, "r1").at(0);
  REQUIRE(S.Attempts_.size() == 2);
  REQUIRE(describe(S.Attempts_[0]) ==
          "attempt 1 at i-1: from 0 ms to 1900 ms, cancelled (silent, and "
          "replaced), silent for 1500 ms, beside another attempt");
  REQUIRE(S.Attempts_[1].BegunMs_ == Approx(1600));
  REQUIRE(S.Attempts_[1].IsBesideOther_);
  REQUIRE_FALSE(storiesOf(Timeline, "r2").at(0).Attempts_[0].IsBesideOther_);
}

// A cut that its own process caused was blamed on the endpoint.
TEST_CASE("log timeline, process paused while a request is open, shows it",
          "[log]") {
  LogTimeline Timeline;
  std::istringstream In(CutText);
  Timeline.read(In);
  auto KindsOf = [&](const std::string &Id) {
    std::vector<std::string> Kinds;
    for (const LogEvent &E : Timeline.eventsOfRequest(Id))
      Kinds.push_back(E.kind());
    return Kinds;
  };
  REQUIRE(KindsOf("r1") == std::vector<std::string>{
                               "start", "attempt", "paused", "attempt",
                               "attempt", "attempt", "answer_cut", "request"});
  REQUIRE(KindsOf("r2") == std::vector<std::string>{"start", "attempt",
                                                    "stopping", "stop",
                                                    "start"});
  REQUIRE(KindsOf("r3") ==
          std::vector<std::string>{"start", "attempt", "start"});
  REQUIRE(KindsOf("r4") == std::vector<std::string>{"start", "attempt"});
}

TEST_CASE("cut table, of logs, counts answers and attempts by reason",
          "[log]") {
  LogTimeline Timeline;
  std::istringstream In(CutText);
  Timeline.read(In);
  CutTable Table = cutTableOf(Timeline);
  REQUIRE(Table.answers() == 2);
  REQUIRE(Table.attempts() == 3);
  // The attempt that its connection ended is not counted.
  REQUIRE(Table.Attempts_.size() == 1);
  REQUIRE(Table.Answers_.at("no place in time") ==
          CutCount{2, 80.0, 90.0, 1, 1200, "r1"});
  REQUIRE(Table.Attempts_.at("silent, and replaced") ==
          CutCount{3, 1000.0, 1500.0, 1, 1200, "r1"});
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
