// A deterministic model of one endpoint: an engine with continuous batching,
// and the agent in front of it, which accepts a bounded number of attempts.
//
//   EventQueue Events(Start);
//   EngineModel E(Events, Setup);
//   E.begin(AttemptId, Work, {.OnFirstToken_ = ..., .OnEnd_ = ...});
//   Events.runUntil(End);
//
// All running requests produce tokens at the same rate, which falls as the
// batch grows: a token takes TokenSeconds_ * (1 + LoadFactor_ * running /
// Capacity_). Work is counted in tokens: the prefill (less on a prefix hit),
// then the answer. The engine's progress is therefore a single number of
// tokens, and the request with the lowest mark (the progress at which its first
// token or its end is due) comes next: an event costs O(log n).

#ifndef HAWTHORNROAD_BENCH_ENGINEMODEL_H
#define HAWTHORNROAD_BENCH_ENGINEMODEL_H

#include "hawthornroad/base/Types.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <queue>
#include <set>
#include <unordered_map>
#include <vector>

namespace hawthornroad {

// Runs closures in order of time; closures due at the same time run in the
// order in which they were added.
class EventQueue {
public:
  explicit EventQueue(TimePoint Start) : Now_(Start) {}
  TimePoint now() const { return Now_; }
  void at(TimePoint When, std::function<void()> Work);
  void after(Duration Delay, std::function<void()> Work);
  void runUntil(TimePoint End);

private:
  struct Event {
    TimePoint When_;
    std::uint64_t Number_;
    std::function<void()> Work_;
    bool operator>(const Event &Other) const {
      return std::pair(When_, Number_) > std::pair(Other.When_, Other.Number_);
    }
  };
  TimePoint Now_;
  std::uint64_t Next_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events_;
};

// The work that one request gives to an engine.
struct EngineWork {
  // Identifies a shared prompt prefix; 0: no other request shares the prompt.
  std::uint64_t Prefix_ = 0;
  double PrefillTokens_ = 10;
  double Tokens_ = 50;
};

enum class EngineEnd { Done, Refused, Failed };

class EngineModel {
public:
  struct Setup {
    std::size_t Capacity_ = 8;
    // Attempts beyond Capacity_ wait. At most WaitingShare_ of Capacity_ may
    // wait when Bounded_ is set, any number otherwise.
    bool Bounded_ = true;
    double WaitingShare_ = 0.25;
    double TokenSeconds_ = 0.02;
    double LoadFactor_ = 0.5;
    double SlowFactor_ = 1;
    bool FailsFast_ = false;
    std::size_t PrefixCacheSize_ = 24;
    // Share of the prefill that a prefix hit saves.
    double PrefixHitSaving_ = 0.9;
  };
  struct Callbacks {
    std::function<void()> OnFirstToken_;
    std::function<void(EngineEnd)> OnEnd_;
  };
  struct Counters {
    std::size_t PrefixHits_ = 0;
    std::size_t PrefixMisses_ = 0;
  };

  EngineModel(EventQueue &Events, Setup S) : Events_(Events), Setup_(S) {}

  void begin(std::uint64_t Id, const EngineWork &W, Callbacks C);
  // No callback of this attempt is called afterwards.
  void cancel(std::uint64_t Id);

  std::size_t running() const { return Running_.size(); }
  std::size_t waiting() const { return Waiting_.size(); }
  std::size_t inProgress() const { return running() + waiting(); }
  const Setup &setup() const { return Setup_; }
  const Counters &counters() const { return Counters_; }
  double stepSeconds() const;

private:
  struct Job {
    EngineWork Work_;
    Callbacks Callbacks_;
    double FirstMark_ = 0;
    double EndMark_ = 0;
    bool HasFirst_ = false;
    double nextMark() const { return HasFirst_ ? EndMark_ : FirstMark_; }
  };

  void advance();
  void admitWaiting();
  void schedule();
  void onMark();
  bool touchPrefix(std::uint64_t Prefix);

  EventQueue &Events_;
  Setup Setup_;
  Counters Counters_;
  std::unordered_map<std::uint64_t, Job> Jobs_;
  std::deque<std::uint64_t> Waiting_;
  std::set<std::uint64_t> Running_;
  // Next marks of the running jobs, lowest first.
  std::set<std::pair<double, std::uint64_t>> Marks_;
  double Progress_ = 0;
  TimePoint Updated_;
  // Incremented by each schedule(), so that superseded events are ignored.
  std::uint64_t Generation_ = 0;
  std::list<std::uint64_t> Prefixes_; // most recently used first
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_BENCH_ENGINEMODEL_H
