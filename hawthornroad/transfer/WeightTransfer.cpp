#include "hawthornroad/runtime/Log.h"
#include "hawthornroad/transfer/WeightTransferState.h"

#include <algorithm>
#include <chrono>

namespace hawthornroad {

namespace {
// Delay before a failed transfer is retried.
constexpr Duration RetryPause = Seconds(1);

ChartNames chartNames() {
  return {
      .States_ = {"idle", "manifest", "opening", "fetching", "verifying",
                  "staged", "failed"},
      .Events_ = {"wanted", "manifest_read", "opened", "all_held",
                  "whole_right", "error", "retry"},
      .Guards_ = {"is_staged"},
      .Actions_ = {"seek_manifest", "open", "join_swarm", "verify", "report"}};
}

} // namespace

Chart transferChart(const std::string &Directory) {
  return Chart::load(Directory, "transfer", chartNames());
}

namespace {
std::uint64_t seedOf(const ProcessSettings &S) {
  if (S.RandomSeed_ != 0)
    return S.RandomSeed_ ^ std::hash<std::string>()(S.Process_.str());
  return static_cast<std::uint64_t>(
      std::chrono::system_clock::now().time_since_epoch().count());
}
} // namespace

WeightTransfer::State::State(Setup S, DecisionLoop &Loop, PeerNet &Net,
                             IoThread &FileIo, HttpClient &Client, Metrics &M,
                             Callbacks C)
    : Setup_(std::move(S)),
      Callbacks_(std::move(C)), Work_{Loop, Net, FileIo, M,
                                      std::make_shared<ChunkStore>(
                                          Setup_.Settings_.WeightsFolder_)},
      Origin_(Client, Loop, Setup_.Settings_.Origin_,
              Setup_.Settings_.Common_.Platform_.Table_),
      Chart_(transferChart(Setup_.Settings_.Common_.Charts_)),
      Phase_(Chart_.initial()), Random_(seedOf(Setup_.Settings_.Common_)),
      Uploads_(std::make_shared<WeightUploads>(Work_,
                                               Setup_.Settings_.UploadRate_)) {}

void WeightTransfer::State::fire(TransferEvent E, TimePoint Now) {
  Chart::Step S =
      Chart_.fire(Phase_, static_cast<std::size_t>(E), [&](std::size_t) {
        return Wanted_ && Staged_.contains(Wanted_->Model_.Version_);
      });
  if (!S.Taken_)
    return;
  Phase_ = S.Next_;
  for (std::size_t A : S.Actions_)
    runAction(static_cast<TransferAction>(A), Now);
}

void WeightTransfer::State::runAction(TransferAction A, TimePoint Now) {
  switch (A) {
  case TransferAction::SeekManifest:
    return seekManifest(Now);
  case TransferAction::Open:
    return open();
  case TransferAction::JoinSwarm:
    return joinSwarm(Now);
  case TransferAction::Verify:
    return verify();
  case TransferAction::Report:
    return Callbacks_.OnChange_(Now);
  }
}

void WeightTransfer::State::seekManifest(TimePoint Now) {
  Swarm_.reset();
  Manifest_.reset();
  Failure_.clear();
  std::vector<Vm> Peers;
  for (const WeightPeer &P : Peers_)
    Peers.push_back(P.Vm_);
  ManifestPlan_.emplace(Wanted_->Model_.Version_, Setup_.Settings_.Vm_,
                        std::move(Peers), Now);
  askForManifest(Now);
}

void WeightTransfer::State::open() {
  runOnFileThread<OpenedVersion>(
      Work_, weak_from_this(),
      [M = *Manifest_, Bytes = ManifestBytes_](ChunkStore &Store) {
        Store.dropPartials(M.version());
        return OpenedVersion{Store.open(M, Bytes), Store.readNote(M.version())};
      },
      [this, Version = Manifest_->version()](
          const FileOutcome<OpenedVersion> &Out, TimePoint Now) {
        if (!isCurrent(Version) || !isIn(TransferPhase::Opening))
          return;
        if (!Out.Result_)
          return fail(Out.Reason_, Now);
        Opened_ = *Out.Result_;
        fire(TransferEvent::Opened, Now);
      });
}

void WeightTransfer::State::joinSwarm(TimePoint Now) {
  const AgentSettings &S = Setup_.Settings_;
  WeightSwarm::Setup Own{
      .Swarm_ = {.Self_ = {S.Vm_, S.Common_.Zone_},
                 .Preference_ = Wanted_->Rollout_.Preference_,
                 .OriginCopies_ = Wanted_->Rollout_.OriginCopies_,
                 .Seed_ = Random_.next()},
      .Service_ = Wanted_->Service_,
      .DownloadRate_ = S.DownloadRate_,
      .Load_ = [Uploads = Uploads_] { return Uploads->load(); }};
  try {
    Swarm_ = std::make_shared<WeightSwarm>(
        Work_, Origin_, std::move(Own), *Manifest_, Opened_.Held_,
        WeightSwarm::Note::parse(Opened_.Note_), Now);
  } catch (const Error &E) {
    Failure_ = E.what();
    return Callbacks_.OnChange_(Now);
  }
  Uploads_->setChunkSize(Manifest_->chunkSize());
  Swarm_->setPeers(Peers_, Now);
  log(LogLevel::Info, Step::Fetch, "transfer started",
      {{"version", Manifest_->version().str()},
       {"detail", std::to_string(Swarm_->held().count()) + " of " +
                      std::to_string(Swarm_->held().size()) +
                      " chunks are held"}});
}

void WeightTransfer::State::verify() {
  runOnFileThread<std::string>(
      Work_, weak_from_this(),
      [Version = Manifest_->version()](ChunkStore &Store) {
        return Store.complete(Version);
      },
      [this, Version = Manifest_->version()](
          const FileOutcome<std::string> &Out, TimePoint Now) {
        if (!isCurrent(Version) || !isIn(TransferPhase::Verifying))
          return;
        if (!Out.Result_)
          return fail(Out.Reason_, Now);
        Staged_[Version] = {*Manifest_, *Out.Result_};
        StagedOrder_.push_back(Version);
        Failure_.clear();
        log(LogLevel::Info, Step::Verify, "version is staged",
            {{"version", Version.str()}});
        evictOld();
        fire(TransferEvent::WholeRight, Now);
      });
}

void WeightTransfer::State::fail(std::string Reason, TimePoint Now) {
  Failure_ = std::move(Reason);
  RetryAt_ = Now + RetryPause;
  log(LogLevel::Warning, Step::Fetch, "transfer failed; will be retried",
      {{"version", Wanted_->Model_.Version_.str()}, {"detail", Failure_}});
  fire(TransferEvent::Error, Now);
}

void WeightTransfer::State::evictOld() {
  std::int64_t Kept = 0;
  std::vector<VersionDigest> Dropped;
  for (auto At = StagedOrder_.rbegin(); At != StagedOrder_.rend(); ++At) {
    auto Size = static_cast<std::int64_t>(Staged_.at(*At).Manifest_.size());
    if (isCurrent(*At) || Protected_.contains(*At))
      continue;
    Kept += Size;
    if (Kept > Setup_.Settings_.KeepBytes_)
      Dropped.push_back(*At);
  }
  for (const VersionDigest &Version : Dropped) {
    Staged_.erase(Version);
    std::erase(StagedOrder_, Version);
    runOnFileThread<bool>(
        Work_, weak_from_this(),
        [Version](ChunkStore &Store) {
          Store.drop(Version);
          return true;
        },
        [](const FileOutcome<bool> &, TimePoint) {});
  }
}

void WeightTransfer::State::tick(TimePoint Now) {
  Uploads_->tick(Now);
  if (!Recovered_ || !Wanted_)
    return;
  if (isIn(TransferPhase::Manifest))
    askForManifest(Now);
  if (isIn(TransferPhase::Failed) && Now >= RetryAt_)
    fire(TransferEvent::Retry, Now);
  if (!Swarm_)
    return;
  Swarm_->tick(Now);
  if (isIn(TransferPhase::Fetching))
    Failure_ = Swarm_->failure(Now);
  if (isIn(TransferPhase::Fetching) && Swarm_->isDone())
    fire(TransferEvent::AllHeld, Now);
}

WeightTransfer::WeightTransfer(Setup S, DecisionLoop &Loop, PeerNet &Net,
                               IoThread &FileIo, HttpClient &Client, Metrics &M,
                               Callbacks C)
    : State_(std::make_shared<State>(std::move(S), Loop, Net, FileIo, Client, M,
                                     std::move(C))) {}

WeightTransfer::~WeightTransfer() = default;

void WeightTransfer::start(TimePoint Now) {
  State_->Work_.Loop_.onTick([Self = std::weak_ptr(State_)](TimePoint N) {
    if (auto S = Self.lock())
      S->tick(N);
  });
  using Found = std::vector<StoredVersion>;
  runOnFileThread<Found>(
      State_->Work_, State_, [](ChunkStore &Store) { return Store.recover(); },
      [S = State_.get()](const FileOutcome<Found> &Out, TimePoint Now) {
        S->Recovered_ = true;
        for (const StoredVersion &V : Out.Result_.value_or(Found{})) {
          S->Staged_[V.Manifest_.version()] = V;
          S->StagedOrder_.push_back(V.Manifest_.version());
        }
        if (S->Wanted_)
          S->fire(TransferEvent::Wanted, Now);
        S->Callbacks_.OnChange_(Now);
      });
}

void WeightTransfer::want(WantedVersion W, TimePoint Now) {
  State &S = *State_;
  bool SameVersion =
      S.isCurrent(W.Model_.Version_) && S.Wanted_->Service_ == W.Service_;
  S.Wanted_ = std::move(W);
  if (!SameVersion && S.Recovered_) {
    S.Swarm_.reset();
    S.Failure_.clear();
    S.fire(TransferEvent::Wanted, Now);
  } else if (S.Swarm_) {
    S.Swarm_->setRollout(S.Wanted_->Rollout_);
  }
}

void WeightTransfer::setPeers(std::vector<WeightPeer> Peers, TimePoint Now) {
  State_->Peers_ = std::move(Peers);
  if (State_->Swarm_)
    State_->Swarm_->setPeers(State_->Peers_, Now);
}

void WeightTransfer::protect(std::set<VersionDigest> Versions) {
  State_->Protected_ = std::move(Versions);
}

void WeightTransfer::onLost(const PeerContext &Peer, TimePoint Now) {
  State_->Uploads_->onLost(Peer.Connection_, Now);
  if (State_->Swarm_)
    State_->Swarm_->onLost(Peer.Address_, Now);
}

std::optional<std::string>
WeightTransfer::pathOf(const VersionDigest &Version) const {
  auto Found = State_->Staged_.find(Version);
  if (Found == State_->Staged_.end())
    return std::nullopt;
  return Found->second.Path_;
}

std::vector<VersionDigest> WeightTransfer::staged() const {
  std::vector<VersionDigest> Out;
  for (const auto &[Version, Stored] : State_->Staged_)
    Out.push_back(Version);
  return Out;
}

std::string WeightTransfer::failure() const { return State_->Failure_; }

boost::json::object WeightTransfer::status(TimePoint Now) const {
  const State &S = *State_;
  boost::json::object Out;
  Out["phase"] = S.Chart_.names().States_[S.Phase_];
  Out["failure"] = failure();
  Out["chunks"] = S.Swarm_ ? S.Swarm_->held().size() : 0;
  Out["held"] = S.Swarm_ ? S.Swarm_->held().count() : 0;
  Out["origin_bytes"] = S.Swarm_ ? S.Swarm_->originBytes() : 0;
  boost::json::array Staged;
  for (const VersionDigest &Version : staged())
    Staged.push_back(boost::json::string(Version.str()));
  Out["staged"] = std::move(Staged);
  return Out;
}

} // namespace hawthornroad
