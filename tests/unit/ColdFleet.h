// A fleet of entries before endpoints that are cold at times, without network:
// every entry is a TrafficCore, and agents grant places and requests to cold
// endpoints. Counts what arrives at an endpoint while it is cold.
//
//   ColdFleet F({.Entries_ = 45});
//   F.cool(0, Start + Seconds(10));          // endpoint 0 becomes cold
//   F.run(Seconds(20));
//   F.excess();                              // of the worst second
//
// All endpoints start with the fleet and are cold. Times and seeds are fixed by
// the options, so every run of one seed is alike.

#ifndef HAWTHORNROAD_TESTS_UNIT_COLDFLEET_H
#define HAWTHORNROAD_TESTS_UNIT_COLDFLEET_H

#include "hawthornroad/traffic/ColdGrants.h"
#include "tests/unit/SimulatedFleet.h"

#include <memory>
#include <set>
#include <vector>

namespace hawthornroad::traffic_test {

class ColdFleet : public SimulatedFleet {
public:
  struct Options {
    unsigned Entries_ = 9;
    unsigned Endpoints_ = 6;
    // Engines have agents beside them, plain endpoints have none.
    bool IsEngine_ = true;
    // The engines end fewer requests a second than they bear while cold.
    bool IsSlowEngine_ = true;
    bool HasAgents_ = true;
    // Of the entries, this many reach no agent.
    unsigned Agentless_ = 0;
    // How much longer than a round trip agents take to answer.
    Duration AgentDelay_ = Duration::zero();
    // For comparison: entries and agents do not know that endpoints are cold.
    bool KnowsCold_ = true;
    // Endpoints answer health checks.
    bool AnswersHealth_ = true;
    // The health answers are late copies of answers to requests.
    bool SendsCopies_ = false;
    // Endpoints reject health checks while they are cold, and this share of the
    // others, without a word of being cold.
    bool RejectsHealthWhileCold_ = false;
    double RejectedHealth_ = 0;
    // Entries know how many they are.
    bool KnowsEntries_ = true;
    // Endpoints may become cold; without, no rule holds.
    double ColdPerSecond_ = 15;
    Duration ColdFor_ = Seconds(3);
    // Requests a second of all entries together.
    double RequestsPerSecond_ = 360;
    std::uint64_t Seed_ = 1;
  };
  struct Refusal {
    TimePoint At_;
    Duration After_;
    Cause Cause_ = Cause::None;
    Duration RetryAfter_;
  };
  struct Arrival {
    TimePoint At_;
    unsigned Entry_ = 0;
    bool operator==(const Arrival &) const = default;
  };

  explicit ColdFleet(Options O);
  ~ColdFleet();

  // The endpoint becomes cold without a restart. Entries read its row up to
  // three seconds later.
  void cool(unsigned Endpoint, TimePoint At);
  // The endpoint restarts under its id.
  void restartEndpoint(unsigned Endpoint, TimePoint At);
  void restartEntry(unsigned Entry, TimePoint At);
  void restartAgent(unsigned Agent, TimePoint At);
  // The agent answers no query in this span.
  void silence(unsigned Agent, TimePoint From, TimePoint To);
  // The endpoint answers no health check in this span.
  void silenceHealth(unsigned Endpoint, TimePoint From, TimePoint To);
  // In this span nothing is sent to the second half of the endpoints, which are
  // cold when it ends.
  void evacuate(TimePoint From, TimePoint To);
  // From At on, this many times the requests come.
  void jump(TimePoint At, double Factor);

  // The most requests that arrived at a cold endpoint in any one second, above
  // what the rule allows; negative or zero when the rule holds.
  double excess() const;
  std::size_t arrivals(unsigned Endpoint, TimePoint From, TimePoint To) const;
  const std::vector<Arrival> &arrivals(unsigned Endpoint) const;
  const std::vector<Refusal> &refusals() const { return Refusals_; }
  std::size_t served(TimePoint From, TimePoint To) const;
  // Health checks answered, and requests that arrived at endpoints.
  std::size_t healthChecks() const { return HealthChecks_; }
  std::size_t allArrivals() const;

private:
  struct Entry;
  struct Server;
  void start(Entry &E);
  void tick(Entry &E);
  void nextRequest(Entry &E);
  void checkHealth(Entry &From, AttemptNumber A, unsigned Endpoint);
  void arriveAt(unsigned Endpoint, Entry &From, AttemptNumber A,
                const std::string &RequestId);
  PlaceReply decide(Server &Granter, Entry &From, const PlaceDemand &D,
                    bool IsOnlyLimit);
  AskResult send(Entry &From, AttemptNumber A, unsigned Agent,
                 const PlaceDemand &D, bool IsOnlyLimit);
  // Writes the endpoint's row, which each entry reads at a time of its own.
  void publish(unsigned Endpoint, bool IsNewStart);
  void showRow(Entry &E, unsigned Endpoint);
  bool isEvacuated(unsigned Endpoint) const;
  unsigned indexOf(const std::string &Address) const;

  Options Options_;
  Random Random_;
  SharedConfig Config_;
  std::vector<std::unique_ptr<Entry>> Entries_;
  std::vector<std::unique_ptr<Server>> Servers_;
  std::vector<Refusal> Refusals_;
  std::vector<TimePoint> Served_;
  std::size_t HealthChecks_ = 0;
  TimePoint EvacuatedFrom_ = TimePoint::max();
  TimePoint EvacuatedTo_ = TimePoint::max();
  TimePoint JumpAt_ = TimePoint::max();
  double JumpFactor_ = 1;
};

} // namespace hawthornroad::traffic_test

#endif // HAWTHORNROAD_TESTS_UNIT_COLDFLEET_H
