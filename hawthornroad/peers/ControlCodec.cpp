#include "hawthornroad/peers/ControlCodec.h"

#include "hawthornroad/peers/WireCodec.h"

namespace hawthornroad {

namespace {

using WireMembers = std::vector<std::unique_ptr<wire::MemberT>>;

std::unique_ptr<wire::MemberT> toWire(const Member &M) {
  auto Out = std::make_unique<wire::MemberT>();
  Out->process = M.Process_.str();
  Out->incarnation = M.Incarnation_;
  Out->state = static_cast<wire::MemberState>(M.State_);
  Out->role = M.Role_;
  Out->zone = M.Zone_.str();
  Out->address = M.Address_.str();
  Out->revision = M.Revision_;
  if (M.Report_)
    Out->report = std::make_unique<wire::EndpointReportT>(
        hawthornroad::toWire(*M.Report_));
  return Out;
}

WireMembers toWire(const std::vector<Member> &Members) {
  WireMembers Out;
  for (const Member &Each : Members)
    Out.push_back(toWire(Each));
  return Out;
}

bool isWithinLimits(const wire::MemberT &M) {
  return !M.process.empty() && M.process.size() <= MaxNameBytes &&
         M.role.size() <= MaxNameBytes && M.zone.size() <= MaxNameBytes &&
         M.address.size() <= MaxNameBytes && M.state <= wire::MemberState::Left;
}

std::vector<Member> fromWire(const WireMembers &Members) {
  std::vector<Member> Out;
  for (const auto &Each : Members) {
    if (Out.size() == MaxMembersInMessage)
      break;
    if (!Each || !isWithinLimits(*Each))
      continue;
    Member M;
    M.Process_ = ProcessName(Each->process);
    M.Incarnation_ = Each->incarnation;
    M.State_ = static_cast<MemberState>(Each->state);
    M.Role_ = Each->role;
    M.Zone_ = AvailabilityZone(Each->zone);
    M.Address_ = PeerAddress(Each->address);
    M.Revision_ = Each->revision;
    if (Each->report)
      M.Report_ = std::make_shared<const EndpointStatus>(
          hawthornroad::fromWire(*Each->report));
    Out.push_back(std::move(M));
  }
  return Out;
}

std::vector<std::uint32_t> limitMarks(std::vector<std::uint32_t> Marks) {
  if (Marks.size() > MaxMembersInMessage)
    Marks.resize(MaxMembersInMessage);
  return Marks;
}

struct Encoder {
  FrameBuffer operator()(const ProbeMessage &M) const {
    wire::ProbeT Out;
    Out.sequence = M.Sequence_;
    Out.target = M.Target_.str();
    Out.members = toWire(M.Members_);
    Out.revision = M.Revision_;
    Out.in_force = M.InForce_;
    return makeFrame(std::move(Out));
  }
  FrameBuffer operator()(const AckMessage &M) const {
    wire::ProbeAckT Out;
    Out.sequence = M.Sequence_;
    Out.process = M.Process_.str();
    Out.members = toWire(M.Members_);
    Out.revision = M.Revision_;
    Out.in_force = M.InForce_;
    return makeFrame(std::move(Out));
  }
  FrameBuffer operator()(const GossipMessage &M) const {
    wire::GossipT Out;
    Out.members = toWire(M.Members_);
    Out.revision = M.Revision_;
    Out.in_force = M.InForce_;
    return makeFrame(std::move(Out));
  }
  FrameBuffer operator()(const PullMessage &M) const {
    wire::ConfigPullT Out;
    Out.after = M.After_;
    return makeFrame(std::move(Out));
  }
  FrameBuffer operator()(const PushMessage &M) const {
    wire::ConfigPushT Out;
    Out.snapshot = M.Snapshot_;
    Out.snapshot_revision = M.SnapshotRevision_;
    for (const ConfigChange &Each : M.Changes_) {
      auto Change = std::make_unique<wire::ConfigChangeT>();
      Change->revision = Each.Revision_;
      Change->change = Each.Change_;
      Change->author = Each.Author_;
      Change->reason = Each.Reason_;
      Change->patch = Each.Patch_;
      Change->digest = Each.Digest_;
      Change->accepted_ms = Each.AcceptedMs_;
      Out.changes.push_back(std::move(Change));
    }
    return makeFrame(std::move(Out));
  }
  FrameBuffer operator()(const ReportMessage &M) const {
    return makeFrame(hawthornroad::toWire(M.Status_));
  }
};

PushMessage fromWire(const wire::ConfigPushT &Push) {
  PushMessage Out;
  Out.Snapshot_ = Push.snapshot;
  Out.SnapshotRevision_ = Push.snapshot_revision;
  for (const auto &Each : Push.changes) {
    if (!Each)
      continue;
    Out.Changes_.push_back({.Revision_ = Each->revision,
                            .Change_ = Each->change,
                            .Author_ = Each->author,
                            .Reason_ = Each->reason,
                            .Patch_ = Each->patch,
                            .Digest_ = Each->digest,
                            .AcceptedMs_ = Each->accepted_ms});
  }
  return Out;
}

} // namespace

FrameBuffer encodeControl(const ControlMessage &Message) {
  return std::visit(Encoder(), Message);
}

std::optional<ControlMessage> decodeControl(const wire::FrameT &Frame) {
  switch (Frame.body.type) {
  case wire::Body::Probe: {
    const wire::ProbeT &M = *Frame.body.AsProbe();
    return ProbeMessage{M.sequence, ProcessName(M.target), fromWire(M.members),
                        M.revision, limitMarks(M.in_force)};
  }
  case wire::Body::ProbeAck: {
    const wire::ProbeAckT &M = *Frame.body.AsProbeAck();
    return AckMessage{M.sequence, ProcessName(M.process), fromWire(M.members),
                      M.revision, limitMarks(M.in_force)};
  }
  case wire::Body::Gossip: {
    const wire::GossipT &M = *Frame.body.AsGossip();
    return GossipMessage{fromWire(M.members), M.revision,
                         limitMarks(M.in_force)};
  }
  case wire::Body::ConfigPull:
    return PullMessage{Frame.body.AsConfigPull()->after};
  case wire::Body::ConfigPush:
    return fromWire(*Frame.body.AsConfigPush());
  case wire::Body::EndpointReport:
    return ReportMessage{
        hawthornroad::fromWire(*Frame.body.AsEndpointReport())};
  default:
    return std::nullopt;
  }
}

} // namespace hawthornroad
