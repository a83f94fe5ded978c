// Hashes: SHA-256 for weights and texts, FNV-1a for complete answers, and
// rendezvous scores for choices on which many processes must agree without
// communication.
//
// Rendezvous hashing: every (key, candidate) pair has a score, and the
// candidates with the highest scores own the key. When a candidate leaves, only
// its own keys move. Cost: one score per candidate.

#ifndef HAWTHORNROAD_BASE_HASH_H
#define HAWTHORNROAD_BASE_HASH_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornroad {

// SHA-256 of the concatenation of the pieces passed to update().
class Sha256 {
public:
  Sha256();
  ~Sha256();
  Sha256(const Sha256 &) = delete;
  Sha256 &operator=(const Sha256 &) = delete;

  void update(std::string_view Bytes);
  // "sha256:" and 64 lower-case hex digits. Call once.
  std::string finish();

private:
  struct State;
  std::unique_ptr<State> State_;
};

std::string sha256(std::string_view Bytes);

// 64-bit FNV-1a of the concatenation of the pieces passed to update(). Detects
// lost, duplicated or reordered pieces of an answer; it does not protect
// against deliberate forgery.
class Fnv1a {
public:
  void update(std::string_view Bytes) {
    for (char C : Bytes) {
      Value_ ^= static_cast<unsigned char>(C);
      Value_ *= 1099511628211ULL;
    }
  }
  std::uint64_t value() const { return Value_; }

private:
  std::uint64_t Value_ = 14695981039346656037ULL;
};

// The rendezvous score of Candidate for Key; equal inputs give equal scores on
// every machine.
std::uint64_t rendezvousScore(std::string_view Key, std::string_view Candidate);

// Indices of the Count candidates with the highest scores for Key, best first.
std::vector<std::size_t>
rendezvousTop(std::string_view Key, const std::vector<std::string> &Candidates,
              std::size_t Count);

} // namespace hawthornroad

#endif // HAWTHORNROAD_BASE_HASH_H
