#include "hawthornroad/membership/ReportPlan.h"

#include "hawthornroad/base/Hash.h"

#include <algorithm>

namespace hawthornroad {

bool ReportPlan::isUrgent(const EndpointStatus &Status) const {
  return differBeyondLoad(Status, Last_);
}

std::vector<PeerAddress> ReportPlan::publish(const EndpointStatus &Status,
                                             const MemberTable &Table,
                                             TimePoint Now) {
  if (Version_ != Table.version())
    refresh(Status, Table);
  bool Urgent = isUrgent(Status);
  if (!Urgent && Now < NextLoad_)
    return {};
  Last_ = Status;
  NextLoad_ = Now + Period_;
  return Urgent ? Entries_ : Chosen_;
}

void ReportPlan::refresh(const EndpointStatus &Status,
                         const MemberTable &Table) {
  Version_ = Table.version();
  std::size_t Agents = 1;
  std::vector<std::string> Names;
  for (const ProcessName &Each : Table.live()) {
    const Member &M = *Table.find(Each);
    if (M.Zone_ != Status.Zone_)
      continue;
    if (M.isEntry())
      Names.push_back(Each.str());
    else
      ++Agents;
  }
  auto AddressOf = [&](std::size_t I) {
    return Table.find(ProcessName(Names[I]))->Address_;
  };
  Chosen_.clear();
  Entries_.clear();
  for (std::size_t I :
       rendezvousTop(Status.Vm_.str(), Names, Limits_.DirectEntries_))
    Chosen_.push_back(AddressOf(I));
  for (std::size_t I :
       rendezvousTop(Status.Vm_.str(), Names, Limits_.MaxUrgent_))
    Entries_.push_back(AddressOf(I));
  Period_ = Limits_.Period_;
  if (Names.empty())
    return;
  double AgentsPerEntry = static_cast<double>(Agents * Chosen_.size()) /
                          static_cast<double>(Names.size());
  auto MinPeriod = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(AgentsPerEntry / Limits_.MaxRatePerEntry_));
  Period_ = std::max(Period_, MinPeriod);
}

} // namespace hawthornroad
