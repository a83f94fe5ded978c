#include "tests/soak/SoakWorld.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <csignal>
#include <iostream>

namespace hawthornroad {

namespace json = boost::json;

namespace {
constexpr std::size_t Endpoints = 3;
// The operator-set bound that the entries are started with.
constexpr Duration RevokeBound = Milliseconds(5000);
// Longest time between sending a request and its run.
constexpr Duration RunSlack = SoakCaller::RequestTimeout;
constexpr Duration ExitTimeout = Seconds(10);
constexpr auto SteadyKey = "steady";
constexpr Duration CallerPause = Milliseconds(5);

TimePoint now() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

json::object route(const std::string &Prefix, const std::string &Kind) {
  return {{"name", "r-" + Prefix},
          {"host", "127.0.0.1"},
          {"prefix", "/" + Prefix + "/"},
          {"kind", Kind},
          {"timeout_ms", 2500},
          {"latency_goal_ms", 1000},
          {"gap_goal_ms", 1000},
          {"priority", 1},
          {"service", "api"},
          {"max_attempts", 2},
          {"public", false},
          {"resumable", Kind == "streaming"}};
}
} // namespace

SoakWorld::SoakWorld(Options O)
    : Options_(O), Checks_(RevokeBound), Entries_(O.Entries_),
      Addresses_(O.Entries_) {
  for (std::size_t I = 0; I < Endpoints; ++I) {
    Api A;
    A.Endpoint_ =
        std::make_unique<EndpointStandIn>("i-" + std::to_string(I), "api");
    A.Path_.Proxy_ = std::make_unique<Proxy>(Folder_, A.Endpoint_->address());
    A.Endpoint_->setListedAt(A.Path_.Proxy_->address());
    A.Endpoint_->setDelay(Milliseconds(10));
    Store_.put("servers", A.Endpoint_->id(), A.Endpoint_->row());
    Apis_.push_back(std::move(A));
  }
  configure();
  for (std::size_t I = 0; I < Entries_.size(); ++I) {
    Entry &E = Entries_[I];
    E.Name_ = "entry-" + std::to_string(I + 1);
    E.StorePath_.Proxy_ = std::make_unique<Proxy>(Folder_, Store_.address());
    json::object S = {{"process", E.Name_},
                      {"zone", "z"},
                      {"store", E.StorePath_.Proxy_->address()},
                      {"peer_listen", "127.0.0.1:0"},
                      {"metrics_listen", "127.0.0.1:0"}};
    E.Settings_ = Folder_.write(E.Name_ + ".jsonc", json::serialize(S));
    start(E);
  }
}

SoakWorld::~SoakWorld() {
  Stopping_ = true;
  for (std::thread &Each : Callers_)
    Each.join();
}

void SoakWorld::start(Entry &E) {
  E.Process_.reset();
  E.Process_ = std::make_unique<Process>(
      Launch{.Name_ = E.Name_,
             .Program_ = "hawthornroad-store-entry",
             .Arguments_ = {"--settings", E.Settings_}},
      Folder_);
  E.Process_->ready();
  E.Frozen_ = 0;
  ++E.Starts_;
  auto Index = static_cast<std::size_t>(&E - Entries_.data());
  std::lock_guard Lock(Mutex_);
  Addresses_[Index] = {E.Process_->readyText("callers"),
                       E.Name_ + "#" + std::to_string(E.Starts_)};
}

// Routes are only ever added, so a process that has served a route must never
// answer afterwards that it does not exist.
void SoakWorld::configure() {
  json::array Routes = {route("once", "non_idempotent"),
                        route("safe", "idempotent"),
                        route("stream", "streaming")};
  for (std::uint64_t I = 1; I <= Routes_; ++I)
    Routes.push_back(route("new" + std::to_string(I), "idempotent"));
  json::object Config = {
      {"version", ++Config_},
      {"routes", std::move(Routes)},
      {"services",
       json::array{json::object{
           {"name", "api"}, {"health_path", "/health"}, {"max_conns", 200}}}},
      {"limits", json::object{{"max_header_bytes", 16384},
                              {"max_body_bytes", 65536},
                              {"header_timeout_ms", 3000},
                              {"idle_timeout_ms", 15000}}},
      {"tenants",
       json::array{json::object{
           {"name", "zet"},
           {"api_keys", json::array{SteadyKey, json::string(RotatingKey_)}}}}}};
  Store_.put("op", "config", json::serialize(Config));
}

// ---- Faults -----------------------------------------------------------------

void SoakWorld::Path::begin(const std::string &Fault) {
  Faults_.push_back(Fault);
  Proxy_->setFaults(Fault);
}

void SoakWorld::Path::end(const std::string &Fault) {
  auto Found = std::find(Faults_.begin(), Faults_.end(), Fault);
  if (Found != Faults_.end())
    Faults_.erase(Found);
  Proxy_->setFaults(Faults_.empty() ? "{}" : Faults_.back());
}

void SoakWorld::begin(const SoakFault &F) {
  Entry &E = Entries_[F.Target_ % Entries_.size()];
  Api &A = Apis_[F.Target_ % Apis_.size()];
  switch (F.Kind_) {
  case SoakFaultKind::StorePath:
    return E.StorePath_.begin(F.Path_);
  case SoakFaultKind::EndpointPath:
    return A.Path_.begin(F.Path_);
  case SoakFaultKind::Freeze:
    ++E.Frozen_;
    return E.Process_->freeze();
  case SoakFaultKind::Kill:
    return E.Process_->kill();
  case SoakFaultKind::Stop:
    return E.Process_->terminate();
  case SoakFaultKind::Reload:
    ::kill(E.Process_->pid(), SIGHUP);
    return;
  case SoakFaultKind::StoreRefuses:
    return Store_.setMode(StoreStandIn::Mode::Refuse);
  case SoakFaultKind::StoreSilent:
    return Store_.setMode(StoreStandIn::Mode::Silent);
  case SoakFaultKind::HistoryLost:
    return Store_.dropHistory();
  case SoakFaultKind::AnswersLost:
    return A.Endpoint_->setMode(EndpointStandIn::Mode::LoseAnswer);
  case SoakFaultKind::NotRun:
    return A.Endpoint_->setMode(EndpointStandIn::Mode::NotRun);
  case SoakFaultKind::StreamsBroken:
    return A.Endpoint_->setMode(EndpointStandIn::Mode::BreakStream);
  case SoakFaultKind::KeyRemoved: {
    std::string Old = RotatingKey_;
    {
      std::lock_guard Lock(Mutex_);
      RotatingKey_ = "rotating-" + std::to_string(Config_ + 1);
      OldKey_ = Old;
    }
    configure();
    return Checks_.keyRemoved(Old, now());
  }
  case SoakFaultKind::RouteAdded:
    ++Routes_;
    configure();
    std::lock_guard Lock(Mutex_);
    NewestRoute_ = Routes_;
    return;
  }
}

void SoakWorld::end(const SoakFault &F) {
  Entry &E = Entries_[F.Target_ % Entries_.size()];
  Api &A = Apis_[F.Target_ % Apis_.size()];
  switch (F.Kind_) {
  case SoakFaultKind::StorePath:
    return E.StorePath_.end(F.Path_);
  case SoakFaultKind::EndpointPath:
    return A.Path_.end(F.Path_);
  case SoakFaultKind::Freeze:
    if (E.Frozen_ > 0 && --E.Frozen_ == 0)
      E.Process_->resume();
    return;
  case SoakFaultKind::Kill:
  case SoakFaultKind::Stop:
    return restart(E);
  case SoakFaultKind::StoreRefuses:
  case SoakFaultKind::StoreSilent:
    return Store_.setMode(StoreStandIn::Mode::Normal);
  case SoakFaultKind::AnswersLost:
  case SoakFaultKind::NotRun:
  case SoakFaultKind::StreamsBroken:
    return A.Endpoint_->setMode(EndpointStandIn::Mode::Normal);
  case SoakFaultKind::Reload:
  case SoakFaultKind::HistoryLost:
  case SoakFaultKind::KeyRemoved:
  case SoakFaultKind::RouteAdded:
    return;
  }
}

// Restarts a process that was killed or that is still shutting down.
void SoakWorld::restart(Entry &E) {
  if (E.Process_->running())
    E.Process_->kill();
  E.Process_->waitExit(ExitTimeout);
  start(E);
}

void SoakWorld::run() {
  for (std::size_t I = 0; I < Options_.Callers_; ++I)
    Callers_.emplace_back([this, I] { callerLoop(I); });
  std::vector<SoakFault> Plan =
      planFaults(Options_.Seed_, Options_.Length_, Entries_.size(), Endpoints);
  struct Step {
    Duration At_{};
    bool IsEnd_ = false;
    const SoakFault *Fault_ = nullptr;
  };
  std::vector<Step> Steps;
  for (const SoakFault &F : Plan) {
    Steps.push_back({F.From_, false, &F});
    Steps.push_back({F.To_, true, &F});
  }
  std::stable_sort(Steps.begin(), Steps.end(),
                   [](const Step &A, const Step &B) { return A.At_ < B.At_; });
  TimePoint StartedAt = now();
  for (const Step &S : Steps) {
    std::this_thread::sleep_until(StartedAt + S.At_);
    if (!S.IsEnd_)
      std::cout << "  " << describe(*S.Fault_) << std::endl;
    S.IsEnd_ ? end(*S.Fault_) : begin(*S.Fault_);
  }
  checkRecovery();
  Stopping_ = true;
  for (std::thread &Each : Callers_)
    Each.join();
  Callers_.clear();
  std::this_thread::sleep_for(RunSlack);
  Checks_.finish([this](const std::string &Id) { return runs(Id); });
}

// ---- Recovery ---------------------------------------------------------------

void SoakWorld::checkRecovery() {
  Store_.setMode(StoreStandIn::Mode::Normal);
  for (Api &Each : Apis_) {
    Each.Path_.Proxy_->setFaults("{}");
    Each.Endpoint_->setMode(EndpointStandIn::Mode::Normal);
  }
  for (Entry &Each : Entries_) {
    Each.StorePath_.Proxy_->setFaults("{}");
    if (!Each.Process_->running())
      restart(Each);
    Each.Process_->resume();
  }
  ++Routes_;
  configure();
  TimePoint Since = now();
  SoakCaller Caller;
  for (Entry &Each : Entries_) {
    while (!hasRecovered(Each, Caller) && now() - Since < RecoverBound)
      std::this_thread::sleep_for(Milliseconds(100));
    if (now() - Since >= RecoverBound)
      Checks_.violation(Each.Name_ + " is not well again " +
                        std::to_string(RecoverBound / Seconds(1)) +
                        " s after all faults");
  }
}

bool SoakWorld::hasRecovered(const Entry &E, SoakCaller &Caller) {
  static std::atomic<int> Number{0};
  auto Index = static_cast<std::size_t>(&E - Entries_.data());
  SoakRequest R{"calm-" + std::to_string(++Number),
                SoakKind::Safe,
                SteadyKey,
                now(),
                Addresses_[Index].Process_,
                0};
  Checks_.sent(R);
  auto A = Caller.call(Addresses_[Index].Callers_,
                       "/new" + std::to_string(Routes_) + "/x", R);
  if (A)
    Checks_.answered(R.Id_, *A);
  constexpr unsigned Ok = 200;
  return A && A->Status_ == Ok && PlatformFixture::isReady(*E.Process_);
}

// ---- Callers ----------------------------------------------------------------

SoakRequest SoakWorld::makeRequest(Random &R, std::size_t Caller,
                                   std::uint64_t N, std::string &Target) {
  SoakRequest Q;
  Q.Id_ = "c" + std::to_string(Caller) + "-" + std::to_string(N);
  std::lock_guard Lock(Mutex_);
  // One request in five uses the most recently removed key, and one in five the
  // key that will be removed next.
  constexpr std::uint64_t Keys = 5;
  std::uint64_t Key = R.below(Keys);
  Q.Key_ = Key == 0 ? OldKey_ : Key == 1 ? RotatingKey_ : SteadyKey;
  constexpr std::uint64_t Targets = 4;
  switch (R.below(Targets)) {
  case 0:
    Q.Kind_ = SoakKind::Once;
    Target = "/once/x";
    break;
  case 1:
    Q.Kind_ = SoakKind::Stream;
    Target = "/stream/x";
    break;
  case 2:
    Q.Kind_ = SoakKind::Safe;
    Q.RouteSince_ = NewestRoute_;
    Target = NewestRoute_ == 0 ? "/safe/x"
                               : "/new" + std::to_string(NewestRoute_) + "/x";
    break;
  default:
    Q.Kind_ = SoakKind::Safe;
    Target = "/safe/x";
  }
  return Q;
}

void SoakWorld::callerLoop(std::size_t Number) {
  Random R(Options_.Seed_ * Options_.Callers_ + Number);
  SoakCaller Caller;
  for (std::uint64_t N = 0; !Stopping_; ++N) {
    std::string Target;
    SoakRequest Q = makeRequest(R, Number, N, Target);
    Address To;
    {
      std::lock_guard Lock(Mutex_);
      To = Addresses_[R.below(Addresses_.size())];
    }
    Q.Process_ = To.Process_;
    Q.SentAt_ = now();
    Checks_.sent(Q);
    if (auto A = Caller.call(To.Callers_, Target, Q))
      Checks_.answered(Q.Id_, *A);
    std::this_thread::sleep_for(CallerPause);
  }
}

int SoakWorld::runs(const std::string &Id) const {
  int Sum = 0;
  for (const Api &Each : Apis_)
    Sum += Each.Endpoint_->runs(Id);
  return Sum;
}

} // namespace hawthornroad
