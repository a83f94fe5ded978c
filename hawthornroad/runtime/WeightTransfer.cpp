#include "hawthornroad/runtime/WeightTransfer.h"

#include "hawthornroad/runtime/ChunkStore.h"
#include "hawthornroad/runtime/Log.h"
#include "hawthornroad/weights/Manifest.h"

#include <algorithm>
#include <map>

namespace hawthornroad {

namespace {
constexpr Duration RetryPause = Seconds(1);
constexpr std::size_t OriginReads = 2;
constexpr unsigned Ok = 200;
constexpr unsigned PartialContent = 206;

enum class Phase { Manifest, Opening, Fetching, Verifying, Staged, Failed };

std::string_view toString(Phase P) {
  static constexpr std::string_view Names[] = {
      "manifest", "opening", "fetching", "verifying", "staged", "failed"};
  return Names[static_cast<std::size_t>(P)];
}

std::string rangeHeader(ChunkSpan Span) {
  return "bytes=" + std::to_string(Span.Offset_) + "-" +
         std::to_string(Span.Offset_ + Span.Length_ - 1);
}
} // namespace

struct WeightTransfer::State : std::enable_shared_from_this<State> {
  State(Setup S, DecisionLoop &Loop, PeerNet &Net, IoThread &FileIo,
        HttpClient &Client, Metrics &M, Callbacks C)
      : Setup_(std::move(S)), Loop_(Loop), Net_(Net), FileIo_(FileIo),
        Client_(Client), Metrics_(M), Callbacks_(std::move(C)),
        Store_(std::make_shared<ChunkStore>(Setup_.Settings_.WeightsFolder_)) {}

  // Runs Work on the file thread, then Then(result, error, now) in the loop.
  template <class Result>
  void onFile(
      std::function<Result(ChunkStore &)> Work,
      std::function<void(std::optional<Result>, std::string, TimePoint)> Then);
  void begin(TimePoint Now);
  void fetchManifest();
  void onManifest(const VersionDigest &Version, HttpResult R, TimePoint Now);
  void onOpened(const Manifest &M, std::vector<bool> Held, TimePoint Now);
  void readMore(TimePoint Now);
  void readOrigin(ChunkIndex Index);
  void onOriginChunk(const VersionDigest &Version, ChunkIndex Index,
                     HttpResult R, TimePoint Now);
  void keep(ChunkIndex Index, std::string Bytes, std::string Sender);
  void complete();
  void onComplete(const VersionDigest &Version, std::string Path,
                  TimePoint Now);
  void fail(std::string Why, TimePoint Now);
  void tick(TimePoint Now);
  bool isCurrent(const VersionDigest &V) const {
    return Wish_ && Wish_->Model_.Version_ == V;
  }

  Setup Setup_;
  DecisionLoop &Loop_;
  PeerNet &Net_;
  IoThread &FileIo_;
  HttpClient &Client_;
  Metrics &Metrics_;
  Callbacks Callbacks_;
  std::shared_ptr<ChunkStore> Store_;
  bool Recovered_ = false;
  std::map<VersionDigest, StoredVersion> Staged_;
  std::set<VersionDigest> Protected_;
  std::optional<WantedVersion> Wish_;
  Phase Phase_ = Phase::Staged;
  std::optional<Manifest> Manifest_;
  std::vector<bool> Held_;
  std::set<ChunkIndex> InFlight_;
  std::string Failure_;
  TimePoint RetryAt_;
};

template <class Result>
void WeightTransfer::State::onFile(
    std::function<Result(ChunkStore &)> Work,
    std::function<void(std::optional<Result>, std::string, TimePoint)> Then) {
  auto Task = [Self = weak_from_this(), Store = Store_, Work = std::move(Work),
               Then = std::move(Then)] {
    std::optional<Result> Got;
    std::string Why;
    try {
      Got = Work(*Store);
    } catch (const std::exception &E) {
      Why = E.what();
    }
    if (auto S = Self.lock())
      S->Loop_.post([Self, Then, Got = std::move(Got), Why](TimePoint Now) {
        if (Self.lock())
          Then(Got, Why, Now);
      });
  };
  FileIo_.submit(std::move(Task));
}

void WeightTransfer::State::begin(TimePoint Now) {
  Manifest_.reset();
  Held_.clear();
  InFlight_.clear();
  Failure_.clear();
  if (!Recovered_ || !Wish_)
    return;
  if (Staged_.contains(Wish_->Model_.Version_)) {
    Phase_ = Phase::Staged;
    return;
  }
  Phase_ = Phase::Manifest;
  fetchManifest();
}

void WeightTransfer::State::fetchManifest() {
  VersionDigest Version = Wish_->Model_.Version_;
  Client_.call(Setup_.Settings_.Origin_, {.Target_ = Wish_->Model_.Manifest_},
               {.Timeout_ = Seconds(30)},
               {.OnDone_ = [Self = weak_from_this(), Version](HttpResult R) {
                 auto S = Self.lock();
                 if (!S)
                   return;
                 S->Loop_.post([Self, Version, R = std::move(R)](TimePoint N) {
                   if (auto S = Self.lock())
                     S->onManifest(Version, R, N);
                 });
               }});
}

void WeightTransfer::State::onManifest(const VersionDigest &Version,
                                       HttpResult R, TimePoint Now) {
  if (!isCurrent(Version) || Phase_ != Phase::Manifest)
    return;
  if (!R.Response_ || R.Response_->Status_ != Ok)
    return fail(R.Error_ ? R.Error_->what() : "origin has no manifest", Now);
  try {
    Manifest_ =
        Manifest::parse(R.Response_->Body_, Version, Setup_.Settings_.Origin_);
  } catch (const Error &E) {
    return fail(E.what(), Now);
  }
  Phase_ = Phase::Opening;
  onFile<std::vector<bool>>(
      [M = *Manifest_, Bytes = R.Response_->Body_](ChunkStore &Store) {
        return Store.open(M, Bytes);
      },
      [this, M = *Manifest_](std::optional<std::vector<bool>> Held,
                             const std::string &Why, TimePoint Now) {
        if (!isCurrent(M.version()) || Phase_ != Phase::Opening)
          return;
        if (!Held)
          return fail(Why, Now);
        onOpened(M, *Held, Now);
      });
}

void WeightTransfer::State::onOpened(const Manifest &M, std::vector<bool> Held,
                                     TimePoint Now) {
  Phase_ = Phase::Fetching;
  Held_ = std::move(Held);
  log(LogLevel::Info, Step::Fetch, "transfer begins",
      {{"version", M.version().str()},
       {"detail", std::to_string(std::count(Held_.begin(), Held_.end(), true)) +
                      " of " + std::to_string(Held_.size()) +
                      " chunks are here"}});
  readMore(Now);
}

void WeightTransfer::State::readMore(TimePoint Now) {
  if (Phase_ != Phase::Fetching)
    return;
  if (std::count(Held_.begin(), Held_.end(), false) == 0)
    return complete();
  for (ChunkIndex I = 0; I < Held_.size(); ++I) {
    if (InFlight_.size() >= OriginReads)
      return;
    if (!Held_[I] && InFlight_.insert(I).second)
      readOrigin(I);
  }
}

void WeightTransfer::State::readOrigin(ChunkIndex Index) {
  VersionDigest Version = Manifest_->version();
  Client_.call(
      Setup_.Settings_.Origin_,
      {.Target_ = Manifest_->blob(),
       .Headers_ = {{"Range", rangeHeader(Manifest_->chunkSpan(Index))}}},
      {.Timeout_ = Seconds(30)},
      {.OnDone_ = [Self = weak_from_this(), Version, Index](HttpResult R) {
        auto S = Self.lock();
        if (!S)
          return;
        S->Loop_.post([Self, Version, Index, R = std::move(R)](TimePoint N) {
          if (auto S = Self.lock())
            S->onOriginChunk(Version, Index, R, N);
        });
      }});
}

void WeightTransfer::State::onOriginChunk(const VersionDigest &Version,
                                          ChunkIndex Index, HttpResult R,
                                          TimePoint Now) {
  if (!isCurrent(Version) || Phase_ != Phase::Fetching)
    return;
  if (R.Response_ && R.Response_->Status_ == PartialContent)
    return keep(Index, std::move(R.Response_->Body_), Setup_.Settings_.Origin_);
  Failure_ = R.Error_ ? R.Error_->what() : "origin refuses the range";
  InFlight_.erase(Index);
  RetryAt_ = Now + RetryPause;
}

void WeightTransfer::State::keep(ChunkIndex Index, std::string Bytes,
                                 std::string Sender) {
  VersionDigest Version = Manifest_->version();
  onFile<bool>(
      [=, Bytes = std::move(Bytes)](ChunkStore &Store) {
        Store.write(Version, Index, Bytes, Sender);
        return true;
      },
      [=, this](std::optional<bool> Kept, const std::string &Why,
                TimePoint Now) {
        if (!isCurrent(Version) || Phase_ != Phase::Fetching)
          return;
        InFlight_.erase(Index);
        if (Kept) {
          Held_[Index] = true;
          Failure_.clear();
          return readMore(Now);
        }
        Failure_ = Why;
        Metrics_.count("hawthornroad_chunks_refused_total");
        RetryAt_ = Now + RetryPause;
      });
}

void WeightTransfer::State::complete() {
  Phase_ = Phase::Verifying;
  VersionDigest Version = Manifest_->version();
  onFile<std::string>(
      [=](ChunkStore &Store) { return Store.complete(Version); },
      [=, this](std::optional<std::string> Path, const std::string &Why,
                TimePoint Now) {
        if (!isCurrent(Version) || Phase_ != Phase::Verifying)
          return;
        if (!Path)
          return fail(Why, Now);
        onComplete(Version, *Path, Now);
      });
}

void WeightTransfer::State::onComplete(const VersionDigest &Version,
                                       std::string Path, TimePoint Now) {
  Phase_ = Phase::Staged;
  Staged_[Version] = {*Manifest_, std::move(Path)};
  log(LogLevel::Info, Step::Verify, "version is staged",
      {{"version", Version.str()}});
  Callbacks_.OnChange_(Now);
}

void WeightTransfer::State::fail(std::string Why, TimePoint Now) {
  Phase_ = Phase::Failed;
  Failure_ = std::move(Why);
  RetryAt_ = Now + RetryPause;
  log(LogLevel::Warning, Step::Fetch, "transfer failed, will be retried",
      {{"version", Wish_->Model_.Version_.str()}, {"detail", Failure_}});
  Callbacks_.OnChange_(Now);
}

void WeightTransfer::State::tick(TimePoint Now) {
  if (!Recovered_ || !Wish_ || Now < RetryAt_)
    return;
  if (Phase_ == Phase::Failed)
    begin(Now);
  else
    readMore(Now);
}

WeightTransfer::WeightTransfer(Setup S, DecisionLoop &Loop, PeerNet &Net,
                               IoThread &FileIo, HttpClient &Client, Metrics &M,
                               Callbacks C)
    : State_(std::make_shared<State>(std::move(S), Loop, Net, FileIo, Client, M,
                                     std::move(C))) {}

WeightTransfer::~WeightTransfer() = default;

void WeightTransfer::start(TimePoint Now) {
  State_->Loop_.onTick([Self = std::weak_ptr(State_)](TimePoint N) {
    if (auto S = Self.lock())
      S->tick(N);
  });
  State_->onFile<std::vector<StoredVersion>>(
      [](ChunkStore &Store) { return Store.recover(); },
      [S = State_.get()](std::optional<std::vector<StoredVersion>> Found,
                         const std::string &Why, TimePoint Now) {
        S->Recovered_ = true;
        if (Found)
          for (StoredVersion &V : *Found)
            S->Staged_[V.Manifest_.version()] = V;
        S->begin(Now);
        S->Callbacks_.OnChange_(Now);
      });
}

void WeightTransfer::want(WantedVersion W, TimePoint Now) {
  bool SameVersion = State_->isCurrent(W.Model_.Version_);
  State_->Wish_ = std::move(W);
  if (!SameVersion)
    State_->begin(Now);
}

void WeightTransfer::setPeers(std::vector<WeightPeer> Peers, TimePoint Now) {}

void WeightTransfer::protect(std::set<VersionDigest> Versions) {
  State_->Protected_ = std::move(Versions);
}

bool WeightTransfer::onFrame(const PeerContext &From, wire::FrameT &Frame,
                             TimePoint Now) {
  switch (Frame.body.type) {
  case wire::Body::ChunkHave:
  case wire::Body::ChunkAsk:
  case wire::Body::ChunkRequest:
  case wire::Body::ChunkReply:
    return true;
  default:
    return false;
  }
}

void WeightTransfer::onLost(const PeerContext &Peer, TimePoint Now) {}

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
  Out["phase"] = toString(S.Phase_);
  Out["failure"] = S.Failure_;
  Out["chunks"] = S.Held_.size();
  Out["held"] = std::count(S.Held_.begin(), S.Held_.end(), true);
  boost::json::array Staged;
  for (const auto &[Version, Stored] : S.Staged_)
    Staged.push_back(boost::json::string(Version.str()));
  Out["staged"] = std::move(Staged);
  return Out;
}

} // namespace hawthornroad
