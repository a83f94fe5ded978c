// Decides which requests enter, which wait, which are refused at once.
//
//   Admission A{Random(Seed)};
//   A.configure(Declaration, LiveEntries);
//   switch (A.offer(Request, Load, Now).Kind_) {
//   case Verdict::Admit:  dispatch
//   case Verdict::Queue:  wait until next() names it
//   case Verdict::Refuse: answer not-run with RetryAfter_
//   }
//   while (auto Id = A.next(Service, Now))       // when a place came free
//     dispatch(*Id);
//   if (endpointRefused) A.requeue(Id);          // it did not run: wait again
//   for (const auto &Out : A.expire(Now)) refuse(Out);
//
// The idea. Each customer has a token bucket and a bound of requests in
// progress, divided by the number of live entries; as traffic reaches entries
// unevenly each may use twice its even share, so that the fleet's bound is
// twice the declared one. Waiting requests stand in one queue a service, served
// by start-time fair queueing: within a priority class, customers get places in
// proportion to their weights; classes are served in order, yet a lower class
// keeps a small guaranteed share. A request whose deadline cannot be met by the
// backlog before it is refused on arrival, as is the one that would wait
// longest when the queue is full (the most backlogged customer's latest, not
// the newcomer, when those differ). RetryAfter is the time the backlog needs to
// drain, jittered, so that refused callers do not come back together.
//
// No I/O, no clock, no threads. Bounds: the declared queue per service.

#ifndef HAWTHORNROAD_ROUTING_ADMISSION_H
#define HAWTHORNROAD_ROUTING_ADMISSION_H

#include "hawthornroad/base/Random.h"
#include "hawthornroad/base/Types.h"
#include "hawthornroad/config/Declaration.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hawthornroad {

enum class RefusalCause {
  UnknownService,
  UnknownCustomer,
  CustomerRate,     // 429: the customer's token bucket is empty
  CustomerInFlight, // 429: the customer has too many in progress
  QueueFull,        // 503
  DeadlineTooShort, // 503: the backlog alone takes longer
  DeadlinePassed,   // 504: waited until its deadline, never dispatched
  NoEndpoint,       // 503: no ready endpoint
  DependencyDown,   // 503: a service it depends on has no ready endpoint
  Draining,         // 503: this entry is stopping
  ProcessBusy       // 503: a ring of this process is full
};
std::string_view toString(RefusalCause C);
unsigned httpStatus(RefusalCause C);

struct Refusal {
  RequestId Request_;
  RefusalCause Cause_ = RefusalCause::QueueFull;
  Duration RetryAfter_ = Duration::zero();
  // For people: which customer, service or dependency.
  std::string Detail_;
  bool operator==(const Refusal &) const = default;
};

class Admission {
public:
  struct Request {
    RequestId Id_;
    Customer Customer_;
    ServiceName Service_;
    Priority Priority_ = Priority::Normal;
    TimePoint Deadline_;
    bool operator==(const Request &) const = default;
  };
  // What the chooser knows of the service at this moment.
  struct Load {
    bool HasRoom_ = false;
    std::size_t ReadyEndpoints_ = 0;
    std::size_t Places_ = 0;
    // First service in the dependency closure without a ready endpoint.
    ServiceName DownDependency_;
  };
  enum class Verdict { Admit, Queue, Refuse };
  struct Answer {
    Verdict Kind_ = Verdict::Refuse;
    Refusal Refusal_; // when Kind_ is Refuse
    // A request evicted from the queue in favour of this one.
    std::optional<Refusal> Evicted_;
  };

  explicit Admission(Random Rng);
  ~Admission();

  // LiveEntries is the number of entries that share the limits, at least 1.
  void configure(std::shared_ptr<const Declaration> D, std::size_t LiveEntries);

  Answer offer(const Request &R, const Load &L, TimePoint Now);
  // The next waiting request of the service in fair order; it counts as
  // admitted. Call only when there is room.
  std::optional<RequestId> next(const ServiceName &Service, TimePoint Now);
  // An endpoint refused the admitted request's attempt, which did not run: the
  // request waits again, as its customer's next. False when it is not admitted.
  bool requeue(RequestId Id);
  // An admitted request ended after Took (dispatch to end); waiting ones are
  // taken out. Unknown ids are ignored.
  void finished(RequestId Id, Duration Took, TimePoint Now);
  // Waiting requests whose deadline passed, or can no longer be met.
  std::vector<Refusal> expire(TimePoint Now);

  std::size_t waiting(const ServiceName &Service) const;
  // Requests of the customer that are admitted or wait.
  std::size_t inProgress(const Customer &C) const;
  // The time to come back for a refusal decided elsewhere (no endpoint, a
  // platform outage): backlog-based and jittered, at least 200 ms.
  Duration retryAfter(const ServiceName &Service, TimePoint Now);

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_ADMISSION_H
