// The operators' HTTP interface of a daemon: /healthz, /readyz, /metrics,
// /status, and the routes a daemon adds.
//
//   AdminServer Admin(Io, Metrics, {
//       .Ready_ = [&] { return IsReady.load(); },
//       .StatusJson_ = [&](AdminServer::Reply Done) {
//         Loop.post([=](TimePoint Now) { Done(statusText(Now)); }); },
//       .Routes_ = {{"POST", "/drain", [&](HttpRequest R, auto X) {...}}}});
//   std::uint16_t Port = Admin.listen("127.0.0.1", 0);
//
// Ready_ and the routes run on the IoThread. StatusJson_ is asynchronous,
// because the state it reports belongs to the DecisionLoop. If the loop refuses
// the work, the hook must call Done itself with what it knows.

#ifndef HAWTHORNROAD_RUNTIME_ADMIN_H
#define HAWTHORNROAD_RUNTIME_ADMIN_H

#include "hawthornroad/runtime/Http.h"
#include "hawthornroad/runtime/Io.h"
#include "hawthornroad/runtime/Metrics.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hawthornroad {

class AdminServer {
public:
  // Receives JSON text. Thread-safe; must be called exactly once.
  using Reply = std::function<void(std::string)>;
  struct Route {
    std::string Method_;
    // The full path, without the query.
    std::string Path_;
    HttpServer::Handler Handler_;
  };
  struct Hooks {
    // Whether the process can serve now: /readyz returns 200 or 503.
    std::function<bool()> Ready_;
    std::function<void(Reply)> StatusJson_;
    std::vector<Route> Routes_;
    // Updates gauges that are computed only on a scrape; may be empty.
    std::function<void()> BeforeMetrics_;
  };

  AdminServer(IoThread &Io, Metrics &M, Hooks H);
  ~AdminServer();
  AdminServer(const AdminServer &) = delete;
  AdminServer &operator=(const AdminServer &) = delete;

  // With port 0 the kernel picks a free port. Throws Error(Step::Listen).
  std::uint16_t listen(const std::string &Ip, std::uint16_t Port);

private:
  struct State;
  std::shared_ptr<State> State_;
  std::unique_ptr<HttpServer> Server_;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_RUNTIME_ADMIN_H
