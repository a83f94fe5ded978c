// The leading blocks of recent prompts, least recently used dropped first: a
// prompt whose leading block is here needs no prefill.

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
  // Bytes of a prompt that count as its leading block.
  static constexpr std::size_t Block = 64;

  explicit PrefixCache(std::size_t Capacity) : Capacity_(Capacity) {}

  // Whether Prompt's block was kept; it is kept from now on.
  bool use(std::string_view Prompt) {
    std::string Key(Prompt.substr(0, Block));
    auto Found = Places_.find(Key);
    bool Hit = Found != Places_.end();
    if (Hit)
      Order_.erase(Found->second);
    Order_.push_front(Key);
    Places_[Key] = Order_.begin();
    if (Order_.size() > Capacity_) {
      Places_.erase(Order_.back());
      Order_.pop_back();
    }
    ++(Hit ? Hits_ : Misses_);
    return Hit;
  }

  void clear() {
    Order_.clear();
    Places_.clear();
  }
  std::uint64_t hits() const { return Hits_; }
  std::uint64_t misses() const { return Misses_; }

private:
  std::size_t Capacity_;
  std::list<std::string> Order_;
  std::unordered_map<std::string, std::list<std::string>::iterator> Places_;
  std::uint64_t Hits_ = 0;
  std::uint64_t Misses_ = 0;
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_FAKES_PREFIXCACHE_H
