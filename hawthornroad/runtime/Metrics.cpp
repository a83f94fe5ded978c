#include "hawthornroad/runtime/Metrics.h"

#include <boost/histogram.hpp>
#include <mutex>
#include <sstream>

namespace hawthornroad {

namespace bh = boost::histogram;

namespace {
constexpr unsigned Buckets = 42; // six per decade
constexpr double Lowest = 1e-4;
constexpr double Highest = 1e3;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Counts = decltype(bh::make_histogram(LogAxis(1, 1.0, 2.0)));

struct Series {
  Counts Counts_ = bh::make_histogram(LogAxis(Buckets, Lowest, Highest));
  double Sum_ = 0;
  std::uint64_t Total_ = 0;
};

std::string escape(const std::string &Text) {
  std::string Out;
  for (char C : Text) {
    if (C == '"' || C == '\\')
      Out.push_back('\\');
    Out += C == '\n' ? std::string("\\n") : std::string(1, C);
  }
  return Out;
}

std::string labelText(const Metrics::Labels &L) {
  std::string Out;
  for (const auto &[Key, Value] : L) {
    if (!Out.empty())
      Out += ",";
    Out += Key + "=\"" + escape(Value) + "\"";
  }
  return Out;
}

std::string braces(const std::string &Text) {
  return Text.empty() ? "" : "{" + Text + "}";
}

template <class T> using Family = std::map<std::string, T>;

template <class T>
T &seriesOf(std::map<std::string, Family<T>> &All, const std::string &Name,
            const Metrics::Labels &L) {
  Family<T> &Each = All[Name];
  std::string Text = labelText(L);
  if (Each.size() < Metrics::MaxSeries || Each.count(Text) != 0)
    return Each[Text];
  Metrics::Labels Other = L;
  for (auto &Pair : Other)
    Pair.second = "other";
  return Each[labelText(Other)];
}

void renderHistogram(std::ostream &Out, const std::string &Name,
                     const std::string &Text, const Series &S) {
  std::string LabelPrefix = Text.empty() ? "" : Text + ",";
  const auto &Axis = S.Counts_.axis(0);
  double Sum = S.Counts_.at(-1);
  for (int I = 0; I < Axis.size(); ++I) {
    Sum += S.Counts_.at(I);
    Out << Name << "_bucket{" << LabelPrefix << "le=\"" << Axis.bin(I).upper()
        << "\"} " << Sum << "\n";
  }
  Out << Name << "_bucket{" << LabelPrefix << "le=\"+Inf\"} " << S.Total_
      << "\n";
  Out << Name << "_sum" << braces(Text) << " " << S.Sum_ << "\n";
  Out << Name << "_count" << braces(Text) << " " << S.Total_ << "\n";
}
} // namespace

struct Metrics::State {
  mutable std::mutex Mutex_;
  std::map<std::string, Family<double>> Counters_;
  std::map<std::string, Family<double>> Gauges_;
  std::map<std::string, Family<Series>> Histograms_;
};

Metrics::Metrics() : State_(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::count(const std::string &Name, const Labels &L, double By) {
  std::lock_guard Lock(State_->Mutex_);
  seriesOf(State_->Counters_, Name, L) += By;
}

void Metrics::set(const std::string &Name, double Value, const Labels &L) {
  std::lock_guard Lock(State_->Mutex_);
  seriesOf(State_->Gauges_, Name, L) = Value;
}

void Metrics::observe(const std::string &Name, double Value, const Labels &L) {
  std::lock_guard Lock(State_->Mutex_);
  Series &S = seriesOf(State_->Histograms_, Name, L);
  S.Counts_(Value);
  S.Sum_ += Value;
  ++S.Total_;
}

double Metrics::value(const std::string &Name, const Labels &L) const {
  std::lock_guard Lock(State_->Mutex_);
  std::string Text = labelText(L);
  for (const auto *All : {&State_->Counters_, &State_->Gauges_}) {
    auto Found = All->find(Name);
    if (Found == All->end())
      continue;
    auto Value = Found->second.find(Text);
    if (Value != Found->second.end())
      return Value->second;
  }
  return 0;
}

std::string Metrics::render() const {
  std::lock_guard Lock(State_->Mutex_);
  std::ostringstream Out;
  Out.precision(12);
  auto Plain = [&](const std::map<std::string, Family<double>> &All,
                   const char *Kind) {
    for (const auto &[Name, Each] : All) {
      Out << "# TYPE " << Name << " " << Kind << "\n";
      for (const auto &[Text, Value] : Each)
        Out << Name << braces(Text) << " " << Value << "\n";
    }
  };
  Plain(State_->Counters_, "counter");
  Plain(State_->Gauges_, "gauge");
  for (const auto &[Name, Each] : State_->Histograms_) {
    Out << "# TYPE " << Name << " histogram\n";
    for (const auto &[Text, S] : Each)
      renderHistogram(Out, Name, Text, S);
  }
  return Out.str();
}

} // namespace hawthornroad
