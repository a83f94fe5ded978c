#include "hawthornroad/weights/UploadScheduler.h"

#include <algorithm>

namespace hawthornroad {

bool UploadScheduler::request(const Upload &U) {
  if (Active_.contains(U))
    return true;
  std::deque<Upload> &Queue = Queues_[U.Peer_];
  if (std::find(Queue.begin(), Queue.end(), U) != Queue.end())
    return true;
  if (Queue.size() >= Limits_.PerPeer_ || Waiting_ >= Limits_.Total_) {
    if (Queue.empty())
      Queues_.erase(U.Peer_);
    return false;
  }
  if (Queue.empty())
    Turns_.push_back(U.Peer_);
  Queue.push_back(U);
  ++Waiting_;
  return true;
}

std::optional<Upload> UploadScheduler::next(std::uint64_t Bytes,
                                            TimePoint Now) {
  std::erase_if(Active_, [&](const auto &Each) {
    return Now - Each.second >= Limits_.AckTimeout_;
  });
  if (Turns_.empty() || Active_.size() >= Limits_.Active_ || !Rate_.isOpen(Now))
    return std::nullopt;
  Vm Peer = Turns_.front();
  Turns_.pop_front();
  std::deque<Upload> &Queue = Queues_[Peer];
  Upload Next = Queue.front();
  Queue.pop_front();
  --Waiting_;
  if (Queue.empty())
    Queues_.erase(Peer);
  else
    Turns_.push_back(Peer);
  Rate_.take(Bytes, Now);
  Active_[Next] = Now;
  return Next;
}

void UploadScheduler::finish(const Upload &U) { Active_.erase(U); }

void UploadScheduler::forget(const Vm &Peer) {
  std::erase_if(Active_,
                [&](const auto &Each) { return Each.first.Peer_ == Peer; });
  auto Found = Queues_.find(Peer);
  if (Found == Queues_.end())
    return;
  Waiting_ -= Found->second.size();
  Queues_.erase(Found);
  std::erase(Turns_, Peer);
}

} // namespace hawthornroad
