#include "hawthornroad/http/LinkPool.h"

#include "hawthornroad/runtime/BootClock.h"

namespace hawthornroad {

LinkPool::~LinkPool() {
  for (auto &[Id, Links] : Spare_)
    for (const auto &Each : Links)
      Each->abandon();
}

bool LinkPool::isFit(const ClientLink &L, TimePoint Now) const {
  if (!L.isFree() || !L.isConnected())
    return false;
  Duration Most = L.serverKeeps() ? *L.serverKeeps() - Options_.SafetyGap_
                                  : Options_.UnnamedIdle_;
  return Now - L.freeSince() < Most;
}

std::shared_ptr<ClientLink> LinkPool::take(const std::string &Endpoint,
                                           const std::string &Address) {
  TimePoint Now = bootNow();
  auto Found = Spare_.find(Endpoint);
  while (Found != Spare_.end() && !Found->second.empty()) {
    auto Link = Found->second.back();
    Found->second.pop_back();
    if (isFit(*Link, Now) && Link->address() == Address)
      return Link;
    Link->abandon();
  }
  ++Opened_;
  return std::make_shared<ClientLink>(Context_, Address, Options_.Link_);
}

void LinkPool::giveBack(const std::string &Endpoint,
                        const std::shared_ptr<ClientLink> &Link) {
  auto &Spare = Spare_[Endpoint];
  if (!Link->isFree() || Spare.size() >= Options_.SparePerEndpoint_)
    return Link->abandon();
  Spare.push_back(Link);
}

void LinkPool::keepOnly(const std::set<std::string> &Endpoints) {
  std::erase_if(Spare_, [&](auto &Each) {
    if (Endpoints.contains(Each.first))
      return false;
    for (const auto &Link : Each.second)
      Link->abandon();
    return true;
  });
}

void LinkPool::drop(const std::string &Endpoint) {
  auto Found = Spare_.find(Endpoint);
  if (Found == Spare_.end())
    return;
  for (const auto &Link : Found->second)
    Link->abandon();
  Spare_.erase(Found);
}

void LinkPool::sweep(TimePoint Now) {
  for (auto &[Id, Links] : Spare_)
    std::erase_if(Links, [&](const std::shared_ptr<ClientLink> &Link) {
      if (isFit(*Link, Now))
        return false;
      Link->abandon();
      return true;
    });
}

} // namespace hawthornroad
