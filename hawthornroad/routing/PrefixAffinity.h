// Maps a prompt prefix to the endpoints that should have it in their cache. The
// mapping is the same at every entry, without communication.
//
//   PrefixAffinity A;
//   A.add(Key);  A.remove(Key);              // ready endpoints
//   PrefixAffinity::Candidates C = A.candidates(PrefixHash);
//
// Plain rendezvous hashing scores every endpoint for a prefix, which is too
// expensive per choice at ten thousand endpoints. Endpoints are therefore
// placed on a ring by the hash of their names, and only the Window endpoints
// after the prefix's hash are scored. Each prefix has a fixed preference order
// within its window; when an endpoint is added or removed, about two in Members
// prefixes move.
//
// The caller takes the first candidate whose load is within its bound of the
// mean, so that a hot prefix does not overload its endpoint but spills over to
// the same second choice at every entry.
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
  // The number of endpoints at which a prefix may be cached.
  static constexpr std::size_t MaxCandidates = 3;

  struct Member {
    // The hash of the endpoint's name.
    std::uint64_t Hash_ = 0;
    // The caller's handle.
    std::size_t Handle_ = 0;
    auto operator<=>(const Member &) const = default;
  };
  struct Candidates {
    std::array<std::size_t, MaxCandidates> Handles_{};
    std::size_t Count_ = 0;
  };

  void add(Member M);
  void remove(const Member &M);
  // Handles in the prefix's order of preference.
  Candidates candidates(std::uint64_t PrefixHash) const;
  std::size_t size() const { return Ring_.size(); }

private:
  std::vector<Member> Ring_; // sorted
};

} // namespace hawthornroad

#endif // HAWTHORNROAD_ROUTING_PREFIXAFFINITY_H
