// LRU cache of the leading blocks of prompts: a prompt whose leading block is
// cached needs no prefill.

#ifndef HAWTHORNROAD_FAKES_PREFIXCACHE_H
#define HAWTHORNROAD_FAKES_PREFIXCACHE_H

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hawthornroad {

class PrefixCache {
public:
  // Size of the leading block of a prompt, in bytes.
  static constexpr std::size_t BlockBytes = 64;

  explicit PrefixCache(std::size_t Capacity) : Capacity_(Capacity) {}

  // Returns whether the leading block of Prompt was cached, and caches it.
  bool use(std::string_view Prompt) {
    std::string Key(Prompt.substr(0, BlockBytes));
    auto Found = Positions_.find(Key);
    bool Hit = Found != Positions_.end();
    if (Hit)
      Order_.erase(Found->second);
    Order_.push_front(Key);
    Positions_[Key] = Order_.begin();
    if (Order_.size() > Capacity_) {
      Positions_.erase(Order_.back());
      Order_.pop_back();
    }
    ++(Hit ? Hits_ : Misses_);
    return Hit;
  }

  void clear() {
    Order_.clear();
    Positions_.clear();
  }
  std::uint64_t hits() const { return Hits_; }
  std::uint64_t misses() const { return Misses_; }

private:
  std::size_t Capacity_;
  std::list<std::string> Order_;
  std::unordered_map<std::string, std::list<std::string>::iterator> Positions_;
  std::uint64_t Hits_ = 0;
  std::uint64_t Misses_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_PREFIXCACHE_H
