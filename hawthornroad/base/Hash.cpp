#include "hawthornroad/base/Hash.h"

#include <algorithm>
#include <array>
#include <numeric>
#include <openssl/evp.h>

namespace hawthornroad {

struct Sha256::State {
  EVP_MD_CTX *Context_ = EVP_MD_CTX_new();
  ~State() { EVP_MD_CTX_free(Context_); }
};

Sha256::Sha256() : State_(std::make_unique<State>()) {
  EVP_DigestInit_ex(State_->Context_, EVP_sha256(), nullptr);
}

Sha256::~Sha256() = default;

void Sha256::update(std::string_view Bytes) {
  EVP_DigestUpdate(State_->Context_, Bytes.data(), Bytes.size());
}

std::string Sha256::finish() {
  std::array<unsigned char, EVP_MAX_MD_SIZE> Raw;
  unsigned Length = 0;
  EVP_DigestFinal_ex(State_->Context_, Raw.data(), &Length);
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Out = "sha256:";
  for (unsigned I = 0; I < Length; ++I) {
    Out.push_back(Digits[Raw[I] >> 4]);
    Out.push_back(Digits[Raw[I] & 0xf]);
  }
  return Out;
}

std::string sha256(std::string_view Bytes) {
  Sha256 Hash;
  Hash.update(Bytes);
  return Hash.finish();
}

std::uint64_t rendezvousScore(std::string_view Key,
                              std::string_view Candidate) {
  Fnv1a Hash;
  Hash.update(Key);
  Hash.update(std::string_view("\0", 1));
  Hash.update(Candidate);
  // FNV's high bits mix poorly for short inputs, which would skew ownership;
  // two rounds of multiply and shift spread them.
  std::uint64_t X = Hash.value();
  X ^= X >> 33;
  X *= 0xff51afd7ed558ccdULL;
  X ^= X >> 33;
  X *= 0xc4ceb9fe1a85ec53ULL;
  return X ^ (X >> 33);
}

std::vector<std::size_t>
rendezvousTop(std::string_view Key, const std::vector<std::string> &Candidates,
              std::size_t Count) {
  std::vector<std::uint64_t> Scores;
  Scores.reserve(Candidates.size());
  for (const std::string &Candidate : Candidates)
    Scores.push_back(rendezvousScore(Key, Candidate));
  std::vector<std::size_t> Order(Candidates.size());
  std::iota(Order.begin(), Order.end(), std::size_t{0});
  Count = std::min(Count, Order.size());
  auto Better = [&](std::size_t A, std::size_t B) {
    if (Scores[A] != Scores[B])
      return Scores[A] > Scores[B];
    return Candidates[A] < Candidates[B];
  };
  std::partial_sort(Order.begin(), Order.begin() + Count, Order.end(), Better);
  Order.resize(Count);
  return Order;
}

} // namespace hawthornroad
