// Which routes and customers of one service are served so much less than all
// others that their requests are treated as the most urgent ones.
//
//   ServedShare Shares;
//   Shares.arrived(Route, Customer, Now);
//   if (Shares.isOwed(Route, Customer, Now)) queueAsUrgent();
//   Shares.begun(Route, Customer, Now);
//
// Load pattern: urgent requests alone need all places for seconds, and the less
// urgent would get none. They yield, but none is to be served at less than a
// quarter of the rate at which all requests together are. A route or customer
// is owed while its share of begun among arrived requests is below OwedBelow of
// the same share of all.
//
// Counts decay exponentially, so only the last seconds matter. Nothing is owed
// until enough requests of the key have arrived: with fewer, a share that low
// is common by chance.
//
// No I/O, no clock, no threads. At most MaxKeys routes and as many customers
// are counted; above that the one with the fewest requests is dropped. Cost: a
// look-up, and one pass over the keys when one is dropped.

#ifndef HAWTHORNROAD_TRAFFIC_SERVEDSHARE_H
#define HAWTHORNROAD_TRAFFIC_SERVEDSHARE_H

#include "hawthornroad/base/Types.h"

#include <cstddef>
#include <string>
#include <unordered_map>

namespace hawthornroad {

class ServedShare {
public:
  struct Options {
    // The limit is a quarter. Entries see different parts of the traffic, so
    // the share of all of them together differs from each one's.
    double OwedBelow_ = 0.4;
    // An entry sees about four requests of a route a second: 20 in this time.
    Duration RouteMemory_ = Seconds(5);
    // It sees less than one request of most customers a second.
    Duration CustomerMemory_ = Seconds(30);
    // Requests needed to tell. Where half of all requests are served, a key
    // that is served alike has a share this low in one case of thirty.
    double MinArrived_ = 8;
    std::size_t MaxKeys_ = 256;
  };

  ServedShare() = default;
  explicit ServedShare(Options O) : Options_(O) {}

  // Customer: empty when the request has none; it is then counted by its route
  // only.
  void arrived(const std::string &Route, const Customer &C, TimePoint Now);
  // Counted once for each request that arrived.
  void begun(const std::string &Route, const Customer &C, TimePoint Now);
  bool isOwed(const std::string &Route, const Customer &C, TimePoint Now) const;
  std::size_t routes() const { return Routes_.ByKey_.size(); }
  std::size_t customers() const { return Customers_.ByKey_.size(); }

private:
  struct Count {
    double Arrived_ = 0;
    double Begun_ = 0;
    TimePoint At_{};
    // The same count as of Now.
    Count decayed(Duration Memory, TimePoint Now) const;
  };
  struct Table {
    Count All_;
    std::unordered_map<std::string, Count> ByKey_;
  };
  void add(Table &T, const std::string &Key, Duration Memory, bool IsBegun,
           TimePoint Now) const;
  void dropLeast(Table &T, Duration Memory, TimePoint Now) const;
  bool isBelow(const Table &T, const std::string &Key, Duration Memory,
               TimePoint Now) const;

  Options Options_;
  Table Routes_;
  Table Customers_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_TRAFFIC_SERVEDSHARE_H
