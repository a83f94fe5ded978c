#include "hawthornroad/http/LinkPool.h"

#include "hawthornroad/runtime/BootClock.h"

namespace hawthornroad {

LinkPool::~LinkPool() {
  for (auto &[Id, Links] : Idle_)
    for (const auto &Each : Links)
      Each->abandon();
}

bool LinkPool::isReusable(const ClientLink &L, TimePoint Now) const {
  if (!L.isFree() || !L.isConnected())
    return false;
  Duration Limit = L.serverIdleTimeout()
                       ? *L.serverIdleTimeout() - Options_.SafetyMargin_
                       : Options_.DefaultMaxIdle_;
  return Now - L.idleSince() < Limit;
}

std::shared_ptr<ClientLink> LinkPool::take(const std::string &Endpoint,
                                           const std::string &Address,
                                           const Numbers &Excluded) {
  TimePoint Now = bootNow();
  if (auto Found = Idle_.find(Endpoint); Found != Idle_.end()) {
    auto &Idle = Found->second;
    for (std::size_t I = Idle.size(); I > 0; --I) {
      auto At = Idle.begin() + static_cast<std::ptrdiff_t>(I - 1);
      if (Excluded.contains((*At)->number()))
        continue;
      auto Link = std::move(*At);
      Idle.erase(At);
      if (isReusable(*Link, Now) && Link->address() == Address)
        return Link;
      Link->abandon();
    }
  }
  return open(Address);
}

std::shared_ptr<ClientLink> LinkPool::open(const std::string &Address) {
  ClientLink::Options O = Options_.Link_;
  O.Number_ = ++Opened_;
  return std::make_shared<ClientLink>(Context_, Address, O);
}

void LinkPool::putBack(const std::string &Endpoint,
                       const std::shared_ptr<ClientLink> &Link) {
  auto &Idle = Idle_[Endpoint];
  if (!Link->isFree() || Idle.size() >= Options_.MaxIdlePerEndpoint_)
    return Link->abandon();
  Idle.push_back(Link);
}

void LinkPool::retainOnly(const std::set<std::string> &Endpoints) {
  std::erase_if(Idle_, [&](auto &Each) {
    if (Endpoints.contains(Each.first))
      return false;
    for (const auto &Link : Each.second)
      Link->abandon();
    return true;
  });
}

void LinkPool::drop(const std::string &Endpoint) {
  auto Found = Idle_.find(Endpoint);
  if (Found == Idle_.end())
    return;
  for (const auto &Link : Found->second)
    Link->abandon();
  Idle_.erase(Found);
}

void LinkPool::sweep(TimePoint Now) {
  for (auto &[Id, Links] : Idle_)
    std::erase_if(Links, [&](const std::shared_ptr<ClientLink> &Link) {
      if (isReusable(*Link, Now))
        return false;
      Link->abandon();
      return true;
    });
}

} // namespace hawthornroad
