// A pool of idle connections to endpoints, by endpoint.
//
//   LinkPool Pool(Context, Options);
//   std::shared_ptr<ClientLink> L = Pool.take(Id, "10.0.0.7:80");
//   L->send(...);
//   Pool.putBack(Id, L);               // after a complete answer
//   L = Pool.take(Id, Address, {L->number()});   // not this one again
//   L = Pool.open("10.0.0.7:80");      // one that has carried nothing
//   Pool.retainOnly(Ids);                 // endpoints that still exist
//
// New connections are expensive, so one is reused while the endpoint keeps it
// open. An endpoint closes idle connections after a timeout that it may
// announce; a request that crosses that close cannot be told from one that ran.
// So a connection idle for longer than the announced timeout less
// SafetyMargin_, or than DefaultMaxIdle_, is closed here and never reused. The
// most recently used connection is taken first, so that the extra connections
// of a burst expire.
//
// An endpoint may send an answer twice, the second copy late: where the next
// answer on that connection is expected. Answers name their request, but not
// which attempt of it, so a further attempt must not use a connection that has
// carried an earlier one. An answer that names no request can only be matched
// on a connection that has carried nothing before, see ClientLink::isReused().

#ifndef HAWTHORNROAD_HTTP_LINKPOOL_H
#define HAWTHORNROAD_HTTP_LINKPOOL_H

#include "hawthornroad/http/ClientLink.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace hawthornroad {

class LinkPool {
public:
  struct Options {
    ClientLink::Options Link_;
    // Covers a round trip to the farthest zone and a pause of either process.
    Duration SafetyMargin_ = Milliseconds(400);
    // For endpoints that announce no timeout.
    Duration DefaultMaxIdle_ = Milliseconds(700);
    std::size_t MaxIdlePerEndpoint_ = 32;
  };

  LinkPool(boost::asio::io_context &Context, Options O)
      : Context_(Context), Options_(O) {}
  ~LinkPool();

  using Numbers = std::set<std::uint64_t>;

  // None of the connections with Excluded numbers.
  std::shared_ptr<ClientLink> take(const std::string &Endpoint,
                                   const std::string &Address,
                                   const Numbers &Excluded = {});
  // A new connection.
  std::shared_ptr<ClientLink> open(const std::string &Address);
  void putBack(const std::string &Endpoint,
               const std::shared_ptr<ClientLink> &Link);
  // Closes the idle connections of all other endpoints.
  void retainOnly(const std::set<std::string> &Endpoints);
  // Closes an endpoint's idle connections: they belong to a process that has
  // ended.
  void drop(const std::string &Endpoint);
  // Closes idle connections that may not be reused any more.
  void sweep(TimePoint Now);

  std::uint64_t opened() const { return Opened_; }

private:
  bool isReusable(const ClientLink &L, TimePoint Now) const;

  boost::asio::io_context &Context_;
  Options Options_;
  std::map<std::string, std::vector<std::shared_ptr<ClientLink>>> Idle_;
  std::uint64_t Opened_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_HTTP_LINKPOOL_H
