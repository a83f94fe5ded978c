// Executes ClaimCore's calls to the platform's table over HTTP.
//
//   ClaimTable Table(Client, "127.0.0.1:9000", Seconds(2),
//                    [&](auto Result) {...});  // on the client's IoThread
//   Table.run(ClaimWrite{...});

#ifndef HAWTHORNROAD_RUNTIME_CLAIMTABLE_H
#define HAWTHORNROAD_RUNTIME_CLAIMTABLE_H

#include "hawthornroad/routing/ClaimCore.h"
#include "hawthornroad/runtime/Http.h"

#include <functional>
#include <string>

namespace hawthornroad {

class ClaimTable {
public:
  using OnAnswer = std::function<void(ClaimCallResult)>;

  ClaimTable(HttpClient &Client, std::string Address, Duration Timeout,
             OnAnswer Handler);

  // The handler is called exactly once for each call.
  void run(const ClaimWrite &W);
  void run(const ClaimRead &R);

private:
  void call(RequestId Request, std::uint64_t Number, HttpRequest R);

  HttpClient &Client_;
  std::string Address_;
  Duration Timeout_;
  OnAnswer Handler_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_CLAIMTABLE_H
