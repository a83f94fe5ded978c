// Measures the processor time that an entry's decisions take per request, with
// the real TrafficCore and without sockets.
//
//   TrafficBench [--endpoints 58 300] [--queued 0 500] [--parts off]
//                [--measure arrival turnover] [--requests 5000] [--json FILE]
//
// One service of engines in three zones, 24 customers and three routes. The
// port is an agent beside each engine that replies to a query within the call.
// Model time advances by 5 ms a request: an entry asks an engine that has
// denied a place again after 5 ms times the number of engines, so in this time
// one engine may be asked.
//
// arrival   From the arrival of a request to the beginning of an attempt. With
//           no request queued: arrive() of a request that gets a place. With
//           requests queued: arrive() of one that is queued, and the time from
//           the end of another one, which frees a place, to the beginning of a
//           queued request's attempt.
// turnover  The same with requests queued, and what follows in the same event:
//           the engine is asked for the next queued request, too, and denies.
// refusal   arrive() of a request that is refused. Without queued requests the
//           caller is late; otherwise the queue is too long.
// tick      tick() with one request in progress for each endpoint, and with the
//           queued ones.
//
// Prints a table; --json also writes the figures to a file. The times are wall
// times: of a machine that is busy, compare the medians. A run in which not all
// requests began, were refused or stayed queued as intended ends with an error.

#include "hawthornroad/traffic/TrafficCore.h"

#if __has_include("bench/TrafficParts.h")
#include "bench/TrafficParts.h"
#endif

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdio>
#include <deque>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <unordered_map>
#include <vector>

#if !__has_include("bench/TrafficParts.h")
namespace hawthornroad {
// A release that has none of the parts.
struct TrafficParts {
  std::string Name_ = "off";
};
inline std::vector<TrafficParts> measuredParts() { return {{}}; }
inline void configure(const TrafficParts &,
                      const std::vector<AvailabilityZone> &,
                      RoutingConfig::Parts &, TrafficCore::Options &) {}
template <class T>
void state(const TrafficParts &, std::size_t, TimePoint, T &) {}
inline void state(const TrafficParts &, Call &) {}
} // namespace hawthornroad
#endif

namespace hawthornroad {
namespace {

namespace po = boost::program_options;
using Clock = std::chrono::steady_clock;

constexpr TimePoint Start{Seconds(1000)};
constexpr Duration Step = Milliseconds(5);
constexpr Duration TickPeriod = Milliseconds(20);
constexpr Duration ProofPeriod = Milliseconds(500);
// Longer than any run, so that no request ends by itself.
constexpr Duration Timeout = Seconds(100000);
// The share of it that a request may wait is longer than any run, too.
constexpr Duration LongGoal = Seconds(10000);
constexpr Duration ShortGoal = Milliseconds(400);
constexpr unsigned Slots = 12;
constexpr std::size_t CustomerCount = 24;
constexpr std::size_t BodyBytes = 2048;

const ServiceName Service("lm");
const std::vector<AvailabilityZone> Zones = {AvailabilityZone("zone-0"),
                                             AvailabilityZone("zone-1"),
                                             AvailabilityZone("zone-2")};
const std::vector<std::string> Prefixes = {"/review/", "/hint/", "/explain/"};

struct Setup {
  TrafficParts Parts_;
  std::size_t Endpoints_ = 58;
  std::size_t Queued_ = 0;
  // Places at each engine that this entry gets; other entries have the rest.
  unsigned Places_ = 1;
  Duration Goal_ = LongGoal;
};

double microseconds(Clock::duration D) {
  return std::chrono::duration<double, std::micro>(D).count();
}

void expect(bool IsTrue, const std::string &What) {
  if (!IsTrue)
    throw std::runtime_error("the model did not behave as intended: " + What);
}

RoutingConfig::Parts routing(Duration Goal) {
  RoutingConfig::Parts P;
  P.Version_ = 1;
  for (const std::string &Prefix : Prefixes) {
    Route R;
    R.Name_ = Prefix;
    R.Host_ = "api.example";
    R.Prefix_ = Prefix;
    R.Repeat_ = Repeat::FromLastEvent;
    R.IsStream_ = true;
    R.Timeout_ = Timeout;
    R.FirstByteGoal_ = Goal;
    R.EventGapGoal_ = Timeout;
    R.MaxAttempts_ = 2;
    R.Services_ = {{Service, 1}};
    P.Routes_.push_back(R);
  }
  ServiceConfig S;
  S.Name_ = Service;
  S.MaxConnections_ = 512;
  // A request takes a second, so an engine ends 12 a second.
  S.Engine_ = EngineProfile{.Model_ = "m",
                            .Slots_ = Slots,
                            .StepMs_ = 10,
                            .PrefillTokensPerMs_ = 30,
                            .MeanPromptTokens_ = 900,
                            .MeanAnswerTokens_ = 100};
  P.Services_.push_back(S);
  for (std::size_t I = 0; I < CustomerCount; ++I) {
    CustomerConfig C;
    C.Name_ = Customer("customer-" + std::to_string(I));
    C.Keys_ = {"key-" + std::to_string(I)};
    P.Customers_.push_back(C);
  }
  return P;
}

TrafficCore::Options coreOptions() {
  TrafficCore::Options O;
  O.Placement_.Zone_ = Zones.front();
  O.MaxCalls_ = 10000;
  // Engines send one event each, and are not silent after it.
  O.FirstEventSilence_ = O.NextEventSilence_ = Timeout;
  return O;
}

// The engines, each with its agent, and the callers.
class EnginePort final : public TrafficPort {
public:
  explicit EnginePort(const Setup &S) : Setup_(S), Engines_(S.Endpoints_) {
    for (std::size_t I = 0; I < S.Endpoints_; ++I) {
      Engine &E = Engines_[I];
      E.Row_.Id_ = EndpointId("engine-" + std::to_string(I));
      E.Row_.Service_ = Service;
      E.Row_.Address_ = "10.0." + std::to_string(I / 250) + "." +
                        std::to_string(I % 250 + 1) + ":8000";
      E.Row_.Zone_ = Zones[I % Zones.size()];
      E.Row_.Born_ = 1;
      E.Row_.Slots_ = Slots;
      E.Row_.HasModel_ = true;
      E.Row_.Model_ = "m";
      E.Row_.Version_ = 1;
      ByAddress_[E.Row_.Address_] = I;
    }
  }

  struct Running {
    AttemptNumber Attempt_ = 0;
    CallNumber Call_ = 0;
    std::string RequestId_;
    std::size_t Engine_ = 0;
  };
  struct Engine {
    Endpoint Row_;
    unsigned Busy_ = 0;
    std::deque<Running> Running_;
  };

  void attach(TrafficCore &C) { Core_ = &C; }
  void setTime(TimePoint Now) { Now_ = Now; }
  std::vector<Endpoint> rows() const {
    std::vector<Endpoint> Out;
    for (const Engine &Each : Engines_)
      Out.push_back(Each.Row_);
    return Out;
  }
  Engine &engine(std::size_t Index) { return Engines_.at(Index); }
  std::size_t size() const { return Engines_.size(); }
  // Attempts begun since the last call.
  std::vector<Running> takeBegun() { return std::exchange(Begun_, {}); }
  std::size_t begun() const { return BegunCount_; }
  std::size_t refused() const { return RefusedCount_; }
  // When the last request was reported as ended, and when the last attempt
  // began.
  Clock::time_point closedAt() const { return ClosedAt_; }
  Clock::time_point begunAt() const { return BegunAt_; }

  EndpointLoad load(std::size_t Index) const {
    EndpointLoad L;
    L.Running_ = Slots - Setup_.Places_ + Engines_[Index].Busy_;
    state(Setup_.Parts_, Index, Now_, L);
    return L;
  }

  AskResult askPlace(AttemptNumber A, const std::string &Address,
                     const PlaceDemand &D) override {
    std::size_t Index = ByAddress_.at(Address);
    Engine &E = Engines_[Index];
    PlaceReply W;
    W.IsGranted_ = E.Busy_ < Setup_.Places_;
    W.Load_ = load(Index);
    W.Version_ = 1;
    state(Setup_.Parts_, Index, Now_, W);
    E.Busy_ += W.IsGranted_ ? 1 : 0;
    Core_->onPlaceReply(A, W, Now_);
    return AskResult::Sent;
  }
  void beginAttempt(AttemptNumber A, const Call &C,
                    const AttemptParams &O) override {
    BegunAt_ = Clock::now();
    ++BegunCount_;
    Begun_.push_back({A, O.Call_, C.Id_, ByAddress_.at(O.Address_)});
  }
  void refuse(CallNumber N, const Call &C, unsigned Status, Cause Why,
              Duration RetryAfter) override {
    ++RefusedCount_;
  }
  void report(const CallReport &R) override { ClosedAt_ = Clock::now(); }
  void report(const AttemptReport &R) override {}
  void cancelAttempt(AttemptNumber A) override {}
  void respond(CallNumber N, unsigned Status, const HeaderFields &Fields,
               std::string Body) override {}
  void beginStream(CallNumber N, unsigned Status,
                   const HeaderFields &Fields) override {}
  void writeStream(CallNumber N, std::string_view Bytes) override {}
  void finishStream(CallNumber N) override {}
  void abortStream(CallNumber N) override {}

private:
  const Setup &Setup_;
  TrafficCore *Core_ = nullptr;
  TimePoint Now_;
  std::vector<Engine> Engines_;
  std::unordered_map<std::string, std::size_t> ByAddress_;
  std::vector<Running> Begun_;
  std::size_t BegunCount_ = 0;
  std::size_t RefusedCount_ = 0;
  Clock::time_point ClosedAt_;
  Clock::time_point BegunAt_;
};

// An entry with its requests, in model time.
class EntryModel {
public:
  explicit EntryModel(const Setup &S)
      : Setup_(S), Port_(Setup_), Core_(optionsOf(Setup_), Port_, Random(3)) {
    Port_.attach(Core_);
    RoutingConfig::Parts Config = routing(Setup_.Goal_);
    TrafficCore::Options Ignored;
    configure(Setup_.Parts_, Zones, Config, Ignored);
    Core_.endpoints().listed(Port_.rows(), Start);
    Core_.configure(RoutingConfig::build(std::move(Config)), Start);
    // By then an engine of unknown state counts as warm.
    advance(Seconds(4));
  }

  void advance(Duration By) {
    Now_ += By;
    Port_.setTime(Now_);
    if (ProvenAt_ && Now_ - *ProvenAt_ < ProofPeriod)
      return;
    ProvenAt_ = Now_;
    Core_.prove(Now_, Now_);
    Core_.reached(Now_);
  }

  // The time of arrive(). Kind selects customer and route; IsLate: the caller
  // has spent most of its goal.
  double arrive(std::size_t Kind, bool IsLate = false) {
    CallNumber N = Kinds_.size();
    Kinds_.push_back(Kind);
    HasBegun_.push_back(false);
    Call C;
    C.Id_ = "request-" + std::to_string(N);
    C.Method_ = "POST";
    C.Host_ = "api.example";
    C.Target_ = Prefixes[(Kind + Kind / CustomerCount) % Prefixes.size()] + "a";
    C.Key_ = "key-" + std::to_string(Kind % CustomerCount);
    C.Body_.assign(BodyBytes, 'x');
    C.Tokens_ = {900, 100};
    C.TimeLeft_ = IsLate ? Timeout - ShortGoal * 3 / 4 : Timeout;
    state(Setup_.Parts_, C);
    auto Begin = Clock::now();
    Core_.arrive(N, std::move(C), Now_);
    double Took = microseconds(Clock::now() - Begin);
    answerBegun();
    return Took;
  }

  struct Turnover {
    // Until the next attempt began, and until the event was handled.
    double ToBegin_ = 0;
    double ToEnd_ = 0;
  };
  // Ends the engine's oldest request, if any; the time since it was reported as
  // ended.
  Turnover end(std::size_t Index) {
    EnginePort::Engine &E = Port_.engine(Index);
    if (E.Running_.empty())
      return {};
    AttemptNumber A = E.Running_.front().Attempt_;
    E.Running_.pop_front();
    --E.Busy_;
    Core_.onEnd(A, Now_);
    auto Done = Clock::now();
    Turnover Out{microseconds(Port_.begunAt() - Port_.closedAt()),
                 microseconds(Done - Port_.closedAt())};
    answerBegun();
    return Out;
  }
  // Ends the oldest request of the next engine that has one.
  void endNext() {
    for (std::size_t I = 0; I < Port_.size(); ++I) {
      Turn_ = (Turn_ + 1) % Port_.size();
      if (!Port_.engine(Turn_).Running_.empty()) {
        end(Turn_);
        return;
      }
    }
  }

  double tick() {
    auto Begin = Clock::now();
    Core_.tick(Now_);
    double Took = microseconds(Clock::now() - Begin);
    answerBegun();
    return Took;
  }

  // The agent's notice of its engine's load.
  void notify(std::size_t Index, bool IsAway = false) {
    Core_.engineUpdated(Port_.engine(Index).Row_.Address_, IsAway, 1,
                        Port_.load(Index), Now_);
    answerBegun();
  }

  // One request in progress for each endpoint, none queued.
  void fillIdle() {
    for (std::size_t I = 0; I < Port_.size(); ++I)
      arrive(I);
    expect(Port_.begun() == Port_.size(), "all requests begin");
  }

  // All places taken, and this many requests queued. Engines become available
  // one after the other, so that later each may be asked again at another time.
  void fillFull(std::size_t Queued) {
    for (std::size_t I = 0; I < Port_.size(); ++I)
      notify(I, true);
    // The spare ones are for engines that other requests are not allowed to
    // use.
    for (std::size_t I = 0; I < 2 * Port_.size() + Queued; ++I)
      arrive(I);
    for (std::size_t I = 0; I < Port_.size(); ++I) {
      advance(Step);
      notify(I);
    }
    for (CallNumber N = Kinds_.size() - 1; queued() > Queued; --N)
      if (!HasBegun_[N])
        Core_.callerGone(N, Now_);
    expect(Port_.begun() == Port_.size(), "one request begins at each engine");
    expect(queued() == Queued, "the queue is filled");
  }

  std::size_t queued() { return Core_.open() - inProgress(); }
  std::size_t inProgress() {
    std::size_t Out = 0;
    for (std::size_t I = 0; I < Port_.size(); ++I)
      Out += Port_.engine(I).Running_.size();
    return Out;
  }
  // The kind of the request that began last.
  std::size_t lastKind() const { return LastKind_; }
  const EnginePort &port() const { return Port_; }

private:
  static TrafficCore::Options optionsOf(const Setup &S) {
    TrafficCore::Options Out = coreOptions();
    RoutingConfig::Parts Ignored = routing(S.Goal_);
    configure(S.Parts_, Zones, Ignored, Out);
    return Out;
  }

  // Head and first event of the answers to what has begun.
  void answerBegun() {
    for (EnginePort::Running &Each : Port_.takeBegun()) {
      LastKind_ = Kinds_.at(Each.Call_);
      HasBegun_.at(Each.Call_) = true;
      EndpointHead H;
      H.Status_ = 200;
      H.IsSigned_ = true;
      H.RequestId_ = Each.RequestId_;
      H.Headers_ = {{"Content-Type", "text/event-stream"}};
      H.HasLoad_ = true;
      H.Running_ = Port_.load(Each.Engine_).Running_;
      H.Version_ = 1;
      state(Setup_.Parts_, Each.Engine_, Now_, H);
      AttemptNumber A = Each.Attempt_;
      Port_.engine(Each.Engine_).Running_.push_back(std::move(Each));
      Core_.onHead(A, std::move(H), Now_);
      Core_.onBody(A, "id: 1\ndata: a\n\n", Now_);
    }
  }

  Setup Setup_;
  EnginePort Port_;
  TrafficCore Core_;
  TimePoint Now_ = Start;
  std::optional<TimePoint> ProvenAt_;
  // By number of the request; 0 is none.
  std::vector<std::size_t> Kinds_ = {0};
  std::vector<bool> HasBegun_ = {true};
  std::size_t LastKind_ = 0;
  std::size_t Turn_ = 0;
};

// Times in microseconds.
struct Figures {
  double Median_ = 0;
  double P99_ = 0;
  double Mean_ = 0;
};

Figures figuresOf(std::vector<double> Times) {
  std::sort(Times.begin(), Times.end());
  double Sum = 0;
  for (double Each : Times)
    Sum += Each;
  return {Times[Times.size() / 2], Times[Times.size() * 99 / 100],
          Sum / static_cast<double>(Times.size())};
}

struct Counts {
  std::size_t Warmup_ = 1000;
  std::size_t Requests_ = 5000;
};

// Work(I) returns the time of one request or tick.
template <class F> Figures repeat(const Counts &C, F Work) {
  for (std::size_t I = 0; I < C.Warmup_; ++I)
    Work(I);
  std::vector<double> Times;
  Times.reserve(C.Requests_);
  for (std::size_t I = 0; I < C.Requests_; ++I)
    Times.push_back(Work(C.Warmup_ + I));
  return figuresOf(std::move(Times));
}

Figures measureArrivalIdle(Setup S, const Counts &C) {
  S.Places_ = Slots;
  EntryModel M(S);
  M.fillIdle();
  Figures Out = repeat(C, [&](std::size_t I) {
    M.advance(Step);
    M.notify(I % S.Endpoints_);
    M.endNext();
    return M.arrive(I);
  });
  expect(M.port().begun() == S.Endpoints_ + C.Warmup_ + C.Requests_,
         "all requests begin");
  return Out;
}

// IsWhole: until the event is handled, not only until the attempt begins.
Figures measureArrivalQueued(const Setup &S, const Counts &C, bool IsWhole) {
  EntryModel M(S);
  M.fillFull(S.Queued_);
  Figures Out = repeat(C, [&](std::size_t I) {
    M.advance(Step);
    // The engine may be asked again from this time on, so it is asked for the
    // first queued request, which begins, and for the second.
    EntryModel::Turnover T = M.end(I % S.Endpoints_);
    // The queue keeps its composition, so that urgent requests go on to wait.
    double Took = M.arrive(M.lastKind());
    M.notify(I % S.Endpoints_);
    return Took + (IsWhole ? T.ToEnd_ : T.ToBegin_);
  });
  expect(M.port().begun() == S.Endpoints_ + C.Warmup_ + C.Requests_,
         "one request begins for each that ends");
  expect(M.queued() == S.Queued_, "the queue keeps its length");
  return Out;
}

Figures measureRefusal(Setup S, const Counts &C) {
  S.Goal_ = ShortGoal;
  // The wait in a queue is estimated from the last two ends.
  std::size_t Ends = S.Queued_ == 0 ? 0 : 2;
  EntryModel M(S);
  M.fillFull(S.Queued_ + Ends);
  for (std::size_t I = 0; I < Ends; ++I) {
    M.advance(Step);
    M.end(I);
  }
  expect(M.queued() == S.Queued_, "the queue is filled");
  Figures Out = repeat(C, [&](std::size_t I) {
    M.advance(Step);
    return M.arrive(I, S.Queued_ == 0);
  });
  expect(M.port().refused() == C.Warmup_ + C.Requests_,
         "all requests are refused");
  return Out;
}

Figures measureTick(const Setup &S, const Counts &C) {
  EntryModel M(S);
  M.fillFull(S.Queued_);
  Figures Out = repeat(C, [&](std::size_t) {
    M.advance(TickPeriod);
    return M.tick();
  });
  expect(M.inProgress() == S.Endpoints_ && M.queued() == S.Queued_,
         "no request ends");
  return Out;
}

struct Options {
  std::vector<std::size_t> Endpoints_ = {58, 300};
  std::vector<std::size_t> Queued_ = {0, 500};
  std::vector<std::string> Parts_;
  std::vector<std::string> Measures_ = {"arrival", "turnover", "refusal",
                                        "tick"};
  Counts Counts_;
  std::string Json_;
};

bool isWanted(const std::vector<std::string> &Names, const std::string &Name) {
  return Names.empty() ||
         std::find(Names.begin(), Names.end(), Name) != Names.end();
}

void checkNames(const std::vector<std::string> &Given,
                const std::vector<std::string> &Known, const char *Option) {
  for (const std::string &Each : Given)
    if (!isWanted(Known, Each))
      throw std::runtime_error("--" + std::string(Option) + ": unknown name " +
                               Each);
}

Options parse(int Argc, char **Argv) {
  Options O;
  po::options_description Known("TrafficBench");
  auto Add = Known.add_options();
  Add("help", "print this");
  Add("endpoints", po::value(&O.Endpoints_)->multitoken(), "engines");
  Add("queued", po::value(&O.Queued_)->multitoken(), "queued requests");
  Add("parts", po::value(&O.Parts_)->multitoken(),
      "only these: off, regions, cold, priorities, speed, all");
  Add("measure", po::value(&O.Measures_)->multitoken(),
      "only these: arrival, turnover, refusal, tick");
  Add("requests", po::value(&O.Counts_.Requests_), "measured requests, ticks");
  Add("warmup", po::value(&O.Counts_.Warmup_), "requests and ticks before");
  Add("json", po::value(&O.Json_), "write the figures to this file");
  po::variables_map Given;
  po::store(po::parse_command_line(Argc, Argv, Known), Given);
  po::notify(Given);
  if (Given.count("help")) {
    std::cout << Known;
    std::exit(0);
  }
  std::vector<std::string> Parts;
  for (const TrafficParts &Each : measuredParts())
    Parts.push_back(Each.Name_);
  checkNames(O.Parts_, Parts, "parts");
  checkNames(O.Measures_, {"arrival", "turnover", "refusal", "tick"},
             "measure");
  for (std::size_t Each : O.Endpoints_)
    if (Each < 3)
      throw std::runtime_error("--endpoints: expected at least 3");
  if (O.Counts_.Requests_ == 0)
    throw std::runtime_error("--requests: expected at least 1");
  return O;
}

Figures measure(const std::string &What, const Setup &S, const Counts &C) {
  if (What == "arrival" && S.Queued_ == 0)
    return measureArrivalIdle(S, C);
  if (What == "arrival" || What == "turnover")
    return measureArrivalQueued(S, C, What == "turnover");
  return What == "refusal" ? measureRefusal(S, C) : measureTick(S, C);
}

boost::json::object measureRow(const std::string &What, const Setup &S,
                               const Counts &C) {
  Figures F = measure(What, S, C);
  std::printf("%-8s %9zu %7zu %-10s %9.2f %9.2f %9.2f\n", What.c_str(),
              S.Endpoints_, S.Queued_, S.Parts_.Name_.c_str(), F.Median_,
              F.P99_, F.Mean_);
  std::fflush(stdout);
  return {{"measure", What},        {"endpoints", S.Endpoints_},
          {"queued", S.Queued_},    {"parts", S.Parts_.Name_},
          {"median_us", F.Median_}, {"p99_us", F.P99_},
          {"mean_us", F.Mean_}};
}

void run(const Options &O) {
  boost::json::array Rows;
  std::printf("%-8s %9s %7s %-10s %9s %9s %9s\n", "measure", "endpoints",
              "queued", "parts", "median us", "p99 us", "mean us");
  for (const std::string &What : O.Measures_)
    for (std::size_t Endpoints : O.Endpoints_)
      for (std::size_t Queued : O.Queued_)
        for (const TrafficParts &P : measuredParts())
          if (isWanted(O.Parts_, P.Name_) && (What != "turnover" || Queued > 0))
            Rows.push_back(measureRow(
                What, {.Parts_ = P, .Endpoints_ = Endpoints, .Queued_ = Queued},
                O.Counts_));
  if (!O.Json_.empty())
    std::ofstream(O.Json_) << boost::json::serialize(Rows) << '\n';
}

} // namespace
} // namespace hawthornroad

int main(int Argc, char **Argv) {
  try {
    hawthornroad::run(hawthornroad::parse(Argc, Argv));
  } catch (const std::exception &E) {
    std::cerr << "TrafficBench: " << E.what() << '\n';
    return 2;
  }
}
