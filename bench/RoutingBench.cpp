// Compares the policy of the request path with baselines, in model time.
//
//   RoutingBench [--seeds N] [--scenario NAME] [--json FILE] [--no-cost]
//
// Prints a table of scenarios and policies, and the cost of one decision; with
// --json, the same figures to a file.

#include "bench/RoutingModel.h"
#include "hawthornroad/base/Random.h"
#include "hawthornroad/config/Declaration.h"
#include "hawthornroad/routing/Admission.h"
#include "hawthornroad/routing/Chooser.h"

#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <iostream>

namespace hawthornroad {
namespace {

struct Options {
  std::size_t Seeds_ = 5;
  std::string Scenario_;
  std::string Json_;
  bool HasCost_ = true;
};

// One row of the table: a policy in a scenario over all seeds.
struct Row {
  std::string Scenario_;
  std::string Policy_;
  double FirstP50_ = 0, FirstP99_ = 0;
  double EndP50_ = 0, EndP99_ = 0;
  double Goodput_ = 0, Small_ = 0, SmallWorst_ = 1, Large_ = 0;
  double InTime_ = 0, Refused_ = 0, Failed_ = 0;
  double Amplification_ = 0, Hits_ = 0, Fairness_ = 0;
};

struct Cost {
  std::string What_;
  double Nanoseconds_ = 0;
};

std::vector<Scenario> scenarios() {
  Scenario Base;
  Base.Name_ = "lag";
  std::vector<Scenario> Out = {Base};
  auto Add = [&](std::string Name) -> Scenario & {
    Out.push_back(Base);
    Out.back().Name_ = std::move(Name);
    return Out.back();
  };
  Add("lag-busy").Load_ = 0.9;
  Scenario &Wide = Add("lag-many");
  Wide.EntriesPerZone_ = 10;
  Wide.EndpointsPerZone_ = 50;
  Wide.Seconds_ = 45;
  Add("slow").SlowEndpoints_ = 1;
  Add("fails-fast").FailingEndpoints_ = 1;
  Add("fails-most").FailingEndpoints_ = 10;
  Scenario &Burst = Add("burst");
  Burst.Load_ = 0.8;
  Burst.BurstFactor_ = 4;
  Add("prefixes").Prefixes_ = 150;
  Add("overload").Load_ = 2;
  return Out;
}

std::vector<ModelPolicy> policies() {
  return {
      {.Name_ = "hawthornroad"},
      {.Name_ = "round robin",
       .Choice_ = ChoiceKind::RoundRobin,
       .HasLimits_ = false},
      {.Name_ = "least reported",
       .Choice_ = ChoiceKind::LeastReported,
       .HasLimits_ = false},
      {.Name_ = "no limits", .HasLimits_ = false},
      {.Name_ = "naive retry", .HasRetryBudget_ = false},
      {.Name_ = "oracle", .Choice_ = ChoiceKind::Oracle},
  };
}

Row measure(const Scenario &S, const ModelPolicy &P, std::size_t Seeds) {
  Row Out{.Scenario_ = S.Name_, .Policy_ = P.Name_};
  std::vector<double> First, End;
  const auto N = static_cast<double>(Seeds);
  for (std::size_t Seed = 1; Seed <= Seeds; ++Seed) {
    ModelResult R = runModel(S, P, Seed);
    First.insert(First.end(), R.FirstToken_.begin(), R.FirstToken_.end());
    End.insert(End.end(), R.End_.begin(), R.End_.end());
    const auto Offered = static_cast<double>(R.Offered_);
    Out.Goodput_ += R.Goodput_ / N;
    Out.Small_ += R.Small_ / N;
    Out.SmallWorst_ = std::min(Out.SmallWorst_, R.SmallWorst_);
    Out.Large_ += R.Large_ / N;
    Out.InTime_ += double(R.InTime_) / Offered / N;
    Out.Refused_ += double(R.Refused_) / Offered / N;
    Out.Failed_ += double(R.Failed_) / Offered / N;
    Out.Amplification_ += R.amplification() / N;
    Out.Hits_ += R.HitShare_ / N;
    Out.Fairness_ += R.Fairness_ / N;
  }
  Out.FirstP50_ = quantile(First, 0.5);
  Out.FirstP99_ = quantile(First, 0.99);
  Out.EndP50_ = quantile(End, 0.5);
  Out.EndP99_ = quantile(End, 0.99);
  return Out;
}

void printHeader() {
  std::printf("%-11s %-15s %6s %6s %6s %6s %7s %6s %7s %6s %6s %6s %6s %5s "
              "%6s\n",
              "scenario", "policy", "ttft50", "ttft99", "end50", "end99",
              "goodput", "small", "s.worst", "large", "refusd", "failed",
              "amplif", "hits", "fair");
}

void print(const Row &R) {
  std::printf("%-11s %-15s %6.3f %6.3f %6.3f %6.3f %7.3f %6.3f %7.3f %6.3f "
              "%6.3f %6.3f %6.3f %5.2f %6.3f\n",
              R.Scenario_.c_str(), R.Policy_.c_str(), R.FirstP50_, R.FirstP99_,
              R.EndP50_, R.EndP99_, R.Goodput_, R.Small_, R.SmallWorst_,
              R.Large_, R.Refused_, R.Failed_, R.Amplification_, R.Hits_,
              R.Fairness_);
  std::fflush(stdout);
}

// Mean duration of one call of Work in nanoseconds.
template <class F> double timed(std::size_t Count, F Work) {
  auto Begin = std::chrono::steady_clock::now();
  for (std::size_t I = 0; I < Count; ++I)
    Work(I);
  std::chrono::duration<double, std::nano> Took =
      std::chrono::steady_clock::now() - Begin;
  return Took.count() / static_cast<double>(Count);
}

std::vector<Cost> chooserCosts(std::size_t Endpoints) {
  constexpr std::size_t Zones = 16;
  constexpr std::size_t Count = 200000;
  const ServiceName Service("copywriter-lm");
  Chooser C(Random(1), AvailabilityZone("zone-0"));
  TimePoint Now{Seconds(1000)};
  std::vector<EndpointStatus> All;
  for (std::size_t I = 0; I < Endpoints; ++I) {
    EndpointStatus S;
    S.Vm_ = Vm("vm-" + std::to_string(I));
    S.Zone_ = AvailabilityZone("zone-" + std::to_string(I % Zones));
    S.Service_ = Service;
    S.Phase_ = EndpointPhase::Ready;
    S.Capacity_ = 8;
    All.push_back(S);
    C.update(S, Now);
  }
  auto Attempt = [&](std::uint64_t Prefix) {
    Now += std::chrono::microseconds(50);
    auto V = C.choose({.Service_ = Service, .PrefixHash_ = Prefix}, Now);
    C.dispatched(*V, Now);
    C.finished(*V, Chooser::Result::Answered, Now);
  };
  const std::string Of = " of " + std::to_string(Endpoints) + " endpoints";
  std::vector<Cost> Out;
  Out.push_back({"choose, dispatched, finished" + Of,
                 timed(Count, [&](std::size_t) { Attempt(0); })});
  Out.push_back({"the same with a prefix" + Of,
                 timed(Count, [&](std::size_t I) { Attempt(I % 999 + 1); })});
  Out.push_back({"update" + Of, timed(Count, [&](std::size_t I) {
                   EndpointStatus &S = All[I % All.size()];
                   ++S.Sequence_;
                   C.update(S, Now);
                 })});
  return Out;
}

Cost admissionCost() {
  constexpr std::size_t Waiting = 200;
  constexpr std::size_t Count = 100000;
  hawthornroad::Service S;
  S.Name_ = ServiceName("copywriter-lm");
  S.Vms_ = {"vm-*"};
  DeclarationBuilder B;
  B.add(S);
  std::vector<Customer> Customers;
  for (std::size_t I = 0; I < 20; ++I) {
    Customers.emplace_back("customer-" + std::to_string(I));
    B.add(CustomerLimits{Customers.back(), 1, 1e9, 1e9, 1000});
  }
  Admission A{Random(1)};
  A.configure(B.build(), 1);
  TimePoint Now{Seconds(1000)};
  Admission::Load Full{.HasRoom_ = false, .ReadyEndpoints_ = 4};
  std::uint64_t Number = 0;
  auto Offer = [&] {
    ++Number;
    A.offer({RequestId{1, Number}, Customers[Number % Customers.size()],
             S.Name_, Priority::Normal, Now + Seconds(1000)},
            Full, Now);
  };
  for (std::size_t I = 0; I < Waiting; ++I)
    Offer();
  return {"offer, next, finished with 200 waiting of 20 customers",
          timed(Count, [&](std::size_t) {
            Offer();
            A.finished(*A.next(S.Name_, Now), Milliseconds(1), Now);
          })};
}

boost::json::object toJson(const Row &R) {
  return {{"scenario", R.Scenario_},
          {"policy", R.Policy_},
          {"first_token_p50_s", R.FirstP50_},
          {"first_token_p99_s", R.FirstP99_},
          {"end_p50_s", R.EndP50_},
          {"end_p99_s", R.EndP99_},
          {"goodput_of_capacity", R.Goodput_},
          {"in_time_share", R.InTime_},
          {"small_in_time_share", R.Small_},
          {"small_in_time_worst", R.SmallWorst_},
          {"large_in_time_share", R.Large_},
          {"refused_share", R.Refused_},
          {"failed_share", R.Failed_},
          {"attempts_per_request", R.Amplification_},
          {"prefix_hit_share", R.Hits_},
          {"fairness", R.Fairness_}};
}

Options parse(int Argc, char **Argv) {
  namespace po = boost::program_options;
  Options O;
  po::options_description Known("RoutingBench");
  Known.add_options()("help", "print this")("seeds", po::value(&O.Seeds_),
                                            "runs of each row")(
      "scenario", po::value(&O.Scenario_), "only this scenario")(
      "json", po::value(&O.Json_), "write the figures to this file")(
      "no-cost", "leave out the cost of one decision");
  po::variables_map Given;
  po::store(po::parse_command_line(Argc, Argv, Known), Given);
  po::notify(Given);
  if (Given.count("help")) {
    std::cout << Known;
    std::exit(0);
  }
  O.HasCost_ = Given.count("no-cost") == 0;
  return O;
}

void run(const Options &O) {
  boost::json::array Rows;
  printHeader();
  for (const Scenario &S : scenarios()) {
    if (!O.Scenario_.empty() && S.Name_ != O.Scenario_)
      continue;
    for (const ModelPolicy &P : policies()) {
      Row R = measure(S, P, O.Seeds_);
      print(R);
      Rows.push_back(toJson(R));
    }
  }
  boost::json::array Costs;
  std::vector<Cost> Measured;
  if (O.HasCost_) {
    for (std::size_t Endpoints : {16, 10000})
      for (Cost &C : chooserCosts(Endpoints))
        Measured.push_back(std::move(C));
    Measured.push_back(admissionCost());
  }
  for (const Cost &C : Measured) {
    std::printf("%8.0f ns  %s\n", C.Nanoseconds_, C.What_.c_str());
    Costs.push_back(boost::json::object{{"what", C.What_},
                                        {"nanoseconds", C.Nanoseconds_}});
  }
  if (!O.Json_.empty())
    std::ofstream(O.Json_) << boost::json::object{
        {"seeds", O.Seeds_}, {"rows", Rows}, {"costs", Costs}};
}

} // namespace
} // namespace hawthornroad

int main(int Argc, char **Argv) {
  try {
    hawthornroad::run(hawthornroad::parse(Argc, Argv));
  } catch (const std::exception &E) {
    std::cerr << "RoutingBench: " << E.what() << '\n';
    return 2;
  }
}
