// The membership and configuration logic of one process behind a single
// interface, for its drivers: the control plane, benchmarks and tests.
//
//   ControlCore Core(Chart, Setup, Rng);
//   ControlCore::Output Out;
//   Core.start(Now);
//   Core.tick(Now, Out);
//   Core.handle(FromAddress, Message, Now, Out);
//   for (const ControlSend &Each : Out.Sends_) ...   // carry them out
//   if (Out.Read_) ...       // read the table, then Core.tableAnswered(...)
//   if (Out.ReadList_) ...   // read the membership list, then listAnswered()
//   if (Out.Advanced_) ...   // parse Core.config().log(), then setInForce()
//
// Combines Membership, ConfigFollower and JoinProgress: the readers of the
// table are elected among the live members of the zone, revisions that other
// members advertise are pulled from them, and a new revision is pushed to
// ConfigFanout_ random members at once.

#ifndef HAWTHORNROAD_MEMBERSHIP_CONTROLCORE_H
#define HAWTHORNROAD_MEMBERSHIP_CONTROLCORE_H

#include "hawthornroad/config/ConfigFollower.h"
#include "hawthornroad/membership/JoinProgress.h"
#include "hawthornroad/membership/Membership.h"

namespace hawthornroad {

class ControlCore {
public:
  struct Setup {
    Member Self_;
    std::vector<PeerAddress> Seeds_;
    Membership::Setup Membership_;
    ConfigFollower::Limits Config_;
    JoinProgress::Limits Join_;
    // Whether the platform has a membership list, and how often it is read.
    bool HasList_ = false;
    PollSchedule::Limits List_ = {.Period_ = Seconds(5),
                                  .MaxWait_ = Seconds(30)};
    // Number of processes per zone that read the table.
    std::size_t Readers_ = 3;
    std::size_t ConfigFanout_ = 4;
  };
  struct Output {
    std::vector<ControlSend> Sends_;
    std::vector<MemberChange> Changes_;
    std::optional<ConfigRead> Read_;
    bool ReadList_ = false;
    bool Advanced_ = false;
  };

  ControlCore(Chart C, Setup S, Random Rng);

  void start(TimePoint Now);
  void tick(TimePoint Now, Output &Out);
  void handle(const PeerAddress &From, const ControlMessage &Message,
              TimePoint Now, Output &Out);
  void tableAnswered(const ConfigAnswer &Answer, TimePoint Now, Output &Out);
  // Nullopt when the platform did not answer.
  void listAnswered(std::optional<std::vector<PeerAddress>> List,
                    TimePoint Now);
  // Sets the revision in force in this process. It is lower than the revision
  // held when the held text cannot be parsed.
  void setInForce(Revision R);
  void publish(const EndpointStatus &Status, TimePoint Now, Output &Out);
  void leave(TimePoint Now, Output &Out);

  bool ready() const { return Ready_; }
  bool isReader() const { return IsReader_; }
  const MemberTable &table() const { return Membership_.table(); }
  const ConfigFollower &config() const { return Config_; }

private:
  void collect(Membership::Output &From, TimePoint Now, Output &Out);
  void collect(ConfigFollower::Output &From, Output &Out);
  void electReaders();
  void pullFromPeers(TimePoint Now, Output &Out);
  JoinProgress::View joinView() const;

  Setup Setup_;
  Random Rng_;
  Membership Membership_;
  ConfigFollower Config_;
  PollSchedule ListPolls_;
  JoinProgress Join_;
  bool Started_ = false;
  bool Ready_ = false;
  bool ListAsked_ = false;
  bool IsReader_ = false;
  std::uint64_t ElectedAt_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_MEMBERSHIP_CONTROLCORE_H
