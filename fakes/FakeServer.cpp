#include "fakes/FakeServer.h"

#include "hawthornroad/base/Error.h"
#include "hawthornroad/runtime/Address.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace hawthornroad {

namespace json = boost::json;

namespace {
constexpr std::size_t MaxBody = 256 * 1024 * 1024;
constexpr std::size_t MaxConnections = 20000;

HttpServer::Limits serverLimits() {
  HttpServer::Limits L;
  L.MaxBody_ = MaxBody;
  L.MaxConnections_ = MaxConnections;
  // Stalled callers are handled by the daemons under test, not by the fakes.
  L.WriteTimeout_ = Seconds(600);
  return L;
}

json::string_view view(std::string_view Text) {
  return {Text.data(), Text.size()};
}
} // namespace

bool Faults::flag(std::string_view Name) const {
  const json::value *Found = Values_.if_contains(view(Name));
  return Found != nullptr && Found->is_bool() && Found->get_bool();
}

double Faults::number(std::string_view Name, double Default) const {
  const json::value *Found = Values_.if_contains(view(Name));
  if (Found == nullptr)
    return Default;
  json::error_code Code;
  auto Value = Found->to_number<double>(Code);
  if (Code)
    throw Error(Step::Settings, std::string(Name), "expected a number");
  return Value;
}

std::int64_t Faults::integer(std::string_view Name,
                             std::int64_t Default) const {
  return static_cast<std::int64_t>(number(Name, static_cast<double>(Default)));
}

const json::object *Faults::object(std::string_view Name) const {
  const json::value *Found = Values_.if_contains(view(Name));
  return Found == nullptr ? nullptr : Found->if_object();
}

FakeServer::FakeServer(IoThread &Io, Hooks H)
    : Io_(Io), Hooks_(std::move(H)),
      Server_(Io, serverLimits(), [this](HttpRequest R, ExchangePtr X) {
        dispatch(std::move(R), X);
      }) {}

std::string FakeServer::listen(const std::string &Address) {
  auto Endpoint = parseAddress(Address, Step::Listen);
  std::string Ip = Endpoint.address().to_string();
  std::uint16_t Port = Server_.listen(Ip, Endpoint.port());
  return formatAddress({Endpoint.address(), Port});
}

void FakeServer::dispatch(HttpRequest R, const ExchangePtr &X) {
  if (answerControlRequest(R, X))
    return;
  // A silent fake drops its reference to the exchange: the connection stays
  // open and nothing is ever written to it.
  if (Faults_.flag("silent"))
    return;
  if (Faults_.flag("down"))
    return respondError(X, 503, "down by a fault");
  if (R.Method_ == "GET" && R.Target_ == "/healthz")
    return respondJson(X, 200, {{"status", "ok"}});
  std::int64_t Delay = Faults_.integer("delay_ms", 0);
  if (Delay <= 0)
    return handle(R, X);
  // Delays the whole call including its effect: a write takes effect even if
  // its caller has timed out by then.
  Io_.after(Milliseconds(Delay), [this, R = std::move(R), X] { handle(R, X); });
}

bool FakeServer::answerControlRequest(const HttpRequest &R,
                                      const ExchangePtr &X) {
  if (R.Method_ == "GET" && R.Target_ == "/counters") {
    respondJson(X, 200, Hooks_.Counters_());
    return true;
  }
  if (R.Target_ == "/admin/record") {
    handle(R, X);
    return true;
  }
  if (R.Method_ != "POST" || R.Target_ != "/faults")
    return false;
  try {
    Faults NewFaults(parseObject(R.Body_));
    Hooks_.SetFaults_(NewFaults);
    Faults_ = NewFaults;
    respondJson(X, 200, {{"ok", true}});
  } catch (const Error &E) {
    respondError(X, 400, E.what());
  }
  return true;
}

void FakeServer::handle(const HttpRequest &R, const ExchangePtr &X) {
  try {
    Hooks_.Handle_(R, X);
  } catch (const std::exception &E) {
    respondError(X, 400, E.what());
  }
}

std::string_view targetPath(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

std::string queryValue(std::string_view Target, std::string_view Name) {
  std::size_t Start = Target.find('?');
  while (Start != std::string_view::npos) {
    std::string_view Rest = Target.substr(Start + 1);
    std::string_view Pair = Rest.substr(0, Rest.find('&'));
    if (Pair.substr(0, Pair.find('=')) == Name && Pair.size() > Name.size())
      return percentDecode(Pair.substr(Name.size() + 1));
    std::size_t Next = Rest.find('&');
    Start = Next == std::string_view::npos ? Next : Start + 1 + Next;
  }
  return {};
}

std::string percentDecode(std::string_view Text) {
  std::string Out;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    unsigned Byte = 0;
    const char *Digits = Text.data() + I + 1;
    bool Encoded =
        Text[I] == '%' && I + 2 < Text.size() &&
        std::from_chars(Digits, Digits + 2, Byte, 16).ptr == Digits + 2;
    Out.push_back(Encoded ? static_cast<char>(Byte) : Text[I]);
    if (Encoded)
      I += 2;
  }
  return Out;
}

void respondJson(const ExchangePtr &X, unsigned Status,
                 const json::object &Body, HttpHeaders Headers) {
  HttpResponse R = jsonResponse(Status, json::serialize(Body));
  R.Headers_.insert(R.Headers_.end(), Headers.begin(), Headers.end());
  X->respond(std::move(R));
}

void respondError(const ExchangePtr &X, unsigned Status,
                  const std::string &Message) {
  respondJson(X, Status, {{"error", Message}});
}

json::object parseObject(const std::string &Body) {
  json::error_code Code;
  json::value Value = json::parse(Body, Code);
  if (Code)
    throw Error(Step::Receive, "", "body is not JSON: " + Code.message());
  if (!Value.is_object())
    throw Error(Step::Receive, "", "body is no JSON object");
  return std::move(Value.get_object());
}

} // namespace hawthornroad
