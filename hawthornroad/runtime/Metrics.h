// Counters, gauges and histograms of one process, rendered as Prometheus text.
//
//   Metrics M;
//   M.count("hawthornroad_requests_total", {{"outcome", "answered"}});
//   M.observe("hawthornroad_first_token_seconds", 0.12,
//             {{"customer", "hp-travel"}, {"priority", "normal"}});
//   M.set("hawthornroad_revision", 17);
//   std::string Page = M.render();
//
// Histograms are Boost.Histogram with logarithmic buckets from 100 us to
// 1000 s, one per label set. Limit: MaxSeries label sets per name; further
// ones are counted under the label value "other", so that a flood of invented
// customer names cannot exhaust the memory. Thread-safe: one lock per call,
// about 200 ns.

#ifndef HAWTHORNROAD_RUNTIME_METRICS_H
#define HAWTHORNROAD_RUNTIME_METRICS_H

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hawthornroad {

class Metrics {
public:
  using Labels = std::vector<std::pair<std::string, std::string>>;
  static constexpr std::size_t MaxSeries = 256;

  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  void count(const std::string &Name, const Labels &L = {}, double By = 1);
  void set(const std::string &Name, double Value, const Labels &L = {});
  // Value is in the unit of the name's suffix, usually seconds.
  void observe(const std::string &Name, double Value, const Labels &L = {});
  // Current value of a counter or gauge; 0 when absent.
  double value(const std::string &Name, const Labels &L = {}) const;

  std::string render() const;

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_METRICS_H
