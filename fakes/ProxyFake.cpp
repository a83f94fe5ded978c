#include "fakes/ProxyFake.h"

#include "fakes/FrameFilter.h"
#include "hawthornroad/runtime/Address.h"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <optional>
#include <set>
#include <vector>

namespace hawthornroad {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;

namespace {
enum Direction : std::size_t { Up, Down, Directions };
constexpr std::array<const char *, Directions> DirectionNames = {"up", "down"};

constexpr std::size_t ReadSize = 64 * 1024;
// Bytes read but not yet written, for each direction of a connection.
constexpr std::size_t MaxQueued = 4 * 1024 * 1024;
// Largest write when a rate is set, so that connections share it evenly.
constexpr std::size_t ShapedWrite = 16 * 1024;
// How often a connection that may not pass looks whether it may again.
constexpr Duration Recheck = Milliseconds(2);

class Session;

// What the control port has asked for, for all connections.
struct PathFaults {
  bool Refuse_ = false;
  bool Blackhole_ = false;
  Duration Delay_{};
  Duration Jitter_{};
  std::uint64_t JitterSeed_ = 1;
  // Bytes a second of each direction; 0 means no limit.
  double Rate_ = 0;
  std::array<FrameFaults, Directions> Frames_;
};

struct Totals {
  std::uint64_t Accepted_ = 0;
  std::uint64_t Refused_ = 0;
  std::uint64_t Resets_ = 0;
  std::array<std::uint64_t, Directions> Bytes_{};
  std::array<std::uint64_t, Directions> Frames_{};
};

TimePoint now() { return std::chrono::steady_clock::now(); }

// Closes so that the other side gets a reset.
void reset(tcp::socket &Socket) {
  boost::system::error_code Ignored;
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.close(Ignored);
}
} // namespace

struct ProxyFake::State : std::enable_shared_from_this<ProxyFake::State> {
  explicit State(IoThread &Io) : Io_(Io) {}

  asio::awaitable<void> acceptLoop();

  IoThread &Io_;
  std::optional<tcp::endpoint> Target_;
  std::optional<tcp::acceptor> Acceptor_;
  PathFaults Faults_;
  Totals Totals_;
  std::set<std::shared_ptr<Session>> Sessions_;
  // When the link of a direction has sent what was given to it so far.
  std::array<TimePoint, Directions> LinkFree_{};
  Random Jitter_{1};
};

namespace {

// What one direction still has to write.
struct Parcel {
  enum class Kind { Bytes, End, Reset };
  Kind Kind_ = Kind::Bytes;
  TimePoint Due_;
  std::string Bytes_;
};

// One proxied connection; lives on the IoThread.
class Session : public std::enable_shared_from_this<Session> {
public:
  Session(std::shared_ptr<ProxyFake::State> Proxy, tcp::socket Caller,
          std::uint64_t Number)
      : Proxy_(std::move(Proxy)), Sockets_{std::move(Caller),
                                           tcp::socket(Proxy_->Io_.context())},
        Flows_{Flow(2 * Number), Flow(2 * Number + 1)} {}

  void start() {
    asio::co_spawn(
        Proxy_->Io_.context(),
        [Self = shared_from_this()] { return Self->run(); }, asio::detached);
  }

  // Nothing passes any more, in either direction; both sockets stay open.
  void silence() { Silent_ = true; }

  void resetBoth() {
    if (Closed_)
      return;
    ++Proxy_->Totals_.Resets_;
    for (tcp::socket &Socket : Sockets_)
      reset(Socket);
    forget();
  }

private:
  struct Flow {
    explicit Flow(std::uint64_t Stream) : Filter_(Stream) {}
    FrameFilter Filter_;
    std::deque<Parcel> Queue_;
    std::size_t Queued_ = 0;
    TimePoint LastDue_{};
    bool Done_ = false;
  };

  // The socket a direction reads from, and the one it writes to.
  tcp::socket &source(Direction D) { return Sockets_[D == Up ? 0 : 1]; }
  tcp::socket &sink(Direction D) { return Sockets_[D == Up ? 1 : 0]; }

  bool isOver() const { return Closed_ || Silent_; }

  asio::awaitable<void> waitUntil(TimePoint When) {
    boost::system::error_code Ignored;
    asio::steady_timer Timer(Proxy_->Io_.context(), When);
    co_await Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }

  asio::awaitable<void> waitToPass() {
    while (Proxy_->Faults_.Blackhole_ && !isOver())
      co_await waitUntil(now() + Recheck);
  }

  asio::awaitable<void> run() {
    auto Self = shared_from_this();
    co_await waitToPass();
    if (isOver())
      co_return;
    boost::system::error_code Code = asio::error::not_connected;
    if (Proxy_->Target_)
      co_await Sockets_[1].async_connect(
          *Proxy_->Target_, asio::redirect_error(asio::use_awaitable, Code));
    if (isOver())
      co_return;
    if (Code)
      co_return resetBoth();
    for (tcp::socket &Socket : Sockets_)
      Socket.set_option(tcp::no_delay(true), Code);
    for (Direction D : {Up, Down}) {
      asio::co_spawn(
          Proxy_->Io_.context(), [Self, D] { return Self->readLoop(D); },
          asio::detached);
      asio::co_spawn(
          Proxy_->Io_.context(), [Self, D] { return Self->writeLoop(D); },
          asio::detached);
    }
  }

  asio::awaitable<void> readLoop(Direction D) {
    auto Self = shared_from_this();
    std::vector<char> Buffer(ReadSize);
    while (!isOver()) {
      boost::system::error_code Code;
      std::size_t Got = co_await source(D).async_read_some(
          asio::buffer(Buffer),
          asio::redirect_error(asio::use_awaitable, Code));
      // A connection that fell silent meanwhile loses what was on its way.
      if (isOver())
        co_return;
      if (Code) {
        bool Ended = Code == asio::error::eof;
        push(D, {.Kind_ = Ended ? Parcel::Kind::End : Parcel::Kind::Reset});
        co_return;
      }
      if (!take(D, {Buffer.data(), Got}))
        co_return;
      while (Flows_[D].Queued_ > MaxQueued && !isOver())
        co_await waitUntil(now() + Recheck);
    }
  }

  // False when a fault cuts the connection after these bytes.
  bool take(Direction D, std::string_view Bytes) {
    FrameFilter &Filter = Flows_[D].Filter_;
    std::uint64_t FramesBefore = Filter.frames();
    auto Out = Filter.pass(Bytes, Proxy_->Faults_.Frames_[D]);
    Proxy_->Totals_.Bytes_[D] += Bytes.size();
    Proxy_->Totals_.Frames_[D] += Filter.frames() - FramesBefore;
    if (!Out.Bytes_.empty())
      push(D, {.Bytes_ = std::move(Out.Bytes_)});
    if (Out.Cut_)
      push(D, {.Kind_ = Parcel::Kind::Reset});
    return !Out.Cut_;
  }

  void push(Direction D, Parcel P) {
    Flow &F = Flows_[D];
    const PathFaults &Faults = Proxy_->Faults_;
    auto Jitter = std::chrono::duration_cast<Duration>(Faults.Jitter_ *
                                                       Proxy_->Jitter_.unit());
    F.LastDue_ = std::max(F.LastDue_, now() + Faults.Delay_ + Jitter);
    P.Due_ = F.LastDue_;
    F.Queued_ += P.Bytes_.size();
    F.Queue_.push_back(std::move(P));
    Wake_[D].cancel();
  }

  asio::awaitable<void> writeLoop(Direction D) {
    auto Self = shared_from_this();
    Flow &F = Flows_[D];
    while (!isOver()) {
      if (F.Queue_.empty()) {
        boost::system::error_code Ignored;
        Wake_[D].expires_at(TimePoint::max());
        co_await Wake_[D].async_wait(
            asio::redirect_error(asio::use_awaitable, Ignored));
        continue;
      }
      Parcel P = std::move(F.Queue_.front());
      F.Queue_.pop_front();
      if (P.Due_ > now())
        co_await waitUntil(P.Due_);
      co_await waitToPass();
      if (isOver())
        co_return;
      if (P.Kind_ == Parcel::Kind::Reset)
        co_return resetBoth();
      if (P.Kind_ == Parcel::Kind::End)
        co_return endFlow(D);
      if (!co_await writeAll(D, P.Bytes_))
        co_return;
      F.Queued_ -= P.Bytes_.size();
    }
  }

  asio::awaitable<bool> writeAll(Direction D, std::string_view Bytes) {
    while (!Bytes.empty()) {
      std::string_view Part = Bytes;
      if (Proxy_->Faults_.Rate_ > 0) {
        Part = Bytes.substr(0, ShapedWrite);
        co_await waitForLink(D, Part.size());
      }
      co_await waitToPass();
      boost::system::error_code Code;
      if (!isOver())
        co_await asio::async_write(
            sink(D), asio::buffer(Part.data(), Part.size()),
            asio::redirect_error(asio::use_awaitable, Code));
      if (isOver())
        co_return false;
      if (Code) {
        co_await waitToPass();
        if (!isOver())
          resetBoth();
        co_return false;
      }
      Bytes.remove_prefix(Part.size());
    }
    co_return true;
  }

  // Books Bytes on the link that all connections of a direction share.
  asio::awaitable<void> waitForLink(Direction D, std::size_t Bytes) {
    TimePoint &Free = Proxy_->LinkFree_[D];
    double Seconds = static_cast<double>(Bytes) / Proxy_->Faults_.Rate_;
    Free = std::max(Free, now()) + std::chrono::duration_cast<Duration>(
                                       std::chrono::duration<double>(Seconds));
    co_await waitUntil(Free);
  }

  void endFlow(Direction D) {
    boost::system::error_code Ignored;
    sink(D).shutdown(tcp::socket::shutdown_send, Ignored);
    Flows_[D].Done_ = true;
    if (!Flows_[Up].Done_ || !Flows_[Down].Done_)
      return;
    for (tcp::socket &Socket : Sockets_)
      Socket.close(Ignored);
    forget();
  }

  void forget() {
    Closed_ = true;
    for (asio::steady_timer &Each : Wake_)
      Each.cancel();
    Proxy_->Sessions_.erase(shared_from_this());
  }

  std::shared_ptr<ProxyFake::State> Proxy_;
  // The caller's, then the target's.
  std::array<tcp::socket, 2> Sockets_;
  std::array<Flow, Directions> Flows_;
  std::array<asio::steady_timer, Directions> Wake_{
      asio::steady_timer(Proxy_->Io_.context(), TimePoint::max()),
      asio::steady_timer(Proxy_->Io_.context(), TimePoint::max())};
  bool Silent_ = false;
  bool Closed_ = false;
};

FrameShare parseShare(const json::object &From) {
  Faults Values(From);
  return {.Share_ = Values.number("share", 0),
          .Seed_ = static_cast<std::uint64_t>(Values.integer("seed", 1))};
}

// Calls Set(direction, fault) for each direction the fault names: one, or
// both when it names none.
template <class Fn>
void eachDirection(const Faults &Set, std::string_view Name, Fn Apply) {
  const json::object *Found = Set.object(Name);
  if (Found == nullptr)
    return;
  const json::value *Named = Found->if_contains("direction");
  for (Direction D : {Up, Down})
    if (Named == nullptr || *Named == DirectionNames[D])
      Apply(D, *Found);
}

PathFaults parsePathFaults(const Faults &Set) {
  PathFaults P;
  P.Refuse_ = Set.flag("refuse");
  P.Blackhole_ = Set.flag("blackhole");
  P.Delay_ = Milliseconds(Set.integer("delay_ms", 0));
  P.Jitter_ = Milliseconds(Set.integer("jitter_ms", 0));
  P.JitterSeed_ = static_cast<std::uint64_t>(Set.integer("jitter_seed", 1));
  P.Rate_ = Set.number("rate", 0);
  auto &Frames = P.Frames_;
  eachDirection(Set, "cut_after_frames", [&](Direction D, const auto &F) {
    Frames[D].CutAfterFrames_ =
        static_cast<std::uint64_t>(Faults(F).integer("frames", 0));
  });
  eachDirection(Set, "cut_after_bytes", [&](Direction D, const auto &F) {
    Frames[D].CutAfterBytes_ =
        static_cast<std::uint64_t>(Faults(F).integer("bytes", 0));
  });
  eachDirection(Set, "drop_frames", [&](Direction D, const auto &F) {
    Frames[D].Drop_ = parseShare(F);
  });
  eachDirection(Set, "duplicate_frames", [&](Direction D, const auto &F) {
    Frames[D].Duplicate_ = parseShare(F);
  });
  eachDirection(Set, "reorder_frames", [&](Direction D, const auto &F) {
    Frames[D].Reorder_ = parseShare(F);
  });
  return P;
}

} // namespace

asio::awaitable<void> ProxyFake::State::acceptLoop() {
  auto Keep = shared_from_this();
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
      reset(Socket);
      continue;
    }
    auto Made =
        std::make_shared<Session>(Keep, std::move(Socket), ++Totals_.Accepted_);
    Sessions_.insert(Made);
    Made->start();
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
  PathFaults Wanted = parsePathFaults(Set);
  if (Wanted.JitterSeed_ != State_->Faults_.JitterSeed_)
    State_->Jitter_ = Random(Wanted.JitterSeed_);
  State_->Faults_ = Wanted;
  auto Open = State_->Sessions_;
  for (const auto &Each : Open) {
    if (Set.flag("silent_existing"))
      Each->silence();
    if (Set.flag("reset"))
      Each->resetBoth();
  }
}

json::object ProxyFake::counters() const {
  const Totals &T = State_->Totals_;
  return {{"accepted", T.Accepted_},    {"open", State_->Sessions_.size()},
          {"refused", T.Refused_},      {"resets", T.Resets_},
          {"bytes_up", T.Bytes_[Up]},   {"bytes_down", T.Bytes_[Down]},
          {"frames_up", T.Frames_[Up]}, {"frames_down", T.Frames_[Down]}};
}

} // namespace hawthornroad
