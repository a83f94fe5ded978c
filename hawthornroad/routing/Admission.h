// Decides which requests are admitted, queued or rejected on arrival.
//
//   Admission A{Random(Seed)};
//   A.configure(Declaration, LiveEntries);
//   switch (A.offer(Request, Load, Now).Kind_) {
//   case Verdict::Admit:  dispatch
//   case Verdict::Queue:  wait until next() returns it
//   case Verdict::Refuse: answer not-run with RetryAfter_
//   }
//   while (auto Id = A.next(Service, Now))       // when a place is freed
//     dispatch(*Id);
//   if (endpointRefused) A.requeue(Id);          // it did not run: queue again
//   for (const auto &Out : A.expire(Now)) refuse(Out);
//
// Each customer has a token bucket and a limit of requests in progress, both
// divided by the number of live entries. Because traffic reaches entries
// unevenly, each entry may use twice its even share, so the fleet's limit is
// twice the declared one. Each service has one queue, served by start-time fair
// queueing: within a priority class, customers get places in proportion to
// their weights. Classes are served in order, but a lower class keeps a small
// guaranteed share. A request is refused on arrival when the backlog before it
// makes its deadline unreachable. When the queue is full, the request with the
// longest expected wait is refused: the latest of the customer with the largest
// backlog, which need not be the new one. RetryAfter is the time the backlog
// needs to drain, with jitter, so that refused callers do not retry in step.
//
// No I/O, no clock, no threads. Limit: the declared queue length per service.

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
  // For humans: the customer, service or dependency concerned.
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
  // The chooser's current view of the service.
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
  // Dequeues the service's next request in fair order and counts it as
  // admitted. Call only when there is a free place.
  std::optional<RequestId> next(const ServiceName &Service, TimePoint Now);
  // Puts an admitted request back at the head of its customer's queue after an
  // endpoint refused its attempt, which did not run. Returns false when the
  // request is not admitted.
  bool requeue(RequestId Id);
  // Records that an admitted request ended after Took (dispatch to end), or
  // removes a queued one. Unknown ids are ignored.
  void finished(RequestId Id, Duration Took, TimePoint Now);
  // Removes and returns the queued requests whose deadline has passed or can no
  // longer be met.
  std::vector<Refusal> expire(TimePoint Now);

  std::size_t waiting(const ServiceName &Service) const;
  // The customer's admitted and queued requests.
  std::size_t inProgress(const Customer &C) const;
  // The retry delay for a refusal decided elsewhere (no endpoint, a platform
  // outage): based on the backlog, jittered, at least 200 ms.
  Duration retryAfter(const ServiceName &Service, TimePoint Now);

private:
  struct State;
  std::unique_ptr<State> State_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_ADMISSION_H
