// Kept connections to endpoints, by endpoint.
//
//   LinkPool Pool(Context, Options);
//   std::shared_ptr<ClientLink> L = Pool.take(Id, "10.0.0.7:80");
//   L->send(...);
//   Pool.giveBack(Id, L);               // after a whole answer
//   Pool.keepOnly(Ids);                 // endpoints that are still there
//
// New connections are dear, so one is used again while the endpoint keeps it.
// An endpoint closes unused ones after a time it may name; a request that meets
// that close cannot be told from one that ran. So a connection unused for
// longer than the named time less SafetyGap, or than UnnamedIdle, is closed
// here and never used. The most lately used connection goes first, so spares
// of a burst fall out of use and end.

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
    // Round trip to the farthest zone and a pause of either process.
    Duration SafetyGap_ = Milliseconds(400);
    // For endpoints that name no time.
    Duration UnnamedIdle_ = Milliseconds(700);
    std::size_t SparePerEndpoint_ = 32;
  };

  LinkPool(boost::asio::io_context &Context, Options O)
      : Context_(Context), Options_(O) {}
  ~LinkPool();

  std::shared_ptr<ClientLink> take(const std::string &Endpoint,
                                   const std::string &Address);
  void giveBack(const std::string &Endpoint,
                const std::shared_ptr<ClientLink> &Link);
  // Closes the spares of all others.
  void keepOnly(const std::set<std::string> &Endpoints);
  // Closes an endpoint's spares: they belong to a start that has ended.
  void drop(const std::string &Endpoint);
  // Closes spares that may not be used any more.
  void sweep(TimePoint Now);

  std::uint64_t opened() const { return Opened_; }

private:
  bool isFit(const ClientLink &L, TimePoint Now) const;

  boost::asio::io_context &Context_;
  Options Options_;
  std::map<std::string, std::vector<std::shared_ptr<ClientLink>>> Spare_;
  std::uint64_t Opened_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_HTTP_LINKPOOL_H
