#include "hawthornroad/entry/DirectEntryState.h"

#include <map>

namespace hawthornroad {

namespace {
// Small beside the limit on what is held.
constexpr std::size_t CheckEvery = 1024 * 1024;
} // namespace

void DirectEntry::State::setPaused(AttemptNumber A, bool ByCaller,
                                   bool ByBudget) {
  auto Found = Attempts_.find(A);
  if (Found == Attempts_.end())
    return;
  Attempt &T = Found->second;
  bool WasPaused = T.PausedByCaller_ || T.PausedByBudget_;
  if (ByCaller && !std::exchange(T.PausedByCaller_, ByCaller))
    Metrics_.count("hawthornroad_reading_paused_total", {{"why", "caller"}});
  if (ByBudget && !std::exchange(T.PausedByBudget_, ByBudget))
    Metrics_.count("hawthornroad_reading_paused_total", {{"why", "memory"}});
  T.PausedByCaller_ = ByCaller;
  T.PausedByBudget_ = ByBudget;
  bool IsPaused = ByCaller || ByBudget;
  if (IsPaused == WasPaused)
    return;
  // The link may call back, and the attempt may end by that.
  std::shared_ptr<ClientLink> Link = T.Link_;
  Core_.onPaused(A, IsPaused, bootNow());
  IsPaused ? Link->pause() : Link->resume();
}

void DirectEntry::State::followCaller(AttemptNumber A) {
  auto Found = Attempts_.find(A);
  if (Found == Attempts_.end())
    return;
  const Attempt &T = Found->second;
  if (ServerSession *S = session(T.Call_); S != nullptr && S->heldBack())
    setPaused(A, true, T.PausedByBudget_);
}

void DirectEntry::State::onDrained(ServerSession &S) {
  std::vector<AttemptNumber> Held;
  for (const auto &[A, T] : Attempts_)
    if (T.Call_ == S.tag() && T.PausedByCaller_)
      Held.push_back(A);
  for (AttemptNumber A : Held)
    if (auto Found = Attempts_.find(A); Found != Attempts_.end())
      setPaused(A, false, Found->second.PausedByBudget_);
}

// As TrafficCore refuses a request that has arrived whole.
void DirectEntry::State::onBodyRefused(ServerSession &S,
                                       const RefusedRequest &R) {
  InboundRequest Head;
  Head.Method_ = R.Method_;
  Head.Target_ = R.Target_;
  Head.Headers_ = R.Headers_;
  Call C = platform::decodeCall(std::move(Head));
  // Not empty, so that the request counts as one with a body.
  C.Body_ = " ";
  CallNumber N = NextCall_++;
  S.setTag(N);
  S.setRequestId(C.Id_);
  Sessions_[N] = S.shared_from_this();
  Core_.arrive(N, std::move(C), bootNow());
}

std::size_t DirectEntry::State::heldByAttempts() const {
  std::size_t Sum = 0;
  for (const auto &[A, T] : Attempts_)
    Sum += T.Link_->heldBytes();
  return Sum;
}

void DirectEntry::State::noteReceived(std::size_t Bytes) {
  ReceivedSinceCheck_ += Bytes;
  if (ReceivedSinceCheck_ >= CheckEvery)
    checkBuffers(bootNow());
}

void DirectEntry::State::checkBuffers(TimePoint Now) {
  ReceivedSinceCheck_ = 0;
  std::size_t Total =
      Callers_->heldBytes() + Core_.heldBytes() + heldByAttempts();
  Metrics_.set("hawthornroad_held_bytes", static_cast<double>(Total));
  if (Buffers_.update(Total)) {
    Core_.refuseBodies(Buffers_.isFull());
    Log_.write(LogLine(Buffers_.isFull() ? "buffers_full" : "buffers_free")
                   .count("held_bytes", Total)
                   .count("limit_bytes", Buffers_.limit())
                   .count("open_requests", Core_.open()),
               true);
  }
  if (Buffers_.isFull() || IsBudgetApplied_)
    applyBudget(Now);
}

void DirectEntry::State::applyBudget(TimePoint Now) {
  std::map<CallNumber, std::size_t> ByCall;
  for (const auto &[A, T] : Attempts_)
    ByCall[T.Call_] += T.Link_->heldBytes();
  std::vector<std::shared_ptr<ServerSession>> Live = Callers_->live();
  std::vector<BufferBudget::Holder> Holders;
  Holders.reserve(Live.size());
  for (std::size_t I = 0; I < Live.size(); ++I) {
    const ServerSession &S = *Live[I];
    std::size_t Bytes = S.heldBytes();
    if (S.inRequest())
      Bytes += Core_.heldBytes(S.tag()) + ByCall[S.tag()];
    Holders.push_back({I, Bytes});
  }
  BufferBudget::Choice C = Buffers_.choose(Holders);
  std::set<CallNumber> Paused;
  for (BufferBudget::HolderId I : C.Paused_)
    if (Live[I]->inRequest())
      Paused.insert(Live[I]->tag());
  IsBudgetApplied_ = !Paused.empty();
  std::vector<std::pair<AttemptNumber, Attempt>> All(Attempts_.begin(),
                                                     Attempts_.end());
  for (const auto &[A, T] : All)
    setPaused(A, T.PausedByCaller_, Paused.contains(T.Call_));
  for (BufferBudget::HolderId I : C.Ended_)
    endHolder(Live[I], Holders[I].Bytes_, Now);
}

// A request whose caller waits for its answer gets one, since it may have run;
// otherwise the caller does not read, or is still sending.
void DirectEntry::State::endHolder(const std::shared_ptr<ServerSession> &S,
                                   std::size_t Bytes, TimePoint Now) {
  Log_.write(LogLine("holder_ended")
                 .text("request", S->requestId())
                 .count("held_bytes", Bytes)
                 .count("unsent_bytes", S->unsentBytes()),
             true);
  Metrics_.count("hawthornroad_holders_ended_total");
  if (!S->inRequest() || S->unsentBytes() > Bytes / 2)
    return S->endForBuffers();
  Core_.endForBuffers(S->tag(), Now);
}

} // namespace hawthornroad
