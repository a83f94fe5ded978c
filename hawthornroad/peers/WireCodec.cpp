#include "hawthornroad/peers/WireCodec.h"

namespace hawthornroad {

wire::EndpointReportT toWire(const EndpointStatus &Status) {
  wire::EndpointReportT Report;
  Report.vm = Status.Vm_.str();
  Report.process = Status.Process_.str();
  Report.incarnation = Status.Incarnation_;
  Report.sequence = Status.Sequence_;
  Report.address = Status.Address_.str();
  Report.weights_address = Status.WeightsAddress_.str();
  Report.zone = Status.Zone_.str();
  Report.service = Status.Service_.str();
  Report.phase = static_cast<wire::EndpointPhase>(Status.Phase_);
  Report.version = Status.Version_.str();
  Report.capacity = Status.Capacity_;
  Report.running = Status.Running_;
  Report.waiting = Status.Waiting_;
  Report.step_ms = Status.StepMs_;
  Report.detail = Status.Detail_;
  for (const VersionDigest &Each : Status.Staged_)
    Report.staged.push_back(Each.str());
  Report.rollout = Status.Rollout_;
  Report.failed_version = Status.FailedVersion_.str();
  return Report;
}

EndpointStatus fromWire(const wire::EndpointReportT &Report) {
  EndpointStatus Status;
  Status.Vm_ = Vm(Report.vm);
  Status.Process_ = ProcessName(Report.process);
  Status.Incarnation_ = Report.incarnation;
  Status.Sequence_ = Report.sequence;
  Status.Address_ = PeerAddress(Report.address);
  Status.WeightsAddress_ = PeerAddress(Report.weights_address);
  Status.Zone_ = AvailabilityZone(Report.zone);
  Status.Service_ = ServiceName(Report.service);
  if (Report.phase <= wire::EndpointPhase::Left)
    Status.Phase_ = static_cast<EndpointPhase>(Report.phase);
  Status.Version_ = VersionDigest(Report.version);
  Status.Capacity_ = Report.capacity;
  Status.Running_ = Report.running;
  Status.Waiting_ = Report.waiting;
  Status.StepMs_ = Report.step_ms;
  Status.Detail_ = Report.detail;
  for (const std::string &Each : Report.staged)
    Status.Staged_.emplace_back(Each);
  Status.Rollout_ = Report.rollout;
  Status.FailedVersion_ = VersionDigest(Report.failed_version);
  return Status;
}

} // namespace hawthornroad
