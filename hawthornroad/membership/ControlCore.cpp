#include "hawthornroad/membership/ControlCore.h"

#include <type_traits>

namespace hawthornroad {

ControlCore::ControlCore(Chart C, Setup S, Random Rng)
    : Setup_(std::move(S)), Rng_(Rng),
      Membership_(std::move(C), Setup_.Self_, Setup_.Membership_,
                  Random(Rng_.next())),
      Config_(Random(Rng_.next()), Setup_.Config_),
      ListPolls_(Random(Rng_.next()), Setup_.List_),
      Join_(Setup_.Join_, TimePoint::max()) {}

void ControlCore::start(TimePoint Now) {
  Started_ = true;
  Join_ = JoinProgress(Setup_.Join_, Now);
  Membership_.setContacts(Membership::Source::Seeds, Setup_.Seeds_);
}

void ControlCore::tick(TimePoint Now, Output &Out) {
  if (!Started_)
    return;
  Membership::Output Members;
  Membership_.tick(Now, Members);
  collect(Members, Now, Out);
  electReaders();
  ConfigFollower::Output Config;
  Config_.tick(IsReader_, Now, Config);
  collect(Config, Out);
  // The list is read at the start and while no live member is known. After that
  // only the readers of the zone read it, to find members beyond a network
  // partition.
  bool Wanted = !ListAsked_ || IsReader_ || table().live().empty();
  if (Setup_.HasList_ && Wanted && ListPolls_.isDue(Now)) {
    ListPolls_.readStarted(Now);
    Out.ReadList_ = true;
  }
  if (Ready_)
    return;
  pullFromPeers(Now, Out);
  Ready_ = Join_.isComplete(joinView(), Now);
}

void ControlCore::electReaders() {
  if (ElectedAt_ == table().version())
    return;
  ElectedAt_ = table().version();
  std::vector<std::string> Zone = {Setup_.Self_.Process_.str()};
  for (const ProcessName &Each : table().live())
    if (table().find(Each)->Zone_ == Setup_.Self_.Zone_)
      Zone.push_back(Each.str());
  IsReader_ = hawthornroad::isReader(Setup_.Self_.Process_, Setup_.Self_.Zone_,
                                     Zone, Setup_.Readers_);
}

void ControlCore::pullFromPeers(TimePoint Now, Output &Out) {
  std::vector<PeerAddress> Live;
  for (const ProcessName &Each : table().live())
    Live.push_back(table().find(Each)->Address_);
  for (const PeerAddress &Each : Join_.peersToAsk(Live, Now))
    Out.Sends_.push_back({Each, PullMessage{Config_.log().revision()}});
}

JoinProgress::View ControlCore::joinView() const {
  std::size_t Live = table().live().size();
  bool Contacts =
      !Membership_.contacts(Membership::Source::Seeds).empty() ||
      !Membership_.contacts(Membership::Source::PlatformList).empty();
  bool ListMayTell = Setup_.HasList_ && !ListAsked_;
  return {.TableRead_ = Config_.hasReadTable(),
          .TableFailed_ = Config_.platform().Failures_ > 0,
          .HasTable_ = Setup_.Config_.HasTable_,
          .MayHavePeers_ = Live > 0 || Contacts || ListMayTell,
          .LivePeers_ = Live,
          .Held_ = Config_.log().revision(),
          .HighestSeen_ = Config_.highestSeen()};
}

void ControlCore::handle(const PeerAddress &From, const ControlMessage &Message,
                         TimePoint Now, Output &Out) {
  Membership::Output Members;
  ConfigFollower::Output Config;
  std::visit(
      [&](const auto &M) {
        using T = std::decay_t<decltype(M)>;
        if constexpr (std::is_same_v<T, PullMessage>) {
          Config_.handle(From, M, Config);
        } else if constexpr (std::is_same_v<T, PushMessage>) {
          Join_.answered(From);
          Config_.handle(From, M, Now, Config);
        } else {
          Membership_.handle(From, M, Now, Members);
        }
      },
      Message);
  collect(Members, Now, Out);
  collect(Config, Out);
}

void ControlCore::collect(Membership::Output &From, TimePoint Now,
                          Output &Out) {
  for (ControlSend &Each : From.Sends_)
    Out.Sends_.push_back(std::move(Each));
  for (MemberChange &Each : From.Changes_)
    Out.Changes_.push_back(std::move(Each));
  ConfigFollower::Output Config;
  for (const AdvertisedRevision &Each : From.Revisions_)
    Config_.observeRevision(Each.From_, Each.Revision_, Now, Config);
  collect(Config, Out);
}

void ControlCore::collect(ConfigFollower::Output &From, Output &Out) {
  for (ControlSend &Each : From.Sends_)
    Out.Sends_.push_back(std::move(Each));
  if (From.Read_)
    Out.Read_ = std::move(From.Read_);
  if (!From.Advanced_)
    return;
  Out.Advanced_ = true;
  for (const Member *Each : Membership_.randomPeers(Setup_.ConfigFanout_))
    Out.Sends_.push_back({Each->Address_, From.Update_});
}

void ControlCore::tableAnswered(const ConfigAnswer &Answer, TimePoint Now,
                                Output &Out) {
  ConfigFollower::Output Config;
  Config_.tableAnswered(Answer, Now, Config);
  collect(Config, Out);
}

void ControlCore::listAnswered(std::optional<std::vector<PeerAddress>> List,
                               TimePoint Now) {
  ListAsked_ = true;
  ListPolls_.readFinished(List.has_value(), Now);
  if (List)
    Membership_.setContacts(Membership::Source::PlatformList, std::move(*List));
}

void ControlCore::setInForce(Revision R) {
  Membership_.setRevisions(Config_.log().revision(), R);
}

void ControlCore::publish(const EndpointStatus &Status, TimePoint Now,
                          Output &Out) {
  Membership::Output Members;
  Membership_.publish(Status, Now, Members);
  collect(Members, Now, Out);
}

void ControlCore::leave(TimePoint Now, Output &Out) {
  Membership::Output Members;
  Membership_.leave(Now, Members);
  collect(Members, Now, Out);
}

} // namespace hawthornroad
