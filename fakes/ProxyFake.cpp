#include "fakes/ProxyFake.h"

#include "fakes/ProxySession.h"
#include "hawthornroad/base/Error.h"
#include "hawthornroad/runtime/Address.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>

namespace hawthornroad {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;

struct ProxyFake::State : ProxyPath,
                          std::enable_shared_from_this<ProxyFake::State> {
  using ProxyPath::ProxyPath;

  asio::awaitable<void> acceptLoop();

  std::optional<tcp::acceptor> Acceptor_;
};

namespace {
FrameSelection parseSelection(const json::object &From) {
  Faults Values(From);
  return {.Share_ = Values.number("share", 0),
          .Seed_ = static_cast<std::uint64_t>(Values.integer("seed", 1))};
}

// Calls Apply(direction, fault) for the direction that the fault names, or for
// both directions when it names none.
template <class Fn>
void forEachDirection(const Faults &Set, std::string_view Name, Fn Apply) {
  const json::object *Found = Set.object(Name);
  if (Found == nullptr)
    return;
  const json::value *Named = Found->if_contains("direction");
  for (Direction D : {Up, Down})
    if (Named == nullptr || *Named == DirectionNames[D])
      Apply(D, *Found);
}

std::set<std::string> parseZones(const Faults &Set) {
  std::set<std::string> Zones;
  const json::object *Found = Set.object("blackhole_from");
  if (Found == nullptr)
    return Zones;
  for (const json::value &Each : Found->at("zones").as_array())
    Zones.emplace(Each.as_string());
  return Zones;
}

PathFaults parsePathFaults(const Faults &Set) {
  PathFaults P;
  P.Refuse_ = Set.flag("refuse");
  P.Blackhole_ = Set.flag("blackhole");
  P.BlackholeFrom_ = parseZones(Set);
  P.Delay_ = Milliseconds(Set.integer("delay_ms", 0));
  P.Jitter_ = Milliseconds(Set.integer("jitter_ms", 0));
  P.JitterSeed_ = static_cast<std::uint64_t>(Set.integer("jitter_seed", 1));
  P.AnswerCopies_ = Set.number("answer_copies", 0);
  P.Rate_ = Set.number("rate", 0);
  auto &Frames = P.Frames_;
  forEachDirection(Set, "cut_after_frames", [&](Direction D, const auto &F) {
    Frames[D].CutAfterFrames_ =
        static_cast<std::uint64_t>(Faults(F).integer("frames", 0));
  });
  forEachDirection(Set, "cut_after_bytes", [&](Direction D, const auto &F) {
    Frames[D].CutAfterBytes_ =
        static_cast<std::uint64_t>(Faults(F).integer("bytes", 0));
  });
  forEachDirection(Set, "drop_frames", [&](Direction D, const auto &F) {
    Frames[D].Drop_ = parseSelection(F);
  });
  forEachDirection(Set, "duplicate_frames", [&](Direction D, const auto &F) {
    Frames[D].Duplicate_ = parseSelection(F);
  });
  forEachDirection(Set, "reorder_frames", [&](Direction D, const auto &F) {
    Frames[D].Reorder_ = parseSelection(F);
  });
  return P;
}

} // namespace

asio::awaitable<void> ProxyFake::State::acceptLoop() {
  auto Self = shared_from_this();
  for (;;) {
    boost::system::error_code Code;
    tcp::socket Socket = co_await Acceptor_->async_accept(
        asio::redirect_error(asio::use_awaitable, Code));
    if (Code == asio::error::operation_aborted)
      co_return;
    if (Code)
      continue;
    if (Faults_.Refuse_) {
      ++Totals_.Refused_;
      resetSocket(Socket);
      continue;
    }
    auto Session = std::make_shared<ProxySession>(Self, std::move(Socket),
                                                  ++Totals_.Accepted_);
    Sessions_.insert(Session);
    Session->start();
  }
}

ProxyFake::ProxyFake(IoThread &Io, std::string Target)
    : State_(std::make_shared<State>(Io)) {
  if (!Target.empty())
    State_->Target_ = parseAddress(Target, Step::Settings);
}

ProxyFake::~ProxyFake() = default;

std::string ProxyFake::listen(const std::string &Address) {
  auto Endpoint = parseAddress(Address, Step::Listen);
  State_->Acceptor_.emplace(openAcceptor(
      State_->Io_.context(), Endpoint.address().to_string(), Endpoint.port()));
  std::string Bound = formatAddress(State_->Acceptor_->local_endpoint());
  asio::co_spawn(State_->Io_.context(), State_->acceptLoop(), asio::detached);
  return Bound;
}

void ProxyFake::handle(const HttpRequest &R, const ExchangePtr &X) {
  if (R.Method_ != "PUT" || R.Target_ != "/target")
    return respondError(X, 404, "no such path");
  json::object Body = parseObject(R.Body_);
  State_->Target_ =
      parseAddress(std::string(Body.at("to").as_string()), Step::Settings);
  respondJson(X, 200, {{"ok", true}});
}

void ProxyFake::setFaults(const Faults &Set) {
  PathFaults NewFaults = parsePathFaults(Set);
  if (NewFaults.JitterSeed_ != State_->Faults_.JitterSeed_)
    State_->Jitter_ = Random(NewFaults.JitterSeed_);
  State_->Faults_ = NewFaults;
  auto Open = State_->Sessions_;
  for (const auto &Each : Open) {
    if (Set.flag("silent_existing"))
      Each->silence();
    if (Set.flag("reset"))
      Each->resetBoth();
  }
}

json::object ProxyFake::counters() const {
  const PathTotals &T = State_->Totals_;
  return {{"accepted", T.Accepted_},         {"open", State_->Sessions_.size()},
          {"refused", T.Refused_},           {"resets", T.Resets_},
          {"bytes_up", T.Bytes_[Up]},        {"bytes_down", T.Bytes_[Down]},
          {"frames_up", T.Frames_[Up]},      {"frames_down", T.Frames_[Down]},
          {"answer_copies", T.AnswerCopies_}};
}

} // namespace hawthornroad
