#include "fakes/MembersFake.h"

namespace hawthornroad {

namespace {
TimePoint now() { return std::chrono::steady_clock::now(); }
} // namespace

MembersFake::MembersFake(Duration Lag) : List_(Lag, R"({"vms":[]})") {}

void MembersFake::handle(const HttpRequest &R, const ExchangePtr &X) {
  if (R.Target_ != "/members")
    return respondError(X, 404, "no such path");
  if (R.Method_ == "GET") {
    ++Reads_;
    return X->respond(jsonResponse(200, List_.at(now())));
  }
  if (R.Method_ != "PUT")
    return respondError(X, 405, "method is neither GET nor PUT");
  const auto *Vms = parseObject(R.Body_).if_contains("vms");
  if (Vms == nullptr)
    return respondError(X, 400, "expected {\"vms\":[...]}");
  ++Writes_;
  List_.set(R.Body_, now());
  respondJson(X, 200, {{"ok", true}});
}

boost::json::object MembersFake::counters() const {
  return {{"reads", Reads_}, {"writes", Writes_}};
}

} // namespace hawthornroad
