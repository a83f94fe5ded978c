// Measures the cost of the request path: the latency that entry and agent add
// to a direct call of the same service, and requests per second for each core
// that they use.
//
//   PathBench --entry 127.0.0.1:8080 --direct 127.0.0.1:9000 --service desk
//             --customer hp-travel --entry-pid 123 --agent-pid 124
//
// Daemons and service must be running (scripts/bench-path starts them). Latency
// is measured with one call at a time, alternating between direct calls and
// calls through the entry, so that both see the same load of the machine;
// throughput is measured with --concurrency calls in progress. Each call opens
// its own connection in both cases. A call that is not answered with status 200
// counts as failed; the program then exits with code 1.
// Prints a table and, as the last line, JSON. StreamBench.cpp measures streams.

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

using namespace hawthornroad;

namespace {

namespace po = boost::program_options;
using Clock = std::chrono::steady_clock;

struct Options {
  std::string Entry_;
  std::string Direct_;
  std::string Service_;
  std::string Customer_;
  int EntryPid_ = 0;
  int AgentPid_ = 0;
  int Calls_ = 3000;
  int Concurrency_ = 32;
  int Seconds_ = 10;
};

struct Percentiles {
  double P50_ = 0;
  double P99_ = 0;
};

Percentiles percentilesOf(std::vector<double> Values) {
  if (Values.empty())
    return {};
  std::sort(Values.begin(), Values.end());
  return {Values[Values.size() / 2], Values[Values.size() * 99 / 100]};
}

class Bench {
public:
  explicit Bench(Options O) : Options_(std::move(O)) {}
  ~Bench() { Io_.stop(); }

  HttpRequest entryCall() const {
    return {"POST",
            "/" + Options_.Service_ + "/bench",
            {{"Hawthornroad-Customer", Options_.Customer_}},
            "crew"};
  }
  static HttpRequest directCall() { return {"POST", "/bench", {}, "crew"}; }

  // Duration of one call in milliseconds.
  double timeOne(const std::string &Address, HttpRequest R) {
    std::promise<bool> Done;
    auto Future = Done.get_future();
    auto Begun = Clock::now();
    auto Call = Client_.call(Address, std::move(R), {},
                             {.OnDone_ = [&](HttpResult Result) {
                               Done.set_value(isAnswer(Result));
                             }});
    if (!Future.get())
      ++Failed_;
    return std::chrono::duration<double, std::milli>(Clock::now() - Begun)
        .count();
  }

  // Number of calls answered in Seconds_ with Concurrency_ always in progress.
  int runLoop(const std::string &Address, const HttpRequest &R) {
    Answered_ = 0;
    End_ = Clock::now() + std::chrono::seconds(Options_.Seconds_);
    std::promise<void> Over;
    auto Future = Over.get_future();
    Open_ = Options_.Concurrency_;
    for (int I = 0; I < Options_.Concurrency_; ++I)
      Io_.submit([this, &Over, Address, R] { next(Over, Address, R); });
    Future.wait();
    return Answered_;
  }
  int failed() const { return Failed_; }

private:
  static bool isAnswer(const HttpResult &Result) {
    return Result.Response_ && Result.Response_->Status_ == 200;
  }
  void next(std::promise<void> &Over, const std::string &Address,
            const HttpRequest &R) {
    if (Clock::now() >= End_) {
      if (--Open_ == 0)
        Over.set_value();
      return;
    }
    Client_.call(Address, R, {},
                 {.OnDone_ = [this, &Over, Address, R](HttpResult Result) {
                   isAnswer(Result) ? ++Answered_ : ++Failed_;
                   next(Over, Address, R);
                 }});
  }

  Options Options_;
  IoThread Io_{"bench", 4096};
  HttpClient Client_{Io_};
  int Answered_ = 0;
  int Open_ = 0;
  std::atomic<int> Failed_{0};
  Clock::time_point End_;
};

Options parse(int Argc, char **Argv) {
  Options O;
  po::options_description Known("options");
  auto Add = Known.add_options();
  Add("entry", po::value(&O.Entry_)->required(), "IP:port of the entry");
  Add("direct", po::value(&O.Direct_)->required(), "IP:port of the service");
  Add("service", po::value(&O.Service_)->required(), "its declared name");
  Add("customer", po::value(&O.Customer_)->required(), "a declared customer");
  Add("entry-pid", po::value(&O.EntryPid_)->required(), "for processor time");
  Add("agent-pid", po::value(&O.AgentPid_)->required(), "for processor time");
  Add("calls", po::value(&O.Calls_), "calls of each way for latency");
  Add("concurrency", po::value(&O.Concurrency_), "calls in progress");
  Add("seconds", po::value(&O.Seconds_), "length of the throughput run");
  po::variables_map Values;
  po::store(po::parse_command_line(Argc, Argv, Known), Values);
  po::notify(Values);
  return O;
}

boost::json::object measure(const Options &O, Bench &B) {
  std::vector<double> Direct;
  std::vector<double> Entry;
  for (int I = 0; I < O.Calls_; ++I) {
    Direct.push_back(B.timeOne(O.Direct_, Bench::directCall()));
    Entry.push_back(B.timeOne(O.Entry_, B.entryCall()));
  }
  Percentiles D = percentilesOf(Direct);
  Percentiles E = percentilesOf(Entry);
  double EntryCpu = cpuSeconds(O.EntryPid_);
  double AgentCpu = cpuSeconds(O.AgentPid_);
  int Answered = B.runLoop(O.Entry_, B.entryCall());
  EntryCpu = cpuSeconds(O.EntryPid_) - EntryCpu;
  AgentCpu = cpuSeconds(O.AgentPid_) - AgentCpu;
  return {{"calls", O.Calls_},
          {"direct_p50_ms", D.P50_},
          {"direct_p99_ms", D.P99_},
          {"entry_p50_ms", E.P50_},
          {"entry_p99_ms", E.P99_},
          {"added_p50_ms", E.P50_ - D.P50_},
          {"added_p99_ms", E.P99_ - D.P99_},
          {"concurrency", O.Concurrency_},
          {"requests_per_second", Answered / static_cast<double>(O.Seconds_)},
          {"requests_per_entry_core_second", Answered / EntryCpu},
          {"requests_per_agent_core_second", Answered / AgentCpu},
          {"failed", B.failed()}};
}

} // namespace

int main(int Argc, char **Argv) {
  try {
    Options O = parse(Argc, Argv);
    Bench B(O);
    boost::json::object Result = measure(O, B);
    for (const auto &Each : Result)
      std::cout << Each.key() << "\t" << Each.value() << "\n";
    std::cout << boost::json::serialize(Result) << std::endl;
    return B.failed() == 0 ? 0 : 1;
  } catch (const std::exception &E) {
    std::cerr << "PathBench: " << E.what() << std::endl;
    return 2;
  }
}
