// Which endpoints should hold a prompt prefix in their cache: the same ones at
// every entry, without talking.
//
//   PrefixAffinity A;
//   A.add(Key);  A.remove(Key);              // ready endpoints
//   PrefixAffinity::Candidates C = A.candidates(PrefixHash);
//
// Rendezvous hashing scores every endpoint for a prefix, which at ten thousand
// endpoints is too much for one choice. So the endpoints stand on a circle by
// the hash of their names, and only the Window that follow the prefix's hash
// are scored. Each prefix has a fixed order among its window; when an endpoint
// comes or goes, about two in Members prefixes move.
//
// The caller takes the first candidate whose load is within its bound of the
// mean; that keeps a hot prefix from drowning its endpoint, which then spills
// to the same second choice at every entry.
//
// Cost: a binary search and Window scores; add and remove shift an array.

#ifndef HAWTHORNROAD_ROUTING_PREFIXAFFINITY_H
#define HAWTHORNROAD_ROUTING_PREFIXAFFINITY_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace hawthornroad {

class PrefixAffinity {
public:
  static constexpr std::size_t Window = 8;
  // Endpoints that a prefix may be cached at.
  static constexpr std::size_t MostCandidates = 3;

  struct Member {
    // The hash of the endpoint's name.
    std::uint64_t Hash_ = 0;
    // The caller's handle.
    std::size_t Handle_ = 0;
    auto operator<=>(const Member &) const = default;
  };
  struct Candidates {
    std::array<std::size_t, MostCandidates> Handles_{};
    std::size_t Count_ = 0;
  };

  void add(Member M);
  void remove(const Member &M);
  // Handles in the prefix's order of preference.
  Candidates candidates(std::uint64_t PrefixHash) const;
  std::size_t size() const { return Circle_.size(); }

private:
  std::vector<Member> Circle_; // sorted
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_PREFIXAFFINITY_H
