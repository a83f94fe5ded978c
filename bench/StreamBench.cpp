// Measures the cost of streamed answers: events per second for each core of the
// entry and of an agent, memory per open stream, and the time that the path
// adds to the gap between two events.
//
//   StreamBench --entry 127.0.0.1:8080 --direct 127.0.0.1:9000 --service lm
//               --customer bench --entry-pid 123 --agent-pid 124 --streams 560
//
// Daemons and engines must be running (scripts/bench-path --streams N starts
// them); --direct and --agent-pid may be given several times. Keeps --streams
// completions open, first directly to the engines and then through the entry,
// --rounds one after another in each slot. A gap is the time between the
// arrivals of two successive events of one stream at the client; events that
// arrive in one read have a gap of 0. A stream that is not answered with status
// 200 and all its events counts as failed; the program then exits with code 1.
// Prints a table and, as the last line, JSON.

#include "bench/ProcessUse.h"
#include "hawthornroad/base/Error.h"
#include "hawthornroad/runtime/Http.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <future>
#include <iostream>
#include <thread>

using namespace hawthornroad;

namespace {

namespace po = boost::program_options;
using Clock = std::chrono::steady_clock;
// Interval at which memory is read while streams are open.
constexpr Duration SamplePeriod = Milliseconds(200);

struct Options {
  std::string Entry_;
  std::vector<std::string> Direct_;
  std::string Service_;
  std::string Customer_;
  int EntryPid_ = 0;
  std::vector<int> AgentPids_;
  int Streams_ = 100;
  int Tokens_ = 200;
  int Rounds_ = 3;
};

// Counts event terminators ("\n\n"), including those split between two reads.
class EventCounter {
public:
  int feed(std::string_view Bytes) {
    int Ends = 0;
    for (char C : Bytes) {
      bool IsEnd = C == '\n' && AfterNewline_;
      Ends += IsEnd ? 1 : 0;
      AfterNewline_ = C == '\n' && !IsEnd;
    }
    return Ends;
  }

private:
  bool AfterNewline_ = false;
};

// Results of one run, either directly or through the entry.
struct StreamMeasurement {
  std::vector<float> GapsMs_;
  long Events_ = 0;
  int Failed_ = 0;
  double Seconds_ = 0;

  // The percentile at Share (in percent) of the gaps, which it sorts.
  double gap(std::size_t Share) {
    if (GapsMs_.empty())
      return 0;
    auto Position = GapsMs_.begin() +
                    static_cast<std::ptrdiff_t>(GapsMs_.size() * Share / 100);
    std::nth_element(GapsMs_.begin(), Position, GapsMs_.end());
    return *Position;
  }
};

// Keeps streams open to Addresses_. All members but run() run on the IoThread.
class LoadGenerator {
public:
  LoadGenerator(const Options &O, std::vector<std::string> Addresses,
                std::string Prefix)
      : Options_(O), Addresses_(std::move(Addresses)),
        Target_(std::move(Prefix) + "/v1/completions") {}
  ~LoadGenerator() { Io_.stop(); }

  // Sample is called every SamplePeriod until the last stream has ended.
  StreamMeasurement run(const std::function<void()> &Sample) {
    auto Over = Over_.get_future();
    Clock::time_point Begun = Clock::now();
    Open_ = Options_.Streams_;
    Measurement_.GapsMs_.reserve(static_cast<std::size_t>(Options_.Streams_) *
                                 Options_.Tokens_ * Options_.Rounds_);
    for (int Slot = 0; Slot < Options_.Streams_; ++Slot)
      Io_.submit([this, Slot] { next(Slot, 0); });
    while (Over.wait_for(SamplePeriod) != std::future_status::ready)
      Sample();
    Measurement_.Seconds_ =
        std::chrono::duration<double>(Clock::now() - Begun).count();
    return std::move(Measurement_);
  }

private:
  struct Stream {
    EventCounter Counter_;
    Clock::time_point Last_;
    int Events_ = 0;
  };

  HttpRequest request(int Slot, int Round) const {
    boost::json::object Body = {
        {"prompt", std::to_string(Slot) + "/" + std::to_string(Round)},
        {"max_tokens", Options_.Tokens_},
        {"stream", true}};
    return {"POST",
            Target_,
            {{"Content-Type", "application/json"},
             {"Hawthornroad-Customer", Options_.Customer_}},
            boost::json::serialize(Body)};
  }

  void next(int Slot, int Round) {
    if (Round == Options_.Rounds_) {
      if (--Open_ == 0)
        Over_.set_value();
      return;
    }
    auto S = std::make_shared<Stream>();
    const std::string &To = Addresses_[Slot % Addresses_.size()];
    Client_.call(
        To, request(Slot, Round), {},
        {.OnData_ = [this,
                     S](std::string_view Bytes) { recordEvents(*S, Bytes); },
         .OnDone_ =
             [this, S, Slot, Round](const HttpResult &R) {
               // The last event of a complete stream is "[DONE]".
               bool IsComplete = R.Response_ && R.Response_->Status_ == 200 &&
                                 S->Events_ == Options_.Tokens_ + 1;
               Measurement_.Failed_ += IsComplete ? 0 : 1;
               next(Slot, Round + 1);
             }});
  }

  void recordEvents(Stream &S, std::string_view Bytes) {
    Clock::time_point Now = Clock::now();
    for (int Left = S.Counter_.feed(Bytes); Left > 0; --Left) {
      if (S.Events_ > 0)
        Measurement_.GapsMs_.push_back(
            std::chrono::duration<float, std::milli>(Now - S.Last_).count());
      S.Last_ = Now;
      ++S.Events_;
      ++Measurement_.Events_;
    }
  }

  const Options &Options_;
  std::vector<std::string> Addresses_;
  std::string Target_;
  StreamMeasurement Measurement_;
  int Open_ = 0;
  std::promise<void> Over_;
  IoThread Io_{"bench", 16384};
  HttpClient Client_{Io_};
};

Options parse(int Argc, char **Argv) {
  Options O;
  po::options_description Known("options");
  auto Add = Known.add_options();
  Add("entry", po::value(&O.Entry_)->required(), "IP:port of the entry");
  Add("direct", po::value(&O.Direct_)->required(), "IP:port of an engine");
  Add("service", po::value(&O.Service_)->required(), "its declared name");
  Add("customer", po::value(&O.Customer_)->required(), "a declared customer");
  Add("entry-pid", po::value(&O.EntryPid_)->required(), "for its use");
  Add("agent-pid", po::value(&O.AgentPids_)->required(), "for its use");
  Add("streams", po::value(&O.Streams_), "streams open at once");
  Add("tokens", po::value(&O.Tokens_), "events of each but the last");
  Add("rounds", po::value(&O.Rounds_), "streams one after another");
  po::variables_map Values;
  po::store(po::parse_command_line(Argc, Argv, Known), Values);
  po::notify(Values);
  return O;
}

double agentsOf(const Options &O, double (*Use)(int)) {
  double Sum = 0;
  for (int Pid : O.AgentPids_)
    Sum += Use(Pid);
  return Sum;
}

boost::json::object measure(const Options &O) {
  StreamMeasurement Direct = LoadGenerator(O, O.Direct_, "").run([] {});
  double EntryCpu = cpuSeconds(O.EntryPid_);
  double AgentCpu = agentsOf(O, cpuSeconds);
  double EntryBefore = residentKiB(O.EntryPid_);
  double AgentsBefore = agentsOf(O, residentKiB);
  double EntryPeak = EntryBefore;
  double AgentsPeak = AgentsBefore;
  StreamMeasurement Path =
      LoadGenerator(O, {O.Entry_}, "/" + O.Service_).run([&] {
        EntryPeak = std::max(EntryPeak, residentKiB(O.EntryPid_));
        AgentsPeak = std::max(AgentsPeak, agentsOf(O, residentKiB));
      });
  EntryCpu = cpuSeconds(O.EntryPid_) - EntryCpu;
  AgentCpu = agentsOf(O, cpuSeconds) - AgentCpu;
  return {{"streams", O.Streams_},
          {"agents", O.AgentPids_.size()},
          {"events", Path.Events_},
          {"failed_direct", Direct.Failed_},
          {"failed", Path.Failed_},
          {"direct_events_per_second", Direct.Events_ / Direct.Seconds_},
          {"events_per_second", Path.Events_ / Path.Seconds_},
          {"events_per_entry_core_second", Path.Events_ / EntryCpu},
          {"events_per_agent_core_second", Path.Events_ / AgentCpu},
          {"direct_gap_p50_ms", Direct.gap(50)},
          {"direct_gap_p95_ms", Direct.gap(95)},
          {"gap_p50_ms", Path.gap(50)},
          {"gap_p95_ms", Path.gap(95)},
          {"entry_kib_per_stream", (EntryPeak - EntryBefore) / O.Streams_},
          {"agent_kib_per_stream", (AgentsPeak - AgentsBefore) / O.Streams_}};
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    boost::json::object Result = measure(parse(Argc, Argv));
    for (const auto &Each : Result)
      std::cout << Each.key() << "\t" << Each.value() << "\n";
    std::cout << boost::json::serialize(Result) << std::endl;
    bool AllSucceeded = Result["failed"] == 0 && Result["failed_direct"] == 0;
    return AllSucceeded ? 0 : 1;
  } catch (const std::exception &E) {
    std::cerr << "StreamBench: " << E.what() << std::endl;
    return 2;
  }
}
