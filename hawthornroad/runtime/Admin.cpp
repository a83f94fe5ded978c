#include "hawthornroad/runtime/Admin.h"

namespace hawthornroad {

namespace {
// Operators send small requests over few connections.
constexpr HttpServer::Limits AdminLimits = {.MaxBody_ = 64 * 1024,
                                            .MaxConnections_ = 64};

std::string pathOf(const std::string &Target) {
  return Target.substr(0, Target.find('?'));
}

HttpResponse textResponse(unsigned Status, std::string Body) {
  return {.Status_ = Status,
          .Headers_ = {{"Content-Type", "text/plain; version=0.0.4"}},
          .Body_ = std::move(Body)};
}
} // namespace

struct AdminServer::State {
  State(Metrics &M, Hooks H) : Metrics_(M), Hooks_(std::move(H)) {}

  void handle(HttpRequest R, const std::shared_ptr<HttpExchange> &X) {
    std::string Path = pathOf(R.Target_);
    for (const Route &Each : Hooks_.Routes_)
      if (Each.Path_ == Path && Each.Method_ == R.Method_)
        return Each.Handler_(std::move(R), X);
    if (R.Method_ != "GET" && R.Method_ != "HEAD")
      return X->respond(textResponse(404, "no such route\n"));
    if (Path == "/healthz")
      return X->respond(textResponse(200, "ok\n"));
    if (Path == "/readyz")
      return X->respond(readiness());
    if (Path == "/metrics")
      return X->respond(metrics());
    if (Path == "/status")
      return status(X);
    X->respond(textResponse(404, "no such route\n"));
  }

  HttpResponse readiness() const {
    bool Ready = Hooks_.Ready_ && Hooks_.Ready_();
    return Ready ? textResponse(200, "ready\n")
                 : textResponse(503, "not ready\n");
  }

  HttpResponse metrics() {
    if (Hooks_.BeforeMetrics_)
      Hooks_.BeforeMetrics_();
    return textResponse(200, Metrics_.render());
  }

  void status(const std::shared_ptr<HttpExchange> &X) const {
    if (!Hooks_.StatusJson_)
      return X->respond(jsonResponse(200, "{}"));
    Hooks_.StatusJson_([X](std::string Text) {
      X->respond(jsonResponse(200, std::move(Text)));
    });
  }

  Metrics &Metrics_;
  Hooks Hooks_;
};

AdminServer::AdminServer(IoThread &Io, Metrics &M, Hooks H)
    : State_(std::make_shared<State>(M, std::move(H))) {
  Server_ = std::make_unique<HttpServer>(
      Io, AdminLimits,
      [S = State_](HttpRequest R, std::shared_ptr<HttpExchange> X) {
        S->handle(std::move(R), X);
      });
}

AdminServer::~AdminServer() = default;

std::uint16_t AdminServer::listen(const std::string &Ip, std::uint16_t Port) {
  return Server_->listen(Ip, Port);
}

} // namespace hawthornroad
