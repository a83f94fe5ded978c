#include "hawthornroad/entry/EngineNotices.h"

#include "hawthornroad/base/Hash.h"
#include "hawthornroad/peers/Ages.h"
#include "hawthornroad/peers/LimitCodec.h"
#include "hawthornroad/peers/PartCodec.h"
#include "hawthornroad/runtime/BootClock.h"

#include <algorithm>
#include <utility>

namespace hawthornroad {

namespace {
// The least urgent priority that a request for a place can state.
constexpr int MaxRank = 9;

std::uint32_t toMicroseconds(Duration D) {
  return static_cast<std::uint32_t>(D / std::chrono::microseconds(1));
}

PlaceReply decodePlace(const wire::PlaceAnswer &Answer) {
  PlaceReply R;
  R.IsGranted_ = Answer.granted();
  R.IsAway_ = Answer.away();
  R.Load_ = {Answer.running(), Answer.waiting()};
  R.Version_ = Answer.version();
  R.LimitWait_ = std::chrono::microseconds(Answer.limit_wait_us());
  if (Answer.limit() != nullptr) {
    wire::StatedLimitT Limit;
    Answer.limit()->UnPackTo(&Limit);
    R.Limit_ = decodeLimit(Limit, bootNow());
  }
  if (Answer.cold() != nullptr) {
    wire::ColdStateT Cold;
    Answer.cold()->UnPackTo(&Cold);
    R.Cold_ = decodeCold(&Cold);
  }
  R.Slowdown_ = decodeSlowdown(Answer.slowdown());
  return R;
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
      PlaceHandler_(Place->number(), decodePlace(*Place));
    else if (Frame.body_type() == wire::Body::RowsAsk)
      onQuery(From, Frame);
    else if (const auto *Parts = Frame.body_as_PartReport())
      onParts(*Parts);
  };
  C.OnLost_ = [this](const PeerContext &From, const Error &Why) {
    onLost(From, Why);
  };
  Net_ = std::make_unique<PeerNet>(Io, std::move(Self), limits(), std::move(C));
}

void EngineNotices::onLost(const PeerContext &From, const Error &Why) {
  auto Found = Agents_.find(From.Address_.str());
  if (Found == Agents_.end())
    return;
  Agent &A = Found->second;
  TimePoint Now = bootNow();
  A.SubscribeAt_ = Now + A.ResubscribeDelay_;
  A.ResubscribeDelay_ =
      std::min(2 * A.ResubscribeDelay_, Duration(MaxResubscribeDelay));
  A.HasReported_ = false;
  reportLoss(Found->first, A, Why, Now);
}

void EngineNotices::reportLoss(const std::string &Address, Agent &A,
                               const Error &Why, TimePoint Now) {
  // Further failures to connect are no further losses.
  if (!A.LostAt_) {
    A.LostAt_ = Now;
    A.IsLossReported_ = false;
    ++A.UnreportedLosses_;
  }
  bool IsStarting = !A.WasSeen_ && Now - A.AddedAt_ < ConnectTime;
  bool IsTooSoon =
      A.LossReportedAt_ && Now - *A.LossReportedAt_ < LossReportInterval;
  if (A.IsLossReported_ || IsStarting || IsTooSoon)
    return;
  A.IsLossReported_ = true;
  A.LossReportedAt_ = Now;
  AgentConnection Report;
  Report.Agent_ = Address;
  Report.IsLost_ = true;
  Report.Reason_ = Why.what();
  Report.Losses_ = std::exchange(A.UnreportedLosses_, 0);
  if (ConnectionHandler_)
    ConnectionHandler_(Report);
}

void EngineNotices::reportReturn(const std::string &Address, Agent &A,
                                 TimePoint Now) {
  if (!A.LostAt_)
    return;
  AgentConnection Report;
  Report.Agent_ = Address;
  Report.LostFor_ = Now - *std::exchange(A.LostAt_, std::nullopt);
  if (std::exchange(A.IsLossReported_, false) && ConnectionHandler_)
    ConnectionHandler_(Report);
}

void EngineNotices::onNotice(const PeerContext &From,
                             const wire::EngineNotice &N) {
  EngineUpdate T;
  T.Address_ = N.address()->str();
  T.Phase_ = static_cast<EnginePhase>(N.phase());
  T.Version_ = N.version();
  T.Entries_ = N.entries();
  if (N.heard() != nullptr)
    for (const wire::HeardVersion *Each : *N.heard())
      T.Heard_.push_back({Each->model()->str(), Each->version(),
                          timeOfAge(Each->age_us(), bootNow())});
  auto Found = Agents_.find(From.Address_.str());
  if (Found != Agents_.end()) {
    Found->second.HasReported_ = Found->second.WasSeen_ = true;
    Found->second.ResubscribeDelay_ = MinResubscribeDelay;
    reportReturn(Found->first, Found->second, bootNow());
  }
  if (Found != Agents_.end() && Found->second.IncludesLoad_)
    T.Load_ =
        EndpointLoad{N.running(), N.waiting(), decodeSlowdown(N.slowdown())};
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
  std::map<std::string, std::pair<std::string, bool>> Wanted;
  for (const auto &[Engine, Loads] : Engines)
    Wanted[agentOf(Engine)] = {Engine, Loads};
  std::erase_if(Agents_,
                [&](const auto &Each) { return !Wanted.contains(Each.first); });
  for (const auto &[Address, Each] : Wanted) {
    auto [Found, New] = Agents_.try_emplace(Address);
    Found->second.Engine_ = Each.first;
    if (!New)
      continue;
    Found->second.IncludesLoad_ = Each.second;
    Found->second.AddedAt_ = Now;
    subscribe(Address, Found->second);
  }
}

void EngineNotices::tick(TimePoint Now) {
  for (auto &[Address, A] : Agents_)
    if (A.SubscribeAt_ && Now >= *A.SubscribeAt_)
      subscribe(Address, A);
  updateRelays();
}

void EngineNotices::onParts(const wire::PartReport &Report) {
  wire::PartReportT Unpacked;
  Report.UnPackTo(&Unpacked);
  if (PartsHandler_)
    PartsHandler_(decodeParts(Unpacked, bootNow()), decodeEnded(Unpacked));
}

std::map<std::string, unsigned> EngineNotices::relays() const {
  static const std::string Key = "prompt-parts";
  // The best last.
  std::vector<std::pair<std::uint64_t, const std::string *>> Best;
  for (const auto &[Address, A] : Agents_) {
    if (!A.HasReported_)
      continue;
    std::pair Scored(rendezvousScore(Key, Address), &Address);
    Best.insert(std::lower_bound(Best.begin(), Best.end(), Scored), Scored);
    if (Best.size() > RelayCount)
      Best.erase(Best.begin());
  }
  std::map<std::string, unsigned> Out;
  for (const auto &[Score, Address] : Best)
    Out[*Address] = Agents_.at(*Address).Subscriptions_;
  return Out;
}

void EngineNotices::updateRelays() {
  std::map<std::string, unsigned> Now = relays();
  if (Now == Relays_)
    return;
  std::map<std::string, unsigned> Before = std::exchange(Relays_, Now);
  std::vector<PartEvidence> All;
  if (PartsSource_)
    All = PartsSource_();
  if (All.empty())
    return;
  for (const auto &[Address, Subscriptions] : Now)
    if (auto Found = Before.find(Address);
        Found == Before.end() || Found->second != Subscriptions)
      sendParts(Address, All);
}

void EngineNotices::sendParts(const std::string &Agent,
                              const std::vector<PartEvidence> &Parts) {
  Net_->send(PeerAddress(Agent), Lane::Requests,
             makeFrame(encodeParts(Parts, bootNow())));
}

bool EngineNotices::shareParts(const std::vector<PartEvidence> &Parts) {
  std::map<std::string, unsigned> To = relays();
  for (const auto &[Address, Subscriptions] : To)
    sendParts(Address, Parts);
  return !To.empty();
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
  return sendAsk(Address, A, D, std::nullopt) ? AskResult::Sent
                                              : AskResult::NoAgent;
}

bool EngineNotices::sendAsk(const std::string &Agent, AttemptNumber A,
                            const PlaceDemand &D,
                            std::optional<GranterRole> Role) {
  wire::PlaceAskT Ask;
  Ask.number = A;
  Ask.late = D.Kind_ == PlaceKind::Late;
  Ask.resumes = D.Kind_ == PlaceKind::Resumed;
  Ask.reading_us = toMicroseconds(D.Reading_);
  Ask.usual_reading_us = toMicroseconds(D.UsualReading_);
  Ask.places = D.Places_;
  Ask.endpoint = D.Endpoint_.Id_.str();
  Ask.born = D.Endpoint_.Born_;
  Ask.only_limit = Role.has_value();
  Ask.substitute = Role == GranterRole::Substitute;
  if (D.Limit_)
    Ask.limit = encodeLimit(*D.Limit_, bootNow());
  if (D.Rank_)
    Ask.rank = static_cast<std::uint8_t>(std::clamp(*D.Rank_, 0, MaxRank) + 1);
  Ask.owed = D.IsOwed_;
  Ask.cold = encodeCold(D.Cold_);
  return Net_->send(PeerAddress(Agent), Lane::Requests,
                    makeFrame(std::move(Ask)));
}

std::string EngineNotices::agentBeside(const std::string &Address) const {
  auto Found = Agents_.find(agentOf(Address));
  bool IsBeside = Found != Agents_.end() && Found->second.Engine_ == Address;
  return IsBeside ? Found->first : std::string();
}

bool EngineNotices::isConnected(const std::string &Agent) const {
  auto Found = Agents_.find(Agent);
  return Found != Agents_.end() && Found->second.HasReported_;
}

std::string EngineNotices::granterOf(const EndpointId &Id,
                                     const std::string &Except) const {
  std::string Best;
  std::uint64_t BestScore = 0;
  for (const auto &[Address, A] : Agents_) {
    if (!A.HasReported_ || Address == Except)
      continue;
    std::uint64_t Score = rendezvousScore(Id.str(), Address);
    if (Best.empty() || Score > BestScore) {
      Best = Address;
      BestScore = Score;
    }
  }
  return Best;
}

AskResult EngineNotices::askLimit(AttemptNumber A, const std::string &Address,
                                  const PlaceDemand &D) {
  std::string Own = agentBeside(Address);
  GranterRole Role =
      Own.empty() ? GranterRole::Chosen : GranterRole::Substitute;
  std::string Granter = granterOf(D.Endpoint_.Id_, Own);
  if (Granter.empty())
    return AskResult::NoAgent;
  return sendAsk(Granter, A, D, Role) ? AskResult::Sent : AskResult::NoAgent;
}

void EngineNotices::noteLimit(const std::string &Address,
                              const EndpointStart &E, const LimitStatement &S) {
  std::string Own = agentBeside(Address);
  std::string Granter = isConnected(Own) ? Own : granterOf(E.Id_, Own);
  if (Granter.empty())
    return;
  wire::LimitNoticeT Notice;
  Notice.endpoint = E.Id_.str();
  Notice.born = E.Born_;
  Notice.limit = encodeLimit(S, bootNow());
  Net_->send(PeerAddress(Granter), Lane::Requests,
             makeFrame(std::move(Notice)));
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
  ++A.Subscriptions_;
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
