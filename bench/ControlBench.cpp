// Measures cost and speed of membership and configuration, depending on the
// number of processes.
//
//   build/ControlBench [--seed N] [SIZE...]      (16 64 256 1024 by default)
//
// Runs SIZE ControlCores in four zones on one thread, with a message loop that
// delivers after 1 ms of model time. All times are model time, except processor
// time. Bytes are those of the encoded frames. Prints a table, then one line of
// JSON.

#include "hawthornroad/peers/ControlCodec.h"
#include "tests/unit/ControlLoop.h"

#include <algorithm>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <cstdlib>
#include <cstring>

using namespace hawthornroad;
namespace json = boost::json;

namespace {

using Kind = MemberChange::Kind;
constexpr std::size_t Changes = 100;
constexpr Duration ChangeEvery = Milliseconds(1500);
constexpr double Period = 0.3;

double seconds(Duration D) { return std::chrono::duration<double>(D).count(); }

struct Percentiles {
  double P50_ = 0;
  double P99_ = 0;
  double Max_ = 0;
};

Percentiles percentilesOf(std::vector<double> Values) {
  if (Values.empty())
    return {};
  std::sort(Values.begin(), Values.end());
  auto At = [&](double Share) {
    auto I =
        static_cast<std::size_t>(Share * static_cast<double>(Values.size()));
    return Values[std::min(I, Values.size() - 1)];
  };
  return {At(0.5), At(0.99), Values.back()};
}

// Messages, bytes and processor time of all processes since reset().
struct Cost {
  std::uint64_t Messages_ = 0;
  std::uint64_t Probes_ = 0;
  std::uint64_t Bytes_ = 0;
  std::chrono::nanoseconds Decisions_{};
  std::chrono::nanoseconds Encoding_{};
};

struct Row {
  std::size_t Size_ = 0;
  double JoinSeconds_ = 0;
  double ProbesPerSecond_ = 0;
  double MessagesPerSecond_ = 0;
  double IdleBytes_ = 0;
  double ChangeBytes_ = 0;
  double ReportBytes_ = 0;
  double EntryReceived_ = 0;
  double CpuNs_ = 0;
  double TableReads_ = 0;
  Percentiles InForce_;
  Percentiles Known_;
  Percentiles Detected_;
  Percentiles DetectedByAll_;
  double Refutations_ = 0;
  double FalseDeaths_ = 0;
};

class Bench {
public:
  Bench(std::size_t Size, std::uint64_t Seed)
      : Loop_({.Nodes_ = Size, .Zones_ = 4, .Seed_ = Seed},
              Chart::load("charts", "member", memberChartNames())) {
    Loop_.Observer_ = [this](const ControlLoop::Node &, const ControlSend &S) {
      note(S);
    };
    Loop_.Meter_ = [this](const std::function<void()> &Call) {
      auto Start = std::chrono::steady_clock::now();
      Call();
      Cost_.Decisions_ += std::chrono::steady_clock::now() - Start;
    };
    Row_.Size_ = Size;
  }

  Row run() {
    join();
    steady();
    changes();
    deaths();
    reports();
    losses();
    return Row_;
  }

private:
  void note(const ControlSend &S) {
    auto Start = std::chrono::steady_clock::now();
    std::size_t Size = encodeControl(S.Message_)->size() + 4;
    Cost_.Encoding_ += std::chrono::steady_clock::now() - Start;
    ++Cost_.Messages_;
    Cost_.Bytes_ += Size;
    if (std::holds_alternative<ProbeMessage>(S.Message_))
      ++Cost_.Probes_;
    if (std::holds_alternative<ReportMessage>(S.Message_))
      ReportBytes_ += Size;
  }

  double perProcessSecond(double Total, Duration Over) const {
    return Total / static_cast<double>(Loop_.size()) / seconds(Over);
  }

  bool each(const std::function<bool(ControlLoop::Node &)> &Holds) {
    for (std::size_t I = 0; I < Loop_.size(); ++I)
      if (Loop_.node(I).Up_ && !Holds(Loop_.node(I)))
        return false;
    return true;
  }

  void join() {
    TimePoint Start = Loop_.now();
    Loop_.accept();
    Loop_.runUntil(
        [&] {
          return each([&](ControlLoop::Node &N) {
            return N.Core_->ready() &&
                   N.Core_->table().live().size() == Loop_.size() - 1;
          });
        },
        Seconds(300));
    Row_.JoinSeconds_ = seconds(Loop_.now() - Start);
    Loop_.run(Seconds(20));
  }

  void steady() {
    constexpr Duration Over = Seconds(30);
    Cost_ = {};
    std::uint64_t Reads = Loop_.TableReads_;
    Loop_.run(Over);
    Row_.ProbesPerSecond_ =
        perProcessSecond(static_cast<double>(Cost_.Probes_), Over);
    Row_.MessagesPerSecond_ =
        perProcessSecond(static_cast<double>(Cost_.Messages_), Over);
    Row_.IdleBytes_ = perProcessSecond(static_cast<double>(Cost_.Bytes_), Over);
    Row_.CpuNs_ = perProcessSecond(
        static_cast<double>((Cost_.Decisions_ + Cost_.Encoding_).count()),
        Over);
    Row_.TableReads_ =
        static_cast<double>(Loop_.TableReads_ - Reads) / seconds(Over);
  }

  void changes() {
    std::vector<double> InForce;
    std::vector<double> Known;
    Cost_ = {};
    TimePoint Start = Loop_.now();
    for (std::size_t I = 0; I < Changes; ++I) {
      TimePoint Accepted = Loop_.now();
      Revision R = Loop_.accept();
      bool Applied = Loop_.runUntil(
          [&] {
            return each([&](ControlLoop::Node &N) {
              return N.Core_->config().log().revision() >= R;
            });
          },
          Seconds(30));
      InForce.push_back(Applied ? seconds(Loop_.now() - Accepted) : 30);
      const MemberTable &Table = Loop_.node(0).Core_->table();
      Loop_.runUntil(
          [&] {
            return std::all_of(Table.live().begin(), Table.live().end(),
                               [&](const ProcessName &Each) {
                                 return Table.find(Each)->Revision_ >= R;
                               });
          },
          Seconds(60));
      Known.push_back(seconds(Loop_.now() - Accepted));
      Loop_.run(std::max<Duration>(Duration::zero(),
                                   Accepted + ChangeEvery - Loop_.now()));
    }
    Row_.InForce_ = percentilesOf(InForce);
    Row_.Known_ = percentilesOf(Known);
    Row_.ChangeBytes_ = perProcessSecond(static_cast<double>(Cost_.Bytes_),
                                         Loop_.now() - Start);
  }

  void deaths() {
    std::vector<double> First;
    std::vector<double> All;
    for (std::size_t I = 0; I < 10; ++I) {
      ControlLoop::Node &Victim = Loop_.node(Loop_.size() - 1 - I);
      TimePoint Died = Loop_.now();
      Victim.Up_ = false;
      Loop_.runUntil(
          [&] {
            return !each([&](auto &N) { return isLive(N, Victim.Name_); });
          },
          Seconds(60));
      First.push_back(seconds(Loop_.now() - Died));
      Loop_.runUntil(
          [&] {
            return each([&](auto &N) { return !isLive(N, Victim.Name_); });
          },
          Seconds(60));
      All.push_back(seconds(Loop_.now() - Died));
      Loop_.boot(Victim, 2'000'000'000 + I);
      Loop_.run(Seconds(5));
    }
    Row_.Detected_ = percentilesOf(First);
    Row_.DetectedByAll_ = percentilesOf(All);
  }

  static bool isLive(ControlLoop::Node &N, const ProcessName &Name) {
    const Member *M = N.Core_->table().find(Name);
    return M != nullptr && M->isLive();
  }

  void reports() {
    constexpr Duration Over = Seconds(30);
    Loop_.options().LoadPeriod_ = Milliseconds(500);
    Loop_.EndpointsReport_ = true;
    // The first report of each endpoint must reach all processes; this is part
    // of start-up.
    Loop_.run(Seconds(90));
    ReportBytes_ = 0;
    Cost_ = {};
    Loop_.run(Over);
    Loop_.EndpointsReport_ = false;
    std::size_t Entries = 0;
    for (std::size_t I = 0; I < Loop_.size(); ++I)
      Entries += Loop_.isEntry(Loop_.node(I)) ? 1 : 0;
    Row_.ReportBytes_ =
        perProcessSecond(static_cast<double>(Cost_.Bytes_), Over);
    Row_.EntryReceived_ = static_cast<double>(ReportBytes_) /
                          static_cast<double>(Entries) / seconds(Over);
  }

  void losses() {
    constexpr Duration Over = Seconds(60);
    Loop_.options().Loss_ = 0.2;
    Loop_.options().LateShare_ = 0.2;
    Loop_.options().ExtraDelay_ = Milliseconds(400);
    for (std::size_t I = 0; I < Loop_.size(); ++I)
      Loop_.node(I).Changes_.clear();
    Loop_.run(Over);
    std::set<std::pair<ProcessName, Incarnation>> Dead;
    std::size_t RefutedCount = 0;
    std::size_t Died = 0;
    for (std::size_t I = 0; I < Loop_.size(); ++I)
      for (const auto &[Change, At] : Loop_.node(I).Changes_) {
        RefutedCount += Change.Kind_ == Kind::Refuted ? 1 : 0;
        Died += Change.Kind_ == Kind::Died ? 1 : 0;
      }
    double Minutes = seconds(Over) / 60 * static_cast<double>(Loop_.size());
    Row_.Refutations_ = static_cast<double>(RefutedCount) / Minutes;
    // Share of views, per minute, that show a live member as dead.
    Row_.FalseDeaths_ = static_cast<double>(Died) /
                        (Minutes * static_cast<double>(Loop_.size() - 1));
  }

  ControlLoop Loop_;
  Cost Cost_;
  std::uint64_t ReportBytes_ = 0;
  Row Row_;
};

json::object toJson(const Percentiles &S) {
  return {{"p50", S.P50_}, {"p99", S.P99_}, {"max", S.Max_}};
}

json::object toJson(const Row &R) {
  return {{"processes", R.Size_},
          {"join_s", R.JoinSeconds_},
          {"probes_per_s", R.ProbesPerSecond_},
          {"messages_per_s", R.MessagesPerSecond_},
          {"idle_bytes_per_s", R.IdleBytes_},
          {"changes_bytes_per_s", R.ChangeBytes_},
          {"reports_bytes_per_s", R.ReportBytes_},
          {"entry_report_bytes_per_s", R.EntryReceived_},
          {"cpu_ns_per_s", R.CpuNs_},
          {"table_reads_per_s", R.TableReads_},
          {"in_force_s", toJson(R.InForce_)},
          {"known_s", toJson(R.Known_)},
          {"detected_s", toJson(R.Detected_)},
          {"detected_by_all_s", toJson(R.DetectedByAll_)},
          {"refutations_per_process_min", R.Refutations_},
          {"false_deaths_per_view_min", R.FalseDeaths_}};
}

void print(const Row &R) {
  std::printf("%9zu %6.1f %7.2f %6.1f %7.0f %7.0f %7.0f %7.0f %8.0f %6.1f",
              R.Size_, R.JoinSeconds_, R.ProbesPerSecond_, R.MessagesPerSecond_,
              R.IdleBytes_, R.ChangeBytes_, R.ReportBytes_, R.EntryReceived_,
              R.CpuNs_ / 1000, R.TableReads_);
  std::printf(" %5.2f/%5.2f/%5.2f (%4.1f) %5.2f/%5.2f/%5.2f", R.InForce_.P50_,
              R.InForce_.P99_, R.InForce_.Max_, R.InForce_.P99_ / Period,
              R.Known_.P50_, R.Known_.P99_, R.Known_.Max_);
  std::printf(" %5.2f/%5.2f %5.2f/%5.2f %7.3f %9.6f\n", R.Detected_.P50_,
              R.Detected_.Max_, R.DetectedByAll_.P50_, R.DetectedByAll_.Max_,
              R.Refutations_, R.FalseDeaths_);
  std::fflush(stdout);
}

} // namespace

int main(int Count, char **Words) {
  std::uint64_t Seed = 1;
  std::vector<std::size_t> Sizes;
  for (int I = 1; I < Count; ++I) {
    if (std::strcmp(Words[I], "--seed") == 0 && I + 1 < Count)
      Seed = std::strtoull(Words[++I], nullptr, 10);
    else
      Sizes.push_back(std::strtoull(Words[I], nullptr, 10));
  }
  if (Sizes.empty())
    Sizes = {16, 64, 256, 1024};
  std::printf("processes join_s probe/s  msg/s  idle_B/s chg_B/s rep_B/s "
              "entry_B/s cpu_us/s reads/s in_force p50/p99/max s (p99 in "
              "periods) known p50/p99/max s detected p50/max by_all p50/max "
              "refutations/min false_deaths/view/min\n");
  json::array Rows;
  for (std::size_t Each : Sizes) {
    Row R = Bench(Each, Seed).run();
    print(R);
    Rows.emplace_back(toJson(R));
  }
  std::printf(
      "%s\n",
      json::serialize(json::object{{"seed", Seed}, {"rows", Rows}}).c_str());
}
