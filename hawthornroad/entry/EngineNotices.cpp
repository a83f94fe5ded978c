#include "hawthornroad/entry/EngineNotices.h"

#include "hawthornroad/runtime/BootClock.h"

#include <algorithm>

namespace hawthornroad {

namespace {
std::uint32_t toMicroseconds(Duration D) {
  return static_cast<std::uint32_t>(D / std::chrono::microseconds(1));
}

PeerNet::Limits limits() {
  PeerNet::Limits L;
  L.PingAfter_ = PeerPingAfter;
  L.DeadAfter_ = PeerDeadAfter;
  return L;
}
} // namespace

EngineNotices::EngineNotices(IoThread &Io, PeerNet::Self Self,
                             std::string AgentPort, UpdateHandler H,
                             QueryHandler A, PlaceHandler P)
    : Port_(std::move(AgentPort)), UpdateHandler_(std::move(H)),
      QueryHandler_(std::move(A)), PlaceHandler_(std::move(P)) {
  PeerNet::Callbacks C;
  C.OnFrame_ = [this](const PeerContext &From, const wire::Frame &Frame) {
    if (const auto *Notice = Frame.body_as_EngineNotice())
      onNotice(From, *Notice);
    else if (const auto *Place = Frame.body_as_PlaceAnswer())
      PlaceHandler_(Place->number(),
                    {.IsGranted_ = Place->granted(),
                     .IsAway_ = Place->away(),
                     .Load_ = {Place->running(), Place->waiting()},
                     .Version_ = Place->version()});
    else if (Frame.body_type() == wire::Body::RowsAsk)
      onQuery(From, Frame);
  };
  C.OnLost_ = [this](const PeerContext &From, const Error &) {
    auto Found = Agents_.find(From.Address_.str());
    if (Found == Agents_.end())
      return;
    Agent &A = Found->second;
    A.SubscribeAt_ = bootNow() + A.ResubscribeDelay_;
    A.ResubscribeDelay_ =
        std::min(2 * A.ResubscribeDelay_, Duration(MaxResubscribeDelay));
    A.HasReported_ = false;
  };
  Net_ = std::make_unique<PeerNet>(Io, std::move(Self), limits(), std::move(C));
}

void EngineNotices::onNotice(const PeerContext &From,
                             const wire::EngineNotice &N) {
  EngineUpdate T;
  T.Address_ = N.address()->str();
  T.Phase_ = static_cast<EnginePhase>(N.phase());
  T.Version_ = N.version();
  auto Found = Agents_.find(From.Address_.str());
  if (Found != Agents_.end()) {
    Found->second.HasReported_ = Found->second.WasSeen_ = true;
    Found->second.ResubscribeDelay_ = MinResubscribeDelay;
  }
  if (Found != Agents_.end() && Found->second.IncludesLoad_)
    T.Load_ = EndpointLoad{N.running(), N.waiting()};
  UpdateHandler_(T);
}

void EngineNotices::onQuery(const PeerContext &From, const wire::Frame &Frame) {
  wire::FrameT Unpacked;
  Frame.UnPackTo(&Unpacked);
  QueryHandler_(std::move(*Unpacked.body.AsRowsAsk()),
                [this, To = From.Connection_](FrameBuffer F) {
                  Net_->reply(To, std::move(F));
                });
}

void EngineNotices::setEngines(const std::map<std::string, bool> &Engines,
                               TimePoint Now) {
  std::map<std::string, bool> Wanted;
  for (const auto &[Engine, Loads] : Engines)
    Wanted[agentOf(Engine)] = Loads;
  std::erase_if(Agents_,
                [&](const auto &Each) { return !Wanted.contains(Each.first); });
  for (const auto &[Address, Loads] : Wanted) {
    auto [Found, New] = Agents_.try_emplace(Address);
    if (!New)
      continue;
    Found->second.IncludesLoad_ = Loads;
    Found->second.AddedAt_ = Now;
    subscribe(Address, Found->second);
  }
}

void EngineNotices::tick(TimePoint Now) {
  for (auto &[Address, A] : Agents_)
    if (A.SubscribeAt_ && Now >= *A.SubscribeAt_)
      subscribe(Address, A);
}

AskResult EngineNotices::askPlace(AttemptNumber A, const std::string &Engine,
                                  const PlaceDemand &D) {
  std::string Address = agentOf(Engine);
  auto Found = Agents_.find(Address);
  if (Found == Agents_.end())
    return AskResult::NoAgent;
  const Agent &Asked = Found->second;
  if (!Asked.HasReported_) {
    bool IsConnecting =
        !Asked.WasSeen_ && bootNow() - Asked.AddedAt_ < ConnectTime;
    return IsConnecting ? AskResult::Connecting : AskResult::NoAgent;
  }
  wire::PlaceAskT Ask;
  Ask.number = A;
  Ask.late = D.Kind_ == PlaceKind::Late;
  Ask.resumes = D.Kind_ == PlaceKind::Resumed;
  Ask.reading_us = toMicroseconds(D.Reading_);
  Ask.usual_reading_us = toMicroseconds(D.UsualReading_);
  Ask.places = D.Places_;
  bool IsSent =
      Net_->send(PeerAddress(Address), Lane::Requests, makeFrame(Ask));
  return IsSent ? AskResult::Sent : AskResult::NoAgent;
}

void EngineNotices::setNewestVersion(const std::string &Model,
                                     std::uint64_t Version) {
  std::uint64_t &Newest = NewestVersions_[Model];
  if (Version <= Newest)
    return;
  Newest = Version;
  for (auto &[Address, A] : Agents_)
    subscribe(Address, A);
}

void EngineNotices::subscribe(const std::string &Address, Agent &A) {
  A.SubscribeAt_.reset();
  wire::EngineWatchT Watch;
  Watch.loads = A.IncludesLoad_;
  for (const auto &[Model, Version] : NewestVersions_) {
    auto Named = std::make_unique<wire::NamedVersionT>();
    Named->model = Model;
    Named->version = Version;
    Watch.versions.push_back(std::move(Named));
  }
  Net_->send(PeerAddress(Address), Lane::Requests, makeFrame(std::move(Watch)));
}

} // namespace hawthornroad
